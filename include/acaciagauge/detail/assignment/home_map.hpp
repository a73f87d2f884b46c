#pragma once

#include "acaciagauge/detail/tickets/ticket.hpp"

#include <set>

namespace acaciagauge {

/// @brief Says which failure domain each partition of a service belongs to. Replaced by compare-and-swap.
struct HomeMap {
    ServiceName service;
    std::uint64_t version = 0;
    std::vector<DomainId> domains;
    std::vector<std::uint16_t> homes; ///< Index into `domains`, by partition.
    std::map<DomainId, Epoch> epochs; ///< Newest controller of each domain that has confirmed the map.

    /// @brief Returns the domain of a partition.
    [[nodiscard]] const DomainId& homeOf(std::uint32_t partition) const { return domains[homes[partition]]; }
    bool operator==(const HomeMap&) const = default;
};

/// @brief Gives each partition a home in proportion to the domains' slots, with as few changes as possible.
/// @param current present homes, or null for a new service
/// @return the wished homes with the present version; empty domains if no domain can serve
HomeMap planHomes(const ServiceSpec& service, const HomeMap* current, const std::set<DomainId>& lostDomains);

/// @brief Returns the JSON form of a home map.
nlohmann::json toJson(const HomeMap& map);

/// @brief Reads a home map that toJson wrote.
Result<HomeMap> homeMapFromJson(const nlohmann::json& document);

} // namespace acaciagauge
