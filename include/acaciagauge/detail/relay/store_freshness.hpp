#pragma once

#include "acaciagauge/detail/common/time.hpp"

#include <algorithm>

namespace acaciagauge {

/// @brief Tracks up to which time the mirror of the store is known to be complete, and detects outages of the store.
///
/// Times are those at which something was true at the store, not those at which its response was processed: a response
/// may have been delayed. All are readings of bootNow(), which also advances while the machine is suspended.
class StoreFreshness {
public:
    struct Options {
        /// Consecutive failures after which the store counts as unavailable: a single lost response is no outage.
        unsigned maxFailures = 2;
        /// Entries may lapse when servers cannot write for longer than their heartbeat interval.
        Duration shortestOutage = std::chrono::milliseconds(870);
        /// A mirror older than this is not followed. Changes have to be in force within two seconds; the rest of that
        /// time is for a request that is not answered, and for a call to the store.
        Duration maxAge = std::chrono::milliseconds(1250);
        /// Longest wait for changes. It doubles as the heartbeat by which a source that stopped responding is noticed.
        std::chrono::milliseconds maxWait { 500 };
        /// Shortest wait for changes: with a shorter one, waiting would amount to polling, and each poll costs a call.
        std::chrono::milliseconds minWait { 100 };
        /// Part of `maxAge` that remains when a watch ends: for its response to arrive, and for followers that request
        /// changes meanwhile.
        Duration watchMargin = std::chrono::milliseconds(400);
    };

    /// @brief Change of the store's availability.
    enum class Change {
        none,
        unavailable, ///< The store does not respond.
        availableAfterOutage, ///< It responds again; entries may have lapsed.
        available, ///< It responds again; the outage was too short to lapse entries, or affected only this instance.
    };

    static StoreFreshness create(Options options) { return StoreFreshness(options); }

    /// @brief Records a response of the store that was true at `validAt` or later.
    Change confirmByStore(TimePoint validAt);

    /// @brief Records a response of a peer whose mirror was complete at `validAt`.
    /// @param availableSince since when the store has responded to the peer without an outage
    Change confirmByPeer(TimePoint validAt, TimePoint availableSince);

    /// @brief Records a call to the store that got no response or was refused.
    Change noteFailure(TimePoint sentAt);

    /// @brief Records a response that says nothing about the store's content.
    void noteAnswer() { m_failures = 0; }

    /// @brief Returns the latest time at which the mirror is known to have been complete.
    [[nodiscard]] TimePoint confirmedAt() const { return m_confirmedAt; }

    /// @brief Returns how old the mirror may be.
    [[nodiscard]] Duration age(TimePoint now) const { return now - m_confirmedAt; }

    /// @brief Returns whether a mirror that was complete at `validAt` is recent enough to be followed.
    [[nodiscard]] bool isFresh(TimePoint validAt, TimePoint now) const { return now - validAt <= m_options.maxAge; }

    /// @brief Returns how much longer the mirror may be followed unless it is confirmed.
    [[nodiscard]] Duration freshFor(TimePoint now) const
    {
        return std::max(Duration::zero(), m_options.maxAge - age(now));
    }

    /// @brief Returns how long a watch of the store may wait, so that followers still accept the mirror afterwards.
    [[nodiscard]] std::chrono::milliseconds watchWait(TimePoint now) const;

    /// @brief Returns how long a request to a peer may wait: if it is not answered, the mirror is too old by then.
    [[nodiscard]] std::chrono::milliseconds peerWait(TimePoint now) const;

    /// @brief Returns since when the store has responded without an outage; TimePoint::max() if it is unavailable.
    [[nodiscard]] TimePoint availableSince() const { return m_isUnavailable ? TimePoint::max() : m_availableSince; }

    [[nodiscard]] unsigned failures() const { return m_failures; }

private:
    explicit StoreFreshness(Options options)
        : m_options(options)
    {
    }
    Change confirm(TimePoint validAt, bool wasAvailable);
    [[nodiscard]] std::chrono::milliseconds waitWithin(Duration left) const;

    Options m_options;
    TimePoint m_confirmedAt;
    TimePoint m_availableSince = TimePoint::max();
    TimePoint m_failingSince = TimePoint::max(); ///< When the first of the consecutive failed calls was sent.
    unsigned m_failures = 0;
    bool m_isUnavailable = true;
};

} // namespace acaciagauge
