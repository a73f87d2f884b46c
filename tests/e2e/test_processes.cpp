/// @file
/// @brief End-to-end tests: daemons, the stand-in platform and stand-in servers as processes under load. Faults are
/// injected while callers send requests; afterwards the outcomes that callers saw are compared with what the servers
/// executed.

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
    static unsigned basePort = 20000;
    return basePort += 600;
}

/// A cluster that serves the service "lots", with ticket 1 in force.
struct ServingCluster {
    Cluster cluster { nextBasePort() };

    ServingCluster()
    {
        cluster.startAll();
        std::this_thread::sleep_for(1500ms);
        auto submitted = cluster.submitTicket(1, cluster.makeLotsTicket(1, "setup"));
        INFO(submitted.response.body() << submitted.error);
        REQUIRE(submitted.response.result_int() == 200);
        for (int n = 1; n <= 3; ++n)
            REQUIRE(cluster.waitUntilServing(n));
    }

    /// Stops the load and compares the outcomes that callers saw with the executions that servers recorded.
    std::vector<ReportedOutcome> stopAndCheck()
    {
        auto outcomes = cluster.stopLoad();
        auto executions = cluster.executions();
        auto violations = findViolations(outcomes, executions);
        std::map<std::string, std::size_t> counts;
        for (const auto& it : outcomes)
            ++counts[it.outcome];
        std::string summary;
        for (const auto& it : counts)
            summary += it.first + "=" + std::to_string(it.second) + " ";
        std::cout << "  outcomes: " << summary << "executions: " << executions.size() << '\n';
        for (const auto& it : violations)
            FAIL_CHECK(it);
        CHECK(counts["ran"] > 0);
        return outcomes;
    }
};

std::size_t countOutcome(const std::vector<ReportedOutcome>& outcomes, const std::string& outcome)
{
    return static_cast<std::size_t>(std::count_if(
        outcomes.begin(), outcomes.end(), [&](const ReportedOutcome& it) { return it.outcome == outcome; }));
}

/// Returns the number of the daemon that is the controller of the domain north: 1 or 2.
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

TEST_CASE("a server is killed and restarted")
{
    ServingCluster fixture;
    fixture.cluster.startLoad({ 1, 2, 3 });
    std::this_thread::sleep_for(500ms);
    fixture.cluster.signalServer(2, SIGKILL);
    std::this_thread::sleep_for(1500ms);
    fixture.cluster.startServer(2);
    CHECK(fixture.cluster.waitUntilServing(1));
    fixture.stopAndCheck();
}

TEST_CASE("a server is paused, its keys move to other servers, and it resumes")
{
    ServingCluster fixture;
    fixture.cluster.startLoad({ 1, 2, 3 });
    std::this_thread::sleep_for(500ms);
    fixture.cluster.signalServer(1, SIGSTOP);
    std::this_thread::sleep_for(2000ms);
    CHECK(fixture.cluster.waitUntilServing(3));
    fixture.cluster.signalServer(1, SIGCONT);
    std::this_thread::sleep_for(1000ms);
    CHECK(fixture.cluster.waitUntilServing(2));
    fixture.stopAndCheck();
}

TEST_CASE("a controller is paused, resumed and then killed")
{
    ServingCluster fixture;
    auto controller = northController(fixture.cluster);
    auto other = 3 - controller;
    fixture.cluster.startLoad({ other, 3 });
    std::this_thread::sleep_for(300ms);
    fixture.cluster.signalDaemon(controller, SIGSTOP);
    std::this_thread::sleep_for(1500ms);
    fixture.cluster.signalDaemon(controller, SIGCONT);
    std::this_thread::sleep_for(1000ms);
    fixture.cluster.signalDaemon(controller, SIGKILL);
    std::this_thread::sleep_for(1500ms);
    CHECK(fixture.cluster.waitUntilServing(other));
    fixture.stopAndCheck();
}

TEST_CASE("a graceful shutdown of a daemon interrupts no request")
{
    ServingCluster fixture;
    fixture.cluster.startLoad({ 1, 2, 3 });
    std::this_thread::sleep_for(500ms);
    auto leaving = northController(fixture.cluster);
    fixture.cluster.signalDaemon(leaving, SIGTERM);
    // A load balancer would stop using a leaving instance. These callers go on, and get refused connections from it.
    CHECK(fixture.cluster.waitDaemon(leaving) == 0);
    std::this_thread::sleep_for(500ms);
    auto outcomes = fixture.stopAndCheck();
    CHECK(countOutcome(outcomes, "unknown") == 0);
    CHECK(countOutcome(outcomes, "noAnswer") == 0);
}

TEST_CASE("a leaving server gets no new requests, and none is interrupted")
{
    ServingCluster fixture;
    fixture.cluster.startLoad({ 1, 2, 3 });
    std::this_thread::sleep_for(500ms);
    auto submitted = fixture.cluster.submitTicket(2, fixture.cluster.makeLotsTicket(2, "leave", 3));
    REQUIRE(submitted.response.result_int() == 200);
    std::this_thread::sleep_for(2000ms);
    auto before = fixture.cluster.executions();
    std::this_thread::sleep_for(1000ms);
    auto after = fixture.cluster.executions();
    auto countOnLeavingServer = [](const std::vector<Execution>& list) {
        return std::count_if(list.begin(), list.end(), [](const Execution& it) { return it.server == "s3"; });
    };
    CHECK(countOnLeavingServer(before) > 0);
    CHECK(countOnLeavingServer(after) == countOnLeavingServer(before));
    auto outcomes = fixture.stopAndCheck();
    CHECK(countOutcome(outcomes, "unknown") == 0);
    CHECK(countOutcome(outcomes, "noAnswer") == 0);
}

TEST_CASE("a graceful shutdown of a server under load interrupts no request")
{
    ServingCluster fixture;
    fixture.cluster.startLoad({ 1, 2, 3 });
    std::this_thread::sleep_for(500ms);
    fixture.cluster.signalServer(4, SIGTERM);
    CHECK(fixture.cluster.waitServer(4) == 0);
    std::this_thread::sleep_for(500ms);
    auto outcomes = fixture.stopAndCheck();
    CHECK(countOutcome(outcomes, "unknown") == 0);
    CHECK(countOutcome(outcomes, "noAnswer") == 0);
}

TEST_CASE("a server is killed during a long outage of the platform")
{
    ServingCluster fixture;
    fixture.cluster.startLoad({ 1, 2, 3 });
    fixture.cluster.setPlatformFaults({ { "down", true } });
    std::this_thread::sleep_for(2000ms);
    CHECK(fixture.cluster.waitUntilServing(1));
    fixture.cluster.signalServer(2, SIGKILL);
    std::this_thread::sleep_for(1000ms);
    CHECK(fixture.cluster.waitUntilServing(1));
    fixture.cluster.setPlatformFaults({ { "down", false } });
    std::this_thread::sleep_for(1000ms);
    fixture.stopAndCheck();
}

TEST_CASE("a network partition between daemons begins and ends")
{
    ServingCluster fixture;
    fixture.cluster.startLoad({ 1, 2, 3 });
    std::this_thread::sleep_for(300ms);
    fixture.cluster.rpcRelay(northController(fixture.cluster)).block();
    std::this_thread::sleep_for(2000ms);
    for (int n = 1; n <= 3; ++n)
        fixture.cluster.rpcRelay(n).unblock();
    CHECK(fixture.cluster.waitUntilServing(1));
    CHECK(fixture.cluster.waitUntilServing(3));
    fixture.stopAndCheck();
}

TEST_CASE("truncated, mixed-up and late responses are never forwarded to callers")
{
    ServingCluster fixture;
    fixture.cluster.startLoad({ 1, 2, 3 });
    for (int n = 0; n < 10; ++n) {
        fixture.cluster.setServerFaults(
            1 + n % 6, { { "truncateAnswers", 3 }, { "crossAnswers", 3 }, { "dropAnswers", n % 3 == 0 ? 1 : 0 } });
        std::this_thread::sleep_for(100ms);
    }
    std::this_thread::sleep_for(1500ms);
    auto outcomes = fixture.stopAndCheck();
    CHECK(countOutcome(outcomes, "unknown") > 0);
    CHECK(countOutcome(outcomes, "noAnswer") == 0);
}

TEST_CASE("tickets: two operators race, a response is lost, a ticket is submitted twice, a daemon restarts")
{
    ServingCluster fixture;
    auto& cluster = fixture.cluster;
    net::Exchange a;
    net::Exchange b;
    std::thread first([&] { a = cluster.submitTicket(1, cluster.makeLotsTicket(2, "anna", 1)); });
    std::thread second([&] { b = cluster.submitTicket(3, cluster.makeLotsTicket(2, "bento", 2)); });
    first.join();
    second.join();
    CHECK((a.response.result_int() == 200) != (b.response.result_int() == 200));
    auto loser = Json::parse((a.response.result_int() == 200 ? b : a).response.body());
    CHECK(loser.at("code") == static_cast<int>(ResultCode::ticketNumberTaken));

    cluster.setPlatformFaults({ { "loseAnswers", 1 } });
    auto ticket = cluster.makeLotsTicket(3, "carla");
    CHECK(cluster.submitTicket(2, ticket).response.result_int() == 200);
    CHECK(cluster.submitTicket(1, ticket).response.result_int() == 200);
    CHECK(cluster.submitTicket(1, Json { { "number", 4 }, { "services", 5 } }).response.result_int() == 400);
    auto unauthorized
        = net::makeRequest(net::http::verb::post, "/tickets", cluster.makeLotsTicket(4, "mallory").dump());
    CHECK(cluster.call(cluster.adminPort(1), std::move(unauthorized)).response.result_int() == 401);

    cluster.signalDaemon(2, SIGKILL);
    cluster.startDaemon(2);
    std::this_thread::sleep_for(2000ms);
    auto status = cluster.status(3);
    INFO(status.dump());
    for (const auto& domain : status.at("domains").items())
        CHECK(domain.value().at("ticket") == 3);
}

TEST_CASE("invalid input gets an error status and affects no other request")
{
    ServingCluster fixture;
    auto& cluster = fixture.cluster;
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
    CHECK(cluster.waitUntilServing(1));
    auto outcomes = fixture.stopAndCheck();
    CHECK(countOutcome(outcomes, "noAnswer") == 0);
}
