#pragma once

#include "acaciagauge/detail/common/ids.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace acaciagauge {

/// @brief Hashes a name with XXH3, independently for each scope.
/// @return a hash that is the same on all machines
std::uint64_t hashOf(std::string_view scope, std::string_view name);

/// @brief Returns the partition of a service to which a key belongs.
/// @param partitions number of partitions of the service, at least 1
std::uint32_t partitionOf(std::string_view service, std::string_view key, std::uint32_t partitions);

/// @brief Orders candidates by rendezvous hash of (subject, candidate), highest first.
/// @complexity O(n log n) for n candidates
std::vector<std::string> rendezvousOrder(std::string_view subject, std::vector<std::string> candidates);

} // namespace acaciagauge
