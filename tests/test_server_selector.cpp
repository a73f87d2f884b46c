#include "support/selection_simulation.hpp"

#include <catch2/catch.hpp>

using namespace acaciagauge;
using namespace acaciagauge::test;
using namespace std::chrono_literals;

namespace {

/// Runs a test for each size of the page and each utilisation, with shorter simulations of many servers.
template <typename Test> void forEachSize(SelectionScenario scenario, Test test)
{
    auto duration = scenario.duration;
    for (std::size_t instances : { 8, 73, 91, 195 }) {
        for (std::size_t servers : { 40, 264 }) {
            scenario.duration = servers == 40 ? duration : duration * 2 / 3;
            for (double utilisation : { 0.5, 0.7, 0.9 }) {
                scenario.instances = instances;
                scenario.servers = servers;
                scenario.utilisation = utilisation;
                INFO(instances << " instances, " << servers << " servers, utilisation " << utilisation);
                test(scenario);
            }
        }
    }
}

SelectionResult resultOf(SelectionScenario scenario, Method method)
{
    scenario.method = method;
    return simulateSelection(scenario);
}

// The limit's mean wait is zero up to a utilisation of 0.7, so that no share of it can be an aim.
void checkFreeSlots(const SelectionScenario& scenario, Method method)
{
    auto limit = resultOf(scenario, Method::completeInformation);
    CHECK(resultOf(scenario, method).freeSlotShare >= 0.9 * limit.freeSlotShare);
}

ServerSelector selectorWithSeed(std::uint64_t seed)
{
    return ServerSelector::create({}, [random = std::mt19937_64(seed)]() mutable { return random(); });
}

} // namespace

// Fails if a coordinator lets servers idle while others queue, because it knows slowdowns 0.3 s late.
TEST_CASE("coordinators with reports 0.3 s old find free slots within 10% of complete information")
{
    SelectionScenario longer;
    longer.duration = 5s;
    forEachSize(longer, [](const SelectionScenario& scenario) {
        checkFreeSlots(scenario, Method::domainCoordinator);
        checkFreeSlots(scenario, Method::coordinator);
    });
}

// Known to fail (KNOWN-RED.txt): what other instances have sent in the last 0.3 s is known to none of them.
TEST_CASE("instances without a coordinator and with reports 0.3 s old find free slots within 10% of the limit")
{
    SelectionScenario longer;
    longer.duration = 5s;
    forEachSize(longer, [](const SelectionScenario& scenario) { checkFreeSlots(scenario, Method::selector); });
}

// Fails if instances that know the same or no recent reports select the same servers.
TEST_CASE("requests wait less than with the earlier choice")
{
    for (auto age : std::vector<std::optional<Duration>> { 100ms, 300ms, 1s, 2s, std::nullopt }) {
        INFO("age of reports in us, 0: own responses only: " << age.value_or(0us).count());
        SelectionScenario scenario;
        scenario.reportAge = age;
        scenario.duration = 3s;
        forEachSize(scenario, [](const SelectionScenario& it) {
            auto selector = resultOf(it, Method::selector);
            auto earlier = resultOf(it, Method::earlier);
            CHECK(selector.meanWaitMs < earlier.meanWaitMs);
            CHECK(selector.freeSlotShare > earlier.freeSlotShare);
            CHECK(selector.p95WaitMs < earlier.p95WaitMs);
        });
    }
}

// Fails if traffic leaves a domain that has capacity, or stays in one that has none.
TEST_CASE("requests leave their domain only when they would be late there")
{
    SelectionScenario scenario;
    scenario.domains = 3;
    scenario.reportAge = std::nullopt;
    scenario.utilisation = 0.5;
    auto even = resultOf(scenario, Method::selector);
    scenario.localDemand = 3;
    auto uneven = resultOf(scenario, Method::selector);
    scenario.hasLargeResponses = true;
    auto large = resultOf(scenario, Method::selector);
    auto earlier = resultOf(scenario, Method::earlier);
    CAPTURE(even.crossDomainShare, uneven.crossDomainShare, large.crossDomainShare);
    CAPTURE(uneven.lateShare, large.lateShare, earlier.lateShare);
    CHECK(even.crossDomainShare < 0.15);
    CHECK(uneven.crossDomainShare > 0.2);
    CHECK(uneven.lateShare < earlier.lateShare / 2);
    CHECK(large.crossDomainShare < uneven.crossDomainShare / 2);
    CHECK(large.lateShare < earlier.lateShare);
}

TEST_CASE("a server that is avoided, waits for a permit or is cold is selected only if it is still the best")
{
    using Candidate = ServerSelector::Candidate;
    using Knowledge = ServerSelector::Knowledge;
    Candidate good;
    good.slots = 2;
    good.serviceTime = 100ms;
    auto knowledge = GENERATE(Knowledge::ownResponses, Knowledge::sharedReports, Knowledge::onlyChooser);
    auto selector = selectorWithSeed(1);
    auto selected = [&](const std::vector<Candidate>& from) {
        return selector.select(from, { 500ms, false, knowledge });
    };
    CHECK(!selected({}));
    auto avoided = good;
    avoided.isAvoided = true;
    CHECK(selected({ avoided, good }) == 1);
    CHECK(selected({ avoided }) == 0);
    avoided.isLocal = true;
    auto remote = good;
    remote.isLocal = false;
    CHECK(selected({ avoided, remote }) == 1);
    auto count = [&](const Candidate& worse) {
        int n = 0;
        for (int it = 0; it < 100; ++it)
            n += selected({ worse, good }) == 0;
        return n;
    };
    auto waiting = good;
    waiting.permitWait = 400ms;
    CHECK(count(waiting) < 35);
    auto cold = good;
    cold.isCold = true;
    cold.ownInFlight = 1;
    CHECK(count(cold) < 35);
}
