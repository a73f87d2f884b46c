/// @file
/// @brief The users' platform's path as real processes: store and servers by stand-in, three daemons, faults from
/// outside.

#include "e2e/cluster.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <functional>
#include <spawn.h>
#include <sys/wait.h>

using namespace acaciagauge;
using namespace std::chrono_literals;
using Json = nlohmann::json;

extern char** environ;

namespace {

constexpr unsigned daemons = 3;

/// Longest wait for a state that takes a second or two; verdicts never rest on it.
constexpr auto patience = 25s;

struct Answer {
    std::string id;
    bool isBid = false;
    unsigned status = 0; ///< 0: no whole answer.
    bool isOwn = true;
};

class PlatformCluster {
public:
    explicit PlatformCluster(unsigned base, std::string domain = "a")
        : m_base(base)
        , m_domain(std::move(domain))
        , m_folder(std::filesystem::temp_directory_path() / ("acaciagauge-platform-" + std::to_string(base)))
        , m_storeRelay(base + 50, base)
    {
        std::filesystem::remove_all(m_folder);
        std::filesystem::create_directories(m_folder);
        spawn("platform", { "standin_users_platform", "--port", std::to_string(base), "--servers", "4" });
        for (unsigned n = 0; n < daemons; ++n)
            startDaemon(n);
    }

    ~PlatformCluster()
    {
        for (const auto& it : m_processes)
            ::kill(it.second, SIGKILL);
        for (const auto& it : m_processes)
            ::waitpid(it.second, nullptr, 0);
    }

    PlatformCluster(const PlatformCluster&) = delete;
    PlatformCluster& operator=(const PlatformCluster&) = delete;

    void startDaemon(unsigned n)
    {
        auto name = "d" + std::to_string(n);
        auto port = [&](unsigned offset) { return "127.0.0.1:" + std::to_string(m_base + offset + n); };
        // The last daemon reaches the store through a relay that can be cut.
        auto store = "127.0.0.1:" + std::to_string(n + 1 == daemons ? m_base + 50 : m_base);
        std::ofstream out(m_folder / (name + ".ini"));
        out << "[instance]\nid = " << name << "\ndomain = " << m_domain << "\n[listen]\ncallers = " << port(10)
            << "\nreadiness = " << port(20) << "\nadmin = " << port(30) << "\nrpc = " << port(40)
            << "\n[platform]\ndialect = users\naddress = " << store << "\n";
        out.close();
        spawn(name, { "acaciagauged", "--settings", (m_folder / (name + ".ini")).string() });
    }

    void signal(const std::string& name, int number) { ::kill(m_processes.at(name), number); }

    int wait(const std::string& name)
    {
        int status = 0;
        ::waitpid(m_processes.at(name), &status, 0);
        m_processes.erase(name);
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }

    void faults(const Json& body) { post(m_base, "/faults", body.dump()); }

    Json record() { return Json::parse(post(m_base, "/record", "{}").response.body()); }

    Json status(unsigned n)
    {
        auto exchange = ask(m_base + 30 + n, net::makeRequest(net::http::verb::get, "/status"), 1s);
        return exchange.state == net::ExchangeState::answered ? Json::parse(exchange.response.body()) : Json::object();
    }

    /// Asks one daemon; the id tells the request in the platform's record.
    Answer request(unsigned daemon, bool isBid, unsigned key, const std::string& path = "/view/")
    {
        Answer answer;
        answer.isBid = isBid;
        answer.id = "r" + std::to_string(++m_lastRequest);
        auto request = net::makeRequest(
            isBid ? net::http::verb::post : net::http::verb::get, isBid ? std::string("/bid/1") : path + "1");
        request.set(net::http::field::host, "a.example");
        request.set("Acaciagauge-Request-Id", answer.id);
        request.set("Acaciagauge-Deadline-Ms", "1500");
        request.set("Acaciagauge-Shard-Key", std::to_string(key));
        auto exchange = ask(m_base + 10 + daemon, std::move(request), 2s);
        if (exchange.state != net::ExchangeState::answered)
            return answer;
        answer.status = exchange.response.result_int();
        bool isSuccess = answer.status == 200;
        answer.isOwn = !isSuccess
            || (Json::parse(exchange.response.body()).at("id") == answer.id
                && net::headerOf(exchange.response, "Acaciagauge-Response-Signature") == "signed." + answer.id);
        return answer;
    }

    bool waitFor(const std::function<bool()>& condition)
    {
        auto until = std::chrono::steady_clock::now() + patience;
        while (std::chrono::steady_clock::now() < until) {
            if (condition())
                return true;
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }

    /// Waits until every daemon serves keys of all servers.
    bool waitServing()
    {
        return waitFor([this] {
            for (unsigned n = 0; n < daemons; ++n) {
                for (unsigned key = 0; key < 65536; key += 8000) {
                    if (m_processes.contains("d" + std::to_string(n)) && request(n, false, key).status != 200)
                        return false;
                }
            }
            return true;
        });
    }

    /// Returns whom each daemon hears the store's changes from.
    std::vector<std::string> sources()
    {
        std::vector<std::string> found;
        for (unsigned n = 0; n < daemons; ++n)
            found.push_back(status(n).value("storeSource", ""));
        return found;
    }

    int controller()
    {
        for (unsigned n = 0; n < daemons; ++n) {
            if (status(n).value("isController", false))
                return static_cast<int>(n);
        }
        return -1;
    }

    e2e::CutRelay& storeRelay() { return m_storeRelay; }

private:
    net::Exchange ask(unsigned port, net::Request request, std::chrono::milliseconds timeout)
    {
        net::asio::io_context context(1);
        auto client = net::HttpClient::create(context, {});
        net::Exchange result;
        auto call = [&]() -> net::asio::awaitable<void> {
            auto address = "127.0.0.1:" + std::to_string(port);
            result = co_await client->exchange(address, std::move(request), timeout);
        };
        net::asio::co_spawn(context, call(), net::asio::detached);
        context.run();
        return result;
    }

    net::Exchange post(unsigned port, const std::string& path, const std::string& body)
    {
        return ask(port, net::makeRequest(net::http::verb::post, path, body), 5s);
    }

    void spawn(const std::string& name, std::vector<std::string> arguments)
    {
        arguments[0] = std::string(BUILD_FOLDER) + "/" + arguments[0];
        std::vector<char*> argv;
        for (auto& it : arguments)
            argv.push_back(it.data());
        argv.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        ::posix_spawn_file_actions_init(&actions);
        auto log = (m_folder / (name + ".log")).string();
        ::posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::posix_spawn_file_actions_adddup2(&actions, 1, 2);
        pid_t pid = -1;
        if (::posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), environ) != 0)
            throw std::runtime_error("cannot start " + arguments[0]);
        ::posix_spawn_file_actions_destroy(&actions);
        m_processes[name] = pid;
    }

    unsigned m_base;
    std::string m_domain;
    std::filesystem::path m_folder;
    e2e::CutRelay m_storeRelay;
    std::map<std::string, pid_t> m_processes;
    std::uint64_t m_lastRequest = 0;
};

/// Returns a failure domain whose store watcher is the given daemon.
std::string domainWatchedBy(unsigned daemon)
{
    std::vector<std::string> names;
    for (unsigned n = 0; n < daemons; ++n)
        names.push_back("d" + std::to_string(n));
    unsigned number = 0;
    while (rendezvousOrder("domain" + std::to_string(number), names).front() != names[daemon])
        ++number;
    return "domain" + std::to_string(number);
}

/// Checks what callers were told against what the servers ran.
void checkPromises(const std::vector<Answer>& answers, const Json& record)
{
    std::map<std::string, int> runs;
    for (const auto& it : record.at("runs"))
        ++runs[it.at("id").get<std::string>()];
    for (const auto& it : answers) {
        INFO(it.id << " status " << it.status);
        CHECK(it.isOwn);
        if (it.isBid)
            CHECK(runs[it.id] <= 1);
        if (it.isBid && it.status == 503)
            CHECK(runs[it.id] == 0);
        if (it.status == 200)
            CHECK(runs[it.id] >= 1);
    }
    CHECK(record.at("problems") == Json::array());
}

} // namespace

TEST_CASE("requests find their keys' owners through restarts, drains and a lost controller")
{
    PlatformCluster cluster(31100);
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
    cluster.signal("d" + std::to_string(controller), SIGKILL);
    cluster.wait("d" + std::to_string(controller));
    REQUIRE(cluster.waitFor([&] { return cluster.controller() >= 0; }));
    cluster.startDaemon(static_cast<unsigned>(controller));
    REQUIRE(cluster.waitServing());
    load(60);
    checkPromises(answers, cluster.record());
}

TEST_CASE("keys are served through an outage of the store, and late or lost orders give no key two owners")
{
    PlatformCluster cluster(31200);
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

TEST_CASE("a watcher that cannot reach the store follows a peer; all learn the desired state")
{
    auto last = daemons - 1;
    PlatformCluster cluster(31300, domainWatchedBy(last));
    REQUIRE(cluster.waitServing());
    REQUIRE(cluster.waitFor([&] { return cluster.sources() == std::vector<std::string> { "d2", "d2", "store" }; }));
    cluster.storeRelay().cut();
    REQUIRE(cluster.waitFor([&] { return cluster.sources()[last] != "store"; }));
    CHECK(cluster.request(last, false, 5, "/late/").status == 404);
    cluster.faults({ { "configure", 2 } });
    for (unsigned n = 0; n < daemons; ++n)
        CHECK(cluster.waitFor([&] { return cluster.request(n, false, 5, "/late/").status == 200; }));
    CHECK(cluster.sources()[last] != "store");
    cluster.storeRelay().heal();
    CHECK(cluster.waitFor([&] { return cluster.sources() == std::vector<std::string> { "d2", "d2", "store" }; }));
}

TEST_CASE("followers of a watcher that is paused or killed learn the desired state without it")
{
    auto last = daemons - 1;
    for (auto number : { SIGSTOP, SIGKILL }) {
        PlatformCluster cluster(number == SIGSTOP ? 31500 : 31600, domainWatchedBy(last));
        REQUIRE(cluster.waitServing());
        REQUIRE(cluster.waitFor([&] { return cluster.sources()[0] == "d2" && cluster.sources()[1] == "d2"; }));
        cluster.signal("d2", number);
        cluster.faults({ { "configure", 2 } });
        for (unsigned n = 0; n < last; ++n)
            CHECK(cluster.waitFor([&] { return cluster.request(n, false, 5, "/late/").status == 200; }));
        CHECK(cluster.sources()[0] != "d2");
        CHECK(cluster.sources()[1] != "d2");
    }
}

TEST_CASE("a daemon that is told to leave answers all that it took and exits in order")
{
    PlatformCluster cluster(31400);
    REQUIRE(cluster.waitServing());
    std::vector<Answer> answers;
    cluster.signal("d0", SIGTERM);
    for (int i = 0; i < 60; ++i)
        answers.push_back(cluster.request(0, false, static_cast<unsigned>(i * 911)));
    for (const auto& it : answers)
        CHECK(it.status == 200);
    CHECK(cluster.wait("d0") == 0);
    checkPromises(answers, cluster.record());
}
