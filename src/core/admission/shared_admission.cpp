#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace acaciagauge {

namespace {

    /// Weight of the newest measurement in moving averages.
    constexpr double newestWeight = 0.15;

    /// A server is stuck after this many service times without a completion: the longest requests take about as long.
    constexpr int stuckServiceTimes = 4;

    /// A stuck server gets another request while no more than this are in flight, so that its recovery is noticed.
    constexpr std::size_t maxInFlightForProbe = 1;

    /// A kind goes first if a less urgent one is served more often by this much: the counts vary by chance.
    constexpr double minShareLead = 0.03;

    /// Offered requests of a kind below which its share says nothing.
    constexpr double minOffered = 3;

    /// A request is refused unserved only if this part of its expected wait exceeds its limit: service times vary, and
    /// a refused request that comes back has lost its place.
    constexpr double waitTolerance = 0.75;

    /// With so many silent coordinators in a domain, it is probably cut off: further ones are not tried, since each
    /// costs requests their wait.
    constexpr std::size_t maxSuspectedInDomain = 4;

    Duration toDuration(double micros)
    {
        return Duration(static_cast<Duration::rep>(micros));
    }

    double toMicros(Duration duration)
    {
        return static_cast<double>(duration.count());
    }

} // namespace

void SharedAdmission::setServers(const std::vector<Server>& servers)
{
    std::set<ServerId> present;
    for (const auto& it : servers) {
        present.insert(it.id);
        m_servers[it.id].server = it;
    }
    std::erase_if(m_servers, [&](const auto& it) { return !present.contains(it.first); });
}

std::size_t SharedAdmission::inFlight() const
{
    std::size_t n = 0;
    for (const auto& it : m_servers)
        n += it.second.inFlight.size();
    return n;
}

double SharedAdmission::slowdownOf(const State& state, TimePoint now) const
{
    return now - state.slowdownAt < m_options.slowdownLifetime ? state.slowdown : 1.0;
}

Duration SharedAdmission::serviceTime(const State& state, TimePoint now) const
{
    auto usual = state.serviceMicros > 0 ? toDuration(state.serviceMicros) : m_options.initialServiceTime;
    auto delay = toDuration(toMicros(usual) * std::max(0.0, slowdownOf(state, now) - 1));
    return usual + std::min(delay, m_options.maxSlowdownDelay);
}

Duration SharedAdmission::serviceTime(const ServerId& server, TimePoint now) const
{
    auto it = m_servers.find(server);
    return it == m_servers.end() ? m_options.initialServiceTime : serviceTime(it->second, now);
}

double SharedAdmission::unknownInFlight(const State& state, TimePoint now) const
{
    auto age = toMicros(now - state.reportedAt);
    return state.unknownInFlight * std::clamp(1.0 - age / toMicros(m_options.reportLifetime), 0.0, 1.0);
}

bool SharedAdmission::isStuck(const State& state, TimePoint now) const
{
    if (state.inFlight.empty())
        return false;
    auto since = std::max(state.lastCompletion, state.inFlight.begin()->second.admittedAt);
    return now - since > std::max(m_options.stuckAfter, serviceTime(state, now) * stuckServiceTimes);
}

bool SharedAdmission::hasFreeSlot(const State& state, TimePoint now) const
{
    if (now < state.pausedUntil)
        return false;
    if (isStuck(state, now))
        return state.inFlight.size() <= maxInFlightForProbe;
    // An unknown request counts until half of its report has faded.
    auto unknown = std::floor(unknownInFlight(state, now) + 0.5);
    return static_cast<double>(state.inFlight.size()) + unknown < state.server.slots + m_options.extraInFlight;
}

SharedAdmission::Estimate SharedAdmission::estimate(TimePoint now) const
{
    Estimate estimate;
    double slots = 0;
    double service = 0;
    auto first = Duration::max();
    for (const auto& it : m_servers) {
        const auto& state = it.second;
        if (isStuck(state, now))
            continue;
        auto expected = serviceTime(state, now);
        slots += state.server.slots;
        service += toMicros(expected) * state.server.slots;
        estimate.perMicro += state.server.slots / std::max(1.0, toMicros(expected));
        auto pause = std::max(Duration::zero(), state.pausedUntil - now);
        if (hasFreeSlot(state, now))
            first = Duration::zero();
        // The remaining time varies: a request that takes longer than expected ends soon, but not at once.
        for (const auto& lease : state.inFlight)
            first = std::min(first, std::max({ lease.second.admittedAt + expected - now, expected / 4, pause }));
        if (state.inFlight.empty())
            first = std::min(first, std::max(pause, m_options.reportLifetime / 4));
    }
    if (slots > 0)
        estimate.service = toDuration(service / slots);
    estimate.first = first;
    return estimate;
}

TimePoint SharedAdmission::waitLimitEnd(const Waiting& waiting, Duration service) const
{
    // A late response is worth more to a caller than a refusal: one that comes back cannot meet its target either.
    const auto& request = waiting.request;
    return std::min(request.waitLimitEnd, request.deadline - service);
}

void SharedAdmission::decayCounts(TimePoint now)
{
    auto factor = std::exp(-toMicros(now - m_countsAt) / toMicros(m_options.fairnessWindow));
    m_countsAt = now;
    for (auto& it : m_kinds) {
        it.second.offered *= factor;
        it.second.admitted *= factor;
    }
}

void SharedAdmission::offer(std::uint64_t id, Request request, TimePoint now)
{
    decayCounts(now);
    ++m_kinds[request.priority].offered;
    m_waiting[id] = { std::move(request), now };
}

std::set<unsigned> SharedAdmission::underservedKinds() const
{
    Kind all;
    for (const auto& it : m_kinds) {
        all.offered += it.second.offered;
        all.admitted += it.second.admitted;
    }
    std::set<unsigned> kinds;
    double bestLessUrgent = 0;
    for (auto it = m_kinds.rbegin(); it != m_kinds.rend(); ++it) {
        if (it->second.offered < minOffered)
            continue;
        auto share = it->second.share();
        if (share < m_options.minServedShare * all.share() || share + minShareLead < bestLessUrgent)
            kinds.insert(it->first);
        bestLessUrgent = std::max(bestLessUrgent, share);
    }
    return kinds;
}

std::vector<std::uint64_t> SharedAdmission::queueOrder(const Estimate& estimate, TimePoint now) const
{
    auto underserved = underservedKinds();
    using Rank = std::tuple<bool, bool, unsigned, std::uint64_t>;
    std::vector<Rank> ranks;
    ranks.reserve(m_waiting.size());
    for (const auto& it : m_waiting) {
        const auto& request = it.second.request;
        ranks.emplace_back(!underserved.contains(request.priority), now + estimate.service > request.target,
            request.priority, it.first);
    }
    std::sort(ranks.begin(), ranks.end());
    std::vector<std::uint64_t> order;
    order.reserve(ranks.size());
    for (const auto& it : ranks)
        order.push_back(std::get<std::uint64_t>(it));
    return order;
}

std::optional<ServerId> SharedAdmission::select(const Request& request, TimePoint now) const
{
    std::vector<FreeServer> free;
    for (const auto& it : m_servers) {
        if (!hasFreeSlot(it.second, now))
            continue;
        bool isDiscouraged
            = it.second.server.isDiscouraged || request.avoided.contains(it.first) || isStuck(it.second, now);
        free.push_back({ it.first, serviceTime(it.second, now), isDiscouraged });
    }
    if (free.empty())
        return std::nullopt;
    if (m_options.select)
        return free[m_options.select(free)].id;
    auto best = std::min_element(free.begin(), free.end(), [](const auto& a, const auto& b) {
        return std::tie(a.isDiscouraged, a.expected) < std::tie(b.isDiscouraged, b.expected);
    });
    return best->id;
}

void SharedAdmission::expireLeases(TimePoint now)
{
    for (auto& it : m_servers)
        std::erase_if(it.second.inFlight, [&](const auto& lease) { return now >= lease.second.expiresAt; });
}

std::vector<SharedAdmission::Decision> SharedAdmission::decide(TimePoint now)
{
    std::vector<Decision> decisions;
    if (m_waiting.empty())
        return decisions;
    expireLeases(now);
    decayCounts(now);
    auto expected = estimate(now);
    auto order = queueOrder(expected, now);
    auto underserved = underservedKinds();
    // More urgent requests that arrive later go first: only this part of the slots is left for a kind.
    auto partLeftFor = [&](unsigned priority) {
        constexpr double minPart = 0.5;
        double urgent = 0;
        for (const auto& it : m_kinds)
            urgent += it.first < priority ? it.second.admitted / toMicros(m_options.fairnessWindow) : 0;
        return underserved.contains(priority) ? 1.0 : std::max(minPart, 1 - urgent / expected.perMicro);
    };
    std::size_t ahead = 0;
    bool hasFree = true;
    for (auto id : order) {
        auto it = m_waiting.find(id);
        const auto& request = it->second.request;
        bool isUseful = now < request.deadline;
        auto server = hasFree && isUseful ? select(request, now) : std::nullopt;
        if (server) {
            auto& state = m_servers.at(*server);
            state.inFlight[id] = { now, request.deadline, slowdownOf(state, now) };
            ++m_kinds[request.priority].admitted;
            decisions.push_back({ id, true, *server, {} });
            m_waiting.erase(it);
            continue;
        }
        if (hasFree && isUseful) {
            hasFree = false;
            expected = estimate(now);
        }
        // With no server that completes requests, nothing can be said about when one is free.
        auto wait = m_options.stuckAfter;
        if (expected.perMicro > 0) {
            auto queued = toMicros(expected.first) + static_cast<double>(ahead) / expected.perMicro;
            wait = toDuration(queued / partLeftFor(request.priority));
        }
        bool isServedInTime = expected.perMicro > 0
            && now + toDuration(toMicros(wait) * waitTolerance) <= waitLimitEnd(it->second, expected.service);
        if (isServedInTime && ahead < m_options.maxWaiting) {
            ++ahead;
            continue;
        }
        decisions.push_back({ id, false, {}, wait });
        m_waiting.erase(it);
    }
    return decisions;
}

void SharedAdmission::measureServiceTime(State& state, const Lease& lease, const AdmissionResult& result, TimePoint now)
{
    // The machine's slowdown may have begun or ended while the request ran.
    auto slowdown = std::max(0.1, (lease.slowdown + result.slowdown) / 2);
    auto load = static_cast<double>(state.inFlight.size()) + unknownInFlight(state, now) + 1;
    auto rounds = std::max(1.0, load / std::max(1U, state.server.slots));
    auto micros = toMicros(result.responseTime) / slowdown / rounds;
    state.serviceMicros
        = state.serviceMicros > 0 ? state.serviceMicros * (1 - newestWeight) + micros * newestWeight : micros;
}

void SharedAdmission::ended(const ServerId& server, std::uint64_t id, const AdmissionResult& result, TimePoint now)
{
    auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    auto& state = found->second;
    // The report may count the request that it answers: otherwise a slot would seem to be taken after each response.
    auto known = static_cast<double>(state.inFlight.size());
    auto lease = state.inFlight.extract(id);
    if (result.reportedLoad) {
        state.unknownInFlight = std::max(0.0, static_cast<double>(*result.reportedLoad) - known);
        state.reportedAt = now;
        state.slowdown = result.slowdown;
        state.slowdownAt = now;
    }
    bool isCompletion = result.end == AdmissionEnd::ran || result.end == AdmissionEnd::shed;
    if (isCompletion)
        state.lastCompletion = now;
    if (result.end == AdmissionEnd::shed)
        state.pausedUntil = std::max(state.pausedUntil, now + m_options.shedBackoff);
    if (result.end == AdmissionEnd::unreachable)
        state.pausedUntil = std::max(state.pausedUntil, now + m_options.unreachableBackoff);
    if (result.retryAfter > Duration::zero())
        state.pausedUntil = std::max(state.pausedUntil, now + result.retryAfter);
    if (result.end == AdmissionEnd::ran && !lease.empty())
        measureServiceTime(state, lease.mapped(), result, now);
}

std::optional<TimePoint> SharedAdmission::nextDue(TimePoint now) const
{
    if (m_waiting.empty())
        return std::nullopt;
    // Polls, because capacity can appear without an event here: reported loads fade, pauses and admissions end.
    constexpr auto recheck = std::chrono::milliseconds(20);
    return now + recheck;
}

void AdmissionCoordinators::setMembers(std::map<InstanceId, CoordinatorCandidate> members)
{
    m_members = std::move(members);
    m_orders.clear();
}

std::optional<InstanceId> AdmissionCoordinators::coordinatorOf(
    const std::string& subject, const DomainId& domain, TimePoint now)
{
    auto known = m_orders.find(subject);
    if (known == m_orders.end()) {
        std::map<InstanceId, double> ownDomain;
        std::map<InstanceId, double> otherDomains;
        for (const auto& it : m_members)
            (it.second.domain == domain ? ownDomain : otherDomains)[it.first] = it.second.weight;
        auto order = weightedRendezvousOrder(subject, ownDomain);
        auto others = weightedRendezvousOrder(subject, otherDomains);
        order.insert(order.end(), others.begin(), others.end());
        known = m_orders.emplace(subject, std::move(order)).first;
    }
    std::size_t suspectedInDomain = 0;
    for (const auto& it : known->second) {
        auto suspected = m_suspectUntil.find(it);
        if (suspected == m_suspectUntil.end() || now >= suspected->second)
            return it;
        suspectedInDomain += m_members.at(it).domain == domain;
        if (suspectedInDomain >= maxSuspectedInDomain)
            return std::nullopt;
    }
    return std::nullopt;
}

bool AdmissionCoordinators::suspect(const InstanceId& id, TimePoint now)
{
    auto& until = m_suspectUntil[id];
    bool isNew = now >= until;
    until = now + m_options.suspicionTime;
    return isNew;
}

} // namespace acaciagauge
