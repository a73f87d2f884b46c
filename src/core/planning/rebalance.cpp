#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <queue>

namespace acaciagauge {

namespace {

    /// Fill of each server against its fair share.
    struct Shares {
        std::vector<double> fair;
        std::vector<double> limits;
        std::vector<double> used;
    };

    float weightOf(const PlacementProblem& problem, std::size_t item)
    {
        return problem.weights.empty() ? 1.0F : problem.weights[item];
    }

    Shares sharesOf(const PlacementProblem& problem)
    {
        double weight = static_cast<double>(problem.owners.size());
        double heaviest = 1;
        if (!problem.weights.empty()) {
            weight = std::accumulate(problem.weights.begin(), problem.weights.end(), 0.0);
            heaviest = *std::max_element(problem.weights.begin(), problem.weights.end());
        }
        auto capacity = std::accumulate(problem.capacities.begin(), problem.capacities.end(), 0.0);
        Shares shares;
        shares.used.assign(problem.capacities.size(), 0.0);
        for (auto it : problem.capacities) {
            auto fair = capacity > 0 ? weight * it / capacity : 0;
            shares.fair.push_back(fair);
            auto limit = fair * (1 + problem.slack);
            // Alike items fill up to a whole number; a heavier one may stand alone on its server.
            shares.limits.push_back(
                it > 0 ? std::max(problem.weights.empty() ? std::ceil(limit) : limit, heaviest) : 0);
        }
        return shares;
    }

    /// Keeps items where they are while their server has room; returns the rest, heaviest first.
    std::vector<std::uint32_t> keepOwners(
        const PlacementProblem& problem, Shares& shares, std::vector<std::uint32_t>& next)
    {
        constexpr double tolerance = 1e-6;
        std::vector<std::uint32_t> moving;
        for (std::uint32_t n = 0; n < problem.owners.size(); ++n) {
            auto owner = problem.owners[n];
            auto weight = weightOf(problem, n);
            bool fits = owner < problem.capacities.size() && problem.capacities[owner] > 0
                && shares.used[owner] + weight <= shares.limits[owner] + tolerance;
            if (!fits) {
                moving.push_back(n);
                continue;
            }
            shares.used[owner] += weight;
            next[n] = owner;
        }
        if (!problem.weights.empty())
            std::stable_sort(
                moving.begin(), moving.end(), [&](auto a, auto b) { return problem.weights[a] > problem.weights[b]; });
        return moving;
    }

} // namespace

std::vector<std::uint32_t> rebalance(const PlacementProblem& problem)
{
    std::vector<std::uint32_t> next(problem.owners.size(), noServer);
    auto shares = sharesOf(problem);
    auto moving = keepOwners(problem, shares, next);
    using Entry = std::pair<double, std::uint32_t>;
    std::vector<Entry> fills;
    for (std::uint32_t n = 0; n < problem.capacities.size(); ++n) {
        if (problem.capacities[n] > 0)
            fills.emplace_back(shares.used[n] / problem.capacities[n], n);
    }
    if (fills.empty())
        return next;
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> emptiest(std::greater<>(), std::move(fills));
    for (auto it : moving) {
        auto [fill, server] = emptiest.top();
        emptiest.pop();
        next[it] = server;
        shares.used[server] += weightOf(problem, it);
        emptiest.emplace(shares.used[server] / problem.capacities[server], server);
    }
    return next;
}

} // namespace acaciagauge
