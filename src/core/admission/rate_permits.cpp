#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>

namespace acaciagauge {

ColdPermits ColdPermits::create(double perSecond, double bound)
{
    constexpr double holders = 2;
    constexpr double maxBurst = 2;
    constexpr double minPerSecond = 0.2;
    auto perHolder = bound / holders - 1;
    auto rate = std::max(minPerSecond, std::min(perSecond, perHolder));
    return { rate, static_cast<unsigned>(std::clamp(perHolder - rate, 0.0, maxBurst)) };
}

void ColdPermits::limit(PermitRequest& request) const
{
    request.perSecond = std::min(request.perSecond, perSecond);
    request.burstRequests = burstRequests;
}

PermitReply RatePermits::request(const PermitRequest& request, TimePoint now)
{
    if (now - m_prunedAt > m_options.forgetAfter) {
        std::erase_if(m_nextDue, [&](const auto& it) { return now - it.second > m_options.forgetAfter; });
        m_prunedAt = now;
    }
    // A part of a cold server's rate must not be rounded up: the parts of all instances add up.
    constexpr double minPart = 1e-4;
    auto perSecond = std::max(request.perSecond, request.burstRequests ? minPart : m_options.minPerSecond);
    auto interval = Duration(static_cast<Duration::rep>(std::micro::den / perSecond));
    // A new entry starts without a burst: another instance may have held the server's permits a moment ago.
    auto& nextDue = m_nextDue.try_emplace(request.server, now + request.startDelay).first->second;
    auto burst = request.burstRequests ? interval * *request.burstRequests
                                       : std::max(m_options.burst, interval * m_options.burstRequests);
    auto due = std::max(nextDue, now - burst);
    auto wait = std::max(Duration::zero(), due - now);
    if (wait > request.maxWait)
        return { false, wait };
    nextDue = due + interval;
    return { true, wait };
}

PermitRequest ownShare(PermitRequest request, std::size_t instances, double phase)
{
    request.perSecond /= static_cast<double>(std::max<std::size_t>(1, instances));
    if (request.burstRequests) {
        request.burstRequests = 0;
        request.startDelay = Duration(static_cast<Duration::rep>(std::micro::den / request.perSecond * phase));
    }
    return request;
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
