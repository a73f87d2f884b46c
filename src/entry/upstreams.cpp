#include "entry/upstreams.hpp"

#include "daemon/async.hpp"
#include "daemon/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace acaciagauge::entry {

namespace asio = boost::asio;
using asio::awaitable;
using daemon::logEvent;
using daemon::LogEvent;
using daemon::LogLevel;

namespace {

    /// Backoff of an unreachable server; doubles with each further failure.
    constexpr auto initialBackoff = std::chrono::milliseconds(250);
    constexpr auto maxBackoff = std::chrono::milliseconds(2000);

    /// Cost factor of a server in another failure domain, since traffic between domains costs more: such a server is
    /// chosen only if the servers of this domain are busier by this factor.
    constexpr double crossDomainFactor = 1.35;

    /// Cost factor of a cold server: it is slower by about this factor.
    constexpr double warmupFactor = 2.0;

} // namespace

Upstreams::Upstreams(asio::io_context& context, DomainId domain, Catalog& catalog)
    : m_context(context)
    , m_domain(std::move(domain))
    , m_catalog(catalog)
{
}

Upstreams::Upstream& Upstreams::upstreamOf(const KnownServer& server)
{
    auto it = m_upstreams.find(server.entry.run.id);
    if (it != m_upstreams.end())
        return it->second;
    ConcurrencyLimiter::Options options;
    options.slots = std::max(1U, server.entry.slots);
    return m_upstreams
        .emplace(
            server.entry.run.id, Upstream { ConcurrencyLimiter::create(options), {}, 0, {}, false, {}, {}, {}, 1, {} })
        .first->second;
}

bool Upstreams::isReachable(const ServerRun& run) const
{
    auto it = m_upstreams.find(run.id);
    if (it == m_upstreams.end())
        return true;
    return monotonicNow() >= it->second.backoffUntil && it->second.replacedRun != run;
}

void Upstreams::noteReplaced(const ServerRun& run)
{
    auto it = m_upstreams.find(run.id);
    if (it != m_upstreams.end())
        it->second.replacedRun = run;
}

void Upstreams::noteUnreachable(const ServerId& server)
{
    auto it = m_upstreams.find(server);
    if (it == m_upstreams.end())
        return;
    auto backoff
        = std::min<Duration>(maxBackoff, initialBackoff * (1U << std::min(it->second.consecutiveFailures, 4U)));
    ++it->second.consecutiveFailures;
    it->second.backoffUntil = monotonicNow() + backoff;
}

void Upstreams::noteRateLimit(const ServerId& server, std::optional<double> perSecond)
{
    if (perSecond)
        m_statedLimits[server] = *perSecond;
    auto it = m_upstreams.find(server);
    if (it == m_upstreams.end() || it->second.rateLimit == perSecond)
        return;
    it->second.rateLimit = perSecond;
    it->second.nextPermitAt = {};
    logEvent(LogLevel::info, LogEvent::serverLimit,
        { { "server", server }, { "perSecond", perSecond ? std::to_string(*perSecond) : "" } });
}

std::optional<double> Upstreams::rateLimit(const ServerId& server) const
{
    auto it = m_upstreams.find(server);
    return it == m_upstreams.end() ? std::nullopt : it->second.rateLimit;
}

void Upstreams::noteNextPermit(const ServerId& server, Duration wait)
{
    auto it = m_upstreams.find(server);
    if (it != m_upstreams.end())
        it->second.nextPermitAt = monotonicNow() + wait;
}

bool Upstreams::isPaused(const ServerId& server) const
{
    auto it = m_upstreams.find(server);
    return it != m_upstreams.end() && it->second.limiter.isPaused(monotonicNow());
}

Duration Upstreams::expectedTime(const ServerId& server) const
{
    auto it = m_upstreams.find(server);
    return it == m_upstreams.end() ? ConcurrencyLimiter::Options().initialServiceTime
                                   : it->second.limiter.expectedResponseTime(monotonicNow());
}

double Upstreams::cost(const KnownServer& server, TimePoint now)
{
    auto& upstream = upstreamOf(server);
    constexpr double stuckFactor = 100;
    auto permitWait = std::max(Duration::zero(), upstream.nextPermitAt - now);
    auto cost = static_cast<double>((upstream.limiter.expectedResponseTime(now) + permitWait).count());
    if (upstream.limiter.isStuck(now))
        cost *= stuckFactor;
    // Among servers with free slots, those with less work are preferred.
    cost *= 1.0 + 0.1 * (static_cast<double>(upstream.limiter.inFlight()) + upstream.limiter.othersInFlight(now));
    if (server.entry.domain != m_domain)
        cost *= crossDomainFactor;
    if (now < server.warmUntil)
        cost *= warmupFactor;
    return cost;
}

// A server that this instance has sent nothing to gets no state: the state grows with the servers in use.
ServerSelector::Candidate Upstreams::candidate(const KnownServer& server, TimePoint now) const
{
    ServerSelector::Candidate candidate;
    candidate.slots = std::max(1U, server.entry.slots);
    candidate.serviceTime = ConcurrencyLimiter::Options().initialServiceTime;
    candidate.reportAge = std::chrono::hours(1);
    candidate.isLocal = server.entry.domain == m_domain;
    candidate.isCold = now < server.warmUntil;
    auto it = m_upstreams.find(server.entry.run.id);
    if (it == m_upstreams.end())
        return candidate;
    const auto& upstream = it->second;
    candidate.serviceTime = upstream.limiter.serviceTime();
    candidate.ownInFlight = static_cast<double>(upstream.limiter.inFlight() + upstream.limiter.waiting());
    candidate.reportedOthers = upstream.limiter.reportedOthers();
    candidate.reportAge = upstream.limiter.reportAge(now);
    candidate.slowdown = upstream.slowdown;
    candidate.slowdownAge = now - upstream.slowdownAt;
    candidate.permitWait = std::max(Duration::zero(), upstream.nextPermitAt - now);
    candidate.isAvoided
        = !isReachable(server.entry.run) || upstream.limiter.isStuck(now) || upstream.limiter.isPaused(now);
    return candidate;
}

void Upstreams::noteSlowdown(const ServerId& server, double slowdown)
{
    auto it = m_upstreams.find(server);
    if (it == m_upstreams.end())
        return;
    it->second.slowdown = slowdown;
    it->second.slowdownAt = monotonicNow();
}

const KnownServer* Upstreams::choose(const ServiceName& service, const std::set<ServerId>& avoid,
    SelectionPolicy policy, const ServerSelector::Request& request)
{
    auto now = monotonicNow();
    if (policy == SelectionPolicy::coordinated) {
        auto servers = m_catalog.readyServers(service);
        m_candidates.clear();
        for (const auto* it : servers) {
            m_candidates.push_back(candidate(*it, now));
            m_candidates.back().isAvoided |= avoid.contains(it->entry.run.id);
        }
        auto selected = m_selector.select(m_candidates, request);
        return selected ? servers[*selected] : nullptr;
    }
    const KnownServer* best = nullptr;
    double bestCost = 0;
    // Random jitter breaks ties: without it, all instances would choose the same server.
    std::uniform_real_distribution<double> jitter(0.9, 1.1);
    for (const auto* it : m_catalog.readyServers(service)) {
        constexpr double unavailableFactor = 1000;
        auto expected = cost(*it, now) * jitter(m_random);
        if (!isReachable(it->entry.run) || avoid.contains(it->entry.run.id))
            expected *= unavailableFactor;
        if (!best || expected < bestCost) {
            best = it;
            bestCost = expected;
        }
    }
    return best;
}

awaitable<std::optional<std::uint64_t>> Upstreams::admit(
    const KnownServer& server, ConcurrencyLimiter::Work work, std::shared_ptr<net::Cancellation> cancellation)
{
    auto id = server.entry.run.id;
    auto workId = ++m_lastWorkId;
    {
        auto& upstream = upstreamOf(server);
        auto verdict = upstream.limiter.offer(workId, work, monotonicNow());
        if (verdict == ConcurrencyLimiter::Verdict::send)
            co_return workId;
        if (verdict == ConcurrencyLimiter::Verdict::refuse)
            co_return std::nullopt;
        upstream.waiters[workId] = std::make_shared<Waiter>(m_context);
        if (!upstream.isWakeLoopRunning)
            asio::co_spawn(m_context, wakeLoop(id), asio::detached);
    }
    auto waiter = m_upstreams.at(id).waiters.at(workId);
    waiter->timer.expires_at(std::chrono::steady_clock::time_point(work.deadline));
    auto registered = cancellation->add([waiter] { waiter->timer.cancel(); });
    boost::system::error_code ec;
    co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    cancellation->remove(registered);
    auto upstream = m_upstreams.find(id);
    if (upstream == m_upstreams.end())
        co_return std::nullopt;
    upstream->second.waiters.erase(workId);
    if (waiter->isAdmitted)
        co_return *waiter->isAdmitted ? std::optional(workId) : std::nullopt;
    upstream->second.limiter.withdraw(workId);
    co_return std::nullopt;
}

void Upstreams::wake(Upstream& upstream)
{
    for (const auto& it : upstream.limiter.dequeue(monotonicNow())) {
        auto waiter = upstream.waiters.find(it.id);
        if (waiter == upstream.waiters.end())
            continue;
        waiter->second->isAdmitted = it.isSent;
        waiter->second->timer.cancel();
    }
}

void Upstreams::refuseWaiting()
{
    for (auto& it : m_upstreams) {
        for (auto& waiter : it.second.waiters) {
            it.second.limiter.withdraw(waiter.first);
            waiter.second->isAdmitted = false;
            waiter.second->timer.cancel();
        }
    }
}

awaitable<void> Upstreams::wakeLoop(ServerId id)
{
    m_upstreams.at(id).isWakeLoopRunning = true;
    while (true) {
        auto it = m_upstreams.find(id);
        if (it == m_upstreams.end())
            co_return;
        auto now = monotonicNow();
        auto due = it->second.limiter.nextDue(now);
        if (!due) {
            it->second.isWakeLoopRunning = false;
            co_return;
        }
        co_await daemon::sleepFor(m_context, *due - now);
        it = m_upstreams.find(id);
        if (it != m_upstreams.end())
            wake(it->second);
    }
}

Duration Upstreams::waitLimit(const KnownServer& server, const ConcurrencyLimiter::Work& work)
{
    return upstreamOf(server).limiter.waitLimit(work, monotonicNow());
}

void Upstreams::complete(const ServerId& server, std::uint64_t workId, const ConcurrencyLimiter::Completion& ended)
{
    auto it = m_upstreams.find(server);
    if (it == m_upstreams.end())
        return;
    if (ended.ran || ended.shed || ended.reportedLoad) {
        it->second.consecutiveFailures = 0;
        it->second.backoffUntil = {};
    }
    auto time = it->second.limiter.finished(workId, ended, monotonicNow());
    if (time) {
        ++m_serviceTimes[server].requests;
        m_serviceTimes[server].total += *time;
    }
    wake(it->second);
}

void Upstreams::addServerReports(LoadReport& report)
{
    report.times = std::exchange(m_serviceTimes, {});
    report.rateLimits = std::exchange(m_statedLimits, {});
}

void Upstreams::prune()
{
    std::erase_if(m_upstreams, [this](const auto& it) {
        bool isBusy = it.second.limiter.inFlight() > 0 || it.second.limiter.isPaused(monotonicNow())
            || !it.second.waiters.empty() || it.second.isWakeLoopRunning;
        return !isBusy && !m_catalog.servers().find(it.first);
    });
}

} // namespace acaciagauge::entry
