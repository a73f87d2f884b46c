#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>
#include <cmath>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace acaciagauge {

std::uint64_t hashOf(std::string_view scope, std::string_view name)
{
    // The scope's hash seeds the name's hash, so the hashes of a name in two scopes are independent.
    auto seed = XXH3_64bits(scope.data(), scope.size());
    return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

std::uint32_t partitionOf(std::string_view service, std::string_view key, std::uint32_t partitions)
{
    return static_cast<std::uint32_t>(hashOf(service, key) % partitions);
}

std::vector<std::string> rendezvousOrder(std::string_view subject, std::vector<std::string> candidates)
{
    std::vector<std::pair<std::uint64_t, std::string>> scored;
    scored.reserve(candidates.size());
    for (auto& it : candidates)
        scored.emplace_back(hashOf(subject, it), std::move(it));
    std::sort(scored.rbegin(), scored.rend());
    std::vector<std::string> ordered;
    ordered.reserve(scored.size());
    for (auto& it : scored)
        ordered.push_back(std::move(it.second));
    return ordered;
}

std::vector<std::string> weightedRendezvousOrder(std::string_view subject, const std::map<std::string, double>& weights)
{
    constexpr double minWeight = 0.001;
    std::vector<std::pair<double, std::string>> scored;
    scored.reserve(weights.size());
    for (const auto& it : weights) {
        // In (0, 1); 53 bits are exact as a double.
        auto uniform = (static_cast<double>(hashOf(subject, it.first) >> 11U) + 0.5) * 0x1p-53;
        scored.emplace_back(-std::log(uniform) / std::max(minWeight, it.second), it.first);
    }
    std::sort(scored.begin(), scored.end());
    std::vector<std::string> ordered;
    ordered.reserve(scored.size());
    for (auto& it : scored)
        ordered.push_back(std::move(it.second));
    return ordered;
}

} // namespace acaciagauge
