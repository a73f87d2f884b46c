#include <acaciagauge/acaciagauge.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace acaciagauge;

namespace {

RouteConfig rule(std::string name, std::string host, std::string prefix)
{
    RouteConfig route;
    route.name = std::move(name);
    route.host = std::move(host);
    route.prefix = std::move(prefix);
    route.services.push_back({ "service", 1 });
    return route;
}

} // namespace

TEST_CASE("a request matches the route of its host with the longest path prefix")
{
    auto state = DesiredState::create(1,
        { rule("short", "a.example", "/x/"), rule("long", "a.example", "/x/y/"), rule("other", "b.example", "/") }, {},
        {});
    CHECK(state->match("a.example", "/x/y/z")->name == "long");
    CHECK(state->match("a.example", "/x/z")->name == "short");
    CHECK(state->match("A.EXAMPLE:8080", "/x/z")->name == "short");
    CHECK(state->match("a.example", "/xy") == nullptr);
    CHECK(state->match("a.example", "/x") == nullptr);
    CHECK(state->match("c.example", "/x/") == nullptr);
    CHECK(state->match("b.example", "/any")->name == "other");
}

TEST_CASE("any number of requests is distributed to a route's services by weight")
{
    bool holds = rc::check("weights", [] {
        auto route = rule("split", "a", "/");
        route.services = { { "a", *rc::gen::inRange(0U, 100U) }, { "b", *rc::gen::inRange(1U, 100U) },
            { "c", *rc::gen::inRange(0U, 100U) } };
        auto total = route.services[0].weight + route.services[1].weight + route.services[2].weight;
        auto roundRobin = WeightedRoundRobin::create();
        std::map<ServiceName, int> counts;
        auto n = *rc::gen::inRange(1, 500);
        for (int i = 0; i < n; ++i)
            ++counts[roundRobin.next(route).service];
        for (const auto& it : route.services) {
            auto expected = static_cast<double>(n) * it.weight / total;
            RC_ASSERT(std::abs(counts[it.service] - expected) < 2.0);
            RC_ASSERT(it.weight > 0 || counts[it.service] == 0);
        }
    });
    CHECK(holds);
}

TEST_CASE(
    "only a rate limit of cold servers or large responses call for coordination, so earlier deployments keep theirs")
{
    auto route = rule("a", "a.example", "/");
    ServiceConfig service;
    CHECK_FALSE(DesiredState::create(1, { route }, { { "service", service } }, {})->callsForCoordination());
    service.warmupPerSecond = 2.7;
    CHECK(DesiredState::create(1, { route }, { { "service", service } }, {})->callsForCoordination());
    route.hasLargeResponses = true;
    CHECK(DesiredState::create(1, { route }, {}, {})->callsForCoordination());
}
