#include <acaciagauge/acaciagauge.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace acaciagauge;

namespace {

std::vector<double> fillsOf(const DensePlan& plan, const std::vector<std::uint32_t>& owners)
{
    std::vector<double> fills(plan.capacities.size(), 0.0);
    for (auto it : owners)
        fills[it] += 1;
    return fills;
}

} // namespace

TEST_CASE("a rebalanced service is within its slack, and only what has to move moves")
{
    bool holds = rc::check("rebalance", [] {
        DensePlan plan;
        auto servers = *rc::gen::inRange<std::size_t>(1, 30);
        auto items = *rc::gen::inRange<std::size_t>(1, 600);
        plan.slack = *rc::gen::element(0.0, 0.05, maxSlack);
        for (std::size_t n = 0; n < servers; ++n)
            plan.capacities.push_back(*rc::gen::element(2.0, 4.0));
        for (std::size_t n = 0; n < items; ++n)
            plan.owners.push_back(*rc::gen::element(noServer, static_cast<std::uint32_t>(n % servers), 0U));
        auto lost = *rc::gen::inRange<std::size_t>(0, servers);
        if (servers > 1)
            plan.capacities[lost] = 0;
        auto next = rebalance(plan);
        auto fills = fillsOf(plan, next);
        double capacity = 0;
        for (auto it : plan.capacities)
            capacity += it;
        for (std::size_t n = 0; n < servers; ++n) {
            auto fair = static_cast<double>(items) * plan.capacities[n] / capacity;
            RC_ASSERT(fills[n] <= std::ceil(fair * (1 + plan.slack)) + 1);
        }
        // A second run from the result moves nothing.
        auto settled = plan;
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
    DensePlan plan;
    plan.capacities.assign(10, 2.0);
    for (std::uint32_t n = 0; n < 1000; ++n)
        plan.owners.push_back(n % 10);
    plan.capacities[3] = 0;
    auto next = rebalance(plan);
    for (std::uint32_t n = 0; n < 1000; ++n)
        CHECK((next[n] != plan.owners[n]) == (plan.owners[n] == 3));
}

TEST_CASE("heavy items are spread by their load")
{
    DensePlan plan;
    plan.capacities.assign(4, 1.0);
    plan.owners.assign(40, 0);
    plan.weights.assign(40, 1.0F);
    for (std::size_t n = 0; n < 4; ++n)
        plan.weights[n] = 10.0F;
    auto next = rebalance(plan);
    std::vector<double> loads(4, 0.0);
    for (std::size_t n = 0; n < 40; ++n)
        loads[next[n]] += plan.weights[n];
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
