#pragma once

#include "acaciagauge/detail/assignment/home_map.hpp"

#include <functional>
#include <optional>
#include <set>

namespace acaciagauge {

/// @brief Decides for one failure domain which partitions its servers may own and which are transferred to other
/// domains.
///
/// The home map is replaced by compare-and-swap, so a partition has exactly one home at any time. Each new controller
/// writes its epoch into the map before it assigns or transfers partitions; this new version makes delayed writes of
/// its predecessors fail.
class HomeAssigner {
public:
    /// @brief Current state of the domain's controller.
    struct ControllerState {
        Epoch epoch = 0; ///< The controller's epoch.
        /// The controller uses the latest assignablePartitions() and has no write of the domain record in flight.
        bool isSettled = false;
        std::function<bool(std::uint32_t)> isRecorded; ///< Whether the domain's record contains a partition.
    };

    static HomeAssigner create(DomainId domain) { return HomeAssigner(std::move(domain)); }

    /// @brief Returns the partitions that the domain's controller may assign to servers.
    [[nodiscard]] std::set<std::uint32_t> assignablePartitions(
        const ServiceSpec& service, const HomeMap& known, const std::set<DomainId>& lostDomains) const;

    /// @brief Returns the epoch of this domain's controller that last confirmed the map; 0 if none has.
    [[nodiscard]] Epoch confirmedEpoch(const HomeMap& known) const;

    /// @brief Returns the next map to write, or nothing if no write is needed.
    ///
    /// The caller writes it by compare-and-swap against `known`, or creates it if that is null. From this call until
    /// noteNewerMap() the partitions that it transfers are no longer assignable, whatever the outcome of the write.
    std::optional<HomeMap> nextWrite(const ServiceSpec& service, const HomeMap* known,
        const std::set<DomainId>& lostDomains, const ControllerState& state);

    /// @brief Notes that a newer map is known, which resolves the outcome of pending transfers.
    void noteNewerMap(const ServiceName& service) { m_transfers.erase(service); }

private:
    explicit HomeAssigner(DomainId domain)
        : m_domain(std::move(domain))
    {
    }

    DomainId m_domain;
    /// Partitions with a pending transfer to another domain.
    std::map<ServiceName, std::set<std::uint32_t>> m_transfers;
};

} // namespace acaciagauge
