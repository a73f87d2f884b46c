#include "entry/upstreams.hpp"

#include "daemon/async.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace acaciagauge::entry {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

    /// A server that was silent is left alone this long, twice as long after each further silence.
    constexpr auto firstPause = std::chrono::milliseconds(250);
    constexpr auto longestPause = std::chrono::milliseconds(2000);

    /// A server of another failure domain is chosen if the near ones are busier by this factor: its bytes cost more.
    constexpr double farFactor = 1.35;

    /// A server that has just started is slower by about this factor.
    constexpr double coldFactor = 2.0;

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
    ServerGate::Options options;
    options.slots = std::max(1U, server.entry.slots);
    return m_upstreams.emplace(server.entry.run.id, Upstream { ServerGate::create(options), {}, 0, {}, false, {} })
        .first->second;
}

bool Upstreams::isReachable(const ServerRun& run) const
{
    auto it = m_upstreams.find(run.id);
    if (it == m_upstreams.end())
        return true;
    return monotonicNow() >= it->second.leftAloneUntil && it->second.replacedRun != run;
}

void Upstreams::noteReplaced(const ServerRun& run)
{
    auto it = m_upstreams.find(run.id);
    if (it != m_upstreams.end())
        it->second.replacedRun = run;
}

void Upstreams::noteSilence(const ServerId& server)
{
    auto it = m_upstreams.find(server);
    if (it == m_upstreams.end())
        return;
    auto pause = std::min<Duration>(longestPause, firstPause * (1U << std::min(it->second.silences, 4U)));
    ++it->second.silences;
    it->second.leftAloneUntil = monotonicNow() + pause;
}

Duration Upstreams::expectedTime(const ServerId& server) const
{
    auto it = m_upstreams.find(server);
    return it == m_upstreams.end() ? ServerGate::Options().firstServiceTime
                                   : it->second.gate.expectedTime(monotonicNow());
}

double Upstreams::cost(const KnownServer& server, TimePoint now)
{
    auto& upstream = upstreamOf(server);
    constexpr double stuckFactor = 100;
    auto cost = static_cast<double>(upstream.gate.expectedTime(now).count());
    if (upstream.gate.isStuck(now))
        cost *= stuckFactor;
    // A server with a free slot is still better the less it does.
    cost *= 1.0 + 0.1 * (static_cast<double>(upstream.gate.inFlight()) + upstream.gate.othersInFlight(now));
    if (server.entry.domain != m_domain)
        cost *= farFactor;
    if (now < server.listedAt + server.entry.coldLeft)
        cost *= coldFactor;
    return cost;
}

const KnownServer* Upstreams::choose(const ServiceName& service, const std::set<ServerId>& avoid)
{
    auto now = monotonicNow();
    const KnownServer* best = nullptr;
    double bestCost = 0;
    // Alike servers are taken in turn by chance, or all instances would choose the same.
    std::uniform_real_distribution<double> jitter(0.9, 1.1);
    for (const auto* it : m_catalog.readyServers(service)) {
        constexpr double lastResort = 1000;
        auto expected = cost(*it, now) * jitter(m_random);
        if (!isReachable(it->entry.run) || avoid.contains(it->entry.run.id))
            expected *= lastResort;
        if (!best || expected < bestCost) {
            best = it;
            bestCost = expected;
        }
    }
    return best;
}

awaitable<std::optional<std::uint64_t>> Upstreams::admit(
    const KnownServer& server, ServerGate::Work work, std::shared_ptr<net::Cancellation> cancellation)
{
    auto id = server.entry.run.id;
    auto number = ++m_lastWork;
    {
        auto& upstream = upstreamOf(server);
        auto verdict = upstream.gate.offer(number, work, monotonicNow());
        if (verdict == ServerGate::Verdict::send)
            co_return number;
        if (verdict == ServerGate::Verdict::refuse)
            co_return std::nullopt;
        upstream.waiters[number] = std::make_shared<Waiter>(m_context);
        if (!upstream.isRechecking)
            asio::co_spawn(m_context, recheck(id), asio::detached);
    }
    auto waiter = m_upstreams.at(id).waiters.at(number);
    waiter->timer.expires_at(std::chrono::steady_clock::time_point(work.deadline));
    auto registered = cancellation->add([waiter] { waiter->timer.cancel(); });
    boost::system::error_code ec;
    co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    cancellation->remove(registered);
    auto upstream = m_upstreams.find(id);
    if (upstream == m_upstreams.end())
        co_return std::nullopt;
    upstream->second.waiters.erase(number);
    if (waiter->isSent)
        co_return *waiter->isSent ? std::optional(number) : std::nullopt;
    upstream->second.gate.withdraw(number);
    co_return std::nullopt;
}

void Upstreams::wake(Upstream& upstream)
{
    for (const auto& it : upstream.gate.next(monotonicNow())) {
        auto waiter = upstream.waiters.find(it.id);
        if (waiter == upstream.waiters.end())
            continue;
        waiter->second->isSent = it.isSent;
        waiter->second->timer.cancel();
    }
}

awaitable<void> Upstreams::recheck(ServerId id)
{
    m_upstreams.at(id).isRechecking = true;
    while (true) {
        auto it = m_upstreams.find(id);
        if (it == m_upstreams.end())
            co_return;
        auto now = monotonicNow();
        auto due = it->second.gate.nextDue(now);
        if (!due) {
            it->second.isRechecking = false;
            co_return;
        }
        co_await daemon::sleepFor(m_context, *due - now);
        it = m_upstreams.find(id);
        if (it != m_upstreams.end())
            wake(it->second);
    }
}

void Upstreams::ended(const ServerId& server, std::uint64_t work, const ServerGate::Ended& ended)
{
    auto it = m_upstreams.find(server);
    if (it == m_upstreams.end())
        return;
    if (ended.ran || ended.shed || ended.statedLoad) {
        it->second.silences = 0;
        it->second.leftAloneUntil = {};
    }
    auto time = it->second.gate.ended(work, ended, monotonicNow());
    if (time) {
        ++m_times[server].requests;
        m_times[server].total += *time;
    }
    wake(it->second);
}

std::map<ServerId, ServiceTimes> Upstreams::takeTimes()
{
    auto times = std::move(m_times);
    m_times.clear();
    return times;
}

void Upstreams::prune()
{
    std::erase_if(m_upstreams, [this](const auto& it) {
        bool isBusy = it.second.gate.inFlight() > 0 || !it.second.waiters.empty() || it.second.isRechecking;
        return !isBusy && !m_catalog.servers().find(it.first);
    });
}

} // namespace acaciagauge::entry
