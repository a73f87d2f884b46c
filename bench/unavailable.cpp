#include "bench.hpp"
#include "support/ownership_world.hpp"

#include <cstdio>

namespace acaciagauge::bench {

using test::OwnershipWorld;
using namespace std::chrono_literals;

namespace {

    using Case = std::function<void(OwnershipWorld&)>;

    std::size_t otherMember(const OwnershipWorld& world)
    {
        auto members = world.renewers();
        return members[0] == *world.controllerIndex() ? members[1] : members[0];
    }

    void measure(const char* name, Duration run, const Case& provoke)
    {
        OwnershipWorld world({});
        world.run(3s);
        world.resetGaps();
        provoke(world);
        world.run(run);
        auto ms = std::chrono::duration<double, std::milli>(world.longestGap()).count();
        std::printf("| %-58s | %8.0f | %4zu of %zu | %s |\n", name, ms, world.itemsServed(), world.itemCount(),
            world.violation().empty() ? "none" : world.violation().c_str());
    }

} // namespace

void unavailable()
{
    std::printf("| case | longest unavailable time, ms | items served at the end | two owners |\n|---|---|---|---|\n");
    measure("planned move (a server leaves)", 3s, [](auto& world) { world.setServerLeaving(0, true); });
    measure("server killed, port refuses", 3s, [](auto& world) { world.killServer(0); });
    measure("server frozen (silent)", 5s, [](auto& world) { world.freezeServer(0); });
    measure("server without fence checks frozen", 5s, [](auto& world) { world.freezeServer(2); });
    measure("controller killed", 5s, [](auto& world) { world.killInstance(*world.controllerIndex()); });
    measure("controller frozen", 5s, [](auto& world) { world.pauseInstance(*world.controllerIndex()); });
    measure("controller and a server killed", 5s, [](auto& world) {
        world.killInstance(*world.controllerIndex());
        world.killServer(0);
    });
    measure("controller killed, a server frozen", 8s, [](auto& world) {
        world.killInstance(*world.controllerIndex());
        world.freezeServer(0);
    });
    measure("controller and a server frozen", 10s, [](auto& world) {
        world.pauseInstance(*world.controllerIndex());
        world.freezeServer(0);
    });
    measure("a member and a server frozen", 10s, [](auto& world) {
        world.pauseInstance(otherMember(world));
        world.freezeServer(0);
    });
    measure("store down for 30 s", 30s, [](auto& world) { world.setStoreDown(true); });
    measure("store down, a server killed", 5s, [](auto& world) {
        world.setStoreDown(true);
        world.killServer(0);
    });
    measure("store down, a server frozen", 5s, [](auto& world) {
        world.setStoreDown(true);
        world.freezeServer(0);
    });
    measure("store down, controller killed", 5s, [](auto& world) {
        world.setStoreDown(true);
        world.killInstance(*world.controllerIndex());
    });
}

} // namespace acaciagauge::bench
