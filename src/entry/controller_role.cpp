#include "entry/controller_role.hpp"

#include "daemon/async.hpp"
#include "daemon/log.hpp"
#include "entry/campaign.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace acaciagauge::entry {

namespace asio = boost::asio;
using asio::awaitable;
using daemon::logEvent;
using daemon::LogEvent;
using daemon::LogLevel;
using daemon::sleepFor;
using ports::StoreStatus;

namespace {

    /// Lease of the controller. A lost controller is replaced after this; keys that need a new owner wait as long.
    constexpr auto leaseDuration = std::chrono::milliseconds(3000);

    /// Renewals within a lease: one may be lost, and one be slow.
    constexpr int renewalsPerLease = 4;

    /// Taken off a lease's end: for the call's way to the store, and for clocks that differ in rate.
    constexpr auto authorityMargin = std::chrono::milliseconds(250);

    /// Step between the instances' turns to become controller: the first one's record reaches the others within two
    /// steps. And the number of steps.
    constexpr auto campaignStep = std::chrono::milliseconds(80);
    constexpr std::size_t campaignSteps = 12;

    /// Wait after a call to the store that failed, while there is no controller.
    constexpr auto retryInterval = std::chrono::milliseconds(200);

    /// Time for a release: the server answers when the work on the keys has ended.
    constexpr auto releaseTimeout = std::chrono::milliseconds(4000);

    /// Interval of telling the controller about the load.
    constexpr auto reportInterval = std::chrono::milliseconds(300);

} // namespace

Authority::Clock Authority::now()
{
    return bootNow().time_since_epoch();
}

ControllerRole::ControllerRole(asio::io_context& context, MemberRecord self, ports::StorePort store,
    ports::KeyOrdersPort orders, Catalog& catalog, StoreFollower& link, KeyAssigner::Options options, Hooks hooks)
    : m_context(context)
    , m_self(std::move(self))
    , m_store(std::move(store))
    , m_orders(std::move(orders))
    , m_catalog(catalog)
    , m_link(link)
    , m_options(options)
    , m_hooks(std::move(hooks))
    , m_reignChanged(context)
{
}

void ControllerRole::start()
{
    asio::co_spawn(m_context, run(), asio::detached);
    asio::co_spawn(m_context, reportLoad(), asio::detached);
}

awaitable<void> ControllerRole::run()
{
    while (!m_leaving) {
        co_await waitForVacancy();
        if (m_leaving)
            break;
        bool isChosen = co_await campaign();
        if (isChosen)
            co_await rule();
    }
}

// Instances take turns by their rank for the next epoch, so that few of them write at once.
std::chrono::microseconds ControllerRole::campaignDelay()
{
    const auto* epoch = m_catalog.mirror().find(epochKey);
    auto order = campaignOrder(m_catalog.members(), epoch ? epoch->value : "");
    auto rank = static_cast<std::size_t>(std::find(order.begin(), order.end(), m_self.id) - order.begin());
    std::uniform_int_distribution<std::int64_t> jitter(0, std::chrono::microseconds(campaignStep).count());
    return campaignStep * std::min(rank, campaignSteps) + std::chrono::microseconds(jitter(m_random));
}

// An instance has one process: a record of its own that it does not rule by belongs to an epoch that is over.
bool ControllerRole::isOwnFormer(const ControllerRecord& record) const
{
    return record.id == m_self.id && record.rpcAddress == m_self.rpcAddress && !m_actor;
}

// The store may pause leases while it is away; nobody else can be controller until this one has run out.
awaitable<void> ControllerRole::endFormerLease(std::uint64_t lease)
{
    auto ended = co_await m_store.endLease(lease);
    logEvent(LogLevel::info, LogEvent::controllerLost,
        { { "reason", "the lease of a former epoch of this instance is ended" },
            { "leaseEnded", std::string(nameOf(ended)) } });
    bool isCurrent = co_await m_link.reload();
    if (!isCurrent)
        co_await sleepFor(m_context, retryInterval);
}

awaitable<void> ControllerRole::waitForVacancy()
{
    while (!m_leaving) {
        const auto& controller = m_catalog.controller();
        if (controller && isOwnFormer(*controller) && m_catalog.isStoreAvailable()) {
            co_await endFormerLease(controller->lease);
            continue;
        }
        bool isVacant = m_catalog.isLoaded() && m_catalog.isStoreAvailable() && !m_catalog.controller();
        if (!isVacant) {
            co_await m_catalog.changed().waitFor(std::chrono::seconds(5));
            continue;
        }
        co_await sleepFor(m_context, campaignDelay());
        if (!m_catalog.controller() && m_catalog.isStoreAvailable())
            co_return;
    }
}

awaitable<bool> ControllerRole::campaign()
{
    auto asked = Authority::now();
    auto lease = co_await m_store.openLease(leaseDuration);
    if (lease.status != StoreStatus::done) {
        co_await sleepFor(m_context, retryInterval);
        co_return false;
    }
    const auto* epochItem = m_catalog.mirror().find(epochKey);
    ControllerRecord wanted;
    wanted.id = m_self.id;
    wanted.rpcAddress = m_self.rpcAddress;
    wanted.epoch = (epochItem ? decodeEpoch(epochItem->value) : 0) + 1;
    wanted.lease = lease.lease;
    wanted.token = std::to_string(m_random());
    ports::StoreTransaction transaction;
    transaction.conditions.push_back({ controllerKey, 0 });
    transaction.conditions.push_back({ epochKey, epochItem ? epochItem->revision : 0 });
    transaction.puts.push_back({ controllerKey, encodeController(wanted), lease.lease });
    transaction.puts.push_back({ epochKey, std::to_string(wanted.epoch), 0 });
    auto reply = co_await m_store.commit(std::move(transaction));
    bool isChosen = co_await confirm(std::move(reply), wanted);
    if (!isChosen) {
        auto ended = co_await m_store.endLease(lease.lease);
        logEvent(LogLevel::info, LogEvent::controllerLost,
            { { "epoch", std::to_string(wanted.epoch) }, { "reason", "another instance was first" },
                { "leaseEnded", std::string(nameOf(ended)) } });
        bool isCurrent = co_await m_link.reload();
        if (!isCurrent)
            co_await sleepFor(m_context, retryInterval);
        co_return false;
    }
    m_lease = lease.lease;
    m_epoch = wanted.epoch;
    m_authority.extendTo(asked + lease.duration - authorityMargin);
    co_return true;
}

awaitable<bool> ControllerRole::confirm(ports::StoreWriteReply reply, const ControllerRecord& wanted)
{
    if (reply.status == StoreStatus::done) {
        m_controllerRevision = reply.revision;
        co_return true;
    }
    if (reply.status != StoreStatus::unknown)
        co_return false;
    // The write may have been done: its token tells.
    auto found = co_await m_store.read(controllerKey);
    if (found.status != StoreStatus::done || found.delta.changes.empty())
        co_return false;
    const auto& item = found.delta.changes.front().item;
    auto record = decodeController(item.value);
    if (!record || record->token != wanted.token)
        co_return false;
    m_controllerRevision = item.revision;
    co_return true;
}

awaitable<void> ControllerRole::rule()
{
    auto reign = ++m_reign;
    asio::co_spawn(m_context, keepLease(), asio::detached);
    // Decisions rest on what the store holds after this instance became controller, not on an older copy.
    bool isCurrent = false;
    while (!isCurrent && m_authority.holds() && !m_leaving) {
        isCurrent = co_await m_link.reload();
        if (!isCurrent)
            co_await sleepFor(m_context, std::chrono::milliseconds(100));
    }
    if (!isCurrent || reign != m_reign || !m_authority.holds())
        co_return depose("the store could not be read");
    startKeeper();
    while (m_actor && reign == m_reign) {
        tellCatalog();
        co_await m_catalog.changed().waitFor(std::chrono::seconds(1));
        if (m_actor && !m_authority.holds())
            depose("the lease ran out");
    }
}

void ControllerRole::startKeeper()
{
    m_chunkRevisions.clear();
    for (const auto& it : m_catalog.mirror().items()) {
        if (auto chunk = parseOwnersKey(it.first))
            m_chunkRevisions[*chunk] = it.second.revision;
    }
    auto keeper = KeyAssigner::create(m_options, m_epoch, m_catalog.keys(), monotonicNow());
    auto reign = m_reign;
    auto hook = [this, reign](std::vector<KeyAction> actions, std::map<std::string, std::size_t> counts) {
        asio::post(m_context, [this, reign, actions = std::move(actions), counts = std::move(counts)] {
            if (reign != m_reign || !m_actor)
                return;
            for (const auto& it : counts)
                m_hooks.metrics->setServers(it.first, it.second);
            for (const auto& it : actions)
                perform(it);
        });
    };
    m_actor = KeeperActor::create(std::move(keeper), std::move(hook));
    m_hooks.metrics->setIsController(true);
    m_hooks.metrics->setEpoch(m_epoch);
    logEvent(LogLevel::info, LogEvent::controllerWon,
        { { "epoch", std::to_string(m_epoch) }, { "revision", std::to_string(m_controllerRevision) },
            { "chunks", std::to_string(m_chunkRevisions.size()) } });
}

void ControllerRole::tellCatalog()
{
    KeyServicesChanged services;
    if (m_catalog.desiredState()) {
        for (const auto& it : m_catalog.desiredState()->services()) {
            if (it.second.ownsKeys)
                services.services.insert(it.first);
        }
    }
    KeyServersChanged servers;
    for (const auto& it : m_catalog.servers().servers()) {
        bool isConfigured = m_catalog.desiredState() && m_catalog.desiredState()->service(it.second.entry.service);
        if (isConfigured)
            servers.servers.push_back(it.second);
    }
    tell(std::move(services));
    tell(std::move(servers));
}

void ControllerRole::tell(KeyEvent event)
{
    if (m_actor)
        m_actor->tell(std::move(event));
}

void ControllerRole::depose(const std::string& reason)
{
    if (m_actor)
        logEvent(
            LogLevel::warn, LogEvent::controllerLost, { { "epoch", std::to_string(m_epoch) }, { "reason", reason } });
    ++m_reign;
    m_authority.drop();
    m_actor.reset();
    m_hooks.metrics->setIsController(false);
    m_reignChanged.notifyAll();
    m_catalog.changed().notifyAll();
}

awaitable<void> ControllerRole::keepLease()
{
    auto reign = m_reign;
    auto interval = leaseDuration / renewalsPerLease;
    while (reign == m_reign && !m_leaving) {
        co_await m_reignChanged.waitFor(interval);
        if (reign != m_reign || m_leaving)
            co_return;
        auto asked = Authority::now();
        auto reply = co_await m_store.keepLease(m_lease);
        if (reign != m_reign)
            co_return;
        if (reply.status == StoreStatus::done)
            m_authority.extendTo(asked + reply.duration - authorityMargin);
        if (reply.status == StoreStatus::missing)
            co_return depose("the store has ended the lease");
        if (!m_authority.holds())
            co_return depose("the lease was not renewed in time");
    }
}

awaitable<void> ControllerRole::leave()
{
    m_leaving = true;
    bool wasController = m_actor != nullptr;
    auto lease = m_lease;
    depose("this instance is leaving");
    if (!wasController)
        co_return;
    auto ended = co_await m_store.endLease(lease);
    logEvent(LogLevel::info, LogEvent::controllerLost,
        { { "epoch", std::to_string(m_epoch) }, { "reason", "handed over" },
            { "leaseEnded", std::string(nameOf(ended)) } });
}

std::function<bool()> ControllerRole::authorityCheck()
{
    return [this, reign = m_reign] { return reign == m_reign && m_authority.holds(); };
}

void ControllerRole::perform(const KeyAction& action)
{
    if (const auto* grant = std::get_if<SendKeyGrant>(&action))
        asio::co_spawn(m_context, sendGrant(*grant), asio::detached);
    else if (const auto* release = std::get_if<SendKeyRelease>(&action))
        asio::co_spawn(m_context, sendRelease(*release), asio::detached);
    else if (const auto* write = std::get_if<WriteOwnerChunks>(&action))
        asio::co_spawn(m_context, writeChunks(*write), asio::detached);
    else if (std::holds_alternative<CheckAuthority>(action))
        asio::co_spawn(m_context, checkAuthority(), asio::detached);
    else if (const auto* decision = std::get_if<KeyDecision>(&action))
        logEvent(LogLevel::info, LogEvent::keyDecision,
            { { "epoch", std::to_string(m_epoch) }, { "service", decision->service },
                { "keys", std::to_string(decision->range.from) + "-" + std::to_string(decision->range.to) },
                { "what", decision->what }, { "server", decision->server }, { "reason", decision->reason } });
}

awaitable<void> ControllerRole::sendGrant(SendKeyGrant order)
{
    auto reign = m_reign;
    auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.orderTimeout);
    auto ended = co_await m_orders.grant(std::move(order), timeout, authorityCheck());
    if (reign == m_reign)
        tell(std::move(ended));
}

awaitable<void> ControllerRole::sendRelease(SendKeyRelease order)
{
    auto reign = m_reign;
    auto ended = co_await m_orders.release(std::move(order), releaseTimeout, authorityCheck());
    if (reign == m_reign)
        tell(std::move(ended));
}

awaitable<void> ControllerRole::writeChunks(WriteOwnerChunks write)
{
    auto reign = m_reign;
    ports::StoreTransaction transaction;
    transaction.conditions.push_back({ controllerKey, m_controllerRevision });
    for (const auto& it : write.chunks) {
        transaction.conditions.push_back({ ownersKey(it.first), m_chunkRevisions[it.first] });
        transaction.puts.push_back({ ownersKey(it.first), encodeOwnerChunk(it.second), 0 });
    }
    auto reply = co_await m_store.commit(std::move(transaction));
    if (reign != m_reign)
        co_return;
    if (reply.status == StoreStatus::done) {
        for (const auto& it : write.chunks)
            m_chunkRevisions[it.first] = reply.revision;
    } else if (reply.status == StoreStatus::conflict) {
        // An earlier write without an answer was done after all, or another instance is controller.
        std::map<std::string, Revision> found;
        for (const auto& it : reply.found)
            found[it.key] = it.revision;
        auto controller = found.find(controllerKey);
        if (controller == found.end() || controller->second != m_controllerRevision)
            co_return depose("the store names another controller");
        for (const auto& it : write.chunks)
            m_chunkRevisions[it.first] = found[ownersKey(it.first)];
    }
    if (reply.status != StoreStatus::done)
        logEvent(LogLevel::warn, LogEvent::storeCallFailed,
            { { "call", "writeOwners" }, { "status", std::string(nameOf(reply.status)) } });
    tell(KeyRecordEnded { reply.status == StoreStatus::done });
}

awaitable<void> ControllerRole::checkAuthority()
{
    auto reign = m_reign;
    auto found = co_await m_store.read(controllerKey);
    bool isStillController = found.status == StoreStatus::done && !found.delta.changes.empty()
        && found.delta.changes.front().item.revision == m_controllerRevision;
    bool isKnown = found.status == StoreStatus::done || found.status == StoreStatus::missing;
    if (reign == m_reign && isKnown && !isStillController)
        depose("the store names another controller");
}

awaitable<void> ControllerRole::reportLoad()
{
    while (!m_leaving) {
        co_await sleepFor(m_context, reportInterval);
        LoadReport report { std::move(m_counts), m_hooks.takeTimes() };
        m_counts.clear();
        if (report.keys.empty() && report.times.empty())
            continue;
        if (m_actor) {
            takeReport(std::move(report));
        } else if (m_catalog.controller()) {
            auto address = m_catalog.controller()->rpcAddress;
            m_hooks.rpc().reportLoad(address, std::move(report), [address](daemon::RpcReach reach) {
                if (reach != daemon::RpcReach::reached)
                    logEvent(LogLevel::debug, LogEvent::loadUnreported, { { "controller", address } });
            });
        }
    }
}

} // namespace acaciagauge::entry
