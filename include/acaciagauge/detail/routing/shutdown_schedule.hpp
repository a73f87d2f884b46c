#pragma once

#include "acaciagauge/detail/common/time.hpp"

namespace acaciagauge {

/// @brief Decides which requests an instance still takes while it shuts down.
struct ShutdownSchedule {
    TimePoint takeAllUntil; ///< Until then, callers arrive that cannot know of the shutdown.
    TimePoint end; ///< A request that is not answered by then is cut.

    /// @brief Returns whether a request that arrives now is taken; later on, only one that cannot be cut.
    [[nodiscard]] bool mayTake(TimePoint deadline, TimePoint now) const
    {
        return now < takeAllUntil || deadline <= end;
    }
};

} // namespace acaciagauge
