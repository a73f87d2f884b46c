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
    // A late entry of an earlier run must not replace a newer one.
    if (it != m_servers.end() && entry.run.startedMs < it->second.entry.run.startedMs)
        return;
    m_vanished.erase(entry.run.id);
    auto& server = m_servers[entry.run.id];
    auto status = entry.draining ? ServerStatus::draining : ServerStatus::ready;
    if (isNewRun)
        server.listedAt = now;
    if (isNewRun || server.status != status)
        setStatus(server, status, now, changedAfter);
    server.entry = entry;
}

void ServerDirectory::setStatus(KnownServer& server, ServerStatus status, TimePoint now, TimePoint changedAfter)
{
    // A draining server whose entry is removed has been leaving all the while.
    bool wasLeaving = server.status == ServerStatus::draining && status == ServerStatus::gone;
    if (!wasLeaving)
        server.leavingSince = std::min(now, changedAfter);
    server.status = status;
    server.since = now;
}

void ServerDirectory::remove(const ServerId& id, TimePoint now, TimePoint changedAfter)
{
    auto it = m_servers.find(id);
    if (it == m_servers.end() || it->second.status == ServerStatus::gone)
        return;
    bool mayHaveLapsed = m_storeAway || now < m_graceUntil;
    if (mayHaveLapsed && it->second.status == ServerStatus::ready) {
        // While the store is away, removals are heard from peers that reach it.
        m_vanished.emplace(id, Vanished { m_storeAway ? now + m_options.lapseGrace : m_graceUntil, changedAfter });
        return;
    }
    setStatus(it->second, ServerStatus::gone, now, changedAfter);
}

void ServerDirectory::noteStoreAvailable(TimePoint now, bool mayHaveLapsed)
{
    if (!m_storeAway)
        return;
    m_storeAway = false;
    if (mayHaveLapsed)
        m_graceUntil = now + m_options.lapseGrace;
    for (auto& it : m_vanished)
        it.second.graceUntil = std::max(now, m_graceUntil);
}

bool ServerDirectory::expireEntries(TimePoint now)
{
    bool changed = false;
    for (auto it = m_vanished.begin(); it != m_vanished.end();) {
        if (now < it->second.graceUntil) {
            ++it;
            continue;
        }
        setStatus(m_servers.at(it->first), ServerStatus::gone, now, it->second.removedAfter);
        it = m_vanished.erase(it);
        changed = true;
    }
    auto forgotten = std::erase_if(m_servers, [&](const auto& it) {
        return it.second.status == ServerStatus::gone && now - it.second.since > m_options.forgetAfter;
    });
    return changed || forgotten > 0;
}

std::optional<TimePoint> ServerDirectory::nextDue() const
{
    std::optional<TimePoint> due;
    for (const auto& it : m_vanished) {
        if (!due || it.second.graceUntil < *due)
            due = it.second.graceUntil;
    }
    return due;
}

const KnownServer* ServerDirectory::find(const ServerId& id) const
{
    auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : &it->second;
}

} // namespace acaciagauge
