#include <acaciagauge/acaciagauge.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace acaciagauge;

namespace {

constexpr std::uint32_t partitions = 4;
const DomainId domains[] = { "north", "south" };

ServiceSpec serviceOf(int northSlots, int southSlots)
{
    ServiceSpec service;
    service.name = "lots";
    service.partitions = partitions;
    int n = 0;
    for (int slots : { northSlots, southSlots }) {
        if (slots > 0)
            service.servers.push_back(
                { "s" + std::to_string(n), domains[n], "127.0.0.1:1", static_cast<std::uint32_t>(slots) });
        ++n;
    }
    return service;
}

/// One controller of one domain: its keeper, what it knows, and what it does with its domain's record.
struct Controller {
    int domain;
    Epoch epoch;
    HomeAssigner keeper;
    std::optional<HomeMap> known;
    ServiceSpec service;
    std::set<std::uint32_t> plan; ///< What it may assign, as its agent last heard.
    Epoch planConfirmed = 0;
    std::set<std::uint32_t> adding; ///< Being written to the record.
    std::set<std::uint32_t> record; ///< The domain's record as this controller read or wrote it last.
    bool isPlanCurrent = false;
};

/// The store's home map and each domain's record, with several controllers a domain, deposed ones included.
struct World {
    std::optional<HomeMap> stored;
    std::vector<std::pair<std::uint64_t, HomeMap>> late; ///< Writes that may still land, with the version they expect.
    std::set<std::uint32_t> held[2]; ///< What each domain's record lists.
    Epoch epochs[2] = { 0, 0 };
    std::vector<Controller> controllers;

    bool write(std::uint64_t expected, const HomeMap& next)
    {
        if ((stored ? stored->version : 0) != expected)
            return false;
        stored = next;
        return true;
    }

    void elect(int domain, const ServiceSpec& service)
    {
        controllers.push_back({ domain, ++epochs[domain], HomeAssigner::create(domains[domain]), std::nullopt, service,
            {}, 0, {}, held[domain], false });
    }

    void learn(Controller& it)
    {
        if (!stored || (it.known && stored->version <= it.known->version))
            return;
        it.known = stored;
        it.keeper.noteNewerMap("lots");
        it.isPlanCurrent = false;
    }

    /// The agent hears the newest plan.
    void tellPlan(Controller& it)
    {
        if (!it.known)
            return;
        it.plan = it.keeper.assignablePartitions(it.service, *it.known, {});
        it.planConfirmed = it.keeper.confirmedEpoch(*it.known);
        it.isPlanCurrent = true;
    }

    /// The agent proposes items that it may assign and its record lacks.
    void propose(Controller& it)
    {
        if (it.planConfirmed != it.epoch)
            return;
        for (auto n : it.plan) {
            if (!held[it.domain].contains(n))
                it.adding.insert(n);
        }
    }

    /// The record is replaced by compare-and-swap: only the domain's newest controller succeeds.
    void commit(Controller& it)
    {
        if (it.epoch != epochs[it.domain]) {
            it.adding.clear();
            return;
        }
        // What is being written was decided before the newest plan came; only the next write obeys it.
        bool wasWriting = !it.adding.empty();
        held[it.domain].insert(it.adding.begin(), it.adding.end());
        it.adding.clear();
        it.record = held[it.domain];
        if (wasWriting)
            return;
        std::erase_if(held[it.domain], [&](auto n) { return it.isPlanCurrent && !it.plan.contains(n); });
        it.record = held[it.domain];
    }

    void tendHome(Controller& it, int fault)
    {
        HomeAssigner::ControllerState state;
        state.epoch = it.epoch;
        state.isSettled = it.isPlanCurrent && it.adding.empty();
        // A deposed controller goes by the record of its own epoch.
        state.isRecorded = [&](std::uint32_t n) { return it.record.contains(n); };
        auto next = it.keeper.nextWrite(it.service, it.known ? &*it.known : nullptr, {}, state);
        it.isPlanCurrent = it.isPlanCurrent && !next;
        if (!next)
            return;
        auto expected = next->version - 1;
        if (fault == 1) {
            late.emplace_back(expected, *next);
            return;
        }
        bool done = write(expected, *next);
        if (done && fault == 0)
            learn(it);
    }

    void landLate()
    {
        for (const auto& it : late)
            write(it.first, it.second);
        late.clear();
    }
};

} // namespace

TEST_CASE("a partition is in at most one domain's record, whoever controls and whatever lands late")
{
    bool holds = rc::check("home map", [] {
        World world;
        auto service = serviceOf(1, 1);
        world.elect(0, service);
        world.elect(1, service);
        for (int round = 0; round < 3; ++round) {
            for (auto& it : world.controllers) {
                world.tendHome(it, 0);
                world.learn(it);
                world.tellPlan(it);
                world.propose(it);
                world.commit(it);
            }
        }
        RC_ASSERT(world.held[0].size() + world.held[1].size() == partitions);
        auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, 20), rc::gen::inRange(0, 100), rc::gen::inRange(0, 3)));
        for (const auto& [what, who, fault] : steps) {
            // Any of the newest four controllers: mostly one that is in office and one deposed for each domain.
            auto candidates = std::min<std::size_t>(world.controllers.size(), 4);
            auto index = world.controllers.size() - 1 - static_cast<std::size_t>(who) % candidates;
            auto& it = world.controllers[index];
            if (what == 0)
                world.elect(who % 2, service);
            else if (what <= 3) {
                service = serviceOf(who % 3, 1 + who % 2);
                it.service = service;
                it.isPlanCurrent = false;
            } else if (what == 4)
                world.landLate();
            else if (what <= 6)
                world.learn(it);
            else if (what <= 9)
                world.tellPlan(it);
            else if (what <= 12)
                world.propose(it);
            else if (what <= 15)
                world.commit(it);
            else
                world.tendHome(it, fault);
            for (std::uint32_t n = 0; n < partitions; ++n) {
                if (world.held[0].contains(n) && world.held[1].contains(n))
                    RC_FAIL("partition " + std::to_string(n) + " is in both domains' records");
            }
        }
    });
    CHECK(holds);
}

TEST_CASE("a partition whose owner is being written is not given away")
{
    World world;
    auto both = serviceOf(1, 1);
    world.elect(0, both);
    world.elect(1, both);
    auto& north = world.controllers[0];
    auto& south = world.controllers[1];
    auto turn = [&](Controller& it) {
        world.learn(it);
        world.tellPlan(it);
        world.propose(it);
        world.commit(it);
        world.commit(it);
        world.tendHome(it, 0);
        world.learn(it);
    };
    for (int round = 0; round < 4; ++round) {
        turn(north);
        turn(south);
    }
    REQUIRE(world.held[0].size() == 2);
    south.service = serviceOf(1, 0);
    turn(south);
    turn(south);
    REQUIRE(world.held[1].empty());
    north.service = serviceOf(1, 0);
    world.learn(north);
    world.tellPlan(north);
    world.propose(north);
    REQUIRE(north.adding.size() == 2);
    north.service = serviceOf(0, 1);
    south.service = serviceOf(0, 1);
    world.tellPlan(north);
    world.tendHome(north, 0);
    world.commit(north);
    turn(south);
    for (std::uint32_t n = 0; n < partitions; ++n)
        CHECK_FALSE((world.held[0].contains(n) && world.held[1].contains(n)));
}
