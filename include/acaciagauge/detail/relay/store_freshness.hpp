#pragma once

#include "acaciagauge/detail/common/time.hpp"

namespace acaciagauge {

/// @brief Knows up to when the copy of the store is known to be complete, and whether the store was away.
///
/// Times are those at which something was true at the store, never those at which its answer was handled: an answer may
/// have waited. All are of one clock, which also runs while the machine is suspended.
class StoreFreshness {
public:
    struct Options {
        /// Failures in a row that make the store a lost dependency: one lost answer says little.
        unsigned lostAfter = 2;
        /// Entries lapse when their servers could not write for longer than one of their heartbeats.
        Duration shortestOutage = std::chrono::milliseconds(870);
    };

    /// @brief What an answer says of the time before it.
    enum class Change {
        none,
        unavailable, ///< The store does not answer.
        availableAfterOutage, ///< It answers again, and entries may have lapsed.
        available, ///< It answers again, and was not away for long, or only for this instance.
    };

    static StoreFreshness create(Options options) { return StoreFreshness(options); }

    /// @brief Notes an answer of the store that was true no earlier than `trueAt`.
    Change confirmByStore(TimePoint trueAt);

    /// @brief Notes an answer of a peer whose copy was complete at `trueAt`.
    /// @param availableSince since when the peer knows the store to answer
    Change confirmByPeer(TimePoint trueAt, TimePoint availableSince);

    /// @brief Notes a call to the store that was not answered, or refused.
    Change noteFailure(TimePoint asked);

    /// @brief Notes an answer that tells no state.
    void noteAnswer() { m_failures = 0; }

    /// @brief Returns the latest moment at which the copy is known to have been complete.
    [[nodiscard]] TimePoint confirmedAt() const { return m_confirmedAt; }

    /// @brief Returns since when the store is known to answer without an outage; TimePoint::max() if it is away.
    [[nodiscard]] TimePoint availableSince() const { return m_isAway ? TimePoint::max() : m_steadySince; }

    [[nodiscard]] unsigned failures() const { return m_failures; }

private:
    explicit StoreFreshness(Options options)
        : m_options(options)
    {
    }
    Change confirm(TimePoint trueAt, bool wasSteady);

    Options m_options;
    TimePoint m_confirmedAt;
    TimePoint m_steadySince = TimePoint::max();
    TimePoint m_failingSince = TimePoint::max(); ///< When the first of the failed calls in a row was made.
    unsigned m_failures = 0;
    bool m_isAway = true;
};

} // namespace acaciagauge
