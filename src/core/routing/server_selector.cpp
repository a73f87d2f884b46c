#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>

namespace acaciagauge {

namespace {

    /// Part of a report that still holds after its age; cheap, since it is computed for every candidate.
    double freshness(Duration age, Duration lifetime)
    {
        return static_cast<double>(lifetime.count()) / static_cast<double>(lifetime.count() + age.count());
    }

} // namespace

double ServerSelector::serviceMicros(const Candidate& candidate) const
{
    auto micros = std::max(1.0, static_cast<double>(candidate.serviceTime.count()));
    if (candidate.slowdown != 1)
        micros *= 1 + (candidate.slowdown - 1) * freshness(candidate.slowdownAge, m_options.slowdownLifetime);
    return candidate.isCold ? micros * m_options.coldFactor : micros;
}

double ServerSelector::load(const Candidate& candidate) const
{
    auto mean = (candidate.isLocal ? m_localMean : m_remoteMean) * candidate.slots;
    if (candidate.reportedOthers == mean)
        return candidate.ownInFlight + mean;
    auto fresh = freshness(candidate.reportAge, m_options.loadLifetime);
    return candidate.ownInFlight + candidate.reportedOthers * fresh + mean * (1 - fresh);
}

double ServerSelector::waitMicros(const Candidate& candidate) const
{
    auto rounds = std::max(0.0, load(candidate) + 1 - candidate.slots) / candidate.slots;
    return serviceMicros(candidate) * rounds + static_cast<double>(candidate.permitWait.count());
}

double ServerSelector::cost(const Candidate& candidate, const Request& request) const
{
    auto crossDomain = request.hasLargeResponses ? m_options.largeResponseFactor : m_options.crossDomainFactor;
    auto factor = candidate.isLocal ? 1 : crossDomain;
    if (request.knowledge == Knowledge::onlyChooser) {
        auto excess = load(candidate) + 1 - candidate.slots;
        auto rounds = excess > 0 ? excess / candidate.slots : 0;
        auto permitWait = static_cast<double>(candidate.permitWait.count());
        return (serviceMicros(candidate) * (1 + rounds * m_options.waitWeight) + permitWait * m_options.waitWeight)
            * factor;
    }
    // The draw has taken the speed into account already. Taking it into account again would overload fast servers.
    auto permitRounds = static_cast<double>(candidate.permitWait.count()) / serviceMicros(candidate);
    return ((load(candidate) + 1) / candidate.slots + permitRounds) * factor;
}

template <typename Filter>
std::optional<std::size_t> ServerSelector::best(
    std::span<const Candidate> candidates, const Request& request, Filter filter)
{
    std::optional<std::size_t> best;
    double bestCost = 0;
    auto offer = [&](std::size_t index) {
        auto itsCost = cost(candidates[index], request);
        if (!best || itsCost < bestCost) {
            best = index;
            bestCost = itsCost;
        }
    };
    if (request.knowledge == Knowledge::onlyChooser) {
        for (std::size_t n = 0; n < candidates.size(); ++n) {
            if (filter(candidates[n]))
                offer(n);
        }
        return best;
    }
    double sum = 0;
    m_cumulated.resize(candidates.size());
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        if (filter(candidates[n]))
            sum += candidates[n].slots / serviceMicros(candidates[n]);
        m_cumulated[n] = sum;
    }
    auto choices = request.knowledge == Knowledge::sharedReports ? m_options.sharedChoices : m_options.choices;
    for (unsigned draw = 0; draw < choices && sum > 0; ++draw) {
        auto at = static_cast<double>(m_random() >> 11U) * 0x1p-53 * sum;
        auto found = std::upper_bound(m_cumulated.begin(), m_cumulated.end(), at);
        if (found != m_cumulated.end())
            offer(static_cast<std::size_t>(found - m_cumulated.begin()));
    }
    return best;
}

std::optional<std::size_t> ServerSelector::select(std::span<const Candidate> candidates, const Request& request)
{
    bool hasUsable = std::any_of(candidates.begin(), candidates.end(), [](const auto& it) { return !it.isAvoided; });
    // Where nobody else chooses, a report of others' requests fades to none.
    auto meanOthers = [&](bool isLocal) {
        double others = 0;
        double slots = 0;
        if (request.knowledge == Knowledge::onlyChooser)
            return others;
        for (const auto& it : candidates) {
            if (it.isLocal != isLocal)
                continue;
            auto fresh = freshness(it.reportAge, m_options.loadLifetime);
            others += it.reportedOthers * fresh;
            slots += it.slots * fresh;
        }
        return slots > 0 ? others / slots : 0;
    };
    m_localMean = meanOthers(true);
    auto isUsable = [&](const Candidate& it) { return !it.isAvoided || !hasUsable; };
    auto local = best(candidates, request, [&](const Candidate& it) { return isUsable(it) && it.isLocal; });
    if (local) {
        const auto& found = candidates[*local];
        auto fraction = request.hasLargeResponses ? m_options.largeResponseSpillFraction : m_options.spillFraction;
        auto allowed = static_cast<double>(request.timeToTarget.count()) * fraction;
        // A server that is slow now but has a free slot is no reason to leave the domain: only a wait is.
        if (waitMicros(found) <= 0 || serviceMicros(found) + waitMicros(found) <= allowed)
            return local;
    }
    m_remoteMean = meanOthers(false);
    auto remote = best(candidates, request, [&](const Candidate& it) { return isUsable(it) && !it.isLocal; });
    if (!local || !remote)
        return local ? local : remote;
    return cost(candidates[*remote], request) < cost(candidates[*local], request) ? remote : local;
}

} // namespace acaciagauge
