#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>

namespace acaciagauge {

StoreSources::StoreSources(Options options, InstanceId self, DomainId domain)
    : m_options(options)
    , m_self(std::move(self))
    , m_domain(std::move(domain))
    , m_ownDomainOrder { m_self }
{
}

StoreSources StoreSources::create(Options options, InstanceId self, DomainId domain)
{
    return { options, std::move(self), std::move(domain) };
}

void StoreSources::setPeers(std::vector<Peer> peers)
{
    std::vector<InstanceId> ownDomain { m_self };
    std::vector<InstanceId> otherDomains;
    m_peers.clear();
    for (auto& it : peers) {
        if (it.id == m_self)
            continue;
        (it.domain == m_domain ? ownDomain : otherDomains).push_back(it.id);
        m_peers[it.id] = std::move(it);
    }
    m_ownDomainOrder = rendezvousOrder(m_domain, std::move(ownDomain));
    m_otherDomainOrder = rendezvousOrder(m_self, std::move(otherDomains));
}

bool StoreSources::isSuspect(const InstanceId& id, TimePoint now) const
{
    auto it = m_suspectUntil.find(id);
    return it != m_suspectUntil.end() && now < it->second;
}

void StoreSources::suspect(const InstanceId& id, TimePoint now)
{
    std::erase_if(m_suspectUntil, [now](const auto& it) { return now >= it.second; });
    m_suspectUntil[id] = now + m_options.suspicionTime;
}

bool StoreSources::isUsable(const Peer& peer, const InstanceId& sourceOfPeer, TimePoint now) const
{
    if (sourceOfPeer.empty())
        return true;
    return sourceOfPeer != m_self && (peer.domain != m_domain || isSuspect(m_self, now));
}

std::vector<InstanceId> StoreSources::unsuspected(
    const std::vector<InstanceId>& order, std::size_t limit, TimePoint now) const
{
    std::vector<InstanceId> found;
    for (std::size_t n = 0; n < std::min(limit, order.size()); ++n) {
        if (!isSuspect(order[n], now))
            found.push_back(order[n]);
    }
    return found;
}

std::optional<StoreSources::Peer> StoreSources::pick(TimePoint now) const
{
    auto watcherCount = 1 + (m_ownDomainOrder.size() - 1) / std::max<std::size_t>(1, m_options.followersPerWatcher);
    auto watchers = unsuspected(m_ownDomainOrder, watcherCount + m_options.spareCount, now);
    watchers.resize(std::min(watchers.size(), watcherCount));
    bool isWatcher = std::find(watchers.begin(), watchers.end(), m_self) != watchers.end();
    if (isWatcher)
        return std::nullopt;
    if (!watchers.empty())
        return m_peers.at(rendezvousOrder(m_self, watchers).front());
    auto otherDomains = unsuspected(m_otherDomainOrder, m_options.spareCount, now);
    return otherDomains.empty() ? std::nullopt : std::optional(m_peers.at(otherDomains.front()));
}

} // namespace acaciagauge
