/// @file
/// @brief End-to-end tests of the users' platform: three daemon processes on the stand-in platform (store and servers),
/// with faults injected into processes, network links and the stand-in.

#include "e2e/platform_cluster.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <set>
#include <thread>

using namespace acaciagauge;
using namespace acaciagauge::e2e;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

constexpr unsigned daemons = 3;

PlatformCluster::Options optionsFor(unsigned basePort)
{
    PlatformCluster::Options options;
    options.basePort = basePort;
    options.daemons = daemons;
    return options;
}

/// Picks a name of the failure domain for which rendezvous hashing makes the given daemon the watcher of the store.
PlatformCluster::Options optionsWatchedBy(unsigned daemon, unsigned basePort)
{
    std::vector<std::string> names;
    for (unsigned n = 0; n < daemons; ++n)
        names.push_back("d" + std::to_string(n));
    unsigned number = 0;
    while (rendezvousOrder("domain" + std::to_string(number), names).front() != names[daemon])
        ++number;
    auto options = optionsFor(basePort);
    options.domain = "domain" + std::to_string(number);
    return options;
}

/// Returns the number of the server that executed a request.
std::size_t serverOf(const Json& record, const std::string& requestId)
{
    for (const auto& it : record.at("runs")) {
        if (it.at("id") == requestId)
            return std::stoul(it.at("server").get<std::string>().substr(2));
    }
    FAIL("request " << requestId << " was not executed");
    return 0;
}

/// Returns when requests reached a server, in ms since the platform started; only those of a daemon if `sentBy` is
/// given, which holds the ids of the requests that the daemon got.
std::vector<std::int64_t> arrivalsAt(
    const Json& record, std::size_t server, const std::set<std::string>* sentBy = nullptr)
{
    std::vector<std::int64_t> arrivals;
    for (const auto& it : record.at("arrivals")) {
        bool isFromDaemon = !sentBy || sentBy->contains(it.at("id").get<std::string>());
        if (it.at("server") == "i-" + std::to_string(server) && isFromDaemon)
            arrivals.push_back(it.at("atMs").get<std::int64_t>());
    }
    return arrivals;
}

void checkNoViolations(const std::vector<CallerResult>& results, const Json& record)
{
    CHECK(findViolations(results, record) == std::vector<std::string>());
}

} // namespace

TEST_CASE("requests reach their keys' owners across server drains and restarts and a killed controller")
{
    PlatformCluster cluster(optionsFor(31100));
    REQUIRE(cluster.waitUntilServing());
    std::vector<CallerResult> results;
    auto load = [&](int n) {
        for (int i = 0; i < n; ++i)
            results.push_back(
                cluster.sendRequest(static_cast<unsigned>(i) % 2, i % 3 == 0, static_cast<unsigned>(i * 7919 % 65536)));
    };
    load(60);
    cluster.setFaults({ { "garbage", "{\"address\":7" } });
    cluster.setFaults({ { "drain", 1 } });
    load(60);
    cluster.setFaults({ { "restart", 2 } });
    load(60);
    auto controller = cluster.findController();
    REQUIRE(controller >= 0);
    cluster.processes().signal("d" + std::to_string(controller), SIGKILL);
    cluster.processes().wait("d" + std::to_string(controller));
    REQUIRE(cluster.waitUntil([&] { return cluster.findController() >= 0; }));
    cluster.startDaemon(static_cast<unsigned>(controller));
    REQUIRE(cluster.waitUntilServing());
    load(60);
    checkNoViolations(results, cluster.fetchRecord());
}

TEST_CASE("keys are served during a store outage, and late grants and lost responses give no key two owners")
{
    PlatformCluster cluster(optionsFor(31200));
    REQUIRE(cluster.waitUntilServing());
    std::vector<CallerResult> results;
    auto load = [&](int n) {
        int served = 0;
        for (int i = 0; i < n; ++i) {
            results.push_back(cluster.sendRequest(
                static_cast<unsigned>(i) % daemons, i % 2 == 0, static_cast<unsigned>(i * 7919 % 65536)));
            served += results.back().status == 200;
        }
        return served;
    };
    cluster.setFaults({ { "storeDown", true } });
    std::this_thread::sleep_for(4s); // Longer than the controller's lease.
    CHECK(load(40) == 40);
    cluster.setFaults({ { "storeDown", false }, { "lateGrants", 0.3 }, { "lostAnswers", 0.3 }, { "lostRuns", 0.1 } });
    load(30);
    cluster.setFaults({ { "drain", 0 } });
    load(30);
    cluster.setFaults({ { "lateGrants", 0.0 }, { "lostAnswers", 0.0 }, { "lostRuns", 0.0 }, { "compact", true } });
    REQUIRE(cluster.waitUntilServing());
    checkNoViolations(results, cluster.fetchRecord());
}

TEST_CASE("a controller whose epoch ended during a store outage revokes its lease, whose expiry the store postponed")
{
    PlatformCluster cluster(optionsFor(31900));
    REQUIRE(cluster.waitUntilServing());
    REQUIRE(cluster.findController() >= 0);
    auto ended = cluster.fetchRecord().at("endedLeases").get<unsigned>();
    cluster.setFaults({ { "storeDown", true } });
    REQUIRE(PlatformCluster::waitUntil([&] { return cluster.findController() < 0; }));
    cluster.setFaults({ { "storeDown", false } });
    REQUIRE(PlatformCluster::waitUntil([&] { return cluster.findController() >= 0; }));
    CHECK(cluster.fetchRecord().at("endedLeases").get<unsigned>() > ended);
    REQUIRE(cluster.waitUntilServing());
    CHECK(cluster.fetchRecord().at("problems") == Json::array());
}

TEST_CASE("callers still get answers when the coordinator of their server's admissions is killed")
{
    auto options = optionsFor(31000);
    options.settings = "[balancing]\ncoordination = on\n";
    PlatformCluster cluster(options);
    REQUIRE(cluster.waitUntilServing());
    auto victim = weightedRendezvousOrder("i-0", { { "d0", 1 }, { "d1", 1 }, { "d2", 1 } }).front();
    std::vector<unsigned> others;
    for (unsigned n = 0; n < daemons; ++n) {
        if (PlatformCluster::nameOf(n) != victim)
            others.push_back(n);
    }
    auto count = [&](const std::string& step) {
        double sum = 0;
        for (auto n : others)
            sum += cluster.metric(n, "acaciagauge_admissions_total{step=\"" + step + "\"}");
        return sum;
    };
    std::vector<CallerResult> results;
    int served = 0;
    auto load = [&](int n) {
        for (int i = 0; i < n; ++i) {
            results.push_back(cluster.sendRequest(
                others[static_cast<std::size_t>(i) % 2], i % 2 == 0, static_cast<unsigned>(i * 7919 % 65536)));
            served += results.back().status == 200;
        }
    };
    load(40);
    CHECK(count("granted") >= 40);
    CHECK(count("fallback") == 0);
    cluster.processes().signal(victim, SIGKILL);
    cluster.processes().wait(victim);
    load(40);
    CHECK(served == 80);
    CHECK(count("fallback") >= 1);

    // The same when any server may serve a request.
    cluster.startDaemon(static_cast<unsigned>(std::stoul(victim.substr(1))));
    REQUIRE(cluster.waitUntilServing());
    cluster.setFaults({ { "configure", 2 }, { "sharded", false } });
    std::this_thread::sleep_for(6s); // Daemons skip a coordinator that did not answer for 5 s.
    auto grantedBefore = count("granted");
    load(40);
    CHECK(served == 120);
    CHECK(count("granted") >= grantedBefore + 40);
    checkNoViolations(results, cluster.fetchRecord());
}

TEST_CASE("a watcher that cannot reach the store follows a peer, and all daemons get the new desired state")
{
    auto last = daemons - 1;
    PlatformCluster cluster(optionsWatchedBy(last, 31300));
    REQUIRE(cluster.waitUntilServing());
    REQUIRE(cluster.waitUntil([&] {
        return cluster.storeSources() == std::vector<std::string> { "d2", "d2", "store" };
    }));
    cluster.storeRelay(last).block();
    REQUIRE(cluster.waitUntil([&] { return cluster.storeSources()[last] != "store"; }));
    CHECK(cluster.sendRequest(last, false, 5, "/late/").status == 404);
    cluster.setFaults({ { "configure", 2 } });
    for (unsigned n = 0; n < daemons; ++n)
        CHECK(cluster.waitUntil([&] { return cluster.sendRequest(n, false, 5, "/late/").status == 200; }));
    CHECK(cluster.storeSources()[last] != "store");
    cluster.storeRelay(last).unblock();
    CHECK(cluster.waitUntil([&] {
        return cluster.storeSources() == std::vector<std::string> { "d2", "d2", "store" };
    }));
}

TEST_CASE("followers of a paused or killed watcher get the new desired state from another source")
{
    auto last = daemons - 1;
    for (auto number : { SIGSTOP, SIGKILL }) {
        PlatformCluster cluster(optionsWatchedBy(last, number == SIGSTOP ? 31500 : 31700));
        REQUIRE(cluster.waitUntilServing());
        REQUIRE(
            cluster.waitUntil([&] { return cluster.storeSources()[0] == "d2" && cluster.storeSources()[1] == "d2"; }));
        cluster.processes().signal("d2", number);
        cluster.setFaults({ { "configure", 2 } });
        for (unsigned n = 0; n < last; ++n)
            CHECK(cluster.waitUntil([&] { return cluster.sendRequest(n, false, 5, "/late/").status == 200; }));
        CHECK(cluster.storeSources()[0] != "d2");
        CHECK(cluster.storeSources()[1] != "d2");
    }
}

TEST_CASE("a daemon that gets SIGTERM completes all accepted requests and exits with code 0")
{
    PlatformCluster cluster(optionsFor(31400));
    REQUIRE(cluster.waitUntilServing());
    std::vector<CallerResult> results;
    cluster.processes().signal("d0", SIGTERM);
    for (int i = 0; i < 60; ++i)
        results.push_back(cluster.sendRequest(0, false, static_cast<unsigned>(i * 911)));
    for (const auto& it : results)
        CHECK(it.status == 200);
    CHECK(cluster.processes().wait("d0") == 0);
    checkNoViolations(results, cluster.fetchRecord());
}

TEST_CASE("all daemons together keep to the rate limit that a server names")
{
    constexpr double perSecond = 5;
    constexpr unsigned key = 5;
    PlatformCluster cluster(optionsFor(31400));
    REQUIRE(cluster.waitUntilServing());
    std::vector<CallerResult> results { cluster.sendRequest(0, false, key) };
    REQUIRE(results.front().status == 200);
    auto limited = serverOf(cluster.fetchRecord(), results.front().id);
    cluster.setFaults({ { "limit", { { "server", limited }, { "perSecond", "5.0" } } } });
    auto namedFrom = arrivalsAt(cluster.fetchRecord(), limited).back();
    auto end = std::chrono::steady_clock::now() + 9s;
    for (unsigned n = 0; std::chrono::steady_clock::now() < end; ++n)
        results.push_back(cluster.sendRequest(n % daemons, n % 2 == 0, key));
    auto record = cluster.fetchRecord();
    auto arrivals = arrivalsAt(record, limited);
    std::int64_t largest = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        if (*first >= namedFrom + 3000)
            largest = std::max<std::int64_t>(
                largest, std::count_if(first, arrivals.end(), [&](auto it) { return it <= *first + 4000; }));
    }
    CHECK(static_cast<double>(largest) <= 1.5 * perSecond * 4 + 5);
    CHECK(static_cast<double>(arrivals.size()) > perSecond);
    checkNoViolations(results, record);
}

TEST_CASE("a request whose body ends late in the grace time of a daemon is answered, not cut")
{
    PlatformCluster cluster(optionsFor(31400));
    REQUIRE(cluster.waitUntilServing());
    cluster.setFaults({ { "executionMs", 1400 } });
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket caller(context);
    caller.connect(net::parseEndpoint(cluster.callersAddress(0)).value());
    std::string head = "POST /bid/ HTTP/1.1\r\nHost: a.example\r\nAcaciagauge-Request-Id: late\r\n"
                       "Acaciagauge-Shard-Key: 5\r\nContent-Length: 4\r\n\r\nab";
    boost::asio::write(caller, boost::asio::buffer(head));
    cluster.processes().signal("d0", SIGTERM);
    // The daemon ends 5.3 s after the signal; the server takes 1.4 s.
    std::this_thread::sleep_for(4500ms);
    boost::asio::write(caller, boost::asio::buffer(std::string("cd")));
    std::string answer;
    boost::system::error_code ec;
    boost::asio::read_until(caller, boost::asio::dynamic_buffer(answer), "\r\n\r\n", ec);
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(cluster.processes().wait("d0") == 0);
    for (const auto& it : cluster.fetchRecord().at("arrivals"))
        CHECK(it.at("id") != "late");
}

TEST_CASE("requests that servers have not answered at the end of a daemon's grace time are answered, not cut")
{
    PlatformCluster cluster(optionsFor(31400));
    REQUIRE(cluster.waitUntilServing());
    cluster.setFaults({ { "configure", 2 }, { "timeoutMs", 9000 }, { "executionMs", 20000 } });
    REQUIRE(cluster.waitUntil([&] { return cluster.status(0).value("version", 0) == 2; }));
    boost::asio::io_context context;
    std::vector<boost::asio::ip::tcp::socket> callers;
    for (unsigned n = 0; n < 4; ++n)
        callers.emplace_back(context).connect(net::parseEndpoint(cluster.callersAddress(0)).value());
    auto send = [&](unsigned n, const std::string& start) {
        auto head = start + " HTTP/1.1\r\nHost: a.example\r\nAcaciagauge-Request-Id: r" + std::to_string(n)
            + "\r\nAcaciagauge-Deadline-Ms: 9000\r\nAcaciagauge-Shard-Key: 5\r\n\r\n";
        boost::asio::write(callers[n], boost::asio::buffer(head));
    };
    send(0, "POST /bid/");
    std::this_thread::sleep_for(200ms);
    cluster.processes().signal("d0", SIGTERM);
    send(1, "POST /bid/");
    std::this_thread::sleep_for(1200ms);
    send(2, "GET /view/");
    std::this_thread::sleep_for(1100ms);
    send(3, "GET /view/");
    for (unsigned n = 0; n < callers.size(); ++n) {
        CAPTURE(n);
        std::string answer;
        boost::system::error_code ec;
        boost::asio::read_until(callers[n], boost::asio::dynamic_buffer(answer), "\r\n\r\n", ec);
        CHECK(answer.substr(0, 10) == "HTTP/1.1 5");
    }
    CHECK(cluster.processes().wait("d0") == 3);
}

TEST_CASE("a server that says that it is leaving gets no requests later than its drain time, and its keys move")
{
    constexpr unsigned key = 5;
    PlatformCluster cluster(optionsFor(31400));
    REQUIRE(cluster.waitUntilServing());
    std::vector<CallerResult> results { cluster.sendRequest(0, false, key) };
    REQUIRE(results.front().status == 200);
    auto leaving = serverOf(cluster.fetchRecord(), results.front().id);
    cluster.setFaults({ { "leaving", leaving } });
    auto saidFrom = arrivalsAt(cluster.fetchRecord(), leaving).back();
    std::map<unsigned, std::set<std::string>> sentBy;
    auto end = std::chrono::steady_clock::now() + 6s;
    for (unsigned n = 0; std::chrono::steady_clock::now() < end; ++n) {
        results.push_back(cluster.sendRequest(n % daemons, n % 2 == 0, key));
        sentBy[n % daemons].insert(results.back().id);
    }
    auto record = cluster.fetchRecord();
    for (const auto& it : sentBy) {
        // The daemon's first request after `saidFrom` brought the first such answer.
        auto arrivals = arrivalsAt(record, leaving, &it.second);
        std::erase_if(arrivals, [&](auto at) { return at <= saidFrom; });
        if (!arrivals.empty())
            CHECK(arrivals.back() - arrivals.front() <= 2000);
    }
    CHECK(cluster.sendRequest(0, false, key).status == 200);
    checkNoViolations(results, record);
}

TEST_CASE("a leaving server whose expired entry returns as draining gets no requests later than its drain time")
{
    constexpr unsigned key = 5;
    PlatformCluster cluster(optionsFor(31400));
    REQUIRE(cluster.waitUntilServing());
    std::vector<CallerResult> results { cluster.sendRequest(0, false, key) };
    REQUIRE(results.front().status == 200);
    auto leaving = serverOf(cluster.fetchRecord(), results.front().id);
    // Without a controller, the server keeps its keys.
    auto controller = cluster.findController();
    REQUIRE(controller >= 0);
    cluster.processes().signal(PlatformCluster::nameOf(static_cast<unsigned>(controller)), SIGKILL);
    std::map<unsigned, std::set<std::string>> sentBy;
    auto sendFor = [&](std::chrono::milliseconds time) {
        auto end = std::chrono::steady_clock::now() + time;
        for (unsigned n = 0; std::chrono::steady_clock::now() < end; ++n) {
            auto daemon = n % daemons;
            if (daemon == static_cast<unsigned>(controller))
                continue;
            results.push_back(cluster.sendRequest(daemon, n % 2 == 0, key));
            sentBy[daemon].insert(results.back().id);
        }
    };
    cluster.setFaults({ { "leaving", leaving } });
    sendFor(500ms);
    cluster.setFaults({ { "expire", leaving } });
    sendFor(1800ms);
    cluster.setFaults({ { "drain", leaving } });
    sendFor(1500ms);
    auto record = cluster.fetchRecord();
    for (const auto& it : sentBy) {
        auto arrivals = arrivalsAt(record, leaving, &it.second);
        REQUIRE(!arrivals.empty());
        CHECK(arrivals.back() - arrivals.front() <= 2000);
    }
    checkNoViolations(results, record);
}

TEST_CASE("a daemon sends no requests to a server that refused one until the time that the server named has passed")
{
    constexpr unsigned key = 5;
    PlatformCluster cluster(optionsFor(31400));
    REQUIRE(cluster.waitUntilServing());
    auto first = cluster.sendRequest(0, false, key);
    REQUIRE(first.status == 200);
    auto refusing = serverOf(cluster.fetchRecord(), first.id);
    cluster.setFaults({ { "retryAfter", { { "server", refusing }, { "seconds", "3" } } } });
    auto before = arrivalsAt(cluster.fetchRecord(), refusing).size();
    auto end = std::chrono::steady_clock::now() + 2500ms;
    for (unsigned n = 0; std::chrono::steady_clock::now() < end; ++n)
        CHECK(cluster.sendRequest(n % daemons, false, key).status != 0);
    // Each daemon's first request, and up to two on their way.
    CHECK(arrivalsAt(cluster.fetchRecord(), refusing).size() <= before + daemons * 3);
}

TEST_CASE("odd entries of another writer end no daemon and keep none from following the store")
{
    PlatformCluster cluster(optionsFor(31400));
    REQUIRE(cluster.waitUntilServing());
    constexpr std::size_t depth = 100'000;
    auto nested = std::string(depth, '[') + std::string(depth, ']');
    auto entry = [](const std::string& born, const std::string& concurrency, const std::string& port) {
        return R"({"address":"127.0.0.1:)" + port + R"(","born":)" + born
            + R"(,"info":{"service":"floor","version":"v1","zone":"a","concurrency":)" + concurrency
            + R"(},"status":{"state":"ready","sequence":1,"warmup_left_ms":0}})";
    };
    std::vector<std::string> oddEntries { nested, std::string(depth, '['), entry(nested, "4", "31450"),
        entry("1", nested, "31450"), entry("1e999", "4", "31450"), entry("1", "1e300", "31450"),
        entry("1", "18446744073709551616", "31450"), entry("1", "4", "65536"),
        entry("1", "4", "99999999999999999999") };
    for (const auto& it : oddEntries) {
        cluster.setFaults({ { "garbage", it } });
        std::this_thread::sleep_for(300ms);
    }
    cluster.setFaults({ { "configure", 2 } });
    for (unsigned n = 0; n < daemons; ++n) {
        CHECK(cluster.waitUntil([&] { return cluster.sendRequest(n, false, 5, "/late/").status == 200; }));
        CHECK(cluster.status(n).value("servers", 0) == 4);
    }
}

TEST_CASE("after the store was restored from an older copy, changes are in force and keys keep a single owner")
{
    PlatformCluster cluster(optionsFor(31400));
    REQUIRE(cluster.waitUntilServing());
    std::vector<CallerResult> results;
    for (unsigned era = 2; era < 5; ++era) {
        cluster.setFaults({ { "keepCopy", true } });
        cluster.setFaults({ { "drain", era % 4 } });
        for (unsigned n = 0; n < 40; ++n)
            results.push_back(cluster.sendRequest(n % daemons, n % 3 == 0, n * 7919 % 65536));
        cluster.setFaults({ { "restart", era % 4 } });
        cluster.setFaults({ { "configure", 2 * era } });
        cluster.setFaults({ { "restore", true } });
        cluster.setFaults({ { "configure", 2 * era + 1 } });
        for (unsigned n = 0; n < daemons; ++n)
            CHECK(cluster.waitUntil([&] { return cluster.status(n).value("version", 0U) == 2 * era + 1; }));
        REQUIRE(cluster.waitUntilServing());
    }
    CHECK(cluster.sendRequest(0, false, 5, "/late/").status == 200);
    checkNoViolations(results, cluster.fetchRecord());
}

TEST_CASE("daemons that start on a restored store give no key a second owner")
{
    PlatformCluster cluster(optionsFor(31400));
    REQUIRE(cluster.waitUntilServing());
    cluster.setFaults({ { "keepCopy", true } });
    // Keys move to other servers, and server 1 is ready again: the copy names it as their owner.
    cluster.setFaults({ { "drain", 1 } });
    std::this_thread::sleep_for(1500ms);
    cluster.setFaults({ { "restart", 1 } });
    for (unsigned n = 0; n < daemons; ++n)
        cluster.processes().signal(PlatformCluster::nameOf(n), SIGKILL);
    for (unsigned n = 0; n < daemons; ++n)
        cluster.processes().wait(PlatformCluster::nameOf(n));
    cluster.setFaults({ { "restore", true } });
    for (unsigned n = 0; n < daemons; ++n)
        cluster.startDaemon(n);
    // All grants have to expire first, which takes most of the time that is waited once.
    bool isServing = cluster.waitUntilServing() || cluster.waitUntilServing();
    REQUIRE(isServing);
    checkNoViolations({}, cluster.fetchRecord());
}

TEST_CASE(
    "the servers of an evacuated domain get no requests after the limit and their keys move, also through a daemon "
    "that starts meanwhile")
{
    constexpr std::int64_t limitMs = 5000;
    auto options = optionsFor(31400);
    options.serverDomains = 2;
    PlatformCluster cluster(options);
    REQUIRE(cluster.waitUntilServing());
    cluster.setFaults({ { "evacuate", "b" } });
    auto isEmpty = [&](unsigned daemon) {
        auto status = cluster.status(daemon);
        return status.contains("evacuations") && status["evacuations"].value("b", -1) == 0;
    };
    REQUIRE(cluster.waitUntil([&] { return isEmpty(0) && isEmpty(1) && isEmpty(2); }));
    cluster.processes().signal("d2", SIGKILL);
    cluster.processes().wait("d2");
    cluster.startDaemon(2);
    REQUIRE(cluster.waitUntilServing());
    CHECK(isEmpty(2));
    std::vector<CallerResult> results;
    auto evacuatedAt = cluster.fetchRecord().at("evacuatedAtMs").get<std::int64_t>();
    std::this_thread::sleep_for(std::chrono::milliseconds(limitMs));
    for (unsigned n = 0; n < 60; ++n) {
        results.push_back(cluster.sendRequest(n % daemons, n % 2 == 0, n * 7919 % 65536));
        CHECK(results.back().status == 200);
    }
    auto record = cluster.fetchRecord();
    for (std::size_t server = 1; server < options.servers; server += 2) {
        for (auto at : arrivalsAt(record, server))
            CHECK(at <= evacuatedAt + limitMs);
    }
    cluster.setFaults({ { "endEvacuation", "b" } });
    CHECK(cluster.waitUntil([&] { return cluster.status(0)["evacuations"].empty(); }));
    checkNoViolations(results, record);
}
