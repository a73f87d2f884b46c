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

} // namespace acaciagauge
