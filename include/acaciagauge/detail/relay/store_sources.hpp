#pragma once

#include "acaciagauge/detail/common/ids.hpp"
#include "acaciagauge/detail/common/time.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciagauge {

/// @brief Picks whom an instance hears the store's changes from: the store itself, or a peer that watches it.
///
/// Answers the load on the store: in each failure domain a few instances watch, the others follow them. An instance
/// that failed to bring news in time is left out for a while, so its followers and its successor agree without a vote.
class StoreSources {
public:
    struct Options {
        std::size_t followersPerWatcher = 40; ///< Bounds a watcher's processor time and bytes.
        std::size_t spares = 3; ///< Successors of the watchers, and peers of other domains, that are tried.
        Duration suspicion = std::chrono::seconds(5); ///< An instance that failed is left out this long.
    };

    /// @brief An instance that can be asked.
    struct Peer {
        InstanceId id;
        DomainId domain;
        std::string rpcAddress;
    };

    static StoreSources create(Options options, InstanceId self, DomainId domain);

    /// @brief Replaces the known instances.
    void setPeers(std::vector<Peer> peers);

    /// @brief Returns the peer to follow; nothing: watch the store.
    /// @complexity O(n log n) for n instances
    [[nodiscard]] std::optional<Peer> pick(TimePoint now) const;

    /// @brief Leaves an instance out for a while, this one included.
    void suspect(const InstanceId& id, TimePoint now);

private:
    StoreSources(Options options, InstanceId self, DomainId domain);
    [[nodiscard]] bool isSuspect(const InstanceId& id, TimePoint now) const;
    [[nodiscard]] std::vector<InstanceId> trusted(
        const std::vector<InstanceId>& order, std::size_t looked, TimePoint now) const;

    Options m_options;
    InstanceId m_self;
    DomainId m_domain;
    std::map<InstanceId, Peer> m_peers; ///< Without this instance.
    std::vector<InstanceId> m_near; ///< Instances of the own domain, this one included, in the order of their turns.
    std::vector<InstanceId> m_far; ///< Instances of other domains, in this instance's order.
    std::map<InstanceId, TimePoint> m_suspectUntil;
};

} // namespace acaciagauge
