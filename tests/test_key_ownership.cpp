#include "support/key_ownership_simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace acaciagauge;
using namespace acaciagauge::test;
using namespace std::chrono_literals;

namespace {

KeyOwnershipSimulation settledWorld(unsigned seed = 1)
{
    KeyOwnershipSimulation::Options options;
    options.seed = seed;
    KeyOwnershipSimulation world(options);
    world.run(4s);
    return world;
}

/// One random fault or its end, by number, so that every kind is its own command.
void command(KeyOwnershipSimulation& world, int kind, std::size_t n)
{
    auto server = n % world.serverCount();
    switch (kind) {
    case 0:
        return world.killController();
    case 1:
        return world.storeDown(true);
    case 2:
        return world.storeDown(false);
    case 3:
        return world.crash(server);
    case 4:
        return world.restart(server);
    case 5:
        return world.reuseAddress(server);
    case 6:
        return world.setDraining(server, true);
    case 7:
        return world.setDraining(server, false);
    case 8:
        return world.setCut(server, true);
    case 9:
        return world.setCut(server, false);
    case 10:
        return world.setListed(server, false);
    case 11:
        return world.setListed(server, true);
    case 12:
        return world.setLostRequests(0.3);
    case 13:
        return world.setLostAnswers(0.3);
    case 14:
        return world.setLateOrders(0.3);
    case 15:
        return world.setLateWrites(0.5);
    case 16:
        return world.heat(static_cast<KeyNumber>(n * 911 % (lastKey + 1)), 60);
    case 17:
        return world.add();
    case 18:
        return world.setSlowOrders(0.3);
    default:
        return world.repairAll();
    }
}

constexpr int commandKinds = 20;

} // namespace

TEST_CASE("no key has two holders, whatever fails")
{
    bool holds = rc::check("two holders", [] {
        KeyOwnershipSimulation::Options options;
        options.seed = *rc::gen::arbitrary<unsigned>();
        KeyOwnershipSimulation world(options);
        auto steps = *rc::gen::container<std::vector<std::tuple<int, std::size_t, int>>>(rc::gen::tuple(
            rc::gen::inRange(0, commandKinds), rc::gen::inRange<std::size_t>(0, 12), rc::gen::inRange(1, 4000)));
        world.run(4s);
        for (const auto& it : steps) {
            command(world, std::get<0>(it), std::get<1>(it));
            world.run(std::chrono::milliseconds(std::get<2>(it)));
            if (!world.problem().empty())
                RC_FAIL(world.problem());
        }
    });
    CHECK(holds);
}

TEST_CASE("after all faults every key is served by its recorded owner")
{
    bool holds = rc::check("served again", [] {
        KeyOwnershipSimulation::Options options;
        options.seed = *rc::gen::arbitrary<unsigned>();
        KeyOwnershipSimulation world(options);
        auto steps = *rc::gen::container<std::vector<std::tuple<int, std::size_t, int>>>(rc::gen::tuple(
            rc::gen::inRange(0, commandKinds), rc::gen::inRange<std::size_t>(0, 12), rc::gen::inRange(1, 3000)));
        world.run(4s);
        for (const auto& it : steps) {
            command(world, std::get<0>(it), std::get<1>(it));
            world.run(std::chrono::milliseconds(std::get<2>(it)));
        }
        world.repairAll();
        world.add();
        world.run(40s);
        RC_ASSERT(world.problem().empty());
        RC_ASSERT(world.servedKeys() == world.watchedKeys());
    });
    CHECK(holds);
}

TEST_CASE("a fresh service is divided and held within seconds")
{
    auto world = settledWorld();
    CHECK(world.problem() == "");
    CHECK(world.servedKeys() == world.watchedKeys());
}

TEST_CASE("a draining server's keys move within the two seconds that it has")
{
    auto world = settledWorld();
    auto owner = world.holder(0);
    REQUIRE(owner);
    world.setDraining(static_cast<std::size_t>(std::stoi(owner->substr(1))), true);
    world.run(1500ms);
    CHECK(world.servedKeys() == world.watchedKeys());
    CHECK(world.holder(0) != owner);
}

TEST_CASE("grants outlast a controller's loss and an outage of the store of eight seconds")
{
    auto world = settledWorld();
    auto owner = world.holder(0);
    world.storeDown(true);
    world.run(1s);
    world.killController();
    world.run(6500ms);
    CHECK(world.servedKeys() == world.watchedKeys());
    CHECK(world.holder(0) == owner);
    world.storeDown(false);
    world.run(5s);
    CHECK(world.servedKeys() == world.watchedKeys());
    CHECK(world.holder(0) == owner);
}

TEST_CASE("a server whose address passed to another process loses its keys at once")
{
    auto world = settledWorld();
    auto owner = world.holder(0);
    world.reuseAddress(static_cast<std::size_t>(std::stoi(owner->substr(1))));
    world.run(5s);
    CHECK(world.problem() == "");
    CHECK(world.servedKeys() == world.watchedKeys());
}

TEST_CASE("keys of a silent server wait until its grants have run out")
{
    auto world = settledWorld();
    auto owner = world.holder(0);
    auto n = static_cast<std::size_t>(std::stoi(owner->substr(1)));
    world.setCut(n, true);
    world.setListed(n, false);
    world.run(8s);
    CHECK(world.holder(0) == owner);
    world.run(8s);
    CHECK(world.problem() == "");
    CHECK(world.holder(0) != owner);
    CHECK(world.servedKeys() == world.watchedKeys());
}

TEST_CASE("a late renewal cannot undo a release")
{
    for (unsigned seed = 1; seed <= 40; ++seed) {
        auto world = settledWorld(seed);
        auto owner = world.holder(0);
        auto n = static_cast<std::size_t>(std::stoi(owner->substr(1)));
        world.setLateOrders(1);
        world.run(3s);
        world.setLateOrders(0);
        world.setDraining(n, true);
        world.run(15s);
        CHECK(world.problem() == "");
        CHECK(world.holder(0) != owner);
    }
}

TEST_CASE("orders that are seconds on their way give no key twice, since the sender resets what it gives up")
{
    // Keys of servers that answer nothing are waited out and given to others, while their orders are still on their
    // way.
    auto play = [](unsigned seed, bool abandonedOrdersArrive) {
        KeyOwnershipSimulation::Options options;
        options.seed = seed;
        options.abandonedOrdersArrive = abandonedOrdersArrive;
        KeyOwnershipSimulation world(options);
        world.run(4s);
        world.setSlowOrders(1);
        world.run(3s);
        for (std::size_t n = 0; n < 2; ++n)
            world.setListed(n, false);
        world.run(13s);
        world.setSlowOrders(0);
        world.run(12s);
        return world.problem();
    };
    std::size_t problems = 0;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        CHECK(play(seed, false) == "");
        problems += !play(seed, true).empty();
    }
    CHECK(problems > 0);
}

TEST_CASE("a server with many ranges has all of them renewed")
{
    KeyOwnershipSimulation::Options options;
    options.seed = 95;
    KeyOwnershipSimulation world(options);
    world.run(4s);
    // All servers leave in turn and come back: ranges are split again and again.
    for (std::size_t n : { 0U, 3U, 1U, 2U, 4U }) {
        world.setDraining(n, true);
        world.run(200ms);
    }
    world.repairAll();
    world.run(40s);
    CHECK(world.problem() == "");
    CHECK(world.servedKeys() == world.watchedKeys());
}
