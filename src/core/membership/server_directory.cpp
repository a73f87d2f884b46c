#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>

namespace acaciagauge {

ServerDirectory ServerDirectory::create(Options options)
{
    return ServerDirectory(options);
}

void ServerDirectory::update(const ServerEntry& entry, TimePoint now, TimePoint changedAfter)
{
    auto it = m_servers.find(entry.run.id);
    bool isNewRun = it == m_servers.end() || it->second.entry.run != entry.run;
    // An entry of an earlier run that arrives late must not replace a newer one.
    if (it != m_servers.end() && entry.run.startedMs < it->second.entry.run.startedMs)
        return;
    m_missing.erase(entry.run.id);
    auto& server = m_servers[entry.run.id];
    if (isNewRun) {
        server = {};
        server.listedAt = now;
    }
    auto status = entry.draining || server.hasSaidLeaving ? ServerStatus::draining : ServerStatus::ready;
    if (isNewRun || server.status != status)
        setStatus(server, status, now, changedAfter);
    else if (entry.draining)
        server.leavingSince = std::min({ server.leavingSince, now, changedAfter });
    server.entry = entry;
    server.warmUntil = now + entry.warmupRemaining;
    auto evacuation = m_evacuations.find(entry.domain);
    server.evacuatedSince = evacuation == m_evacuations.end() ? std::nullopt : std::optional(evacuation->second);
}

void ServerDirectory::noteWarmup(const ServerRun& run, Duration remaining, TimePoint now)
{
    auto it = m_servers.find(run.id);
    if (it != m_servers.end() && it->second.entry.run == run)
        it->second.warmUntil = now + remaining;
}

bool ServerDirectory::startEvacuation(const DomainId& domain, TimePoint now, TimePoint changedAfter)
{
    auto evacuation = m_evacuations.emplace(domain, std::min(now, changedAfter));
    if (!evacuation.second)
        return false;
    for (auto& it : m_servers) {
        if (it.second.entry.domain == domain)
            it.second.evacuatedSince = evacuation.first->second;
    }
    return true;
}

bool ServerDirectory::endEvacuation(const DomainId& domain)
{
    if (m_evacuations.erase(domain) == 0)
        return false;
    for (auto& it : m_servers) {
        if (it.second.entry.domain == domain)
            it.second.evacuatedSince.reset();
    }
    return true;
}

bool ServerDirectory::noteLeaving(const ServerRun& run, TimePoint now)
{
    auto it = m_servers.find(run.id);
    if (it == m_servers.end() || it->second.entry.run != run)
        return false;
    it->second.hasSaidLeaving = true;
    if (it->second.status != ServerStatus::ready)
        return false;
    m_missing.erase(run.id);
    setStatus(it->second, ServerStatus::draining, now, now);
    return true;
}

void ServerDirectory::setStatus(KnownServer& server, ServerStatus status, TimePoint now, TimePoint changedAfter)
{
    // A run that is leaving goes on doing so when its entry is removed, and when an expired entry returns as draining.
    auto since = std::min(now, changedAfter);
    server.leavingSince = server.status == ServerStatus::ready ? since : std::min(server.leavingSince, since);
    server.status = status;
    server.statusSince = now;
}

void ServerDirectory::remove(const ServerId& id, TimePoint now, TimePoint changedAfter)
{
    auto it = m_servers.find(id);
    if (it == m_servers.end() || it->second.status == ServerStatus::gone)
        return;
    bool mayHaveLapsed = m_isStoreUnavailable || now < m_graceEnd;
    if (mayHaveLapsed && it->second.status == ServerStatus::ready) {
        // While this instance cannot reach the store, it learns of removals from peers that can.
        m_missing.emplace(
            id, MissingEntry { m_isStoreUnavailable ? now + m_options.lapseGrace : m_graceEnd, changedAfter });
        return;
    }
    setStatus(it->second, ServerStatus::gone, now, changedAfter);
}

void ServerDirectory::noteStoreAvailable(TimePoint now, bool mayHaveLapsed)
{
    if (!m_isStoreUnavailable)
        return;
    m_isStoreUnavailable = false;
    if (mayHaveLapsed)
        m_graceEnd = now + m_options.lapseGrace;
    for (auto& it : m_missing)
        it.second.graceEnd = std::max(now, m_graceEnd);
}

bool ServerDirectory::expireEntries(TimePoint now)
{
    bool changed = false;
    for (auto it = m_missing.begin(); it != m_missing.end();) {
        if (now < it->second.graceEnd) {
            ++it;
            continue;
        }
        setStatus(m_servers.at(it->first), ServerStatus::gone, now, it->second.removedAfter);
        it = m_missing.erase(it);
        changed = true;
    }
    auto forgottenCount = std::erase_if(m_servers, [&](const auto& it) {
        auto kept = it.second.hasSaidLeaving ? m_options.forgetLeavingAfter : m_options.forgetAfter;
        return it.second.status == ServerStatus::gone && now - it.second.statusSince > kept;
    });
    return changed || forgottenCount > 0;
}

std::optional<TimePoint> ServerDirectory::nextDue() const
{
    std::optional<TimePoint> due;
    for (const auto& it : m_missing) {
        if (!due || it.second.graceEnd < *due)
            due = it.second.graceEnd;
    }
    return due;
}

const KnownServer* ServerDirectory::find(const ServerId& id) const
{
    auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : &it->second;
}

} // namespace acaciagauge
