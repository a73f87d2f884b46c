#pragma once

#include "acaciagauge/detail/tickets/ticket.hpp"

#include <set>

namespace acaciagauge {

/// @brief Maps each partition of a service to its home, the failure domain whose servers may own it. Replaced as a
/// whole by compare-and-swap.
struct HomeMap {
    ServiceName service;
    std::uint64_t version = 0;
    std::vector<DomainId> domains;
    std::vector<std::uint16_t> homes; ///< Index into `domains` of each partition's home.
    std::map<DomainId, Epoch> epochs; ///< For each domain the epoch of the latest controller that confirmed the map.

    /// @brief Returns a partition's home.
    [[nodiscard]] const DomainId& homeOf(std::uint32_t partition) const { return domains[homes[partition]]; }
    bool operator==(const HomeMap&) const = default;
};

/// @brief Distributes the partitions over the domains in proportion to their slots, with as few moves as possible.
/// @param current the current map, or null for a new service
/// @return the desired homes with the version of `current`; `current` unchanged if no domain has usable servers, or a
///         map without domains if there is no current one either
HomeMap planHomes(const ServiceSpec& service, const HomeMap* current, const std::set<DomainId>& lostDomains);

/// @brief Returns the JSON form of a home map.
nlohmann::json toJson(const HomeMap& map);

/// @brief Reads a home map written by toJson.
Result<HomeMap> homeMapFromJson(const nlohmann::json& document);

} // namespace acaciagauge
