#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <queue>

namespace acaciagauge {

namespace {

    /// For each server: its fair share of the load, the most that it may keep, and the load assigned so far.
    struct ServerLoads {
        std::vector<double> fairShares;
        std::vector<double> limits;
        std::vector<double> assigned;
    };

    float weightOf(const PlacementProblem& problem, std::size_t item)
    {
        return problem.weights.empty() ? 1.0F : problem.weights[item];
    }

    ServerLoads computeLimits(const PlacementProblem& problem)
    {
        double totalWeight = static_cast<double>(problem.owners.size());
        double heaviest = 1;
        if (!problem.weights.empty()) {
            totalWeight = std::accumulate(problem.weights.begin(), problem.weights.end(), 0.0);
            heaviest = *std::max_element(problem.weights.begin(), problem.weights.end());
        }
        auto totalCapacity = std::accumulate(problem.capacities.begin(), problem.capacities.end(), 0.0);
        ServerLoads loads;
        loads.assigned.assign(problem.capacities.size(), 0.0);
        for (auto it : problem.capacities) {
            auto fairShare = totalCapacity > 0 ? totalWeight * it / totalCapacity : 0;
            loads.fairShares.push_back(fairShare);
            auto limit = fairShare * (1 + problem.slack);
            // For items of equal load, the limit is rounded up to a whole number of items. It is never below the load
            // of the heaviest item, which may be the only one on its server.
            loads.limits.push_back(it > 0 ? std::max(problem.weights.empty() ? std::ceil(limit) : limit, heaviest) : 0);
        }
        return loads;
    }

    /// Keeps items with their owner up to its limit; returns the other items, heaviest first.
    std::vector<std::uint32_t> keepOwners(
        const PlacementProblem& problem, ServerLoads& loads, std::vector<std::uint32_t>& newOwners)
    {
        constexpr double loadTolerance = 1e-6; // absorbs rounding errors of the summed loads
        std::vector<std::uint32_t> moving;
        for (std::uint32_t n = 0; n < problem.owners.size(); ++n) {
            auto owner = problem.owners[n];
            auto weight = weightOf(problem, n);
            bool fits = owner < problem.capacities.size() && problem.capacities[owner] > 0
                && loads.assigned[owner] + weight <= loads.limits[owner] + loadTolerance;
            if (!fits) {
                moving.push_back(n);
                continue;
            }
            loads.assigned[owner] += weight;
            newOwners[n] = owner;
        }
        if (!problem.weights.empty())
            std::stable_sort(
                moving.begin(), moving.end(), [&](auto a, auto b) { return problem.weights[a] > problem.weights[b]; });
        return moving;
    }

} // namespace

std::vector<std::uint32_t> rebalance(const PlacementProblem& problem)
{
    std::vector<std::uint32_t> newOwners(problem.owners.size(), noServer);
    auto loads = computeLimits(problem);
    auto moving = keepOwners(problem, loads, newOwners);
    // Load per unit of capacity, and the server's index.
    using RelativeLoad = std::pair<double, std::uint32_t>;
    std::vector<RelativeLoad> relativeLoads;
    for (std::uint32_t n = 0; n < problem.capacities.size(); ++n) {
        if (problem.capacities[n] > 0)
            relativeLoads.emplace_back(loads.assigned[n] / problem.capacities[n], n);
    }
    if (relativeLoads.empty())
        return newOwners;
    std::priority_queue<RelativeLoad, std::vector<RelativeLoad>, std::greater<>> leastLoaded(
        std::greater<>(), std::move(relativeLoads));
    for (auto it : moving) {
        auto [relativeLoad, server] = leastLoaded.top();
        leastLoaded.pop();
        newOwners[it] = server;
        loads.assigned[server] += weightOf(problem, it);
        leastLoaded.emplace(loads.assigned[server] / problem.capacities[server], server);
    }
    return newOwners;
}

} // namespace acaciagauge
