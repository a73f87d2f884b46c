#include <acaciagauge/acaciagauge.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace acaciagauge;

namespace {

std::vector<double> countItems(const PlacementProblem& problem, const std::vector<std::uint32_t>& owners)
{
    std::vector<double> itemCounts(problem.capacities.size(), 0.0);
    for (auto it : owners)
        itemCounts[it] += 1;
    return itemCounts;
}

} // namespace

TEST_CASE("rebalancing keeps servers within the slack, and a second run moves hardly anything")
{
    bool passed = rc::check("rebalance", [] {
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
        auto newOwners = rebalance(problem);
        auto itemCounts = countItems(problem, newOwners);
        double capacity = 0;
        for (auto it : problem.capacities)
            capacity += it;
        for (std::size_t n = 0; n < servers; ++n) {
            auto fair = static_cast<double>(items) * problem.capacities[n] / capacity;
            RC_ASSERT(itemCounts[n] <= std::ceil(fair * (1 + problem.slack)) + 1);
        }
        // A second run on the result must move hardly anything: at most as many items as there are servers.
        auto balanced = problem;
        balanced.owners = newOwners;
        std::size_t moved = 0;
        auto secondOwners = rebalance(balanced);
        for (std::size_t n = 0; n < items; ++n)
            moved += secondOwners[n] != newOwners[n];
        RC_ASSERT(moved <= servers);
    });
    CHECK(passed);
}

TEST_CASE("the loss of a server moves its items and no others")
{
    PlacementProblem problem;
    problem.capacities.assign(10, 2.0);
    for (std::uint32_t n = 0; n < 1000; ++n)
        problem.owners.push_back(n % 10);
    problem.capacities[3] = 0;
    auto newOwners = rebalance(problem);
    for (std::uint32_t n = 0; n < 1000; ++n)
        CHECK((newOwners[n] != problem.owners[n]) == (problem.owners[n] == 3));
}

TEST_CASE("heavy items are balanced by load, not by number")
{
    PlacementProblem problem;
    problem.capacities.assign(4, 1.0);
    problem.owners.assign(40, 0);
    problem.weights.assign(40, 1.0F);
    for (std::size_t n = 0; n < 4; ++n)
        problem.weights[n] = 10.0F;
    auto newOwners = rebalance(problem);
    std::vector<double> loads(4, 0.0);
    for (std::size_t n = 0; n < 40; ++n)
        loads[newOwners[n]] += problem.weights[n];
    // The mean load is 19: 4 items of load 10 and 36 of load 1 on 4 servers.
    for (auto it : loads)
        CHECK(it <= 19.0 * 1.25);
}

TEST_CASE("partitions are divided over domains by slots, and only those of a lost domain move")
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
