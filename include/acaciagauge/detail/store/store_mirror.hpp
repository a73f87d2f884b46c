#pragma once

#include "acaciagauge/detail/common/ids.hpp"
#include "acaciagauge/detail/common/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciagauge {

/// @brief Revision of the platform's store; increases with every change.
using Revision = std::uint64_t;

/// @brief Increases whenever the store was restored from an older copy. Revisions are given out again after that, so
/// they are comparable only within an era.
using StoreEra = std::uint64_t;

/// @brief A key's value and the revision that wrote it.
struct StoreItem {
    std::string key;
    std::string value;
    Revision revision = 0;
};

/// @brief One change of the store.
struct StoreChange {
    StoreItem item; ///< Without a value if the key was removed.
    bool removed = false;
};

/// @brief Changes of the store after some revision, or a snapshot of it.
struct StoreDelta {
    Revision revision = 0; ///< Includes all changes up to this revision.
    bool isSnapshot = false; ///< The changes are all items; a key that is not among them does not exist.
    std::vector<StoreChange> changes;
    std::optional<std::uint64_t> checksum; ///< Of all items of the mirror that sends this; the store sends none.
    StoreEra era = 0;
};

/// @brief A peer's response to a request for the changes of the store. Times are as of the response.
struct StoreUpdate {
    StoreDelta delta;
    Duration age { 0 }; ///< Time since the store last confirmed that nothing newer exists.
    Duration held { 0 }; ///< How long the peer held the request until it responded (long polling).
    Duration availableFor { 0 }; ///< How long the store has responded to the peer without an outage.
    InstanceId source; ///< Instance that the peer follows; empty if it watches the store.
};

/// @brief In-memory replica of the store's keys. Orders all changes by era and revision; neither goes back.
class StoreMirror {
public:
    struct Options {
        std::size_t maxTombstones = 4096; ///< Removed keys that are kept for peers that ask for changes.
    };

    static StoreMirror create(Options options);

    /// @brief Applies changes. Those of an earlier era are ignored, and of a later one, all that are no snapshot.
    /// @return the changes that were new, in order of revision; after a snapshot of a later era, all its items
    /// @complexity O(n log m) for n changes and m items
    std::vector<StoreChange> apply(StoreDelta delta);

    /// @brief Returns the changes after a revision of an era. It is a snapshot if tombstones of removals since then
    /// were evicted or if the era has ended, and empty if the era is later than this mirror's.
    ///
    /// Removals before this mirror's first snapshot are not included: the receiver detects them by comparing checksums.
    [[nodiscard]] StoreDelta changesSince(StoreEra era, Revision revision) const;

    /// @brief Returns false if a mirror with this checksum has the same revision as this one, but different items.
    [[nodiscard]] bool matchesChecksum(Revision revision, std::optional<std::uint64_t> checksum) const;

    /// @brief Returns the revision up to which all changes are included; 0 before the first delta.
    [[nodiscard]] Revision revision() const { return m_revision; }

    /// @brief Returns the era of the items.
    [[nodiscard]] StoreEra era() const { return m_era; }

    /// @brief Finds an item; null if the key does not exist.
    [[nodiscard]] const StoreItem* find(const std::string& key) const;

    [[nodiscard]] const std::map<std::string, StoreItem>& items() const { return m_items; }

private:
    explicit StoreMirror(Options options)
        : m_options(options)
    {
    }
    bool applyOne(const StoreChange& change);
    std::vector<StoreChange> replaceAll(StoreDelta snapshot);
    static std::uint64_t checksumOf(const StoreItem& item);
    void addTombstone(const std::string& key, Revision revision);

    Options m_options;
    StoreEra m_era = 0;
    Revision m_revision = 0;
    std::map<std::string, StoreItem> m_items;
    std::uint64_t m_checksum = 0; ///< Sum of the hashes of all items.
    std::map<std::string, Revision> m_tombstones; ///< Removed keys and the revision of their removal.
    std::deque<std::pair<Revision, std::string>> m_tombstoneOrder;
    Revision m_evictedUpTo = 0; ///< Tombstones of removals up to this revision may have been evicted.
};

} // namespace acaciagauge
