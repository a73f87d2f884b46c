#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>

namespace acaciagauge {

StoreFreshness::Change StoreFreshness::confirm(TimePoint trueAt, bool wasSteady)
{
    m_confirmedAt = std::max(m_confirmedAt, trueAt);
    m_failures = 0;
    if (!m_isAway)
        return Change::none;
    m_isAway = false;
    if (wasSteady || trueAt - m_failingSince < m_options.shortestOutage)
        return Change::available;
    m_steadySince = trueAt;
    return Change::availableAfterOutage;
}

StoreFreshness::Change StoreFreshness::confirmByStore(TimePoint trueAt)
{
    m_steadySince = std::min(m_steadySince, trueAt);
    return confirm(trueAt, false);
}

StoreFreshness::Change StoreFreshness::confirmByPeer(TimePoint trueAt, TimePoint availableSince)
{
    // Whoever follows a peer knows of the store what the peer knows.
    auto change = confirm(trueAt, availableSince <= m_failingSince);
    m_steadySince = availableSince;
    return change;
}

StoreFreshness::Change StoreFreshness::noteFailure(TimePoint asked)
{
    if (m_failures == 0 && !m_isAway)
        m_failingSince = asked;
    ++m_failures;
    if (m_isAway || m_failures < m_options.lostAfter)
        return Change::none;
    m_isAway = true;
    return Change::unavailable;
}

} // namespace acaciagauge
