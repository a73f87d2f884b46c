#include "acaciagauge/acaciagauge.hpp"

namespace acaciagauge {

std::set<std::uint32_t> HomeAssigner::assignablePartitions(
    const ServiceSpec& service, const HomeMap& known, const std::set<DomainId>& lostDomains) const
{
    auto desired = planHomes(service, &known, lostDomains);
    auto transfers = m_transfers.find(service.name);
    std::set<std::uint32_t> own;
    for (std::uint32_t n = 0; n < service.partitions; ++n) {
        bool isTransferred = transfers != m_transfers.end() && transfers->second.contains(n);
        if (known.homeOf(n) == m_domain && desired.homeOf(n) == m_domain && !isTransferred)
            own.insert(n);
    }
    return own;
}

Epoch HomeAssigner::confirmedEpoch(const HomeMap& known) const
{
    auto it = known.epochs.find(m_domain);
    return it == known.epochs.end() ? 0 : it->second;
}

std::optional<HomeMap> HomeAssigner::nextWrite(const ServiceSpec& service, const HomeMap* known,
    const std::set<DomainId>& lostDomains, const ControllerState& state)
{
    auto desired = planHomes(service, known, lostDomains);
    if (desired.domains.empty())
        return std::nullopt;
    HomeMap next = known ? *known : desired;
    if (known && confirmedEpoch(*known) > state.epoch)
        return std::nullopt;
    bool isConfirmed = known && confirmedEpoch(*known) == state.epoch;
    auto& transfers = m_transfers[service.name];
    // Writing the map again, with a new version, resolves a transfer with an unknown outcome that is no longer desired.
    bool changes = !isConfirmed || !transfers.empty();
    if (isConfirmed && state.isSettled) {
        next.domains = desired.domains;
        for (std::uint32_t n = 0; n < service.partitions; ++n) {
            bool leaves = known->homeOf(n) == m_domain && desired.homeOf(n) != m_domain;
            if (!leaves || state.isRecorded(n))
                continue;
            next.homes[n] = desired.homes[n];
            transfers.insert(n);
            changes = true;
        }
    }
    if (!changes)
        return std::nullopt;
    ++next.version;
    next.epochs[m_domain] = state.epoch;
    return next;
}

} // namespace acaciagauge
