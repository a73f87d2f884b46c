/// @file
/// @brief The users' platform's path as real processes: store and servers by stand-in, three daemons, faults from
/// outside.

#include "e2e/platform_cluster.hpp"

#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

using namespace acaciagauge;
using namespace acaciagauge::e2e;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

constexpr unsigned daemons = 3;

PlatformCluster::Options at(unsigned base)
{
    PlatformCluster::Options options;
    options.base = base;
    options.daemons = daemons;
    return options;
}

/// Names the failure domain so that the given daemon watches the store.
PlatformCluster::Options watchedBy(unsigned daemon, unsigned base)
{
    std::vector<std::string> names;
    for (unsigned n = 0; n < daemons; ++n)
        names.push_back("d" + std::to_string(n));
    unsigned number = 0;
    while (rendezvousOrder("domain" + std::to_string(number), names).front() != names[daemon])
        ++number;
    auto options = at(base);
    options.domain = "domain" + std::to_string(number);
    return options;
}

void checkPromises(const std::vector<Answer>& answers, const Json& record)
{
    CHECK(brokenPromises(answers, record) == std::vector<std::string>());
}

} // namespace

TEST_CASE("requests find their keys' owners through restarts, drains and a lost controller")
{
    PlatformCluster cluster(at(31100));
    REQUIRE(cluster.waitServing());
    std::vector<Answer> answers;
    auto load = [&](int n) {
        for (int i = 0; i < n; ++i)
            answers.push_back(
                cluster.request(static_cast<unsigned>(i) % 2, i % 3 == 0, static_cast<unsigned>(i * 7919 % 65536)));
    };
    load(60);
    cluster.faults({ { "garbage", "{\"address\":7" } });
    cluster.faults({ { "drain", 1 } });
    load(60);
    cluster.faults({ { "restart", 2 } });
    load(60);
    auto controller = cluster.controller();
    REQUIRE(controller >= 0);
    cluster.processes().signal("d" + std::to_string(controller), SIGKILL);
    cluster.processes().wait("d" + std::to_string(controller));
    REQUIRE(cluster.waitFor([&] { return cluster.controller() >= 0; }));
    cluster.startDaemon(static_cast<unsigned>(controller));
    REQUIRE(cluster.waitServing());
    load(60);
    checkPromises(answers, cluster.record());
}

TEST_CASE("keys are served through an outage of the store, and late or lost orders give no key two owners")
{
    PlatformCluster cluster(at(31200));
    REQUIRE(cluster.waitServing());
    std::vector<Answer> answers;
    auto load = [&](int n) {
        int served = 0;
        for (int i = 0; i < n; ++i) {
            answers.push_back(cluster.request(
                static_cast<unsigned>(i) % daemons, i % 2 == 0, static_cast<unsigned>(i * 7919 % 65536)));
            served += answers.back().status == 200;
        }
        return served;
    };
    cluster.faults({ { "storeDown", true } });
    std::this_thread::sleep_for(4s); // Longer than the controller's lease.
    CHECK(load(40) == 40);
    cluster.faults({ { "storeDown", false }, { "lateGrants", 0.3 }, { "lostAnswers", 0.3 }, { "lostRuns", 0.1 } });
    load(30);
    cluster.faults({ { "drain", 0 } });
    load(30);
    cluster.faults({ { "lateGrants", 0.0 }, { "lostAnswers", 0.0 }, { "lostRuns", 0.0 }, { "compact", true } });
    REQUIRE(cluster.waitServing());
    checkPromises(answers, cluster.record());
}

TEST_CASE("a controller whose epoch ended in an outage of the store ends its lease, which the store has paused")
{
    PlatformCluster cluster(at(31900));
    REQUIRE(cluster.waitServing());
    REQUIRE(cluster.controller() >= 0);
    auto ended = cluster.record().at("endedLeases").get<unsigned>();
    cluster.faults({ { "storeDown", true } });
    REQUIRE(PlatformCluster::waitFor([&] { return cluster.controller() < 0; }));
    cluster.faults({ { "storeDown", false } });
    REQUIRE(PlatformCluster::waitFor([&] { return cluster.controller() >= 0; }));
    CHECK(cluster.record().at("endedLeases").get<unsigned>() > ended);
    REQUIRE(cluster.waitServing());
    CHECK(cluster.record().at("problems") == Json::array());
}

TEST_CASE("a watcher that cannot reach the store follows a peer; all learn the desired state")
{
    auto last = daemons - 1;
    PlatformCluster cluster(watchedBy(last, 31300));
    REQUIRE(cluster.waitServing());
    REQUIRE(cluster.waitFor([&] { return cluster.sources() == std::vector<std::string> { "d2", "d2", "store" }; }));
    cluster.storeRelay(last).cut();
    REQUIRE(cluster.waitFor([&] { return cluster.sources()[last] != "store"; }));
    CHECK(cluster.request(last, false, 5, "/late/").status == 404);
    cluster.faults({ { "configure", 2 } });
    for (unsigned n = 0; n < daemons; ++n)
        CHECK(cluster.waitFor([&] { return cluster.request(n, false, 5, "/late/").status == 200; }));
    CHECK(cluster.sources()[last] != "store");
    cluster.storeRelay(last).heal();
    CHECK(cluster.waitFor([&] { return cluster.sources() == std::vector<std::string> { "d2", "d2", "store" }; }));
}

TEST_CASE("followers of a watcher that is paused or killed learn the desired state without it")
{
    auto last = daemons - 1;
    for (auto number : { SIGSTOP, SIGKILL }) {
        PlatformCluster cluster(watchedBy(last, number == SIGSTOP ? 31500 : 31700));
        REQUIRE(cluster.waitServing());
        REQUIRE(cluster.waitFor([&] { return cluster.sources()[0] == "d2" && cluster.sources()[1] == "d2"; }));
        cluster.processes().signal("d2", number);
        cluster.faults({ { "configure", 2 } });
        for (unsigned n = 0; n < last; ++n)
            CHECK(cluster.waitFor([&] { return cluster.request(n, false, 5, "/late/").status == 200; }));
        CHECK(cluster.sources()[0] != "d2");
        CHECK(cluster.sources()[1] != "d2");
    }
}

TEST_CASE("a daemon that is told to leave answers all that it took and exits in order")
{
    PlatformCluster cluster(at(31400));
    REQUIRE(cluster.waitServing());
    std::vector<Answer> answers;
    cluster.processes().signal("d0", SIGTERM);
    for (int i = 0; i < 60; ++i)
        answers.push_back(cluster.request(0, false, static_cast<unsigned>(i * 911)));
    for (const auto& it : answers)
        CHECK(it.status == 200);
    CHECK(cluster.processes().wait("d0") == 0);
    checkPromises(answers, cluster.record());
}
