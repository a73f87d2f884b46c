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

    constexpr double hopMs = 1;
    constexpr double pullIntervalMs = 200;
    constexpr std::size_t newsBytes = 600;
    constexpr std::size_t digestBytes = 180;
    constexpr std::size_t fanOut = 4;
    constexpr double limitMs = 20'000;

    struct Result {
        std::size_t missed = 0;
        double lastMs = 0;
        std::size_t messages = 0;
        std::size_t bytes = 0;
    };

    /// Which instances live, and when each has the news.
    struct Fleet {
        std::vector<bool> alive;
        std::vector<double> knownAt;

        Fleet(std::size_t n, double lost, std::mt19937_64& random)
            : alive(n, true)
            , knownAt(n, -1)
        {
            std::vector<std::size_t> order(n - 1);
            std::iota(order.begin(), order.end(), std::size_t { 1 });
            std::shuffle(order.begin(), order.end(), random);
            for (std::size_t it = 0; it < static_cast<std::size_t>(lost * static_cast<double>(n)); ++it)
                alive[order[it]] = false;
        }

        [[nodiscard]] Result result() const
        {
            Result result;
            for (std::size_t n = 0; n < alive.size(); ++n) {
                result.missed += alive[n] && knownAt[n] < 0;
                result.lastMs = std::max(result.lastMs, knownAt[n]);
            }
            return result;
        }
    };

    /// Children of each node of a tree over `order`; with two parents each node hangs below two.
    Result tree(Fleet fleet, std::size_t parents, std::mt19937_64& random)
    {
        auto n = fleet.alive.size();
        std::size_t messages = 0;
        for (std::size_t round = 0; round < parents; ++round) {
            std::vector<std::size_t> order(n);
            std::iota(order.begin(), order.end(), std::size_t { 0 });
            std::shuffle(order.begin() + 1, order.end(), random);
            std::vector<double> at(n, -1);
            at[0] = 0;
            for (std::size_t it = 1; it < n; ++it) {
                auto parent = (it - 1) / fanOut;
                if (at[parent] < 0)
                    continue;
                ++messages;
                auto id = order[it];
                if (!fleet.alive[id])
                    continue;
                at[it] = at[parent] + hopMs;
                fleet.knownAt[id] = fleet.knownAt[id] < 0 ? at[it] : std::min(fleet.knownAt[id], at[it]);
            }
        }
        fleet.knownAt[0] = 0;
        auto result = fleet.result();
        result.messages = messages;
        result.bytes = messages * newsBytes;
        return result;
    }

    /// Each instance passes news on to random peers once; with digests each also pulls from a random peer.
    Result gossip(Fleet fleet, bool withDigests, std::mt19937_64& random)
    {
        using Event = std::tuple<double, bool, std::size_t>; // time, is a pull, instance
        std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
        auto n = fleet.alive.size();
        std::size_t messages = 0;
        std::size_t bytes = 0;
        std::size_t unknown = static_cast<std::size_t>(std::count(fleet.alive.begin(), fleet.alive.end(), true));
        auto peer = [&](std::size_t self) { return (self + 1 + random() % (n - 1)) % n; };
        events.emplace(0, false, 0);
        for (std::size_t it = 0; withDigests && it < n; ++it)
            events.emplace(static_cast<double>(random() % 200), true, it);
        while (!events.empty() && unknown > 0) {
            auto [now, isPull, id] = events.top();
            events.pop();
            if (now > limitMs)
                break;
            if (!fleet.alive[id])
                continue;
            if (isPull) {
                events.emplace(now + pullIntervalMs, true, id);
                auto from = peer(id);
                ++messages;
                bytes += digestBytes;
                if (fleet.alive[from] && fleet.knownAt[from] >= 0 && fleet.knownAt[id] < 0) {
                    ++messages;
                    bytes += newsBytes;
                    events.emplace(now + 2 * hopMs, false, id);
                }
                continue;
            }
            if (fleet.knownAt[id] >= 0)
                continue;
            fleet.knownAt[id] = now;
            --unknown;
            for (std::size_t it = 0; it < fanOut; ++it) {
                ++messages;
                bytes += newsBytes;
                events.emplace(now + hopMs, false, peer(id));
            }
        }
        auto result = fleet.result();
        result.messages = messages;
        result.bytes = bytes;
        return result;
    }

    void report(const char* way, std::size_t n, const std::function<Result(Fleet, std::mt19937_64&)>& run)
    {
        constexpr int runs = 50;
        std::mt19937_64 random(11);
        Result sum;
        double worst = 0;
        std::size_t mostMissed = 0;
        for (int it = 0; it < runs; ++it) {
            Fleet fleet(n, 0.1, random);
            auto result = run(fleet, random);
            sum.missed += result.missed;
            sum.messages += result.messages;
            sum.bytes += result.bytes;
            worst = std::max(worst, result.lastMs);
            mostMissed = std::max(mostMissed, result.missed);
        }
        std::printf("| %zu | %s | %.1f | %zu | %.0f | %.1f | %.0f |\n", n, way, static_cast<double>(sum.missed) / runs,
            mostMissed, worst, static_cast<double>(sum.messages) / runs / static_cast<double>(n),
            static_cast<double>(sum.bytes) / runs / static_cast<double>(n));
    }

} // namespace

void spread()
{
    std::printf("| instances | way | missed, mean | missed, most | last, ms | messages per instance | bytes per "
                "instance |\n|---|---|---|---|---|---|---|\n");
    for (std::size_t n : { 10, 100, 1000, 14'000 }) {
        report("tree", n, [](Fleet fleet, std::mt19937_64& random) { return tree(std::move(fleet), 1, random); });
        report(
            "two parents", n, [](Fleet fleet, std::mt19937_64& random) { return tree(std::move(fleet), 2, random); });
        report(
            "gossip", n, [](Fleet fleet, std::mt19937_64& random) { return gossip(std::move(fleet), false, random); });
        report("gossip with digests", n,
            [](Fleet fleet, std::mt19937_64& random) { return gossip(std::move(fleet), true, random); });
    }
}

} // namespace acaciagauge::bench
