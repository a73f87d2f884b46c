#include "bench.hpp"
#include "support/ownership_world.hpp"

#include <cstdio>

namespace acaciagauge::bench {

using test::OwnershipWorld;
using namespace std::chrono_literals;

namespace {

    using Fault = std::function<void(OwnershipWorld&)>;

    std::size_t otherRenewer(const OwnershipWorld& world)
    {
        auto renewers = world.renewers();
        return renewers[0] == *world.controllerIndex() ? renewers[1] : renewers[0];
    }

    void measure(const char* name, Duration run, const Fault& injectFault)
    {
        OwnershipWorld world({});
        world.run(3s);
        world.resetGaps();
        injectFault(world);
        world.run(run);
        auto ms = std::chrono::duration<double, std::milli>(world.longestGap()).count();
        std::printf("| %-58s | %8.0f | %4zu of %zu | %s |\n", name, ms, world.itemsServed(), world.itemCount(),
            world.violation().empty() ? "none" : world.violation().c_str());
    }

} // namespace

void runUnavailabilityBench()
{
    std::printf("| case | longest unavailable time, ms | items served at the end | two owners |\n|---|---|---|---|\n");
    measure("planned move (a server leaves)", 3s, [](auto& world) { world.setServerLeaving(0, true); });
    measure("server killed, connections are refused", 3s, [](auto& world) { world.killServer(0); });
    measure("server paused, does not respond", 5s, [](auto& world) { world.freezeServer(0); });
    measure("server without fence checks paused", 5s, [](auto& world) { world.freezeServer(2); });
    measure("controller killed", 5s, [](auto& world) { world.killInstance(*world.controllerIndex()); });
    measure("controller paused", 5s, [](auto& world) { world.pauseInstance(*world.controllerIndex()); });
    measure("controller and a server killed", 5s, [](auto& world) {
        world.killInstance(*world.controllerIndex());
        world.killServer(0);
    });
    measure("controller killed, a server paused", 8s, [](auto& world) {
        world.killInstance(*world.controllerIndex());
        world.freezeServer(0);
    });
    measure("controller and a server paused", 10s, [](auto& world) {
        world.pauseInstance(*world.controllerIndex());
        world.freezeServer(0);
    });
    measure("another renewing instance and a server paused", 10s, [](auto& world) {
        world.pauseInstance(otherRenewer(world));
        world.freezeServer(0);
    });
    measure("store down for 30 s", 30s, [](auto& world) { world.setStoreDown(true); });
    measure("store down, a server killed", 5s, [](auto& world) {
        world.setStoreDown(true);
        world.killServer(0);
    });
    measure("store down, a server paused", 5s, [](auto& world) {
        world.setStoreDown(true);
        world.freezeServer(0);
    });
    measure("store down, controller killed", 5s, [](auto& world) {
        world.setStoreDown(true);
        world.killInstance(*world.controllerIndex());
    });
}

} // namespace acaciagauge::bench
