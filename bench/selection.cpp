#include "bench.hpp"

#include "support/selection_simulation.hpp"

#include <algorithm>
#include <cstdio>
#include <random>

namespace acaciagauge::bench {

namespace {

    using test::Method;

    void printTable(std::size_t instances, std::size_t servers, std::optional<Duration> age)
    {
        for (double utilisation : { 0.5, 0.7, 0.9 }) {
            for (auto method = Method::random; method <= Method::completeInformation;
                 method = static_cast<Method>(static_cast<int>(method) + 1)) {
                test::SelectionScenario scenario;
                scenario.method = method;
                scenario.instances = instances;
                scenario.servers = servers;
                scenario.reportAge = age;
                scenario.utilisation = utilisation;
                auto result = test::simulateSelection(scenario);
                std::printf("| %zu | %zu | %s | %.1f | %s | %.3f | %.1f | %.0f | %.0f | %.2f | %.2f |\n", instances,
                    servers, age ? std::to_string(age->count() / 1000).c_str() : "own", utilisation,
                    test::nameOf(method), result.freeSlotShare, result.meanWaitMs, result.p95WaitMs,
                    result.meanResponseMs, result.spread, result.idleShare);
            }
        }
    }

    void printCost(const char* name, std::size_t servers, ServerSelector::Knowledge knowledge)
    {
        std::mt19937_64 random(1);
        std::vector<ServerSelector::Candidate> candidates(servers);
        for (auto& it : candidates) {
            it.slots = 2;
            it.serviceTime = std::chrono::milliseconds(100 + random() % 200);
            // All requests are the only chooser's own.
            bool hasOthers = knowledge != ServerSelector::Knowledge::onlyChooser;
            (hasOthers ? it.reportedOthers : it.ownInFlight) = static_cast<double>(random() % 4);
            it.reportAge = std::chrono::milliseconds(random() % 2000);
            it.slowdown = random() % 5 == 0 ? 3 : 1;
            it.slowdownAge = it.reportAge;
            it.isLocal = random() % 3 == 0;
        }
        auto selector = ServerSelector::create({}, [&random] { return random(); });
        // The fastest of many short batches: other processes of the machine disturb the rest.
        constexpr int batches = 300;
        constexpr int runs = 20;
        double micros = 1e9;
        for (int batch = 0; batch < batches; ++batch) {
            auto start = std::chrono::steady_clock::now();
            for (int n = 0; n < runs; ++n) {
                auto selected = *selector.select(candidates, { std::chrono::milliseconds(500), false, knowledge });
                candidates[selected].ownInFlight = n % 3;
            }
            auto taken = std::chrono::steady_clock::now() - start;
            micros = std::min(micros, std::chrono::duration<double, std::micro>(taken).count() / runs);
        }
        std::printf("| %s | %zu | %.2f | %zu |\n", name, servers, micros, selector.stateBytes());
    }

} // namespace

void runSelectionBench()
{
    std::printf("| knowledge | servers | us per choice | state, bytes |\n|---|---|---|---|\n");
    for (std::size_t servers : { 40, 264, 600 }) {
        printCost("own responses", servers, ServerSelector::Knowledge::ownResponses);
        printCost("shared reports", servers, ServerSelector::Knowledge::sharedReports);
        printCost("only chooser", servers, ServerSelector::Knowledge::onlyChooser);
    }
    std::printf("\n| instances | servers | age of reports, ms | utilisation | method | free slot | mean wait, ms | p95 "
                "wait, ms | mean response, ms | spread | idle |\n|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (std::size_t instances : { 8, 73, 91, 195 }) {
        for (std::size_t servers : { 40, 264 }) {
            for (int age : { 100, 300, 1000, 2000 })
                printTable(instances, servers, std::chrono::milliseconds(age));
            printTable(instances, servers, std::nullopt);
        }
    }
}

} // namespace acaciagauge::bench
