#pragma once

#include "acaciagauge/detail/assignment/home_map.hpp"

#include <functional>
#include <optional>
#include <set>

namespace acaciagauge {

/// @brief Decides for one domain which partitions it may own, and which it gives to other domains.
///
/// The home map is replaced by compare-and-swap, so a partition has one home at any moment. Each new controller writes
/// its epoch into the map before it takes or gives anything, which makes the late writes of its predecessors fail.
class HomeAssigner {
public:
    /// @brief What the keeper is told of its domain at present.
    struct ControllerState {
        Epoch epoch = 0; ///< Of the controller that asks.
        bool isSettled
            = false; ///< The controller acts on this keeper's latest assignablePartitions() and has no write in flight.
        std::function<bool(std::uint32_t)> isRecorded; ///< Tells whether the domain's record lists a partition.
    };

    static HomeAssigner create(DomainId domain) { return HomeAssigner(std::move(domain)); }

    /// @brief Returns the partitions that the domain's controller may assign.
    [[nodiscard]] std::set<std::uint32_t> assignablePartitions(
        const ServiceSpec& service, const HomeMap& known, const std::set<DomainId>& lostDomains) const;

    /// @brief Returns the epoch of this domain's controller that last confirmed the map; 0 if none did.
    [[nodiscard]] Epoch confirmedEpoch(const HomeMap& known) const;

    /// @brief Returns the map to write next, or nothing if there is nothing to write.
    ///
    /// The caller writes it only if the store still has `known`, or no map if that is null. Partitions that it gives
    /// away count as given from now on, whatever becomes of the write, until adopted() shows a newer map.
    std::optional<HomeMap> nextWrite(const ServiceSpec& service, const HomeMap* known,
        const std::set<DomainId>& lostDomains, const ControllerState& state);

    /// @brief Notes that a newer map is known; it settles what became of unanswered writes.
    void noteNewerMap(const ServiceName& service) { m_giving.erase(service); }

private:
    explicit HomeAssigner(DomainId domain)
        : m_domain(std::move(domain))
    {
    }

    DomainId m_domain;
    std::map<ServiceName, std::set<std::uint32_t>> m_giving; ///< Partitions whose new home is being written.
};

} // namespace acaciagauge
