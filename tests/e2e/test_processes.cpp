#include "cluster.hpp"

#include <catch2/catch.hpp>
#include <csignal>
#include <iostream>

using namespace acaciagauge;
using namespace acaciagauge::e2e;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

unsigned nextBasePort()
{
    static unsigned base = 20000;
    return base += 600;
}

/// A cluster that serves, with ticket 1 in force.
struct Serving {
    Cluster cluster { nextBasePort() };

    Serving()
    {
        cluster.startAll();
        std::this_thread::sleep_for(1500ms);
        auto filed = cluster.file(1, cluster.lotsTicket(1, "setup"));
        INFO(filed.response.body() << filed.error);
        REQUIRE(filed.response.result_int() == 200);
        for (int n = 1; n <= 3; ++n)
            REQUIRE(cluster.waitServing(n));
    }

    /// Ends the load and compares what callers were told with what ran.
    std::vector<Told> settle()
    {
        auto told = cluster.stopLoad();
        auto executed = cluster.executions();
        auto broken = brokenPromises(told, executed);
        std::map<std::string, std::size_t> outcomes;
        for (const auto& it : told)
            ++outcomes[it.outcome];
        std::string summary;
        for (const auto& it : outcomes)
            summary += it.first + "=" + std::to_string(it.second) + " ";
        std::cout << "  told: " << summary << "executed: " << executed.size() << '\n';
        for (const auto& it : broken)
            FAIL_CHECK(it);
        CHECK(outcomes["ran"] > 0);
        return told;
    }
};

std::size_t countOf(const std::vector<Told>& told, const std::string& outcome)
{
    return static_cast<std::size_t>(
        std::count_if(told.begin(), told.end(), [&](const Told& it) { return it.outcome == outcome; }));
}

/// Returns the daemon that controls the domain north: 1 or 2.
int northController(const Cluster& cluster)
{
    auto status = cluster.status(3);
    for (const auto& it : status.at("domains").at("north").at("instances")) {
        if (it.value("role", "") == "controller")
            return it.at("instance") == "e1" ? 1 : 2;
    }
    return 1;
}

} // namespace

TEST_CASE("a killed server, then its restart")
{
    Serving serving;
    serving.cluster.startLoad({ 1, 2, 3 });
    std::this_thread::sleep_for(500ms);
    serving.cluster.signalServer(2, SIGKILL);
    std::this_thread::sleep_for(1500ms);
    serving.cluster.startServer(2);
    CHECK(serving.cluster.waitServing(1));
    serving.settle();
}

TEST_CASE("a server that freezes, is replaced, and wakes")
{
    Serving serving;
    serving.cluster.startLoad({ 1, 2, 3 });
    std::this_thread::sleep_for(500ms);
    serving.cluster.signalServer(1, SIGSTOP);
    std::this_thread::sleep_for(2000ms);
    CHECK(serving.cluster.waitServing(3));
    serving.cluster.signalServer(1, SIGCONT);
    std::this_thread::sleep_for(1000ms);
    CHECK(serving.cluster.waitServing(2));
    serving.settle();
}

TEST_CASE("a controller is killed, and another one frozen and woken")
{
    Serving serving;
    auto controller = northController(serving.cluster);
    auto other = 3 - controller;
    serving.cluster.startLoad({ other, 3 });
    std::this_thread::sleep_for(300ms);
    serving.cluster.signalDaemon(controller, SIGSTOP);
    std::this_thread::sleep_for(1500ms);
    serving.cluster.signalDaemon(controller, SIGCONT);
    std::this_thread::sleep_for(1000ms);
    serving.cluster.signalDaemon(controller, SIGKILL);
    std::this_thread::sleep_for(1500ms);
    CHECK(serving.cluster.waitServing(other));
    serving.settle();
}

TEST_CASE("a graceful shutdown of a daemon cuts nothing")
{
    Serving serving;
    serving.cluster.startLoad({ 1, 2, 3 });
    std::this_thread::sleep_for(500ms);
    auto leaving = northController(serving.cluster);
    serving.cluster.signalDaemon(leaving, SIGTERM);
    // The balancer takes a leaving instance off its list; these callers keep on, and refused connections are its
    // answer.
    CHECK(serving.cluster.waitDaemon(leaving) == 0);
    std::this_thread::sleep_for(500ms);
    auto told = serving.settle();
    CHECK(countOf(told, "unknown") == 0);
    CHECK(countOf(told, "noAnswer") == 0);
}

TEST_CASE("a leaving server gets no new work, and nothing is cut")
{
    Serving serving;
    serving.cluster.startLoad({ 1, 2, 3 });
    std::this_thread::sleep_for(500ms);
    auto filed = serving.cluster.file(2, serving.cluster.lotsTicket(2, "leave", 3));
    REQUIRE(filed.response.result_int() == 200);
    std::this_thread::sleep_for(2000ms);
    auto before = serving.cluster.executions();
    std::this_thread::sleep_for(1000ms);
    auto after = serving.cluster.executions();
    auto atLeaving = [](const std::vector<Executed>& list) {
        return std::count_if(list.begin(), list.end(), [](const Executed& it) { return it.server == "s3"; });
    };
    CHECK(atLeaving(before) > 0);
    CHECK(atLeaving(after) == atLeaving(before));
    auto told = serving.settle();
    CHECK(countOf(told, "unknown") == 0);
    CHECK(countOf(told, "noAnswer") == 0);
}

TEST_CASE("a graceful shutdown of a server under load cuts nothing")
{
    Serving serving;
    serving.cluster.startLoad({ 1, 2, 3 });
    std::this_thread::sleep_for(500ms);
    serving.cluster.signalServer(4, SIGTERM);
    CHECK(serving.cluster.waitServer(4) == 0);
    std::this_thread::sleep_for(500ms);
    auto told = serving.settle();
    CHECK(countOf(told, "unknown") == 0);
    CHECK(countOf(told, "noAnswer") == 0);
}

TEST_CASE("the platform is down for long, and a server is lost meanwhile")
{
    Serving serving;
    serving.cluster.startLoad({ 1, 2, 3 });
    serving.cluster.platformFaults({ { "down", true } });
    std::this_thread::sleep_for(2000ms);
    CHECK(serving.cluster.waitServing(1));
    serving.cluster.signalServer(2, SIGKILL);
    std::this_thread::sleep_for(1000ms);
    CHECK(serving.cluster.waitServing(1));
    serving.cluster.platformFaults({ { "down", false } });
    std::this_thread::sleep_for(1000ms);
    serving.settle();
}

TEST_CASE("links between daemons are cut and healed")
{
    Serving serving;
    serving.cluster.startLoad({ 1, 2, 3 });
    std::this_thread::sleep_for(300ms);
    serving.cluster.rpcRelay(northController(serving.cluster)).cut();
    std::this_thread::sleep_for(2000ms);
    for (int n = 1; n <= 3; ++n)
        serving.cluster.rpcRelay(n).heal();
    CHECK(serving.cluster.waitServing(1));
    CHECK(serving.cluster.waitServing(3));
    serving.settle();
}

TEST_CASE("truncated, crossed and lost answers are never told as answers")
{
    Serving serving;
    serving.cluster.startLoad({ 1, 2, 3 });
    for (int n = 0; n < 10; ++n) {
        serving.cluster.serverFaults(
            1 + n % 6, { { "truncateAnswers", 3 }, { "crossAnswers", 3 }, { "dropAnswers", n % 3 == 0 ? 1 : 0 } });
        std::this_thread::sleep_for(100ms);
    }
    std::this_thread::sleep_for(1500ms);
    auto told = serving.settle();
    CHECK(countOf(told, "unknown") > 0);
    CHECK(countOf(told, "noAnswer") == 0);
}

TEST_CASE("two operators race, a lost answer, filing twice, and a daemon that restarts")
{
    Serving serving;
    auto& cluster = serving.cluster;
    net::Exchange a;
    net::Exchange b;
    std::thread first([&] { a = cluster.file(1, cluster.lotsTicket(2, "anna", 1)); });
    std::thread second([&] { b = cluster.file(3, cluster.lotsTicket(2, "bento", 2)); });
    first.join();
    second.join();
    CHECK((a.response.result_int() == 200) != (b.response.result_int() == 200));
    auto loser = Json::parse((a.response.result_int() == 200 ? b : a).response.body());
    CHECK(loser.at("code") == static_cast<int>(ResultCode::ticketNumberTaken));

    cluster.platformFaults({ { "loseAnswers", 1 } });
    auto ticket = cluster.lotsTicket(3, "carla");
    CHECK(cluster.file(2, ticket).response.result_int() == 200);
    CHECK(cluster.file(1, ticket).response.result_int() == 200);
    CHECK(cluster.file(1, Json { { "number", 4 }, { "services", 5 } }).response.result_int() == 400);
    auto unauthorized = net::makeRequest(net::http::verb::post, "/tickets", cluster.lotsTicket(4, "mallory").dump());
    CHECK(cluster.call(cluster.adminPort(1), std::move(unauthorized)).response.result_int() == 401);

    cluster.signalDaemon(2, SIGKILL);
    cluster.startDaemon(2);
    std::this_thread::sleep_for(2000ms);
    auto status = cluster.status(3);
    INFO(status.dump());
    for (const auto& domain : status.at("domains").items())
        CHECK(domain.value().at("ticket") == 3);
}

TEST_CASE("bad input gets a clear error and loses nothing else")
{
    Serving serving;
    auto& cluster = serving.cluster;
    cluster.startLoad({ 1 });
    auto port = cluster.callersPort(1);
    auto unknown = cluster.call(port, net::makeRequest(net::http::verb::get, "/unheard-of/key"));
    CHECK(unknown.response.result_int() == 404);
    auto oversized = cluster.call(
        port, net::makeRequest(net::http::verb::post, "/lots/key", std::string(net::maxBodyBytes + 1, 'x')));
    CHECK((oversized.response.result_int() == 413 || oversized.state == net::ExchangeState::incomplete));
    auto overlong = net::makeRequest(net::http::verb::get, "/lots/key");
    overlong.set("X-Long", std::string(net::maxHeaderBytes + 1, 'x'));
    auto refused = cluster.call(port, std::move(overlong));
    CHECK((refused.response.result_int() == 431 || refused.state == net::ExchangeState::incomplete));
    auto deadline = net::makeRequest(net::http::verb::get, "/lots/key");
    deadline.set("X-Deadline-Ms", "soon");
    CHECK(cluster.call(port, std::move(deadline)).response.result_int() == 400);
    auto garbage = cluster.call(cluster.rpcPort(1), net::makeRequest(net::http::verb::get, "/"), 500ms);
    CHECK(garbage.state != net::ExchangeState::answered);
    CHECK(cluster.waitServing(1));
    auto told = serving.settle();
    CHECK(countOf(told, "noAnswer") == 0);
}
