#include "acaciagauge/acaciagauge.hpp"

namespace acaciagauge {

std::set<std::uint32_t> HomeKeeper::ownPartitions(
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

Epoch HomeKeeper::confirmedEpoch(const HomeMap& known) const
{
    auto it = known.epochs.find(m_domain);
    return it == known.epochs.end() ? 0 : it->second;
}

std::optional<HomeMap> HomeKeeper::nextWrite(
    const ServiceSpec& service, const HomeMap* known, const std::set<DomainId>& lostDomains, const Situation& situation)
{
    auto wished = planHomes(service, known, lostDomains);
    if (wished.domains.empty())
        return std::nullopt;
    HomeMap next = known ? *known : wished;
    if (known && confirmedEpoch(*known) > situation.epoch)
        return std::nullopt;
    bool isConfirmed = known && confirmedEpoch(*known) == situation.epoch;
    auto& giving = m_giving[service.name];
    // An unanswered gift that is not wished any more is settled by writing the map anew.
    bool changes = !isConfirmed || !giving.empty();
    if (isConfirmed && situation.isSettled) {
        next.domains = wished.domains;
        for (std::uint32_t n = 0; n < service.partitions; ++n) {
            bool gives = known->homeOf(n) == m_domain && wished.homeOf(n) != m_domain;
            if (!gives || situation.holds(n))
                continue;
            next.homes[n] = wished.homes[n];
            giving.insert(n);
            changes = true;
        }
    }
    if (!changes)
        return std::nullopt;
    ++next.version;
    next.epochs[m_domain] = situation.epoch;
    return next;
}

} // namespace acaciagauge
