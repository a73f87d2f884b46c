#include "support/ownership_world.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace acaciagauge;
using namespace acaciagauge::test;
using namespace std::chrono_literals;

namespace {

constexpr int instances = 4;
constexpr int servers = 4;

enum class Fault {
    killInstance,
    restartInstance,
    pauseInstance,
    wakeInstance,
    killServer,
    restartServer,
    freezeServer,
    wakeServer,
    cutPeers,
    cutServer,
    cutFromServer,
    cutStore,
    isolateInstance,
    healAndDeliver,
    healAndDrop,
    slowLink,
    storeDown,
    storeUp,
    loseStoreAnswer,
    delayStoreWrite,
    serverLeaves,
    serverStays,
    leaveInstance,
    count,
};

const char* const faultNames[] = { "killInstance", "restartInstance", "pauseInstance", "wakeInstance", "killServer",
    "restartServer", "freezeServer", "wakeServer", "cutPeers", "cutServer", "cutFromServer", "cutStore",
    "isolateInstance", "healAndDeliver", "healAndDrop", "slowLink", "storeDown", "storeUp", "loseStoreAnswer",
    "delayStoreWrite", "serverLeaves", "serverStays", "leaveInstance" };

struct Step {
    Fault fault;
    int a;
    int b;
    int runMilliseconds;
};

std::ostream& operator<<(std::ostream& out, const Step& step)
{
    return out << faultNames[static_cast<int>(step.fault)] << '(' << step.a << ',' << step.b << ") then run "
               << step.runMilliseconds << " ms";
}

rc::Gen<Step> anyStep()
{
    auto fault = rc::gen::map(rc::gen::inRange(0, static_cast<int>(Fault::count)), [](int n) { return Fault(n); });
    auto wait = rc::gen::oneOf(rc::gen::inRange(0, 30), rc::gen::inRange(0, 1200), rc::gen::inRange(0, 5000));
    return rc::gen::construct<Step>(fault, rc::gen::inRange(0, instances), rc::gen::inRange(0, servers), wait);
}

void isolate(OwnershipWorld& world, std::size_t n)
{
    auto name = world.instanceName(n);
    world.cutBoth(name, "store");
    for (std::size_t it = 0; it < instances; ++it) {
        if (it != n)
            world.cutBoth(name, world.instanceName(it));
    }
}

void apply(OwnershipWorld& world, const Step& step)
{
    auto a = static_cast<std::size_t>(step.a);
    auto b = static_cast<std::size_t>(step.b);
    switch (step.fault) {
    case Fault::killInstance:
        world.killInstance(a);
        break;
    case Fault::restartInstance:
        world.restartInstance(a);
        break;
    case Fault::pauseInstance:
        world.pauseInstance(a);
        break;
    case Fault::wakeInstance:
        world.wakeInstance(a);
        break;
    case Fault::killServer:
        world.killServer(b);
        break;
    case Fault::restartServer:
        world.restartServer(b);
        break;
    case Fault::freezeServer:
        world.freezeServer(b);
        break;
    case Fault::wakeServer:
        world.wakeServer(b);
        break;
    case Fault::cutPeers:
        world.cut(world.instanceName(a), world.instanceName(b));
        break;
    case Fault::cutServer:
        world.cut(world.instanceName(a), world.serverName(b));
        break;
    case Fault::cutFromServer:
        world.cut(world.serverName(b), world.instanceName(a));
        break;
    case Fault::cutStore:
        world.cutBoth(world.instanceName(a), "store");
        break;
    case Fault::isolateInstance:
        isolate(world, a);
        break;
    case Fault::healAndDeliver:
        world.heal(false);
        break;
    case Fault::healAndDrop:
        world.heal(true);
        break;
    case Fault::slowLink:
        world.setLatency(world.instanceName(a), world.serverName(b), 350ms);
        break;
    case Fault::storeDown:
        world.setStoreDown(true);
        break;
    case Fault::storeUp:
        world.setStoreDown(false);
        break;
    case Fault::loseStoreAnswer:
        world.loseNextStoreAnswer();
        break;
    case Fault::delayStoreWrite:
        world.delayNextStoreWrite(400ms);
        break;
    case Fault::serverLeaves:
        world.setServerLeaving(b, true);
        break;
    case Fault::serverStays:
        world.setServerLeaving(b, false);
        break;
    case Fault::leaveInstance:
        world.leaveInstance(a);
        break;
    case Fault::count:
        break;
    }
    world.run(std::chrono::milliseconds(step.runMilliseconds));
}

void requireSafe(const OwnershipWorld& world)
{
    if (!world.violation().empty())
        RC_FAIL(world.violation() + "\n" + world.describe());
}

void repairAndWait(OwnershipWorld& world)
{
    world.repairAll();
    for (int n = 0; n < servers; ++n)
        world.setServerLeaving(static_cast<std::size_t>(n), false);
    for (int n = 0; n < 40 && world.itemsServed() != world.itemCount(); ++n)
        world.run(1s);
}

void requireRecovery(OwnershipWorld& world)
{
    repairAndWait(world);
    requireSafe(world);
    if (world.itemsServed() != world.itemCount())
        RC_FAIL("not all items are served again\n" + world.describe());
}

} // namespace

TEST_CASE("a new domain serves every item")
{
    OwnershipWorld world({});
    world.run(3s);
    INFO(world.violation() << world.describe());
    CHECK(world.violation().empty());
    CHECK(world.itemsServed() == world.itemCount());
}

TEST_CASE("no item has two owners under any faults, and all are served after repair")
{
    bool holds = rc::check("faults in any order", [] {
        auto steps = *rc::gen::container<std::vector<Step>>(anyStep());
        OwnershipWorld world({});
        world.run(2s);
        for (const auto& it : steps) {
            apply(world, it);
            requireSafe(world);
        }
        requireRecovery(world);
    });
    CHECK(holds);
}

TEST_CASE("a server that wakes after its grants were waited out does not serve them again")
{
    OwnershipWorld world({});
    world.run(2s);
    std::vector<Step> steps { { Fault::killInstance, 0, 0, 4873 }, { Fault::freezeServer, 0, 0, 2998 },
        { Fault::pauseInstance, 1, 0, 19 }, { Fault::freezeServer, 0, 2, 2803 } };
    for (const auto& it : steps)
        apply(world, it);
    repairAndWait(world);
    CHECK(world.violation() == "");
    CHECK(world.itemsServed() == world.itemCount());
}

TEST_CASE("provisional moves are settled once the store is back")
{
    OwnershipWorld world({});
    world.run(2s);
    std::vector<Step> steps { { Fault::storeDown, 0, 0, 0 }, { Fault::freezeServer, 0, 0, 0 },
        { Fault::killServer, 0, 2, 285 }, { Fault::killInstance, 0, 0, 283 }, { Fault::killInstance, 1, 0, 591 },
        { Fault::killServer, 0, 1, 15 } };
    for (const auto& it : steps)
        apply(world, it);
    repairAndWait(world);
    CHECK(world.violation() == "");
    CHECK(world.itemsServed() == world.itemCount());
}

TEST_CASE("a late grant of a former controller is refused")
{
    OwnershipWorld::Options options;
    options.someServersIgnoreFences = false;
    OwnershipWorld world(options);
    world.run(2s);
    auto controller = world.controllerIndex().value();
    world.setLatency(world.instanceName(controller), world.serverName(0), 380ms);
    world.setServerLeaving(1, true);
    world.run(25ms);
    world.killInstance(controller);
    world.run(130ms);
    world.setServerLeaving(0, true);
    world.run(2s);
    CHECK(world.violation() == "");
    CHECK(world.itemsServed() == world.itemCount());
}

TEST_CASE("a member that is cut off stops renewing a server that the others have given up")
{
    OwnershipWorld world({});
    world.run(3s);
    auto controller = world.controllerIndex().value();
    auto members = world.renewers();
    auto member = members[0] == controller ? members[1] : members[0];
    isolate(world, member);
    for (std::size_t n = 0; n < instances; ++n) {
        if (n != member)
            world.cutBoth(world.instanceName(n), world.serverName(0));
    }
    // Other servers would tell the member of the newer epoch.
    for (std::size_t n = 1; n < servers; ++n)
        world.cutBoth(world.instanceName(member), world.serverName(n));
    world.run(8s);
    CHECK(world.violation() == "");
    CHECK(world.itemsServed() == world.itemCount());
}

TEST_CASE("a server behind a slow link keeps its items until its grants have run out")
{
    OwnershipWorld world({});
    world.run(2s);
    std::vector<Step> steps { { Fault::killInstance, 2, 0, 0 }, { Fault::killInstance, 1, 0, 19 },
        { Fault::slowLink, 0, 0, 4365 }, { Fault::killInstance, 3, 0, 238 } };
    for (const auto& it : steps)
        apply(world, it);
    repairAndWait(world);
    CHECK(world.violation() == "");
    CHECK(world.itemsServed() == world.itemCount());
}
