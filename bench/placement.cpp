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

    using Policy = std::function<std::vector<std::uint32_t>(const PlacementProblem&)>;

    /// Score of weighted rendezvous hashing: -1 / ln(hash), with the hash scaled to (0, 1).
    double rendezvousScore(std::uint64_t item, std::uint64_t server)
    {
        auto x = item * 0x9E3779B97F4A7C15ULL ^ server * 0xC2B2AE3D27D4EB4FULL;
        x ^= x >> 29U;
        x *= 0xBF58476D1CE4E5B9ULL;
        x ^= x >> 32U;
        return -1.0 / std::log((static_cast<double>(x >> 11U) + 0.5) / 9007199254740992.0);
    }

    /// Places each item on the server with the highest score that holds fewer than `bound` times the mean number of
    /// items.
    std::vector<std::uint32_t> rendezvous(const PlacementProblem& problem, double bound)
    {
        auto liveServers = static_cast<double>(
            std::count_if(problem.capacities.begin(), problem.capacities.end(), [](double it) { return it > 0; }));
        auto limit = std::ceil(static_cast<double>(problem.owners.size()) / liveServers * bound);
        std::vector<double> load(problem.capacities.size(), 0);
        std::vector<std::uint32_t> next;
        for (std::uint64_t item = 0; item < problem.owners.size(); ++item) {
            std::uint32_t best = noServer;
            double bestScore = -1;
            for (std::uint32_t n = 0; n < problem.capacities.size(); ++n) {
                auto score = problem.capacities[n] > 0 && load[n] < limit
                    ? rendezvousScore(item, n) * problem.capacities[n]
                    : -1;
                if (score > bestScore) {
                    bestScore = score;
                    best = n;
                }
            }
            ++load[best];
            next.push_back(best);
        }
        return next;
    }

    /// Highest load of a server relative to its share of the total capacity; 1 is a perfect balance.
    double imbalance(const PlacementProblem& problem, const std::vector<std::uint32_t>& owners)
    {
        std::vector<double> load(problem.capacities.size(), 0);
        for (auto it : owners)
            load[it] += 1;
        auto capacity = std::accumulate(problem.capacities.begin(), problem.capacities.end(), 0.0);
        double highest = 0;
        for (std::size_t n = 0; n < load.size(); ++n) {
            if (problem.capacities[n] > 0)
                highest = std::max(
                    highest, load[n] / problem.capacities[n] * capacity / static_cast<double>(owners.size()));
        }
        return highest;
    }

    std::size_t countMoves(const std::vector<std::uint32_t>& before, const std::vector<std::uint32_t>& after)
    {
        std::size_t moves = 0;
        for (std::size_t n = 0; n < before.size(); ++n)
            moves += before[n] != after[n];
        return moves;
    }

    /// Smallest possible number of moves: the items of removed servers and the fair share of added ones.
    double minimumMoves(const std::vector<std::uint32_t>& before, const std::vector<double>& oldCapacities,
        const std::vector<double>& newCapacities)
    {
        auto capacity = std::accumulate(newCapacities.begin(), newCapacities.end(), 0.0);
        double moves = 0;
        for (std::size_t n = 0; n < newCapacities.size(); ++n) {
            if (oldCapacities[n] == 0 && newCapacities[n] > 0)
                moves += std::floor(static_cast<double>(before.size()) * newCapacities[n] / capacity);
        }
        for (auto it : before)
            moves += newCapacities[it] == 0;
        return moves;
    }

    void report(const Deployment& deployment, const char* event, const char* name, const Policy& policy,
        const std::vector<double>& oldCapacities, const std::vector<double>& newCapacities)
    {
        PlacementProblem problem;
        problem.owners.assign(deployment.items, noServer);
        problem.capacities = oldCapacities;
        problem.slack = deployment.slack;
        problem.owners = policy(problem);
        auto before = problem.owners;
        problem.capacities = newCapacities;
        auto start = std::chrono::steady_clock::now();
        auto after = policy(problem);
        auto ms = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
        auto minimum = minimumMoves(before, oldCapacities, newCapacities);
        std::printf("| %s | %s | %s | %.3f | %zu | %.0f | %.2f | %.1f |\n", deployment.name, event, name,
            imbalance(problem, after), countMoves(before, after), minimum,
            static_cast<double>(countMoves(before, after)) / minimum, ms);
    }

    void comparePolicies(const Deployment& deployment, const char* event, std::size_t firstMissing,
        std::size_t missingCount, bool isJoin)
    {
        std::vector<double> full(deployment.servers, deployment.slots);
        auto reduced = full;
        for (std::size_t n = 0; n < missingCount; ++n)
            reduced[firstMissing + n] = 0;
        const auto& oldCapacities = isJoin ? reduced : full;
        const auto& newCapacities = isJoin ? full : reduced;
        report(
            deployment, event, "incremental", [](const PlacementProblem& problem) { return rebalance(problem); },
            oldCapacities, newCapacities);
        // Rendezvous hashing computes a score for each pair of server and item.
        if (deployment.servers * deployment.items > 200'000'000)
            return;
        report(
            deployment, event, "rendezvous", [](const PlacementProblem& problem) { return rendezvous(problem, 1e9); },
            oldCapacities, newCapacities);
        report(
            deployment, event, "bounded rendezvous 1.05",
            [](const PlacementProblem& problem) { return rendezvous(problem, 1.05); }, oldCapacities, newCapacities);
    }

} // namespace

void runPlacementBench()
{
    const Deployment deployments[] = { { "Lakestone auction-floor", 20, 1024, 2, 0.3 * maxSlack },
        { "Lakestone block-ledger", 12, 1024, 2, 0.3 * maxSlack }, { "Nyabugogo entries", 15, 1024, 4, maxSlack },
        { "Nyabugogo draw-board", 9, 1024, 4, maxSlack }, { "1,000 servers", 1000, 100'000, 2, 0.3 * maxSlack },
        { "10,000 servers", 10'000, 1'000'000, 2, 0.3 * maxSlack } };
    std::printf("| deployment | event | policy | fullest/mean | moves | lower bound | moves/bound | planning, ms "
                "|\n|---|---|---|---|---|---|---|---|\n");
    for (const auto& it : deployments) {
        comparePolicies(it, "joins", 3, 1, true);
        comparePolicies(it, "is lost or leaves", 3, 1, false);
        comparePolicies(it, "a rack of 5% is lost", 0, std::max<std::size_t>(2, it.servers / 20), false);
        comparePolicies(it, "a third is lost", 0, it.servers / 3, false);
    }
}

} // namespace acaciagauge::bench
