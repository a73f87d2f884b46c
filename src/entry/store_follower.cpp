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

    /// Wait between two watches, or two requests to a peer: batches changes, since each response costs a call, however
    /// few changes it carries.
    constexpr auto watchPause = std::chrono::milliseconds(80);

    /// A call that takes longer than this, beyond the time that it asked to wait, is logged.
    constexpr auto slowCall = std::chrono::milliseconds(500);

    /// Backoff after the first failed call, and its upper bound.
    constexpr auto initialBackoff = std::chrono::milliseconds(60);
    constexpr auto maxBackoff = std::chrono::milliseconds(600);

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
    asio::co_spawn(m_context, removeLapsedLoop(), asio::detached);
}

Duration StoreFollower::age() const
{
    return m_freshness.age(bootNow());
}

// In ms; empty if the mirror was never confirmed.
std::string StoreFollower::ageText() const
{
    return m_freshness.confirmedAt() == TimePoint {} ? "" : std::to_string(age().count() / 1000);
}

// In the catalog's clock, which is monotonicNow(); TimePoint {} if the mirror was never confirmed.
TimePoint StoreFollower::upToDateAt() const
{
    return m_freshness.confirmedAt() == TimePoint {} ? TimePoint {} : monotonicNow() - age();
}

void StoreFollower::noteFailure(std::string_view call, StoreStatus status, TimePoint requestedAt)
{
    logEvent(LogLevel::info, LogEvent::storeCallFailed,
        { { "call", std::string(call) }, { "status", std::string(nameOf(status)) },
            { "ms", std::to_string((bootNow() - requestedAt).count() / 1000) }, { "ageMs", ageText() } });
    m_catalog.updateStoreAvailability(m_freshness.noteFailure(requestedAt));
    if (!m_catalog.isStoreAvailable())
        m_sources.suspect(m_self.id, monotonicNow());
}

void StoreFollower::logIfSlow(const ChangesRequest& request, std::size_t changes) const
{
    auto duration = bootNow() - request.requestedAt;
    if (duration <= request.wait + slowCall)
        return;
    logEvent(LogLevel::warn, LogEvent::storeCallSlow,
        { { "call", std::string(request.call) }, { "ms", std::to_string(duration.count() / 1000) },
            { "changes", std::to_string(changes) }, { "ageMs", ageText() } });
}

// Jitter keeps instances whose calls failed at the same time from retrying in step.
std::chrono::microseconds StoreFollower::backoff()
{
    auto limit = std::min<std::chrono::microseconds>(
        maxBackoff, initialBackoff * (1U << std::min(m_freshness.failures(), 4U)));
    std::uniform_int_distribution<std::int64_t> jitter(limit.count() / 2, limit.count());
    return std::chrono::microseconds(jitter(m_random));
}

awaitable<bool> StoreFollower::reload()
{
    auto request = startRequest("readAll", std::chrono::milliseconds(0));
    auto reply = co_await m_store.readAll();
    m_catalog.noteStoreEra(reply.delta.era);
    if (reply.status != StoreStatus::done) {
        noteFailure(request.call, reply.status, request.requestedAt);
        co_return false;
    }
    // The answer was under way while the store was restored.
    if (reply.delta.era < m_catalog.storeEra()) {
        logEvent(LogLevel::warn, LogEvent::storeCallFailed,
            { { "call", std::string(request.call) }, { "status", "answer of an earlier era" },
                { "era", std::to_string(reply.delta.era) } });
        co_return false;
    }
    logIfSlow(request, reply.delta.changes.size());
    m_catalog.updateStoreAvailability(m_freshness.confirmByStore(request.requestedAt));
    m_catalog.apply(std::move(reply.delta), "store", request.changedAfter);
    m_isComplete = true;
    co_return true;
}

StoreFollower::ChangesRequest StoreFollower::startRequest(std::string_view call, std::chrono::milliseconds wait) const
{
    return { call, m_catalog.mirror().era(), m_catalog.mirror().revision(), wait, bootNow(), upToDateAt() };
}

awaitable<bool> StoreFollower::watch(std::chrono::milliseconds wait)
{
    auto request = startRequest("watch", wait);
    auto reply = co_await m_store.watch(request.after, wait);
    co_return applyChanges(std::move(reply), request);
}

// Reads what this instance missed while its source failed. A watch may hear of nothing while the store compacts its
// history, so the whole store is read if the changes do not arrive at once.
awaitable<bool> StoreFollower::catchUp()
{
    if (m_isComplete) {
        auto request = startRequest("poll", std::chrono::milliseconds(0));
        auto reply = co_await m_store.poll(request.after);
        bool isRefused = reply.status == StoreStatus::refused;
        bool isDone = applyChanges(std::move(reply), request);
        if (isDone || isRefused)
            co_return isDone;
    }
    co_return co_await reload();
}

// Returns false if the response brought no changes and does not confirm the mirror either.
bool StoreFollower::applyChanges(ports::StoreReply reply, const ChangesRequest& request)
{
    m_catalog.noteStoreEra(reply.delta.era);
    if (reply.status == StoreStatus::done && reply.delta.era != request.era) {
        logEvent(LogLevel::warn, LogEvent::storeCallFailed,
            { { "call", std::string(request.call) }, { "status", "answer of another era" },
                { "era", std::to_string(reply.delta.era) } });
        reply.status = StoreStatus::compacted;
    }
    // The whole store is watched, so every revision has a change. A response with a later revision but no change has
    // lost some, and is treated like a compacted history.
    bool hasSkippedChanges
        = reply.status == StoreStatus::done && reply.delta.changes.empty() && reply.delta.revision > request.after;
    if (hasSkippedChanges) {
        logEvent(LogLevel::warn, LogEvent::storeCallFailed,
            { { "call", std::string(request.call) }, { "status", "changes missing from the response" },
                { "revision", std::to_string(request.after) }, { "to", std::to_string(reply.delta.revision) } });
        reply.status = StoreStatus::compacted;
    }
    if (reply.status == StoreStatus::done) {
        logIfSlow(request, reply.delta.changes.size());
        // The store responds at once if there is a change, and after the wait if there is none.
        bool waitExpired = reply.delta.changes.empty() && bootNow() - request.requestedAt >= request.wait;
        auto validAt = waitExpired ? request.requestedAt + request.wait : request.requestedAt;
        m_catalog.updateStoreAvailability(m_freshness.confirmByStore(validAt));
        m_catalog.apply(std::move(reply.delta), request.call, request.changedAfter);
        return true;
    }
    if (reply.status == StoreStatus::compacted)
        m_freshness.noteAnswer();
    else
        noteFailure(request.call, reply.status, request.requestedAt);
    // A gap in the history requires a read of the whole store. A watch without a response leaves no gap.
    bool isGap = reply.status == StoreStatus::compacted || reply.status == StoreStatus::malformed;
    m_isComplete = m_isComplete && !isGap;
    return false;
}

void StoreFollower::setSource(std::string source)
{
    if (source == m_source)
        return;
    m_source = std::move(source);
    logEvent(LogLevel::info, LogEvent::storeSource,
        { { "source", m_source }, { "ageMs", ageText() },
            { "revision", std::to_string(m_catalog.mirror().revision()) } });
    // Ends the requests of followers that must not follow a follower.
    m_catalog.changed().notifyAll();
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
        if (peer) {
            co_await followPeer(*peer);
        } else {
            setSource(storeSourceName);
            co_await followStore();
        }
    }
}

awaitable<void> StoreFollower::followStore()
{
    bool wasComplete = m_isComplete && m_catalog.mirror().era() == m_catalog.storeEra();
    auto requestedAt = std::chrono::steady_clock::now();
    auto revision = m_catalog.mirror().revision();
    bool isDone = false;
    if (wasComplete)
        isDone = co_await watch(m_freshness.watchWait(bootNow()));
    else
        isDone = co_await reload();
    if (!isDone) {
        if (!m_catalog.isLoaded())
            co_await fetchFromSeed();
        co_await daemon::sleepFor(m_context, backoff());
        co_return;
    }
    bool hasChanges = m_catalog.mirror().revision() != revision;
    bool wasQuick = std::chrono::steady_clock::now() - requestedAt < watchPause;
    if (wasComplete && (hasChanges || wasQuick))
        co_await daemon::sleepFor(m_context, watchPause);
}

awaitable<std::optional<StoreUpdate>> StoreFollower::requestChanges(
    std::string address, StoreEra era, Revision after, std::chrono::milliseconds wait)
{
    std::function<void(std::function<void(std::optional<StoreUpdate>)>)> call
        = [this, address, era, after, wait](std::function<void(std::optional<StoreUpdate>)> done) {
              m_hooks.changesSince(address, era, after, wait, std::move(done));
          };
    co_return co_await daemon::awaitCallback<std::optional<StoreUpdate>>(m_context, call);
}

awaitable<void> StoreFollower::followPeer(StoreSources::Peer peer)
{
    // Only changes are requested: a peer's history reaches further back than the store's, and a full mirror would be
    // large. The first request does not wait, and the present source stays until the peer has proved to be usable.
    auto requestedAt = bootNow();
    auto wait = peer.id == m_source ? m_freshness.peerWait(requestedAt) : std::chrono::milliseconds(0);
    const auto& mirror = m_catalog.mirror();
    auto update = co_await requestChanges(peer.rpcAddress, mirror.era(), mirror.revision(), wait);
    if (update)
        m_catalog.noteStoreEra(update->delta.era);
    bool isOutdated = update && update->delta.era < m_catalog.storeEra();
    // The peer's mirror has grown older while its response was in transit.
    auto validAt = update ? requestedAt + update->held - update->age : TimePoint {};
    bool isFresh = update && !isOutdated && m_freshness.isFresh(validAt, bootNow());
    bool isUsable = isFresh && m_sources.isUsable(peer, update->source, monotonicNow());
    bool hasChanges = false;
    bool isAhead
        = update && !isOutdated && (update->delta.era > mirror.era() || update->delta.revision >= mirror.revision());
    if (isAhead) {
        hasChanges = update->delta.era > mirror.era() || update->delta.revision > mirror.revision();
        auto changedAfter = upToDateAt();
        auto at = update->delta.revision;
        auto checksum = update->delta.checksum;
        m_catalog.apply(std::move(update->delta), "peer", changedAfter);
        if (!m_catalog.mirror().matchesChecksum(at, checksum))
            co_return co_await resync(peer, changedAfter);
        m_isComplete = true;
    }
    if (isFresh) {
        // Also if this mirror is ahead of the peer's: it was complete at least when the peer's was.
        m_catalog.updateStoreAvailability(m_freshness.confirmByPeer(validAt, bootNow() - update->availableFor));
    }
    if (isUsable) {
        setSource(peer.id);
        if (hasChanges)
            co_await daemon::sleepFor(m_context, watchPause);
        co_return;
    }
    m_sources.suspect(peer.id, monotonicNow());
    std::string reason = "no response";
    if (update)
        reason = isOutdated ? "its mirror is of an earlier era"
            : isFresh       ? "it follows " + update->source
                            : "its mirror is stale";
    logEvent(LogLevel::info, LogEvent::storeSourceLost,
        { { "peer", peer.id }, { "reason", reason },
            { "ageMs", update ? std::to_string(update->age.count() / 1000) : "" }, { "ownAgeMs", ageText() } });
    // Missed changes are read from the store at once, since the next source may have failed too.
    bool isCurrent = co_await catchUp();
    if (!isCurrent)
        co_await daemon::sleepFor(m_context, backoff());
}

// The mirrors differ at the same revision, for example because the peer has read the whole store again and does not
// know of removals before that. The store is read first; the peer's full mirror is requested only if the store does not
// respond, because many followers may need one at the same time.
awaitable<void> StoreFollower::resync(StoreSources::Peer peer, TimePoint changedAfter)
{
    logEvent(LogLevel::info, LogEvent::storeCopyDiffers,
        { { "peer", peer.id }, { "revision", std::to_string(m_catalog.mirror().revision()) } });
    m_isComplete = false;
    bool isCurrent = co_await reload();
    if (isCurrent)
        co_return;
    auto whole = co_await requestChanges(peer.rpcAddress, 0, 0, std::chrono::milliseconds(0));
    bool isAhead = whole && whole->delta.era == m_catalog.mirror().era()
        && whole->delta.revision >= m_catalog.mirror().revision();
    if (isAhead) {
        m_catalog.apply(std::move(whole->delta), "peer", changedAfter);
        m_isComplete = true;
        co_return;
    }
    co_await daemon::sleepFor(m_context, backoff());
}

awaitable<void> StoreFollower::fetchFromSeed()
{
    if (m_hooks.seeds.empty())
        co_return;
    std::uniform_int_distribution<std::size_t> pick(0, m_hooks.seeds.size() - 1);
    auto address = m_hooks.seeds[pick(m_random)];
    auto update = co_await requestChanges(address, 0, 0, std::chrono::milliseconds(0));
    if (!update || update->delta.revision == 0 || update->delta.era < m_catalog.storeEra())
        co_return;
    logEvent(LogLevel::info, LogEvent::storeRelayed,
        { { "peer", address }, { "to", std::to_string(update->delta.revision) },
            { "changes", std::to_string(update->delta.changes.size()) } });
    m_catalog.apply(std::move(update->delta), "peer", upToDateAt());
    m_isComplete = true;
}

awaitable<StoreUpdate> StoreFollower::changesForPeer(StoreEra era, Revision after, std::chrono::milliseconds wait)
{
    auto requestedAt = bootNow();
    // The wait ends when this instance's mirror becomes too old, so that the follower learns of it at once.
    auto until = std::chrono::steady_clock::time_point(
        monotonicNow() + std::min<Duration>(wait, m_freshness.freshFor(requestedAt)));
    bool isWatching = m_source == storeSourceName;
    const auto& mirror = m_catalog.mirror();
    auto mayWait = [&] {
        bool hasChanges = mirror.era() > era || (mirror.era() == era && mirror.revision() > after);
        return !hasChanges && isWatching == (m_source == storeSourceName);
    };
    while (mayWait() && std::chrono::steady_clock::now() < until) {
        bool isChanged = co_await m_catalog.changed().wait(until);
        if (!isChanged)
            break;
    }
    StoreUpdate update;
    update.delta = mirror.changesSince(era, after);
    auto now = bootNow();
    update.age = m_freshness.age(now);
    update.held = now - requestedAt;
    update.availableFor = std::max(Duration::zero(), now - m_freshness.availableSince());
    update.source = m_source == storeSourceName ? InstanceId() : m_source;
    co_return update;
}

awaitable<void> StoreFollower::removeLapsedLoop()
{
    while (!m_stopped) {
        auto due = m_catalog.nextRemoval();
        auto until = due ? std::chrono::steady_clock::time_point(*due)
                         : std::chrono::steady_clock::now() + std::chrono::seconds(5);
        co_await m_catalog.changed().wait(until);
        m_catalog.removeLapsed();
    }
}

} // namespace acaciagauge::entry
