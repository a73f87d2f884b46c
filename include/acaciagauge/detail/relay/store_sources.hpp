#pragma once

#include "acaciagauge/detail/common/ids.hpp"
#include "acaciagauge/detail/common/time.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciagauge {

/// @brief Selects the source from which an instance receives the store's changes: the store itself, or a peer.
///
/// Limits the load on the store: in each failure domain a few instances watch it, and the others follow these watchers.
/// A watcher that did not deliver in time is suspected and skipped for a while by all its followers, so that they and
/// its successor agree without a vote.
class StoreSources {
public:
    struct Options {
        std::size_t followersPerWatcher = 40; ///< Bounds a watcher's CPU time and network traffic.
        std::size_t spareCount = 3; ///< Successors of watchers that are tried; then as many peers of other domains.
        Duration suspicionTime = std::chrono::seconds(5); ///< An instance that failed is skipped for this time.
    };

    /// @brief An instance that can serve as a source.
    struct Peer {
        InstanceId id;
        DomainId domain;
        std::string rpcAddress;
    };

    static StoreSources create(Options options, InstanceId self, DomainId domain);

    /// @brief Replaces the candidates.
    void setPeers(std::vector<Peer> peers);

    /// @brief Returns the peer to follow; nothing if this instance is to watch the store itself.
    /// @complexity O(n log n) for n instances
    [[nodiscard]] std::optional<Peer> pick(TimePoint now) const;

    /// @brief Skips an instance for a while after a failure. This instance may be suspected as well.
    void suspect(const InstanceId& id, TimePoint now);

    /// @brief Returns whether a peer can serve as a source although it follows another instance itself.
    ///
    /// Instances that follow each other hear of nothing. A peer of the same failure domain must therefore watch the
    /// store, unless this instance cannot do so either.
    /// @param sourceOfPeer instance that the peer follows; empty if it watches the store
    [[nodiscard]] bool isUsable(const Peer& peer, const InstanceId& sourceOfPeer, TimePoint now) const;

private:
    StoreSources(Options options, InstanceId self, DomainId domain);
    [[nodiscard]] bool isSuspect(const InstanceId& id, TimePoint now) const;
    [[nodiscard]] std::vector<InstanceId> unsuspected(
        const std::vector<InstanceId>& order, std::size_t limit, TimePoint now) const;

    Options m_options;
    InstanceId m_self;
    DomainId m_domain;
    std::map<InstanceId, Peer> m_peers; ///< Without this instance.
    std::vector<InstanceId>
        m_ownDomainOrder; ///< Instances of this domain, this one included; the first ones are its watchers.
    std::vector<InstanceId> m_otherDomainOrder; ///< Instances of other domains; the order differs by instance.
    std::map<InstanceId, TimePoint> m_suspectUntil;
};

} // namespace acaciagauge
