#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace acaciagauge {

StoreMirror StoreMirror::create(Options options)
{
    return StoreMirror(options);
}

const StoreItem* StoreMirror::find(const std::string& key) const
{
    auto it = m_items.find(key);
    return it == m_items.end() ? nullptr : &it->second;
}

void StoreMirror::remember(const std::string& key, Revision revision)
{
    m_tombstones[key] = revision;
    m_tombstoneOrder.emplace_back(revision, key);
    while (m_tombstoneOrder.size() > m_options.maxTombstones) {
        auto [oldRevision, oldKey] = m_tombstoneOrder.front();
        m_tombstoneOrder.pop_front();
        auto it = m_tombstones.find(oldKey);
        if (it != m_tombstones.end() && it->second == oldRevision)
            m_tombstones.erase(it);
        m_forgottenUpTo = std::max(m_forgottenUpTo, oldRevision);
    }
}

std::uint64_t StoreMirror::checksumOf(const StoreItem& item)
{
    return XXH3_64bits_withSeed(item.key.data(), item.key.size(), item.revision);
}

bool StoreMirror::matchesChecksum(Revision at, std::optional<std::uint64_t> checksum) const
{
    return !checksum || at != m_at || *checksum == m_checksum;
}

bool StoreMirror::applyOne(const StoreChange& change)
{
    const auto& key = change.item.key;
    auto revision = change.item.revision;
    auto dead = m_tombstones.find(key);
    if (dead != m_tombstones.end() && dead->second >= revision)
        return false;
    auto it = m_items.find(key);
    if (it != m_items.end() && it->second.revision >= revision)
        return false;
    bool existed = it != m_items.end();
    if (existed)
        m_checksum -= checksumOf(it->second);
    if (change.removed) {
        if (existed)
            m_items.erase(it);
        remember(key, revision);
        return existed;
    }
    m_checksum += checksumOf(change.item);
    m_items[key] = change.item;
    return true;
}

std::vector<StoreChange> StoreMirror::apply(StoreDelta delta)
{
    // A snapshot that was taken before the newest known change says nothing about what is missing from it.
    if (delta.isSnapshot && delta.revision < m_at)
        delta.isSnapshot = false;
    if (delta.isSnapshot) {
        std::map<std::string, bool> listed;
        for (const auto& it : delta.changes)
            listed[it.item.key] = true;
        for (const auto& it : m_items) {
            // An item newer than the snapshot was written after it.
            if (!listed.contains(it.first) && it.second.revision <= delta.revision)
                delta.changes.push_back({ { it.first, {}, delta.revision }, true });
        }
    }
    std::stable_sort(delta.changes.begin(), delta.changes.end(),
        [](const auto& a, const auto& b) { return a.item.revision < b.item.revision; });
    std::vector<StoreChange> fresh;
    for (const auto& it : delta.changes) {
        if (applyOne(it))
            fresh.push_back(it);
    }
    m_at = std::max(m_at, delta.revision);
    return fresh;
}

StoreDelta StoreMirror::changesSince(Revision revision) const
{
    StoreDelta delta;
    delta.revision = m_at;
    delta.checksum = m_checksum;
    delta.isSnapshot = revision < m_forgottenUpTo || revision == 0;
    for (const auto& it : m_items) {
        if (delta.isSnapshot || it.second.revision > revision)
            delta.changes.push_back({ it.second, false });
    }
    if (delta.isSnapshot)
        return delta;
    for (const auto& it : m_tombstones) {
        if (it.second > revision)
            delta.changes.push_back({ { it.first, {}, it.second }, true });
    }
    return delta;
}

} // namespace acaciagauge
