#pragma once

#include "acaciagauge/detail/common/ids.hpp"

#include <cstdint>
#include <map>
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

/// @brief Orders candidates by weighted rendezvous hash: each is first for a part of all subjects in proportion to its
/// weight, and a change of one candidate moves only the subjects that it gains or loses.
/// @param weights by candidate; a weight below 0.001 counts as 0.001
/// @complexity O(n log n) for n candidates
std::vector<std::string> weightedRendezvousOrder(
    std::string_view subject, const std::map<std::string, double>& weights);

} // namespace acaciagauge
