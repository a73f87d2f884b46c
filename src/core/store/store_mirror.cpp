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

void StoreMirror::addTombstone(const std::string& key, Revision revision)
{
    m_tombstones[key] = revision;
    m_tombstoneOrder.emplace_back(revision, key);
    while (m_tombstoneOrder.size() > m_options.maxTombstones) {
        auto [oldRevision, oldKey] = m_tombstoneOrder.front();
        m_tombstoneOrder.pop_front();
        auto it = m_tombstones.find(oldKey);
        if (it != m_tombstones.end() && it->second == oldRevision)
            m_tombstones.erase(it);
        m_evictedUpTo = std::max(m_evictedUpTo, oldRevision);
    }
}

std::uint64_t StoreMirror::checksumOf(const StoreItem& item)
{
    return XXH3_64bits_withSeed(item.key.data(), item.key.size(), item.revision);
}

bool StoreMirror::matchesChecksum(Revision revision, std::optional<std::uint64_t> checksum) const
{
    return !checksum || revision != m_revision || *checksum == m_checksum;
}

bool StoreMirror::applyOne(const StoreChange& change)
{
    const auto& key = change.item.key;
    auto revision = change.item.revision;
    auto tombstone = m_tombstones.find(key);
    if (tombstone != m_tombstones.end() && tombstone->second >= revision)
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
        addTombstone(key, revision);
        return existed;
    }
    m_checksum += checksumOf(change.item);
    m_items[key] = change.item;
    return true;
}

// Revisions of the earlier era say nothing about those of the snapshot.
std::vector<StoreChange> StoreMirror::replaceAll(StoreDelta snapshot)
{
    auto formerItems = std::move(m_items);
    m_items.clear();
    m_tombstones.clear();
    m_tombstoneOrder.clear();
    m_evictedUpTo = 0;
    m_checksum = 0;
    m_era = snapshot.era;
    m_revision = snapshot.revision;
    std::vector<StoreChange> applied;
    for (auto& it : snapshot.changes) {
        formerItems.erase(it.item.key);
        applyOne(it);
        applied.push_back(std::move(it));
    }
    for (const auto& it : formerItems)
        applied.push_back({ { it.first, {}, m_revision }, true });
    return applied;
}

std::vector<StoreChange> StoreMirror::apply(StoreDelta delta)
{
    if (delta.era < m_era)
        return {};
    if (delta.era > m_era)
        return delta.isSnapshot ? replaceAll(std::move(delta)) : std::vector<StoreChange>();
    // A key missing from a snapshot older than this mirror may have been created after the snapshot was taken.
    if (delta.isSnapshot && delta.revision < m_revision)
        delta.isSnapshot = false;
    if (delta.isSnapshot) {
        std::map<std::string, bool> listed;
        for (const auto& it : delta.changes)
            listed[it.item.key] = true;
        for (const auto& it : m_items) {
            // An item with a newer revision was written after the snapshot.
            if (!listed.contains(it.first) && it.second.revision <= delta.revision)
                delta.changes.push_back({ { it.first, {}, delta.revision }, true });
        }
    }
    std::stable_sort(delta.changes.begin(), delta.changes.end(),
        [](const auto& a, const auto& b) { return a.item.revision < b.item.revision; });
    std::vector<StoreChange> applied;
    for (const auto& it : delta.changes) {
        if (applyOne(it))
            applied.push_back(it);
    }
    m_revision = std::max(m_revision, delta.revision);
    return applied;
}

StoreDelta StoreMirror::changesSince(StoreEra era, Revision revision) const
{
    StoreDelta delta;
    delta.era = m_era;
    delta.revision = m_revision;
    delta.checksum = m_checksum;
    if (era > m_era)
        return delta;
    delta.isSnapshot = era < m_era || revision < m_evictedUpTo || revision == 0;
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
