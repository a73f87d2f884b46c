#include "entry/store_follower.hpp"

#include "daemon/async.hpp"
#include "daemon/log.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace acaciagauge::entry {

namespace asio = boost::asio;
using asio::awaitable;
using daemon::logEvent;
using daemon::LogEvent;
using daemon::LogLevel;
using ports::StoreStatus;

namespace {

    /// Longest wait of one watch, and of one question to a peer: the heartbeat by which a silent source is noticed.
    constexpr auto watchWait = std::chrono::milliseconds(500);

    /// A peer's knowledge that is older is not followed. Changes have to be in force within two seconds; a call to the
    /// store takes the rest.
    constexpr auto freshness = std::chrono::milliseconds(1250);

    /// Wait between two watches, or two questions to a peer. Each answer costs a call, however few events it brings.
    constexpr auto watchPause = std::chrono::milliseconds(80);

    /// Backoff after the first failed call, and its bound.
    constexpr auto firstBackoff = std::chrono::milliseconds(60);
    constexpr auto longestBackoff = std::chrono::milliseconds(600);

    /// Left of `freshness` when a watch ends: for its answer's way, and for the followers' questions that meet it.
    constexpr auto freshnessMargin = std::chrono::milliseconds(400);

    /// Least wait of a watch: below it, watches would be polls, each of which costs a call.
    constexpr auto shortestWatch = std::chrono::milliseconds(100);

} // namespace

StoreFollower::StoreFollower(
    asio::io_context& context, MemberRecord self, ports::StorePort store, Catalog& catalog, Hooks hooks)
    : m_context(context)
    , m_self(std::move(self))
    , m_store(std::move(store))
    , m_catalog(catalog)
    , m_hooks(std::move(hooks))
    , m_sources(StoreSources::create({}, m_self.id, m_self.domain))
    , m_freshness(StoreFreshness::create({ .shortestOutage = m_hooks.serverHeartbeat }))
{
}

void StoreFollower::start()
{
    asio::co_spawn(m_context, follow(), asio::detached);
    asio::co_spawn(m_context, settleLoop(), asio::detached);
}

Duration StoreFollower::age() const
{
    return bootNow() - m_freshness.confirmedAt();
}

// By the clock of the catalog; the first moment of all if the copy was never confirmed.
TimePoint StoreFollower::upToDateAt() const
{
    return m_freshness.confirmedAt() == TimePoint {} ? TimePoint {} : monotonicNow() - age();
}

// Changes may come at the end of a watch, and only its beginning is confirmed then.
std::chrono::milliseconds StoreFollower::watchWaitNow() const
{
    auto left = std::chrono::duration_cast<std::chrono::milliseconds>(freshness - freshnessMargin - age());
    return std::clamp(left, shortestWatch, watchWait);
}

void StoreFollower::noteFailure(StoreStatus status, TimePoint asked)
{
    logEvent(LogLevel::debug, LogEvent::storeCallFailed, { { "status", std::string(nameOf(status)) } });
    m_catalog.noteStore(m_freshness.noteFailure(asked));
    if (!m_catalog.isStoreAvailable())
        m_sources.suspect(m_self.id, monotonicNow());
}

// Instances that failed together must not come back in step.
std::chrono::microseconds StoreFollower::backoff()
{
    auto longest = std::min<std::chrono::microseconds>(
        longestBackoff, firstBackoff * (1U << std::min(m_freshness.failures(), 4U)));
    std::uniform_int_distribution<std::int64_t> jitter(longest.count() / 2, longest.count());
    return std::chrono::microseconds(jitter(m_random));
}

awaitable<bool> StoreFollower::reload()
{
    auto heardAfter = upToDateAt();
    auto asked = bootNow();
    auto reply = co_await m_store.readAll();
    if (reply.status != StoreStatus::done) {
        noteFailure(reply.status, asked);
        co_return false;
    }
    m_catalog.noteStore(m_freshness.confirmByStore(asked));
    m_catalog.apply(std::move(reply.delta), "store", heardAfter);
    m_isComplete = true;
    co_return true;
}

awaitable<bool> StoreFollower::watch(std::chrono::milliseconds wait)
{
    auto heardAfter = upToDateAt();
    auto asked = bootNow();
    auto after = m_catalog.mirror().at();
    auto reply = co_await m_store.watch(after, wait);
    // The whole store is watched, so each revision comes with a change: an answer that skips one hides something, as if
    // the history were gone.
    bool isSkipping = reply.status == StoreStatus::done && reply.delta.changes.empty() && reply.delta.at > after;
    if (isSkipping) {
        logEvent(LogLevel::warn, LogEvent::storeCallFailed,
            { { "call", "watch" }, { "status", "skips changes" }, { "revision", std::to_string(after) },
                { "to", std::to_string(reply.delta.at) } });
        reply.status = StoreStatus::compacted;
    }
    if (reply.status == StoreStatus::done) {
        // The store answers at once if there is a change, and after the wait if there is none.
        bool waitedInVain = reply.delta.changes.empty() && bootNow() - asked >= wait;
        m_catalog.noteStore(m_freshness.confirmByStore(waitedInVain ? asked + wait : asked));
        m_catalog.apply(std::move(reply.delta), "watch", heardAfter);
        co_return true;
    }
    if (reply.status == StoreStatus::compacted)
        m_freshness.noteAnswer();
    else
        noteFailure(reply.status, asked);
    // After a gap nothing is decided before the whole store was read. A watch without an answer leaves none.
    bool isGap = reply.status == StoreStatus::compacted || reply.status == StoreStatus::malformed;
    m_isComplete = m_isComplete && !isGap;
    co_return false;
}

void StoreFollower::noteSource(std::string source)
{
    if (source == m_source)
        return;
    m_source = std::move(source);
    logEvent(LogLevel::info, LogEvent::storeSource,
        { { "source", m_source }, { "ageMs", std::to_string(age().count() / 1000) },
            { "revision", std::to_string(m_catalog.mirror().at()) } });
}

awaitable<void> StoreFollower::follow()
{
    while (!m_stopped) {
        if (m_catalog.memberChanges() != m_knownMemberChanges) {
            m_knownMemberChanges = m_catalog.memberChanges();
            std::vector<StoreSources::Peer> peers;
            for (const auto& it : m_catalog.members())
                peers.push_back({ it.first, it.second.domain, it.second.rpcAddress });
            m_sources.setPeers(std::move(peers));
        }
        auto peer = m_catalog.isLoaded() ? m_sources.pick(monotonicNow()) : std::nullopt;
        noteSource(peer ? peer->id : storeItself);
        if (peer)
            co_await followPeer(*peer);
        else
            co_await followStore();
    }
}

awaitable<void> StoreFollower::followStore()
{
    bool wasComplete = m_isComplete;
    auto asked = std::chrono::steady_clock::now();
    auto revision = m_catalog.mirror().at();
    bool isDone = false;
    if (wasComplete)
        isDone = co_await watch(watchWaitNow());
    else
        isDone = co_await reload();
    if (!isDone) {
        if (!m_catalog.isLoaded())
            co_await askSeed();
        co_await daemon::sleepFor(m_context, backoff());
        co_return;
    }
    bool isNews = m_catalog.mirror().at() > revision;
    bool wasQuick = std::chrono::steady_clock::now() - asked < watchPause;
    if (wasComplete && (isNews || wasQuick))
        co_await daemon::sleepFor(m_context, watchPause);
}

awaitable<std::optional<StoreNews>> StoreFollower::ask(
    std::string address, Revision after, std::chrono::milliseconds wait)
{
    std::function<void(std::function<void(std::optional<StoreNews>)>)> call
        = [this, address, after, wait](std::function<void(std::optional<StoreNews>)> done) {
              m_hooks.changesSince(address, after, wait, std::move(done));
          };
    co_return co_await daemon::awaitCallback<std::optional<StoreNews>>(m_context, call);
}

awaitable<void> StoreFollower::followPeer(StoreSources::Peer peer)
{
    // A peer knows more of the past than the store's history holds, and its whole copy would be large.
    auto asked = bootNow();
    auto news = co_await ask(peer.rpcAddress, m_catalog.mirror().at(), watchWait);
    bool isFresh = news && news->age <= freshness;
    bool isNews = false;
    if (news && news->delta.at >= m_catalog.mirror().at()) {
        isNews = news->delta.at > m_catalog.mirror().at();
        auto heardAfter = upToDateAt();
        auto at = news->delta.at;
        auto checksum = news->delta.checksum;
        m_catalog.apply(std::move(news->delta), "peer", heardAfter);
        if (!m_catalog.mirror().agrees(at, checksum))
            co_return co_await readAnew(peer, heardAfter);
        m_isComplete = true;
    }
    if (isFresh) {
        // A copy that is ahead of a peer's was complete when the peer's was.
        m_catalog.noteStore(m_freshness.confirmByPeer(asked + news->held - news->age, bootNow() - news->steady));
        if (isNews)
            co_await daemon::sleepFor(m_context, watchPause);
        co_return;
    }
    m_sources.suspect(peer.id, monotonicNow());
    logEvent(LogLevel::info, LogEvent::storeSourceLost,
        { { "peer", peer.id }, { "reason", news ? "its knowledge is old" : "no answer" },
            { "ageMs", news ? std::to_string(news->age.count() / 1000) : "" } });
    // What the silent source kept back is fetched at once; the next source may be silent too.
    bool isCurrent = co_await watch(std::chrono::milliseconds(0));
    if (!isCurrent && !m_isComplete)
        isCurrent = co_await reload();
    if (!isCurrent)
        co_await daemon::sleepFor(m_context, backoff());
}

// The peer may have read the store anew and know of no removal from before that. Its whole copy is asked for only if
// the store does not answer: many followers may need one at the same time.
awaitable<void> StoreFollower::readAnew(StoreSources::Peer peer, TimePoint heardAfter)
{
    logEvent(LogLevel::info, LogEvent::storeCopyDiffers,
        { { "peer", peer.id }, { "revision", std::to_string(m_catalog.mirror().at()) } });
    m_isComplete = false;
    bool isCurrent = co_await reload();
    if (isCurrent)
        co_return;
    auto whole = co_await ask(peer.rpcAddress, 0, std::chrono::milliseconds(0));
    if (whole && whole->delta.at >= m_catalog.mirror().at()) {
        m_catalog.apply(std::move(whole->delta), "peer", heardAfter);
        m_isComplete = true;
        co_return;
    }
    co_await daemon::sleepFor(m_context, backoff());
}

awaitable<void> StoreFollower::askSeed()
{
    if (m_hooks.seeds.empty())
        co_return;
    std::uniform_int_distribution<std::size_t> pick(0, m_hooks.seeds.size() - 1);
    auto address = m_hooks.seeds[pick(m_random)];
    auto news = co_await ask(address, 0, std::chrono::milliseconds(0));
    if (!news || news->delta.at == 0)
        co_return;
    logEvent(LogLevel::info, LogEvent::storeRelayed,
        { { "peer", address }, { "to", std::to_string(news->delta.at) },
            { "changes", std::to_string(news->delta.changes.size()) } });
    m_catalog.apply(std::move(news->delta), "peer", upToDateAt());
    m_isComplete = true;
}

awaitable<StoreNews> StoreFollower::answerPeer(Revision after, std::chrono::milliseconds wait)
{
    auto asked = bootNow();
    // A follower hears at once when this instance's knowledge becomes too old.
    auto until = std::chrono::steady_clock::time_point(
        monotonicNow() + std::min<Duration>(wait, std::max(Duration::zero(), Duration(freshness) - age())));
    while (m_catalog.mirror().at() <= after && std::chrono::steady_clock::now() < until) {
        bool isChanged = co_await m_catalog.changed().wait(until);
        if (!isChanged)
            break;
    }
    StoreNews news;
    news.delta = m_catalog.mirror().since(after);
    auto now = bootNow();
    news.age = now - m_freshness.confirmedAt();
    news.held = now - asked;
    news.steady = std::max(Duration::zero(), now - m_freshness.steadySince());
    co_return news;
}

awaitable<void> StoreFollower::settleLoop()
{
    while (!m_stopped) {
        auto due = m_catalog.servers().nextDue();
        auto until = due ? std::chrono::steady_clock::time_point(*due)
                         : std::chrono::steady_clock::now() + std::chrono::seconds(5);
        co_await m_catalog.changed().wait(until);
        m_catalog.settle();
    }
}

} // namespace acaciagauge::entry
