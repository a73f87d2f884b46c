#include "bench.hpp"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <numeric>
#include <queue>
#include <random>
#include <tuple>
#include <vector>

namespace acaciagauge::bench {

namespace {

    constexpr double hopLatencyMs = 1;
    constexpr double pullIntervalMs = 200;
    constexpr std::size_t updateBytes = 600;
    constexpr std::size_t digestBytes = 180;
    constexpr std::size_t fanOut = 4;
    constexpr double timeLimitMs = 20'000;

    struct Result {
        std::size_t missed = 0;
        double lastMs = 0;
        std::size_t messages = 0;
        std::size_t bytes = 0;
    };

    /// State of all instances: which are alive, and when each received the update (-1: not yet).
    struct Cluster {
        std::vector<bool> alive;
        std::vector<double> receivedAtMs;

        Cluster(std::size_t n, double lostShare, std::mt19937_64& random)
            : alive(n, true)
            , receivedAtMs(n, -1)
        {
            std::vector<std::size_t> order(n - 1);
            std::iota(order.begin(), order.end(), std::size_t { 1 });
            std::shuffle(order.begin(), order.end(), random);
            for (std::size_t it = 0; it < static_cast<std::size_t>(lostShare * static_cast<double>(n)); ++it)
                alive[order[it]] = false;
        }

        [[nodiscard]] Result result() const
        {
            Result result;
            for (std::size_t n = 0; n < alive.size(); ++n) {
                result.missed += alive[n] && receivedAtMs[n] < 0;
                result.lastMs = std::max(result.lastMs, receivedAtMs[n]);
            }
            return result;
        }
    };

    /// Sends the update from instance 0 down a random tree; with two parents, down two trees.
    Result simulateTree(Cluster cluster, std::size_t parentCount, std::mt19937_64& random)
    {
        auto n = cluster.alive.size();
        std::size_t messages = 0;
        for (std::size_t round = 0; round < parentCount; ++round) {
            std::vector<std::size_t> order(n);
            std::iota(order.begin(), order.end(), std::size_t { 0 });
            std::shuffle(order.begin() + 1, order.end(), random);
            std::vector<double> arrivalMs(n, -1);
            arrivalMs[0] = 0;
            for (std::size_t it = 1; it < n; ++it) {
                auto parent = (it - 1) / fanOut;
                if (arrivalMs[parent] < 0)
                    continue;
                ++messages;
                auto id = order[it];
                if (!cluster.alive[id])
                    continue;
                arrivalMs[it] = arrivalMs[parent] + hopLatencyMs;
                cluster.receivedAtMs[id]
                    = cluster.receivedAtMs[id] < 0 ? arrivalMs[it] : std::min(cluster.receivedAtMs[id], arrivalMs[it]);
            }
        }
        cluster.receivedAtMs[0] = 0;
        auto result = cluster.result();
        result.messages = messages;
        result.bytes = messages * updateBytes;
        return result;
    }

    /// Each instance forwards the update once to random peers; with digests, each also sends its digest to a random
    /// peer periodically and pulls the update if the peer has it.
    Result simulateGossip(Cluster cluster, bool withDigests, std::mt19937_64& random)
    {
        using Event = std::tuple<double, bool, std::size_t>; // time, is a pull, instance
        std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
        auto n = cluster.alive.size();
        std::size_t messages = 0;
        std::size_t bytes = 0;
        std::size_t uninformed = static_cast<std::size_t>(std::count(cluster.alive.begin(), cluster.alive.end(), true));
        auto randomPeer = [&](std::size_t self) { return (self + 1 + random() % (n - 1)) % n; };
        events.emplace(0, false, 0);
        for (std::size_t it = 0; withDigests && it < n; ++it)
            events.emplace(static_cast<double>(random() % 200), true, it);
        while (!events.empty() && uninformed > 0) {
            auto [now, isPull, id] = events.top();
            events.pop();
            if (now > timeLimitMs)
                break;
            if (!cluster.alive[id])
                continue;
            if (isPull) {
                events.emplace(now + pullIntervalMs, true, id);
                auto source = randomPeer(id);
                ++messages;
                bytes += digestBytes;
                if (cluster.alive[source] && cluster.receivedAtMs[source] >= 0 && cluster.receivedAtMs[id] < 0) {
                    ++messages;
                    bytes += updateBytes;
                    events.emplace(now + 2 * hopLatencyMs, false, id);
                }
                continue;
            }
            if (cluster.receivedAtMs[id] >= 0)
                continue;
            cluster.receivedAtMs[id] = now;
            --uninformed;
            for (std::size_t it = 0; it < fanOut; ++it) {
                ++messages;
                bytes += updateBytes;
                events.emplace(now + hopLatencyMs, false, randomPeer(id));
            }
        }
        auto result = cluster.result();
        result.messages = messages;
        result.bytes = bytes;
        return result;
    }

    void report(const char* method, std::size_t n, const std::function<Result(Cluster, std::mt19937_64&)>& run)
    {
        constexpr int runs = 50;
        std::mt19937_64 random(11);
        Result sum;
        double slowestMs = 0;
        std::size_t mostMissed = 0;
        for (int it = 0; it < runs; ++it) {
            Cluster cluster(n, 0.1, random);
            auto result = run(cluster, random);
            sum.missed += result.missed;
            sum.messages += result.messages;
            sum.bytes += result.bytes;
            slowestMs = std::max(slowestMs, result.lastMs);
            mostMissed = std::max(mostMissed, result.missed);
        }
        std::printf("| %zu | %s | %.1f | %zu | %.0f | %.1f | %.0f |\n", n, method,
            static_cast<double>(sum.missed) / runs, mostMissed, slowestMs,
            static_cast<double>(sum.messages) / runs / static_cast<double>(n),
            static_cast<double>(sum.bytes) / runs / static_cast<double>(n));
    }

} // namespace

void runDisseminationBench()
{
    std::printf("| instances | way | missed, mean | missed, most | last, ms | messages per instance | bytes per "
                "instance |\n|---|---|---|---|---|---|---|\n");
    for (std::size_t n : { 10, 100, 1000, 14'000 }) {
        report("tree", n,
            [](Cluster cluster, std::mt19937_64& random) { return simulateTree(std::move(cluster), 1, random); });
        report("two parents", n,
            [](Cluster cluster, std::mt19937_64& random) { return simulateTree(std::move(cluster), 2, random); });
        report("gossip", n,
            [](Cluster cluster, std::mt19937_64& random) { return simulateGossip(std::move(cluster), false, random); });
        report("gossip with digests", n,
            [](Cluster cluster, std::mt19937_64& random) { return simulateGossip(std::move(cluster), true, random); });
    }
}

} // namespace acaciagauge::bench
