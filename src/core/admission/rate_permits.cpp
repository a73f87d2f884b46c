#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>

namespace acaciagauge {

PermitReply RatePermits::request(const PermitRequest& request, TimePoint now)
{
    if (now - m_prunedAt > m_options.forgetAfter) {
        std::erase_if(m_nextDue, [&](const auto& it) { return now - it.second > m_options.forgetAfter; });
        m_prunedAt = now;
    }
    auto perSecond = std::max(request.perSecond, m_options.minPerSecond);
    auto interval = Duration(static_cast<Duration::rep>(std::micro::den / perSecond));
    // A new entry starts without a burst: another instance may have held the server's permits a moment ago.
    auto& nextDue = m_nextDue.try_emplace(request.server, now).first->second;
    auto burst = std::max(m_options.burst, interval * m_options.burstRequests);
    auto due = std::max(nextDue, now - burst);
    auto wait = std::max(Duration::zero(), due - now);
    if (wait > request.maxWait)
        return { false, wait };
    nextDue = due + interval;
    return { true, wait };
}

void PermitHolders::setMembers(std::map<InstanceId, DomainId> members)
{
    m_members = std::move(members);
    m_orders.clear();
}

const std::vector<InstanceId>& PermitHolders::orderOf(const ServerId& server, const DomainId& domain)
{
    auto known = m_orders.find(server);
    if (known != m_orders.end())
        return known->second;
    std::vector<InstanceId> ownDomain;
    std::vector<InstanceId> otherDomains;
    for (const auto& it : m_members)
        (it.second == domain ? ownDomain : otherDomains).push_back(it.first);
    auto order = rendezvousOrder(server, std::move(ownDomain));
    auto others = rendezvousOrder(server, std::move(otherDomains));
    order.insert(order.end(), others.begin(), others.end());
    return m_orders[server] = std::move(order);
}

std::optional<InstanceId> PermitHolders::holderOf(const ServerId& server, const DomainId& domain, TimePoint now)
{
    for (const auto& it : orderOf(server, domain)) {
        auto suspected = m_suspectUntil.find(it);
        if (suspected == m_suspectUntil.end() || now >= suspected->second)
            return it;
    }
    return std::nullopt;
}

} // namespace acaciagauge
