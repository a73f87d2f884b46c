#include "acaciagauge/acaciagauge.hpp"

namespace acaciagauge {

std::set<std::uint32_t> HomeAssigner::assignablePartitions(
    const ServiceSpec& service, const HomeMap& known, const std::set<DomainId>& lostDomains) const
{
    auto wished = planHomes(service, &known, lostDomains);
    auto giving = m_giving.find(service.name);
    std::set<std::uint32_t> own;
    for (std::uint32_t n = 0; n < service.partitions; ++n) {
        bool isGiven = giving != m_giving.end() && giving->second.contains(n);
        if (known.homeOf(n) == m_domain && wished.homeOf(n) == m_domain && !isGiven)
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
    auto wished = planHomes(service, known, lostDomains);
    if (wished.domains.empty())
        return std::nullopt;
    HomeMap next = known ? *known : wished;
    if (known && confirmedEpoch(*known) > state.epoch)
        return std::nullopt;
    bool isConfirmed = known && confirmedEpoch(*known) == state.epoch;
    auto& giving = m_giving[service.name];
    // An unanswered gift that is not wished any more is settled by writing the map anew.
    bool changes = !isConfirmed || !giving.empty();
    if (isConfirmed && state.isSettled) {
        next.domains = wished.domains;
        for (std::uint32_t n = 0; n < service.partitions; ++n) {
            bool gives = known->homeOf(n) == m_domain && wished.homeOf(n) != m_domain;
            if (!gives || state.isRecorded(n))
                continue;
            next.homes[n] = wished.homes[n];
            giving.insert(n);
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
