#pragma once

#include "acaciagauge/detail/common/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciagauge {

/// @brief Revision of the platform's store; rises with every change.
using Revision = std::uint64_t;

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

/// @brief What a mirror knows beyond some revision.
struct StoreDelta {
    Revision revision = 0; ///< All changes up to this revision are known.
    bool isSnapshot = false; ///< The changes are all items; a key that is not among them does not exist.
    std::vector<StoreChange> changes;
    std::optional<std::uint64_t> checksum; ///< Of all items of the mirror that tells this; the store tells none.
};

/// @brief What a peer knows of the store beyond some revision, and how fresh its knowledge is.
struct StoreUpdate {
    StoreDelta delta;
    Duration age { 0 }; ///< At the answer: since the store last confirmed that nothing newer exists.
    Duration held { 0 }; ///< How long the question waited for the answer at the peer.
    Duration availableFor {
        0
    }; ///< At the answer: how long the peer knows the store to have answered without an outage.
};

/// @brief Copy of the store's keys in memory. Orders all changes by revision and never goes back.
class StoreMirror {
public:
    struct Options {
        std::size_t maxTombstones = 4096; ///< Removals that are kept for peers.
    };

    static StoreMirror create(Options options);

    /// @brief Takes changes in.
    /// @return the changes that were new, in order of revision
    /// @complexity O(n log m) for n changes and m items
    std::vector<StoreChange> apply(StoreDelta delta);

    /// @brief Returns what changed after a revision, as a snapshot if removals since then were forgotten.
    ///
    /// Removals from before this mirror's first snapshot are not among the changes: whoever takes them in compares
    /// checksums.
    [[nodiscard]] StoreDelta changesSince(Revision revision) const;

    /// @brief Returns false if another mirror of the same revision holds other items.
    [[nodiscard]] bool matchesChecksum(Revision at, std::optional<std::uint64_t> checksum) const;

    /// @brief Returns the revision up to which all changes are known; 0 before the first delta.
    [[nodiscard]] Revision revision() const { return m_at; }

    /// @brief Finds an item; null if the key does not exist.
    [[nodiscard]] const StoreItem* find(const std::string& key) const;

    [[nodiscard]] const std::map<std::string, StoreItem>& items() const { return m_items; }

private:
    explicit StoreMirror(Options options)
        : m_options(options)
    {
    }
    bool applyOne(const StoreChange& change);
    static std::uint64_t checksumOf(const StoreItem& item);
    void remember(const std::string& key, Revision revision);

    Options m_options;
    Revision m_at = 0;
    std::map<std::string, StoreItem> m_items;
    std::uint64_t m_checksum = 0; ///< Sum over all items.
    std::map<std::string, Revision> m_tombstones; ///< Removed keys and the revision of their removal.
    std::deque<std::pair<Revision, std::string>> m_tombstoneOrder;
    Revision m_forgottenUpTo = 0; ///< Removals up to this revision may be unknown.
};

} // namespace acaciagauge
