#include <acaciagauge/acaciagauge.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace acaciagauge;

namespace {

std::vector<double> fillsOf(const PlacementProblem& problem, const std::vector<std::uint32_t>& owners)
{
    std::vector<double> fills(problem.capacities.size(), 0.0);
    for (auto it : owners)
        fills[it] += 1;
    return fills;
}

} // namespace

TEST_CASE("a rebalanced service is within its slack, and only what has to move moves")
{
    bool holds = rc::check("rebalance", [] {
        PlacementProblem problem;
        auto servers = *rc::gen::inRange<std::size_t>(1, 30);
        auto items = *rc::gen::inRange<std::size_t>(1, 600);
        problem.slack = *rc::gen::element(0.0, 0.05, maxSlack);
        for (std::size_t n = 0; n < servers; ++n)
            problem.capacities.push_back(*rc::gen::element(2.0, 4.0));
        for (std::size_t n = 0; n < items; ++n)
            problem.owners.push_back(*rc::gen::element(noServer, static_cast<std::uint32_t>(n % servers), 0U));
        auto lost = *rc::gen::inRange<std::size_t>(0, servers);
        if (servers > 1)
            problem.capacities[lost] = 0;
        auto next = rebalance(problem);
        auto fills = fillsOf(problem, next);
        double capacity = 0;
        for (auto it : problem.capacities)
            capacity += it;
        for (std::size_t n = 0; n < servers; ++n) {
            auto fair = static_cast<double>(items) * problem.capacities[n] / capacity;
            RC_ASSERT(fills[n] <= std::ceil(fair * (1 + problem.slack)) + 1);
        }
        // A second run from the result moves nothing.
        auto settled = problem;
        settled.owners = next;
        std::size_t moved = 0;
        auto again = rebalance(settled);
        for (std::size_t n = 0; n < items; ++n)
            moved += again[n] != next[n];
        RC_ASSERT(moved <= servers);
    });
    CHECK(holds);
}

TEST_CASE("the loss of a server moves its items and no others")
{
    PlacementProblem problem;
    problem.capacities.assign(10, 2.0);
    for (std::uint32_t n = 0; n < 1000; ++n)
        problem.owners.push_back(n % 10);
    problem.capacities[3] = 0;
    auto next = rebalance(problem);
    for (std::uint32_t n = 0; n < 1000; ++n)
        CHECK((next[n] != problem.owners[n]) == (problem.owners[n] == 3));
}

TEST_CASE("heavy items are spread by their load")
{
    PlacementProblem problem;
    problem.capacities.assign(4, 1.0);
    problem.owners.assign(40, 0);
    problem.weights.assign(40, 1.0F);
    for (std::size_t n = 0; n < 4; ++n)
        problem.weights[n] = 10.0F;
    auto next = rebalance(problem);
    std::vector<double> loads(4, 0.0);
    for (std::size_t n = 0; n < 40; ++n)
        loads[next[n]] += problem.weights[n];
    for (auto it : loads)
        CHECK(it <= 19.0 * 1.25);
}

TEST_CASE("homes follow the domains' slots and leave a lost domain")
{
    ServiceSpec service;
    service.name = "lots";
    service.partitions = 90;
    for (const char* domain : { "a", "b", "c" })
        service.servers.push_back({ std::string("s-") + domain, domain, "127.0.0.1:1", 2 });
    auto homes = planHomes(service, nullptr, {});
    homes.version = 1;
    CHECK(std::count(homes.homes.begin(), homes.homes.end(), 0) == 30);
    auto after = planHomes(service, &homes, { "b" });
    std::size_t moved = 0;
    for (std::uint32_t n = 0; n < 90; ++n) {
        CHECK(after.homeOf(n) != "b");
        moved += after.homeOf(n) != homes.homeOf(n);
    }
    CHECK(moved == 30);
}
