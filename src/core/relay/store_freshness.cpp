#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>

namespace acaciagauge {

StoreFreshness::Change StoreFreshness::confirm(TimePoint validAt, bool wasAvailable)
{
    m_confirmedAt = std::max(m_confirmedAt, validAt);
    m_failures = 0;
    if (!m_isUnavailable)
        return Change::none;
    m_isUnavailable = false;
    if (wasAvailable || validAt - m_failingSince < m_options.shortestOutage)
        return Change::available;
    m_availableSince = validAt;
    return Change::availableAfterOutage;
}

StoreFreshness::Change StoreFreshness::confirmByStore(TimePoint validAt)
{
    m_availableSince = std::min(m_availableSince, validAt);
    return confirm(validAt, false);
}

StoreFreshness::Change StoreFreshness::confirmByPeer(TimePoint validAt, TimePoint availableSince)
{
    // An instance that follows a peer adopts the peer's view of the store's availability.
    auto change = confirm(validAt, availableSince <= m_failingSince);
    m_availableSince = availableSince;
    return change;
}

StoreFreshness::Change StoreFreshness::noteFailure(TimePoint sentAt)
{
    if (m_failures == 0 && !m_isUnavailable)
        m_failingSince = sentAt;
    ++m_failures;
    if (m_isUnavailable || m_failures < m_options.maxFailures)
        return Change::none;
    m_isUnavailable = true;
    return Change::unavailable;
}

std::chrono::milliseconds StoreFreshness::waitWithin(Duration left) const
{
    auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(left);
    return std::clamp(wait, m_options.minWait, m_options.maxWait);
}

// A watch that returns changes at its end confirms the mirror only as of its start, so it must end before the mirror's
// age exceeds what followers accept.
std::chrono::milliseconds StoreFreshness::watchWait(TimePoint now) const
{
    return waitWithin(freshFor(now) - m_options.watchMargin);
}

std::chrono::milliseconds StoreFreshness::peerWait(TimePoint now) const
{
    return waitWithin(freshFor(now));
}

} // namespace acaciagauge
