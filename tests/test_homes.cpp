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

/// One controller of a domain: its home assigner, the home map it knows, and its writes of the domain's record.
struct Controller {
    int domain;
    Epoch epoch;
    HomeAssigner homes;
    std::optional<HomeMap> known;
    ServiceSpec service;
    std::set<std::uint32_t> plan; ///< Partitions that it may assign, as last passed to its agent.
    Epoch planConfirmed = 0;
    std::set<std::uint32_t> adding; ///< Partitions that a write in flight adds to the record.
    std::set<std::uint32_t> record; ///< Partitions in the domain's record as this controller last read or wrote it.
    bool isPlanCurrent = false;
};

/// The store's home map and domain records, with several controllers per domain, including deposed ones.
struct Simulation {
    std::optional<HomeMap> stored;
    std::vector<std::pair<std::uint64_t, HomeMap>>
        late; ///< Writes that may still take effect, with the version they expect.
    std::set<std::uint32_t> recorded[2]; ///< Partitions in each domain's record.
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
            {}, 0, {}, recorded[domain], false });
    }

    void learn(Controller& it)
    {
        if (!stored || (it.known && stored->version <= it.known->version))
            return;
        it.known = stored;
        it.homes.noteNewerMap("lots");
        it.isPlanCurrent = false;
    }

    /// Passes the newest plan to the agent.
    void updatePlan(Controller& it)
    {
        if (!it.known)
            return;
        it.plan = it.homes.assignablePartitions(it.service, *it.known, {});
        it.planConfirmed = it.homes.confirmedEpoch(*it.known);
        it.isPlanCurrent = true;
    }

    /// Starts to add the plan's partitions that the record lacks.
    void propose(Controller& it)
    {
        if (it.planConfirmed != it.epoch)
            return;
        for (auto n : it.plan) {
            if (!recorded[it.domain].contains(n))
                it.adding.insert(n);
        }
    }

    /// Replaces the record by compare-and-swap, which succeeds only for the domain's newest controller.
    void commit(Controller& it)
    {
        if (it.epoch != epochs[it.domain]) {
            it.adding.clear();
            return;
        }
        // The write in flight was decided before the newest plan arrived; only the next write follows that plan.
        bool wasWriting = !it.adding.empty();
        recorded[it.domain].insert(it.adding.begin(), it.adding.end());
        it.adding.clear();
        it.record = recorded[it.domain];
        if (wasWriting)
            return;
        std::erase_if(recorded[it.domain], [&](auto n) { return it.isPlanCurrent && !it.plan.contains(n); });
        it.record = recorded[it.domain];
    }

    void writeHomes(Controller& it, int fault)
    {
        HomeAssigner::ControllerState state;
        state.epoch = it.epoch;
        state.isSettled = it.isPlanCurrent && it.adding.empty();
        // A deposed controller still uses the record of its own epoch.
        state.isRecorded = [&](std::uint32_t n) { return it.record.contains(n); };
        auto next = it.homes.nextWrite(it.service, it.known ? &*it.known : nullptr, {}, state);
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

    void applyLateWrites()
    {
        for (const auto& it : late)
            write(it.first, it.second);
        late.clear();
    }
};

} // namespace

TEST_CASE("a partition is in at most one domain's record, despite deposed controllers and delayed writes")
{
    bool holds = rc::check("home map", [] {
        Simulation simulation;
        auto service = serviceOf(1, 1);
        simulation.elect(0, service);
        simulation.elect(1, service);
        for (int round = 0; round < 3; ++round) {
            for (auto& it : simulation.controllers) {
                simulation.writeHomes(it, 0);
                simulation.learn(it);
                simulation.updatePlan(it);
                simulation.propose(it);
                simulation.commit(it);
            }
        }
        RC_ASSERT(simulation.recorded[0].size() + simulation.recorded[1].size() == partitions);
        auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, 20), rc::gen::inRange(0, 100), rc::gen::inRange(0, 3)));
        for (const auto& [what, who, fault] : steps) {
            // Any of the newest four controllers: usually the current and one deposed controller of each domain.
            auto candidates = std::min<std::size_t>(simulation.controllers.size(), 4);
            auto index = simulation.controllers.size() - 1 - static_cast<std::size_t>(who) % candidates;
            auto& it = simulation.controllers[index];
            if (what == 0)
                simulation.elect(who % 2, service);
            else if (what <= 3) {
                service = serviceOf(who % 3, 1 + who % 2);
                it.service = service;
                it.isPlanCurrent = false;
            } else if (what == 4)
                simulation.applyLateWrites();
            else if (what <= 6)
                simulation.learn(it);
            else if (what <= 9)
                simulation.updatePlan(it);
            else if (what <= 12)
                simulation.propose(it);
            else if (what <= 15)
                simulation.commit(it);
            else
                simulation.writeHomes(it, fault);
            for (std::uint32_t n = 0; n < partitions; ++n) {
                if (simulation.recorded[0].contains(n) && simulation.recorded[1].contains(n))
                    RC_FAIL("partition " + std::to_string(n) + " is in both domains' records");
            }
        }
    });
    CHECK(holds);
}

TEST_CASE("a partition whose owner is being written is not given away")
{
    Simulation simulation;
    auto both = serviceOf(1, 1);
    simulation.elect(0, both);
    simulation.elect(1, both);
    auto& north = simulation.controllers[0];
    auto& south = simulation.controllers[1];
    auto runRound = [&](Controller& it) {
        simulation.learn(it);
        simulation.updatePlan(it);
        simulation.propose(it);
        simulation.commit(it);
        simulation.commit(it);
        simulation.writeHomes(it, 0);
        simulation.learn(it);
    };
    for (int round = 0; round < 4; ++round) {
        runRound(north);
        runRound(south);
    }
    REQUIRE(simulation.recorded[0].size() == 2);
    south.service = serviceOf(1, 0);
    runRound(south);
    runRound(south);
    REQUIRE(simulation.recorded[1].empty());
    north.service = serviceOf(1, 0);
    simulation.learn(north);
    simulation.updatePlan(north);
    simulation.propose(north);
    REQUIRE(north.adding.size() == 2);
    north.service = serviceOf(0, 1);
    south.service = serviceOf(0, 1);
    simulation.updatePlan(north);
    simulation.writeHomes(north, 0);
    simulation.commit(north);
    runRound(south);
    for (std::uint32_t n = 0; n < partitions; ++n)
        CHECK_FALSE((simulation.recorded[0].contains(n) && simulation.recorded[1].contains(n)));
}
