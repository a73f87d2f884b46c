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

    float weightOf(const DensePlan& plan, std::size_t item)
    {
        return plan.weights.empty() ? 1.0F : plan.weights[item];
    }

    Shares sharesOf(const DensePlan& plan)
    {
        double weight = static_cast<double>(plan.owners.size());
        double heaviest = 1;
        if (!plan.weights.empty()) {
            weight = std::accumulate(plan.weights.begin(), plan.weights.end(), 0.0);
            heaviest = *std::max_element(plan.weights.begin(), plan.weights.end());
        }
        auto capacity = std::accumulate(plan.capacities.begin(), plan.capacities.end(), 0.0);
        Shares shares;
        shares.used.assign(plan.capacities.size(), 0.0);
        for (auto it : plan.capacities) {
            auto fair = capacity > 0 ? weight * it / capacity : 0;
            shares.fair.push_back(fair);
            auto limit = fair * (1 + plan.slack);
            // Alike items fill up to a whole number; a heavier one may stand alone on its server.
            shares.limits.push_back(it > 0 ? std::max(plan.weights.empty() ? std::ceil(limit) : limit, heaviest) : 0);
        }
        return shares;
    }

    /// Keeps items where they are while their server has room; returns the rest, heaviest first.
    std::vector<std::uint32_t> keepOwners(const DensePlan& plan, Shares& shares, std::vector<std::uint32_t>& next)
    {
        constexpr double tolerance = 1e-6;
        std::vector<std::uint32_t> moving;
        for (std::uint32_t n = 0; n < plan.owners.size(); ++n) {
            auto owner = plan.owners[n];
            auto weight = weightOf(plan, n);
            bool fits = owner < plan.capacities.size() && plan.capacities[owner] > 0
                && shares.used[owner] + weight <= shares.limits[owner] + tolerance;
            if (!fits) {
                moving.push_back(n);
                continue;
            }
            shares.used[owner] += weight;
            next[n] = owner;
        }
        if (!plan.weights.empty())
            std::stable_sort(
                moving.begin(), moving.end(), [&](auto a, auto b) { return plan.weights[a] > plan.weights[b]; });
        return moving;
    }

} // namespace

std::vector<std::uint32_t> rebalance(const DensePlan& plan)
{
    std::vector<std::uint32_t> next(plan.owners.size(), noServer);
    auto shares = sharesOf(plan);
    auto moving = keepOwners(plan, shares, next);
    using Entry = std::pair<double, std::uint32_t>;
    std::vector<Entry> fills;
    for (std::uint32_t n = 0; n < plan.capacities.size(); ++n) {
        if (plan.capacities[n] > 0)
            fills.emplace_back(shares.used[n] / plan.capacities[n], n);
    }
    if (fills.empty())
        return next;
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> emptiest(std::greater<>(), std::move(fills));
    for (auto it : moving) {
        auto [fill, server] = emptiest.top();
        emptiest.pop();
        next[it] = server;
        shares.used[server] += weightOf(plan, it);
        emptiest.emplace(shares.used[server] / plan.capacities[server], server);
    }
    return next;
}

} // namespace acaciagauge
