#include "bench.hpp"

#include <acaciagauge/acaciagauge.hpp>
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>

namespace acaciagauge::bench {

namespace {

    struct Deployment {
        const char* name;
        std::size_t servers;
        std::size_t items;
        double slots;
        double slack;
    };

    using Policy = std::function<std::vector<std::uint32_t>(const DensePlan&)>;

    double scoreOf(std::uint64_t item, std::uint64_t server)
    {
        auto x = item * 0x9E3779B97F4A7C15ULL ^ server * 0xC2B2AE3D27D4EB4FULL;
        x ^= x >> 29U;
        x *= 0xBF58476D1CE4E5B9ULL;
        x ^= x >> 32U;
        return -1.0 / std::log((static_cast<double>(x >> 11U) + 0.5) / 9007199254740992.0);
    }

    /// Rendezvous hashing; with a bound, an item goes to its best server that has room.
    std::vector<std::uint32_t> rendezvous(const DensePlan& plan, double bound)
    {
        auto live = static_cast<double>(
            std::count_if(plan.capacities.begin(), plan.capacities.end(), [](double it) { return it > 0; }));
        auto limit = std::ceil(static_cast<double>(plan.owners.size()) / live * bound);
        std::vector<double> used(plan.capacities.size(), 0);
        std::vector<std::uint32_t> next;
        for (std::uint64_t item = 0; item < plan.owners.size(); ++item) {
            std::uint32_t best = noServer;
            double bestScore = -1;
            for (std::uint32_t n = 0; n < plan.capacities.size(); ++n) {
                auto score = plan.capacities[n] > 0 && used[n] < limit ? scoreOf(item, n) * plan.capacities[n] : -1;
                if (score > bestScore) {
                    bestScore = score;
                    best = n;
                }
            }
            ++used[best];
            next.push_back(best);
        }
        return next;
    }

    double imbalanceOf(const DensePlan& plan, const std::vector<std::uint32_t>& owners)
    {
        std::vector<double> used(plan.capacities.size(), 0);
        for (auto it : owners)
            used[it] += 1;
        auto capacity = std::accumulate(plan.capacities.begin(), plan.capacities.end(), 0.0);
        double worst = 0;
        for (std::size_t n = 0; n < used.size(); ++n) {
            if (plan.capacities[n] > 0)
                worst = std::max(worst, used[n] / plan.capacities[n] * capacity / static_cast<double>(owners.size()));
        }
        return worst;
    }

    std::size_t movesOf(const std::vector<std::uint32_t>& before, const std::vector<std::uint32_t>& after)
    {
        std::size_t moves = 0;
        for (std::size_t n = 0; n < before.size(); ++n)
            moves += before[n] != after[n];
        return moves;
    }

    /// Fewest moves: the items of servers that are gone, or the fair share of those that came.
    double lowerBound(
        const std::vector<std::uint32_t>& before, const std::vector<double>& old, const std::vector<double>& now)
    {
        auto capacity = std::accumulate(now.begin(), now.end(), 0.0);
        double moves = 0;
        for (std::size_t n = 0; n < now.size(); ++n) {
            if (old[n] == 0 && now[n] > 0)
                moves += std::floor(static_cast<double>(before.size()) * now[n] / capacity);
        }
        for (auto it : before)
            moves += now[it] == 0;
        return moves;
    }

    void report(const Deployment& deployment, const char* event, const char* name, const Policy& policy,
        const std::vector<double>& old, const std::vector<double>& now)
    {
        DensePlan plan;
        plan.owners.assign(deployment.items, noServer);
        plan.capacities = old;
        plan.slack = deployment.slack;
        plan.owners = policy(plan);
        auto before = plan.owners;
        plan.capacities = now;
        auto start = std::chrono::steady_clock::now();
        auto after = policy(plan);
        auto ms = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
        auto bound = lowerBound(before, old, now);
        std::printf("| %s | %s | %s | %.3f | %zu | %.0f | %.2f | %.1f |\n", deployment.name, event, name,
            imbalanceOf(plan, after), movesOf(before, after), bound,
            static_cast<double>(movesOf(before, after)) / bound, ms);
    }

    void compare(const Deployment& deployment, const char* event, std::size_t firstGone, std::size_t gone, bool joins)
    {
        std::vector<double> full(deployment.servers, deployment.slots);
        auto less = full;
        for (std::size_t n = 0; n < gone; ++n)
            less[firstGone + n] = 0;
        const auto& old = joins ? less : full;
        const auto& now = joins ? full : less;
        report(
            deployment, event, "incremental", [](const DensePlan& plan) { return rebalance(plan); }, old, now);
        if (deployment.servers * deployment.items > 200'000'000)
            return;
        report(
            deployment, event, "rendezvous", [](const DensePlan& plan) { return rendezvous(plan, 1e9); }, old, now);
        report(
            deployment, event, "bounded rendezvous 1.05", [](const DensePlan& plan) { return rendezvous(plan, 1.05); },
            old, now);
    }

} // namespace

void placement()
{
    const Deployment deployments[] = { { "Lakestone auction-floor", 20, 1024, 2, 0.3 * maxSlack },
        { "Lakestone block-ledger", 12, 1024, 2, 0.3 * maxSlack }, { "Nyabugogo entries", 15, 1024, 4, maxSlack },
        { "Nyabugogo draw-board", 9, 1024, 4, maxSlack }, { "1,000 servers", 1000, 100'000, 2, 0.3 * maxSlack },
        { "10,000 servers", 10'000, 1'000'000, 2, 0.3 * maxSlack } };
    std::printf("| deployment | event | policy | fullest/mean | moves | lower bound | moves/bound | planning, ms "
                "|\n|---|---|---|---|---|---|---|---|\n");
    for (const auto& it : deployments) {
        compare(it, "joins", 3, 1, true);
        compare(it, "is lost or leaves", 3, 1, false);
        compare(it, "a rack of 5% is lost", 0, std::max<std::size_t>(2, it.servers / 20), false);
        compare(it, "a third is lost", 0, it.servers / 3, false);
    }
}

} // namespace acaciagauge::bench
