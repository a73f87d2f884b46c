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

    /// Controller's lease. A failed controller is replaced after this time; keys that need a new owner wait as long. A
    /// controller that outlives a short outage still knows what a restored store has forgotten.
    constexpr auto leaseDuration = std::chrono::milliseconds(5000);

    /// Renewals per lease duration: one may be lost and another one slow without losing the lease.
    constexpr int renewalsPerLease = 6;

    /// Safety margin before a lease's end: for the call's time to reach the store, and for differences of clock rates.
    constexpr auto authorityMargin = std::chrono::milliseconds(250);

    /// Era of a store that was never restored.
    constexpr StoreEra firstEra = 1;

    /// Instances campaign one after the other, this far apart: the first one's record reaches the others within two
    /// steps. Instances beyond the last step share it.
    constexpr auto campaignStep = std::chrono::milliseconds(80);
    constexpr std::size_t campaignSteps = 12;

    /// Wait after a failed call to the store while there is no controller.
    constexpr auto retryInterval = std::chrono::milliseconds(200);

    /// Timeout of a release: the server responds when its work on the keys has ended.
    constexpr auto releaseTimeout = std::chrono::milliseconds(4000);

    /// Interval of the log lines on the controller's work.
    constexpr auto workloadLogInterval = std::chrono::seconds(5);

    /// Interval of load reports to the controller.
    constexpr auto reportInterval = std::chrono::milliseconds(300);

} // namespace

LeaseAuthority::BootTime LeaseAuthority::now()
{
    return bootNow().time_since_epoch();
}

ControllerRole::ControllerRole(asio::io_context& context, MemberRecord self, ports::StorePort store,
    ports::KeyOrdersPort orders, Catalog& catalog, StoreFollower& follower, KeyAssigner::Options options, Hooks hooks)
    : m_context(context)
    , m_self(std::move(self))
    , m_store(std::move(store))
    , m_orders(std::move(orders))
    , m_catalog(catalog)
    , m_follower(follower)
    , m_options(options)
    , m_hooks(std::move(hooks))
    , m_termEnded(context)
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
        bool isElected = co_await campaign();
        if (isElected)
            co_await serveTerm();
    }
}

// Instances campaign in the order of their rank for the next epoch, so that few of them write at the same time.
std::chrono::microseconds ControllerRole::campaignDelay()
{
    const auto* epoch = m_catalog.mirror().find(epochKey);
    auto order = campaignOrder(m_catalog.members(), epoch ? epoch->value : "");
    auto rank = static_cast<std::size_t>(std::find(order.begin(), order.end(), m_self.id) - order.begin());
    std::uniform_int_distribution<std::int64_t> jitter(0, std::chrono::microseconds(campaignStep).count());
    return campaignStep * std::min(rank, campaignSteps) + std::chrono::microseconds(jitter(m_random));
}

// An instance is a single process: a record of its own while it isn't controller is left over from an earlier epoch.
bool ControllerRole::isOwnStaleRecord(const ControllerRecord& record) const
{
    return record.id == m_self.id && record.rpcAddress == m_self.rpcAddress && !m_actor
        && !isOfEarlierEra(record, m_catalog.storeEra());
}

// The store may pause the expiry of leases during an outage, and no instance can become controller before this lease
// has ended.
awaitable<void> ControllerRole::revokeStaleLease(std::uint64_t lease)
{
    auto ended = co_await m_store.revokeLease(lease);
    logEvent(LogLevel::info, LogEvent::controllerLost,
        { { "reason", "revoked the lease of an earlier epoch of this instance" },
            { "leaseEnded", std::string(nameOf(ended)) } });
    bool isCurrent = co_await m_follower.reload();
    if (!isCurrent)
        co_await sleepFor(m_context, retryInterval);
}

// The record of an earlier era does not count, but its controller may still have authority.
bool ControllerRole::isVacant() const
{
    auto era = m_catalog.mirror().era();
    const auto& controller = m_catalog.controller();
    bool isKnown = m_catalog.isLoaded() && m_catalog.isStoreAvailable() && era == m_catalog.storeEra();
    return isKnown && (!controller || isOfEarlierEra(*controller, era)) && bootNow() >= vacantFrom();
}

TimePoint ControllerRole::vacantFrom() const
{
    auto era = m_catalog.mirror().era();
    const auto* recorded = m_catalog.mirror().find(epochKey);
    bool isFirst = !recorded && era <= firstEra;
    bool wasElected = recorded && decodeEpoch(recorded->value).era == era;
    return isFirst || wasElected ? TimePoint {} : m_catalog.storeEraSince() + leaseDuration;
}

awaitable<void> ControllerRole::waitForVacancy()
{
    while (!m_leaving) {
        const auto& controller = m_catalog.controller();
        if (controller && isOwnStaleRecord(*controller) && m_catalog.isStoreAvailable()) {
            co_await revokeStaleLease(controller->lease);
            continue;
        }
        if (!isVacant()) {
            auto remaining = vacantFrom() - bootNow();
            bool mustWait = remaining > Duration::zero() && remaining < std::chrono::seconds(5);
            co_await m_catalog.changed().waitFor(mustWait ? remaining : std::chrono::seconds(5));
            continue;
        }
        co_await sleepFor(m_context, campaignDelay());
        if (isVacant())
            co_return;
    }
}

awaitable<bool> ControllerRole::campaign()
{
    auto requestedAt = LeaseAuthority::now();
    auto lease = co_await m_store.createLease(leaseDuration);
    m_catalog.noteStoreEra(lease.era);
    auto era = m_catalog.mirror().era();
    if (lease.status != StoreStatus::done || lease.era != era) {
        co_await sleepFor(m_context, retryInterval);
        co_return false;
    }
    const auto* epochItem = m_catalog.mirror().find(epochKey);
    const auto& former = m_catalog.controller();
    auto known = std::max(m_epoch, former ? former->epoch : 0);
    ControllerRecord ownRecord;
    ownRecord.id = m_self.id;
    ownRecord.rpcAddress = m_self.rpcAddress;
    ownRecord.epoch = nextEpoch(epochItem ? decodeEpoch(epochItem->value) : EpochRecord {}, known, era);
    ownRecord.lease = lease.lease;
    ownRecord.token = std::to_string(m_random());
    ownRecord.era = era;
    ports::StoreTransaction transaction;
    transaction.conditions.push_back(
        { controllerKey, replaceableRevision(m_catalog.mirror().find(controllerKey), era) });
    transaction.conditions.push_back({ epochKey, epochItem ? epochItem->revision : 0 });
    transaction.puts.push_back({ controllerKey, encodeController(ownRecord), lease.lease });
    transaction.puts.push_back({ epochKey, encodeEpoch({ ownRecord.epoch, era }), 0 });
    auto reply = co_await m_store.commit(std::move(transaction));
    bool isElected = co_await confirm(std::move(reply), ownRecord);
    if (!isElected) {
        auto ended = co_await m_store.revokeLease(lease.lease);
        logEvent(LogLevel::info, LogEvent::controllerLost,
            { { "epoch", std::to_string(ownRecord.epoch) },
                { "reason", "the campaign was not committed; another instance may have been first" },
                { "leaseEnded", std::string(nameOf(ended)) } });
        bool isCurrent = co_await m_follower.reload();
        if (!isCurrent)
            co_await sleepFor(m_context, retryInterval);
        co_return false;
    }
    m_lease = lease.lease;
    m_epoch = ownRecord.epoch;
    m_era = era;
    m_authority.extendTo(requestedAt + lease.duration - authorityMargin);
    co_return true;
}

awaitable<bool> ControllerRole::confirm(ports::StoreWriteReply reply, const ControllerRecord& ownRecord)
{
    m_catalog.noteStoreEra(reply.era);
    if (reply.status == StoreStatus::done) {
        m_controllerRevision = reply.revision;
        co_return reply.era == ownRecord.era;
    }
    if (reply.status != StoreStatus::unknown)
        co_return false;
    // The write may have been committed: the record's token tells.
    auto found = co_await m_store.read(controllerKey);
    m_catalog.noteStoreEra(found.delta.era);
    if (found.status != StoreStatus::done || found.delta.changes.empty() || found.delta.era != ownRecord.era)
        co_return false;
    const auto& item = found.delta.changes.front().item;
    auto record = decodeController(item.value);
    if (!record || record->token != ownRecord.token)
        co_return false;
    m_controllerRevision = item.revision;
    co_return true;
}

awaitable<void> ControllerRole::serveTerm()
{
    auto term = ++m_term;
    asio::co_spawn(m_context, renewLeaseLoop(), asio::detached);
    // The key assigner must start from what the store holds after this instance became controller, not from an older
    // copy.
    bool isCurrent = false;
    while (!isCurrent && m_authority.isValid() && !m_leaving) {
        isCurrent = co_await m_follower.reload();
        if (!isCurrent)
            co_await sleepFor(m_context, std::chrono::milliseconds(100));
    }
    if (!isCurrent || term != m_term || !m_authority.isValid() || m_catalog.mirror().era() != m_era)
        co_return stepDown("the store could not be read after the election");
    if (areOwnersRecorded()) {
        startAssigner(m_catalog.keys());
    } else {
        // Servers may hold keys of which no record is left.
        co_await awaitExpiryOfGrants(term);
        if (term == m_term && m_authority.isValid() && m_catalog.storeEra() == m_era) {
            co_await recordOwnersEra();
            startAssigner(KeyOwnerMap::create());
        }
    }
    if (!m_actor)
        co_return stepDown("the store was restored before the owners were known");
    while (m_actor && term == m_term) {
        if (m_catalog.storeEra() != m_era)
            co_await continueInNewEra();
        updateAssigner();
        co_await m_catalog.changed().waitFor(std::chrono::seconds(1));
        if (m_actor && !m_authority.isValid())
            stepDown("the lease expired");
    }
}

bool ControllerRole::areOwnersRecorded() const
{
    const auto* item = m_catalog.mirror().find(ownersEraKey);
    return m_era <= firstEra || (item && item->value == std::to_string(m_era));
}

// The last grant of an earlier era was sent before the authority of its controller ended.
awaitable<void> ControllerRole::awaitExpiryOfGrants(std::uint64_t term)
{
    auto until = m_catalog.storeEraSince() + leaseDuration + m_options.orderTimeout
        + withMargin(m_options.grantDuration, m_options.clockMargin) + m_options.expiryMargin;
    logEvent(LogLevel::warn, LogEvent::ownersUnknown,
        { { "epoch", std::to_string(m_epoch) }, { "era", std::to_string(m_era) },
            { "waitMs", std::to_string((until - bootNow()).count() / 1000) } });
    auto isPending = [&] { return term == m_term && !m_leaving && m_catalog.storeEra() == m_era && bootNow() < until; };
    while (isPending())
        co_await m_termEnded.waitFor(std::min<Duration>(retryInterval, std::max(Duration::zero(), until - bootNow())));
}

// Lets a later controller of this era start from the records.
awaitable<void> ControllerRole::recordOwnersEra()
{
    const auto* item = m_catalog.mirror().find(ownersEraKey);
    ports::StoreTransaction transaction;
    transaction.conditions.push_back({ controllerKey, m_controllerRevision });
    transaction.conditions.push_back({ ownersEraKey, item ? item->revision : 0 });
    transaction.puts.push_back({ ownersEraKey, std::to_string(m_era), 0 });
    auto reply = co_await m_store.commit(std::move(transaction));
    m_catalog.noteStoreEra(reply.era);
    logEvent(LogLevel::info, LogEvent::ownersRecorded,
        { { "epoch", std::to_string(m_epoch) }, { "era", std::to_string(m_era) },
            { "status", std::string(nameOf(reply.status)) } });
}

// This instance knows all owners and has authority until its lease of the earlier era would have ended, and no other
// instance campaigns before that. It takes the office again, under a new epoch, and has all owners recorded again.
awaitable<void> ControllerRole::continueInNewEra()
{
    auto term = m_term;
    while (term == m_term && m_authority.isValid() && m_catalog.storeEra() != m_era) {
        bool isCurrent = co_await m_follower.reload();
        bool isElected = false;
        if (isCurrent && m_catalog.mirror().era() == m_catalog.storeEra()) {
            const auto& controller = m_catalog.controller();
            if (controller && !isOfEarlierEra(*controller, m_catalog.storeEra()))
                co_return stepDown("another instance was elected after the store was restored");
            isElected = co_await campaign();
        }
        if (!isElected)
            co_await sleepFor(m_context, std::chrono::milliseconds(100));
    }
    if (term != m_term || !m_actor || !m_authority.isValid())
        co_return;
    m_chunkRevisions = recordedChunks();
    m_hooks.metrics->setEpoch(m_epoch);
    logEvent(LogLevel::warn, LogEvent::controllerWon,
        { { "epoch", std::to_string(m_epoch) }, { "revision", std::to_string(m_controllerRevision) },
            { "chunks", std::to_string(m_chunkRevisions.size()) }, { "era", std::to_string(m_era) } });
    tell(OwnerRecordsLost { m_epoch });
}

std::map<ChunkId, Revision> ControllerRole::recordedChunks() const
{
    std::map<ChunkId, Revision> revisions;
    for (const auto& it : m_catalog.mirror().items()) {
        if (auto chunk = parseOwnersKey(it.first))
            revisions[*chunk] = it.second.revision;
    }
    return revisions;
}

void ControllerRole::startAssigner(const KeyOwnerMap& recorded)
{
    m_chunkRevisions = recordedChunks();
    auto assigner = KeyAssigner::create(m_options, m_epoch, recorded, monotonicNow());
    auto term = m_term;
    auto hook = [this, term](std::vector<KeyAction> actions, std::optional<KeyWorkload> workload) {
        asio::post(m_context, [this, term, actions = std::move(actions), workload = std::move(workload)] {
            if (term != m_term || !m_actor)
                return;
            if (workload)
                reportWorkload(*workload);
            for (const auto& it : actions)
                perform(it);
        });
    };
    m_actor = KeyAssignerActor::create(std::move(assigner), std::move(hook));
    m_hooks.metrics->setIsController(true);
    m_hooks.metrics->setEpoch(m_epoch);
    logEvent(LogLevel::info, LogEvent::controllerWon,
        { { "epoch", std::to_string(m_epoch) }, { "revision", std::to_string(m_controllerRevision) },
            { "chunks", std::to_string(m_chunkRevisions.size()) }, { "era", std::to_string(m_era) } });
}

void ControllerRole::reportWorkload(const KeyWorkload& workload)
{
    for (const auto& it : workload.rangesByState)
        m_hooks.metrics->setServers(it.first, it.second);
    if (monotonicNow() - m_workloadLoggedAt < workloadLogInterval)
        return;
    m_workloadLoggedAt = monotonicNow();
    logEvent(LogLevel::info, LogEvent::controllerWorkload,
        { { "epoch", std::to_string(m_epoch) }, { "ranges", std::to_string(workload.ranges) },
            { "ordersSent", std::to_string(workload.ordersSent) },
            { "ordersInFlight", std::to_string(workload.ordersInFlight) },
            { "overdueMs", std::to_string(workload.longestOverdue.count() / 1000) } });
}

void ControllerRole::updateAssigner()
{
    KeyServicesChanged services;
    if (m_catalog.desiredState()) {
        services.isLoadUneven = m_catalog.desiredState()->callsForCoordination();
        for (const auto& it : m_catalog.desiredState()->services()) {
            if (it.second.isSharded)
                services.services.insert(it.first);
        }
    }
    KeyServersChanged servers;
    for (const auto& it : m_catalog.servers().servers()) {
        const auto* service
            = m_catalog.desiredState() ? m_catalog.desiredState()->service(it.second.entry.service) : nullptr;
        if (!service)
            continue;
        servers.servers.push_back(it.second);
        if (service->warmupPerSecond)
            servers.servers.back().coldRate = *service->warmupPerSecond;
    }
    tell(std::move(services));
    tell(std::move(servers));
}

void ControllerRole::tell(KeyEvent event)
{
    if (m_actor)
        m_actor->tell(std::move(event));
}

void ControllerRole::stepDown(const std::string& reason)
{
    if (m_actor)
        logEvent(
            LogLevel::warn, LogEvent::controllerLost, { { "epoch", std::to_string(m_epoch) }, { "reason", reason } });
    ++m_term;
    m_authority.revoke();
    m_actor.reset();
    m_hooks.metrics->setIsController(false);
    m_termEnded.notifyAll();
    m_catalog.changed().notifyAll();
}

awaitable<void> ControllerRole::renewLeaseLoop()
{
    auto term = m_term;
    auto interval = leaseDuration / renewalsPerLease;
    while (term == m_term && !m_leaving) {
        co_await m_termEnded.waitFor(interval);
        if (term != m_term || m_leaving)
            co_return;
        if (m_catalog.storeEra() != m_era)
            continue;
        auto era = m_era;
        auto requestedAt = LeaseAuthority::now();
        auto reply = co_await m_store.renewLease(m_lease);
        m_catalog.noteStoreEra(reply.era);
        if (term != m_term)
            co_return;
        // A restored store may have given the lease's number to another instance.
        bool isOfEra = era == m_era && reply.era == era;
        if (isOfEra && reply.status == StoreStatus::done)
            m_authority.extendTo(requestedAt + reply.duration - authorityMargin);
        if (isOfEra && reply.status == StoreStatus::missing)
            co_return stepDown("the store no longer has the lease");
        if (!m_authority.isValid())
            co_return stepDown("the lease was not renewed in time");
    }
}

awaitable<void> ControllerRole::leave()
{
    m_leaving = true;
    bool wasController = m_actor != nullptr;
    auto lease = m_lease;
    stepDown("this instance is shutting down");
    if (!wasController || m_catalog.storeEra() != m_era)
        co_return;
    auto ended = co_await m_store.revokeLease(lease);
    logEvent(LogLevel::info, LogEvent::controllerLost,
        { { "epoch", std::to_string(m_epoch) }, { "reason", "stepped down at shutdown" },
            { "leaseEnded", std::string(nameOf(ended)) } });
}

std::function<bool()> ControllerRole::authorityCheck()
{
    return [this, term = m_term] { return term == m_term && m_authority.isValid(); };
}

void ControllerRole::perform(const KeyAction& action)
{
    if (const auto* grant = std::get_if<SendKeyGrant>(&action))
        asio::co_spawn(m_context, sendGrant(*grant), asio::detached);
    else if (const auto* release = std::get_if<SendKeyRelease>(&action))
        asio::co_spawn(m_context, sendRelease(*release), asio::detached);
    else if (const auto* write = std::get_if<WriteOwnerChunks>(&action))
        asio::co_spawn(m_context, writeChunks(*write), asio::detached);
    else if (const auto* recorded = std::get_if<OwnersRecorded>(&action)) {
        // Of an earlier era otherwise.
        if (recorded->epoch == m_epoch)
            asio::co_spawn(m_context, recordOwnersEra(), asio::detached);
    } else if (std::holds_alternative<CheckAuthority>(action))
        asio::co_spawn(m_context, checkAuthority(), asio::detached);
    else if (const auto* decision = std::get_if<KeyDecision>(&action))
        logEvent(LogLevel::info, LogEvent::keyDecision,
            { { "epoch", std::to_string(m_epoch) }, { "service", decision->service },
                { "keys", std::to_string(decision->range.from) + "-" + std::to_string(decision->range.to) },
                { "what", decision->what }, { "server", decision->server }, { "reason", decision->reason } });
}

awaitable<void> ControllerRole::sendGrant(SendKeyGrant order)
{
    auto term = m_term;
    auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.orderTimeout);
    auto ended = co_await m_orders.grant(std::move(order), timeout, authorityCheck());
    if (term == m_term)
        tell(std::move(ended));
}

awaitable<void> ControllerRole::sendRelease(SendKeyRelease order)
{
    auto term = m_term;
    auto ended = co_await m_orders.release(std::move(order), releaseTimeout, authorityCheck());
    if (term == m_term)
        tell(std::move(ended));
}

awaitable<void> ControllerRole::writeChunks(WriteOwnerChunks write)
{
    auto term = m_term;
    ports::StoreTransaction transaction;
    transaction.conditions.push_back({ controllerKey, m_controllerRevision });
    for (const auto& it : write.chunks) {
        transaction.conditions.push_back({ ownersKey(it.first), m_chunkRevisions[it.first] });
        transaction.puts.push_back({ ownersKey(it.first), encodeOwnerChunk(it.second), 0 });
    }
    auto era = m_era;
    auto reply = co_await m_store.commit(std::move(transaction));
    m_catalog.noteStoreEra(reply.era);
    if (term != m_term)
        co_return;
    bool isOfEra = era == m_era && (reply.era == era || reply.era == 0);
    if (!isOfEra) {
        // Written again under the new epoch.
        reply.status = StoreStatus::unknown;
    } else if (reply.status == StoreStatus::done) {
        for (const auto& it : write.chunks)
            m_chunkRevisions[it.first] = reply.revision;
    } else if (reply.status == StoreStatus::conflict) {
        // An earlier write without a response was committed after all, or another instance is controller.
        std::map<std::string, Revision> found;
        for (const auto& it : reply.currentItems)
            found[it.key] = it.revision;
        auto controller = found.find(controllerKey);
        if (controller == found.end() || controller->second != m_controllerRevision)
            co_return stepDown("the store names another controller");
        for (const auto& it : write.chunks)
            m_chunkRevisions[it.first] = found[ownersKey(it.first)];
    }
    if (reply.status != StoreStatus::done)
        logEvent(LogLevel::warn, LogEvent::storeCallFailed,
            { { "call", "writeOwners" }, { "status", std::string(nameOf(reply.status)) } });
    tell(OwnerWriteEnded { reply.status == StoreStatus::done });
}

awaitable<void> ControllerRole::checkAuthority()
{
    auto term = m_term;
    auto found = co_await m_store.read(controllerKey);
    m_catalog.noteStoreEra(found.delta.era);
    if (found.delta.era != m_era)
        co_return;
    bool isStillController = found.status == StoreStatus::done && !found.delta.changes.empty()
        && found.delta.changes.front().item.revision == m_controllerRevision;
    bool isKnown = found.status == StoreStatus::done || found.status == StoreStatus::missing;
    if (term == m_term && isKnown && !isStillController)
        stepDown("the store names another controller");
}

void ControllerRole::handleReport(LoadReport report)
{
    for (const auto& it : report.leaving)
        m_catalog.noteLeaving(it, "peer");
    tell(KeyLoadReported { std::move(report) });
}

awaitable<void> ControllerRole::reportLoad()
{
    while (!m_leaving) {
        co_await sleepFor(m_context, reportInterval);
        LoadReport report;
        report.keys = std::move(m_keyCounts);
        m_keyCounts.clear();
        m_hooks.addServerReports(report);
        for (const auto& it : m_catalog.servers().servers()) {
            if (it.second.hasSaidLeaving && it.second.status == ServerStatus::draining && !it.second.entry.draining)
                report.leaving.push_back(it.second.entry.run);
        }
        if (report.keys.empty() && report.times.empty() && report.leaving.empty())
            continue;
        if (m_actor) {
            handleReport(std::move(report));
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
