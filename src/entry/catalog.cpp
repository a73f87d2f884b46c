#include "entry/catalog.hpp"

#include "daemon/log.hpp"

namespace acaciagauge::entry {

using daemon::logEvent;
using daemon::LogEvent;
using daemon::LogLevel;

namespace {

    /// Time in which members write their records again after the store was restored.
    constexpr auto memberReturnTime = std::chrono::seconds(3);

    /// Upper bound of the time for which a response may say that its server is cold.
    constexpr auto maxWarmup = std::chrono::hours(1);

    /// Time in which an operator writes an evacuation again that a restored store lacks. Without a limit, an operator
    /// could not end it: a removal of a key that the store does not have is no change.
    constexpr auto evacuationReturnTime = std::chrono::seconds(60);

} // namespace

Catalog::Catalog(boost::asio::io_context& context, ports::DocumentsPort documents)
    : m_documents(std::move(documents))
    , m_mirror(StoreMirror::create({}))
    , m_servers(ServerDirectory::create({}))
    , m_keys(KeyOwnerMap::create())
    , m_changed(context)
{
}

void Catalog::apply(StoreDelta delta, std::string_view source, TimePoint changedAfter)
{
    m_source = source;
    m_changedAfter = changedAfter;
    m_changeAgeMs = changedAfter == TimePoint {} ? "" : std::to_string((monotonicNow() - changedAfter).count() / 1000);
    noteStoreEra(delta.era);
    m_isRestoring = isLoaded() && delta.isSnapshot && delta.era > m_mirror.era();
    if (m_isRestoring)
        m_servers.noteStoreRestored(monotonicNow());
    for (const auto& it : m_mirror.apply(std::move(delta)))
        applyChange(it);
    m_isRestoring = false;
    m_changed.notifyAll();
}

void Catalog::noteStoreEra(StoreEra era)
{
    if (era <= m_storeEra)
        return;
    logEvent(isLoaded() ? LogLevel::warn : LogLevel::info, LogEvent::storeEra,
        { { "era", std::to_string(era) }, { "former", std::to_string(m_storeEra) },
            { "revision", std::to_string(m_mirror.revision()) } });
    m_storeEra = era;
    m_storeEraSince = bootNow();
    m_changed.notifyAll();
}

void Catalog::updateStoreAvailability(StoreFreshness::Change change)
{
    if (change == StoreFreshness::Change::none)
        return;
    m_isStoreAvailable = change != StoreFreshness::Change::unavailable;
    auto revision = std::to_string(m_mirror.revision());
    if (m_isStoreAvailable) {
        bool mayHaveLapsed = change == StoreFreshness::Change::availableAfterOutage;
        m_servers.noteStoreAvailable(monotonicNow(), mayHaveLapsed);
        logEvent(LogLevel::info, LogEvent::storeAvailable,
            { { "revision", revision }, { "entriesMayHaveLapsed", mayHaveLapsed ? "true" : "false" } });
    } else {
        m_servers.noteStoreUnavailable();
        logEvent(LogLevel::warn, LogEvent::storeUnavailable, { { "revision", revision } });
    }
    m_changed.notifyAll();
}

void Catalog::noteLeaving(const ServerRun& run, std::string_view source)
{
    if (!m_servers.noteLeaving(run, monotonicNow()))
        return;
    const auto& entry = m_servers.find(run.id)->entry;
    logEvent(LogLevel::info, LogEvent::serverLeaving,
        { { "server", run.id }, { "service", entry.service }, { "domain", entry.domain },
            { "started", std::to_string(run.startedMs) }, { "revision", std::to_string(m_mirror.revision()) },
            { "source", std::string(source) }, { "ageMs", "0" } });
    m_changed.notifyAll();
}

void Catalog::noteWarmup(const ServerRun& run, std::chrono::duration<double, std::milli> remaining)
{
    auto limited = std::min<std::chrono::duration<double, std::milli>>(remaining, maxWarmup);
    m_servers.noteWarmup(run, std::chrono::duration_cast<Duration>(limited), monotonicNow());
}

void Catalog::removeLapsed()
{
    auto now = monotonicNow();
    bool isChanged = m_servers.expireEntries(now);
    for (auto it = m_missingMembers.begin(); it != m_missingMembers.end();) {
        if (now < it->second) {
            ++it;
            continue;
        }
        m_members.erase(it->first);
        ++m_memberChanges;
        it = m_missingMembers.erase(it);
        isChanged = true;
    }
    for (auto it = m_missingEvacuations.begin(); it != m_missingEvacuations.end();) {
        if (now < it->second) {
            ++it;
            continue;
        }
        endEvacuation(it->first, std::to_string(m_mirror.revision()));
        it = m_missingEvacuations.erase(it);
        isChanged = true;
    }
    if (isChanged)
        m_changed.notifyAll();
}

std::optional<TimePoint> Catalog::nextRemoval() const
{
    auto due = m_servers.nextDue();
    for (const auto& it : m_missingMembers)
        due = std::min(due.value_or(it.second), it.second);
    for (const auto& it : m_missingEvacuations)
        due = std::min(due.value_or(it.second), it.second);
    return due;
}

void Catalog::applyChange(const StoreChange& change)
{
    const auto& key = change.item.key;
    if (key == m_documents.configurationKey)
        applyDesiredState(change);
    else if (key.starts_with(m_documents.serversPrefix))
        applyServer(change, monotonicNow());
    else if (!m_documents.evacuationsPrefix.empty() && key.starts_with(m_documents.evacuationsPrefix))
        applyEvacuation(change, monotonicNow());
    else if (key.starts_with(membersPrefix))
        applyMember(change);
    else if (key == controllerKey)
        applyController(change);
    else if (auto chunk = parseOwnersKey(key))
        applyOwners(*chunk, change);
}

void Catalog::logSkipped(const StoreChange& change, const std::string& reason)
{
    logEvent(LogLevel::warn, LogEvent::documentSkipped,
        { { "key", change.item.key }, { "revision", std::to_string(change.item.revision) }, { "reason", reason } });
}

void Catalog::applyDesiredState(const StoreChange& change)
{
    if (change.removed)
        return logSkipped(change, "the desired state was removed; the previous one stays in force");
    auto state = m_documents.decodeDesiredState(change.item.value);
    if (!state)
        return logSkipped(change, state.error().message);
    if (m_desiredState && (*state)->version() < m_desiredState->version())
        return logSkipped(change, "version " + std::to_string((*state)->version()) + " is older than the one in force");
    m_desiredState = *state;
    logEvent(LogLevel::info, LogEvent::desiredStateInForce,
        { { "version", std::to_string(m_desiredState->version()) },
            { "revision", std::to_string(change.item.revision) },
            { "routes", std::to_string(m_desiredState->routeCount()) }, { "source", m_source },
            { "ageMs", m_changeAgeMs } });
}

void Catalog::applyServer(const StoreChange& change, TimePoint now)
{
    auto id = change.item.key.substr(m_documents.serversPrefix.size());
    auto revision = std::to_string(change.item.revision);
    if (change.removed) {
        m_servers.remove(id, now, m_changedAfter);
        logEvent(LogLevel::info, LogEvent::serverGone,
            { { "server", id }, { "revision", revision }, { "source", m_source }, { "ageMs", m_changeAgeMs } });
        return;
    }
    auto entry = m_documents.decodeServer(id, change.item.value);
    if (!entry)
        return logSkipped(change, entry.error().message);
    const auto* known = m_servers.find(id);
    bool isChanged = !known || known->entry.run != entry->run || known->entry.draining != entry->draining
        || known->status == ServerStatus::gone;
    // The copy may be older than the server's leaving. An entry with a higher sequence was written after the restore.
    bool isOutdated = m_isRestoring && known && known->entry.run == entry->run && known->status != ServerStatus::ready
        && entry->sequence <= known->entry.sequence;
    if (isOutdated)
        return logSkipped(change, "the restored entry is older than the server's leaving");
    m_servers.update(*entry, now, m_changedAfter);
    if (isChanged)
        logEvent(LogLevel::info, entry->draining ? LogEvent::serverLeaving : LogEvent::serverListed,
            { { "server", id }, { "service", entry->service }, { "domain", entry->domain },
                { "started", std::to_string(entry->run.startedMs) }, { "revision", revision }, { "source", m_source },
                { "ageMs", m_changeAgeMs } });
}

void Catalog::applyEvacuation(const StoreChange& change, TimePoint now)
{
    auto domain = change.item.key.substr(m_documents.evacuationsPrefix.size());
    if (domain.empty())
        return;
    auto revision = std::to_string(change.item.revision);
    if (change.removed && m_isRestoring) {
        // The copy is older than the evacuation; no operator ended it.
        m_missingEvacuations.emplace(domain, now + evacuationReturnTime);
        return;
    }
    m_missingEvacuations.erase(domain);
    if (change.removed)
        return endEvacuation(domain, revision);
    if (!m_servers.startEvacuation(domain, now, m_changedAfter))
        return;
    logEvent(LogLevel::warn, LogEvent::evacuationStarted,
        { { "domain", domain }, { "keys", std::to_string(keysOwnedIn(domain)) }, { "revision", revision },
            { "source", m_source }, { "ageMs", m_changeAgeMs } });
}

void Catalog::endEvacuation(const DomainId& domain, const std::string& revision)
{
    if (!m_servers.endEvacuation(domain))
        return;
    logEvent(LogLevel::warn, LogEvent::evacuationEnded,
        { { "domain", domain }, { "keys", std::to_string(keysOwnedIn(domain)) }, { "revision", revision },
            { "source", m_source }, { "ageMs", m_changeAgeMs } });
}

void Catalog::applyMember(const StoreChange& change)
{
    auto id = change.item.key.substr(std::string_view(membersPrefix).size());
    if (change.removed && m_isRestoring) {
        m_missingMembers.emplace(id, monotonicNow() + memberReturnTime);
        return;
    }
    std::optional<MemberRecord> member;
    if (!change.removed) {
        auto decoded = decodeMember(change.item.value);
        if (!decoded)
            return logSkipped(change, decoded.error().message);
        member = *decoded;
    }
    ++m_memberChanges;
    m_missingMembers.erase(id);
    m_members.erase(id);
    if (member)
        m_members[id] = *member;
}

void Catalog::applyController(const StoreChange& change)
{
    // A controller keeps its office when the store is restored, until it is replaced or its lease would have ended.
    if (change.removed && m_isRestoring)
        return;
    if (change.removed) {
        m_controller.reset();
        return;
    }
    auto controller = decodeController(change.item.value);
    if (!controller)
        return logSkipped(change, controller.error().message);
    if (m_isRestoring && m_controller && controller->epoch < m_controller->epoch)
        return logSkipped(change, "the restored controller is of an earlier epoch");
    m_controller = *controller;
}

void Catalog::applyOwners(const ChunkId& id, const StoreChange& change)
{
    if (change.removed && m_isRestoring)
        return;
    if (change.removed)
        return m_keys.erase(id);
    auto chunk = decodeOwnerChunk(id.number, change.item.value);
    if (!chunk)
        return logSkipped(change, chunk.error().message);
    // Only what a controller wrote after the store was restored is newer than what is known.
    auto known = m_keys.chunks().find(id);
    if (m_isRestoring && known != m_keys.chunks().end() && chunk->epoch <= known->second.epoch)
        return;
    m_keys.set(id, std::move(*chunk));
}

std::size_t Catalog::keysOwnedIn(const DomainId& domain) const
{
    std::size_t count = 0;
    for (const auto& chunk : m_keys.chunks()) {
        for (const auto& it : chunk.second.owners) {
            const auto* owner = m_servers.find(it.owner.id);
            if (owner && owner->entry.domain == domain)
                count += it.range.width();
        }
    }
    return count;
}

std::vector<const KnownServer*> Catalog::readyServers(const ServiceName& service) const
{
    std::vector<const KnownServer*> ready;
    for (const auto& it : m_servers.servers()) {
        if (it.second.entry.service == service && it.second.isUsable())
            ready.push_back(&it.second);
    }
    return ready;
}

} // namespace acaciagauge::entry
