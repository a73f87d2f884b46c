#include "entry/store_link.hpp"

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
using ports::StoreStatus;

namespace {

    /// Longest wait of one watch. A connection that went silent for good is noticed this much and a little later;
    /// changes have to be in force within two seconds of the store's recovery from that.
    constexpr auto watchWait = std::chrono::milliseconds(2000);

    /// Wait between two watches. Each answer costs a call, however few events it brings.
    constexpr auto watchPause = std::chrono::milliseconds(80);

    /// Backoff after the first failed call, and its bound.
    constexpr auto firstBackoff = std::chrono::milliseconds(60);
    constexpr auto longestBackoff = std::chrono::milliseconds(600);

    /// Interval of asking a peer while the store does not answer; configuration has to be in force within two seconds.
    constexpr auto relayInterval = std::chrono::milliseconds(400);

} // namespace

StoreLink::StoreLink(asio::io_context& context, ports::StorePort store, Catalog& catalog, Hooks hooks)
    : m_context(context)
    , m_store(std::move(store))
    , m_catalog(catalog)
    , m_hooks(std::move(hooks))
    , m_linkChanged(context)
{
}

void StoreLink::start()
{
    asio::co_spawn(m_context, follow(), asio::detached);
    asio::co_spawn(m_context, relay(), asio::detached);
    asio::co_spawn(m_context, settleLoop(), asio::detached);
}

void StoreLink::note(StoreStatus status)
{
    bool isAnswer = status == StoreStatus::done || status == StoreStatus::compacted;
    if (!isAnswer)
        logEvent(LogLevel::debug, LogEvent::storeCallFailed, { { "status", std::string(nameOf(status)) } });
    m_failures = isAnswer ? 0 : m_failures + 1;
    // One lost answer says little; the second in a row is a dependency lost.
    if (isAnswer || m_failures >= 2) {
        m_catalog.noteStore(isAnswer);
        m_linkChanged.raise();
    }
}

// Instances that failed together must not come back in step.
std::chrono::microseconds StoreLink::backoff()
{
    auto longest = std::min<std::chrono::microseconds>(longestBackoff, firstBackoff * (1U << std::min(m_failures, 4U)));
    std::uniform_int_distribution<std::int64_t> jitter(longest.count() / 2, longest.count());
    return std::chrono::microseconds(jitter(m_random));
}

awaitable<bool> StoreLink::reload()
{
    auto reply = co_await m_store.readAll();
    note(reply.status);
    if (reply.status != StoreStatus::done)
        co_return false;
    m_catalog.apply(std::move(reply.delta), "store");
    co_return true;
}

awaitable<void> StoreLink::follow()
{
    bool isCurrent = false;
    while (!m_stopped) {
        if (!isCurrent) {
            isCurrent = co_await reload();
            if (!isCurrent)
                co_await daemon::sleepFor(m_context, backoff());
            continue;
        }
        auto asked = std::chrono::steady_clock::now();
        auto reply = co_await m_store.watch(m_catalog.mirror().at(), watchWait);
        note(reply.status);
        if (reply.status == StoreStatus::done) {
            bool isNews = !reply.delta.changes.empty();
            m_catalog.apply(std::move(reply.delta), "watch");
            bool wasQuick = std::chrono::steady_clock::now() - asked < watchPause;
            if (isNews || wasQuick)
                co_await daemon::sleepFor(m_context, watchPause);
            continue;
        }
        // After a gap nothing is decided before the whole store was read.
        isCurrent = false;
        if (reply.status != StoreStatus::compacted && reply.status != StoreStatus::unknown)
            co_await daemon::sleepFor(m_context, backoff());
    }
}

std::optional<std::string> StoreLink::pickPeer()
{
    std::vector<std::string> peers;
    for (const auto& it : m_catalog.members()) {
        if (it.first != m_hooks.self)
            peers.push_back(it.second.rpcAddress);
    }
    if (peers.empty())
        peers = m_hooks.seeds;
    if (peers.empty())
        return std::nullopt;
    std::uniform_int_distribution<std::size_t> pick(0, peers.size() - 1);
    return peers[pick(m_random)];
}

awaitable<void> StoreLink::relay()
{
    while (!m_stopped) {
        auto peer = m_catalog.isStoreAvailable() ? std::nullopt : pickPeer();
        if (!peer) {
            co_await m_linkChanged.waitFor(std::chrono::seconds(5));
            continue;
        }
        auto revision = m_catalog.mirror().at();
        std::function<void(std::function<void(std::optional<StoreDelta>)>)> ask
            = [this, peer, revision](std::function<void(std::optional<StoreDelta>)> done) {
                  m_hooks.rpc().changesSince(*peer, revision, std::move(done));
              };
        auto delta = co_await daemon::awaitCallback<std::optional<StoreDelta>>(m_context, ask);
        bool isNews = delta && delta->at > m_catalog.mirror().at();
        if (isNews) {
            logEvent(LogLevel::info, LogEvent::storeRelayed,
                { { "peer", *peer }, { "from", std::to_string(revision) }, { "to", std::to_string(delta->at) },
                    { "changes", std::to_string(delta->changes.size()) } });
            m_catalog.apply(std::move(*delta), "peer");
        }
        co_await daemon::sleepFor(m_context, relayInterval);
    }
}

awaitable<void> StoreLink::settleLoop()
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
