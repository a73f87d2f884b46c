#pragma once

#include "acaciagauge/detail/common/time.hpp"

#include <algorithm>

namespace acaciagauge {

/// @brief Decides which requests an instance still takes while it shuts down, and how long each may last.
struct ShutdownSchedule {
    TimePoint takeAllUntil; ///< Until then, callers arrive that cannot know of the shutdown.
    TimePoint end; ///< Servers are asked to respond by then.
    TimePoint answerAllAt; ///< Requests without a response from their server are answered then.
    TimePoint exitAt; ///< The process exits then, at the latest.

    /// @brief Plans a shutdown that begins now.
    /// @param gracePeriod time until the process is killed
    static ShutdownSchedule create(TimePoint now, Duration gracePeriod);

    /// @brief Returns whether a request that arrives now is taken; later on, only one that ends before the shutdown.
    [[nodiscard]] bool mayTake(TimePoint deadline, TimePoint now) const
    {
        return now < takeAllUntil || deadline <= end;
    }

    /// @brief Returns the deadline that servers get for a request.
    [[nodiscard]] TimePoint limitDeadline(TimePoint deadline) const { return std::min(deadline, end); }
};

} // namespace acaciagauge
