#include "cluster.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace acaciagauge::e2e {

using net::asio::ip::tcp;
namespace asio = net::asio;

namespace {

    constexpr int daemons = 3;
    constexpr int servers = 6;
    constexpr int workersPerDaemon = 3;
    constexpr auto loadPause = std::chrono::milliseconds(3);

    std::string domainOf(int daemon)
    {
        return daemon <= 2 ? "north" : "south";
    }

} // namespace

Cluster::Cluster(unsigned basePort)
    : m_basePort(basePort)
    , m_processes(std::filesystem::temp_directory_path()
          / ("acaciagauge-e2e-" + std::to_string(::getpid()) + "-" + std::to_string(basePort)))
{
    for (int n = 1; n <= daemons; ++n)
        m_relays[n] = std::make_unique<FaultRelay>(m_basePort + 500 + static_cast<unsigned>(n), rpcPort(n));
}

Cluster::~Cluster()
{
    m_isLoadRunning = false;
    for (auto& it : m_loadThreads)
        it.join();
}

void Cluster::writeSettings(int n)
{
    std::ofstream out(m_processes.folder() / ("e" + std::to_string(n) + ".ini"));
    out << "[instance]\nid = e" << n << "\ndomain = " << domainOf(n)
        << "\n[listen]\ncallers = " << addressOf(callersPort(n)) << "\nadmin = " << addressOf(adminPort(n))
        << "\nrpc = " << addressOf(rpcPort(n)) << "\n[platform]\naddress = " << addressOf(m_basePort)
        << "\n[admin]\ntoken = secret\n"
        << "[limits]\ncold_start_ms = 0\nleave_grace_ms = 1200\n";
}

void Cluster::startAll()
{
    std::vector<std::string> platform { "standin_platform", "--listen", addressOf(m_basePort) };
    for (int n = 1; n <= daemons; ++n) {
        platform.push_back("--instance");
        platform.push_back("e" + std::to_string(n) + "," + domainOf(n) + "," + addressOf(callersPort(n)) + ","
            + addressOf(adminPort(n)) + "," + addressOf(m_basePort + 500 + static_cast<unsigned>(n)));
        writeSettings(n);
    }
    m_processes.spawn("platform", platform);
    for (int n = 1; n <= servers; ++n)
        startServer(n);
    for (int n = 1; n <= daemons; ++n)
        startDaemon(n);
}

void Cluster::startDaemon(int n)
{
    auto name = "e" + std::to_string(n);
    m_processes.spawn(name, { "acaciagauged", "--settings", (m_processes.folder() / (name + ".ini")).string() });
}

void Cluster::startServer(int n)
{
    auto name = "s" + std::to_string(n);
    m_processes.spawn(name,
        { "standin_server", "--listen", addressOf(serverPort(n)), "--name", name, "--slots", "2", "--service-time-us",
            "1000", "--record", (m_processes.folder() / (name + ".record")).string() });
}

void Cluster::signal(const std::string& name, int number)
{
    m_processes.signal(name, number);
    if (number == SIGKILL)
        m_processes.wait(name);
}

void Cluster::signalDaemon(int n, int signal)
{
    this->signal("e" + std::to_string(n), signal);
}

void Cluster::signalServer(int n, int signal)
{
    this->signal("s" + std::to_string(n), signal);
}

net::Exchange Cluster::call(unsigned port, net::Request request, std::chrono::milliseconds timeout) const
{
    asio::io_context context(1);
    auto client = net::HttpClient::create(context, { 1, net::maxAdminBodyBytes });
    net::Exchange result;
    auto exchange = [&]() -> asio::awaitable<void> {
        result = co_await client->exchange(addressOf(port), std::move(request), timeout);
    };
    asio::co_spawn(context, exchange(), asio::detached);
    context.run();
    return result;
}

void Cluster::setPlatformFaults(const nlohmann::json& faults)
{
    call(m_basePort, net::makeRequest(net::http::verb::post, "/faults", faults.dump()));
}

void Cluster::setServerFaults(int n, const nlohmann::json& faults)
{
    call(serverPort(n), net::makeRequest(net::http::verb::post, "/faults", faults.dump()));
}

net::Exchange Cluster::submitTicket(int daemon, const nlohmann::json& ticket) const
{
    auto request = net::makeRequest(net::http::verb::post, "/tickets", ticket.dump());
    request.set(net::http::field::authorization, "Bearer secret");
    return call(adminPort(daemon), std::move(request), std::chrono::seconds(10));
}

nlohmann::json Cluster::makeLotsTicket(TicketNumber number, const std::string& writer, int leavingServer) const
{
    auto list = nlohmann::json::array();
    for (int n = 1; n <= servers; ++n)
        list.push_back({ { "id", "s" + std::to_string(n) }, { "domain", n <= 3 ? "north" : "south" },
            { "address", addressOf(serverPort(n)) }, { "slots", 2 }, { "leaving", n == leavingServer } });
    return { { "number", number }, { "writer", writer },
        { "services", { { "lots", { { "partitions", 48 }, { "servers", list } } } } } };
}

nlohmann::json Cluster::status(int daemon) const
{
    return nlohmann::json::parse(
        call(adminPort(daemon), net::makeRequest(net::http::verb::get, "/status")).response.body(), nullptr, false);
}

bool Cluster::waitUntilServing(int daemon, std::chrono::seconds limit) const
{
    auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        std::size_t ran = 0;
        constexpr std::size_t probes = 40;
        for (std::size_t n = 0; n < probes; ++n) {
            auto request = net::makeRequest(net::http::verb::get, "/lots/probe-" + std::to_string(n));
            request.set("X-Deadline-Ms", "300");
            ran += call(callersPort(daemon), std::move(request)).response.result_int() == 200;
        }
        if (ran == probes)
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return false;
}

void Cluster::startLoad(std::set<int> targets)
{
    m_isLoadRunning = true;
    m_outcomes.clear();
    for (int daemon : targets) {
        for (int worker = 0; worker < workersPerDaemon; ++worker)
            m_loadThreads.emplace_back([this, daemon, worker] { loadLoop(daemon, worker); });
    }
}

void Cluster::loadLoop(int daemon, int worker)
{
    asio::io_context context(1);
    auto client = net::HttpClient::create(context, { 1, net::maxBodyBytes });
    auto loop = [&]() -> asio::awaitable<void> {
        for (int n = 0; m_isLoadRunning; ++n) {
            bool isPost = n % 2 == 0;
            auto key = "key-" + std::to_string((n * 7 + worker * 13) % 60);
            auto body = "body-" + std::to_string(daemon) + "-" + std::to_string(worker) + "-" + std::to_string(n);
            auto request
                = net::makeRequest(isPost ? net::http::verb::post : net::http::verb::get, "/lots/" + key, body);
            request.set("X-Deadline-Ms", "1000");
            auto exchange = co_await client->exchange(
                addressOf(callersPort(daemon)), std::move(request), std::chrono::seconds(4));
            ReportedOutcome reported;
            reported.method = isPost ? "POST" : "GET";
            reported.key = key;
            bool isNotSent = exchange.state == net::ExchangeState::connectionRefused
                || exchange.state == net::ExchangeState::notSent;
            reported.outcome = isNotSent ? "refused" : "noAnswer";
            if (exchange.state == net::ExchangeState::answered) {
                reported.requestId = net::headerOf(exchange.response, "X-Request-Id");
                reported.outcome = net::headerOf(exchange.response, "X-Acaciagauge-Outcome");
            }
            if (reported.outcome == "ran") {
                auto responseBody = nlohmann::json::parse(exchange.response.body(), nullptr, false);
                reported.matchesRequest = responseBody.is_object() && responseBody.value("echo", "") == body
                    && responseBody.value("key", "") == key
                    && responseBody.value("requestId", "") == reported.requestId;
            }
            {
                std::lock_guard lock(m_mutex);
                m_outcomes.push_back(reported);
            }
            asio::steady_timer timer(context, loadPause);
            co_await timer.async_wait(asio::use_awaitable);
        }
    };
    asio::co_spawn(context, loop(), asio::detached);
    context.run();
}

std::vector<ReportedOutcome> Cluster::stopLoad()
{
    m_isLoadRunning = false;
    for (auto& it : m_loadThreads)
        it.join();
    m_loadThreads.clear();
    return m_outcomes;
}

std::vector<Execution> Cluster::executions() const
{
    std::vector<Execution> executed;
    for (int n = 1; n <= servers; ++n) {
        std::ifstream in(m_processes.folder() / ("s" + std::to_string(n) + ".record"));
        Execution it;
        while (in >> it.requestId >> it.key >> it.method >> it.server >> it.fence.epoch >> it.fence.sequence >> it.time)
            executed.push_back(it);
    }
    return executed;
}

std::string Cluster::readLog(const std::string& name) const
{
    std::ifstream in(m_processes.folder() / (name + ".log"));
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

std::vector<std::string> findViolations(
    const std::vector<ReportedOutcome>& outcomes, const std::vector<Execution>& executions)
{
    std::vector<std::string> violations;
    std::map<std::string, std::size_t> runs;
    for (const auto& it : executions) {
        if (++runs[it.requestId] == 2 && it.method == "POST")
            violations.push_back("non-idempotent request " + it.requestId + " ran twice");
    }
    for (const auto& it : outcomes) {
        if (!it.matchesRequest)
            violations.push_back("request " + it.requestId + " got the response of another request");
        if (it.outcome == "notRun" && runs.contains(it.requestId))
            violations.push_back("request " + it.requestId + " ran, but its caller got the outcome notRun");
        if (it.outcome == "ran" && !runs.contains(it.requestId))
            violations.push_back("request " + it.requestId + " did not run, but its caller got the outcome ran");
        bool isKnownOutcome = it.outcome == "ran" || it.outcome == "notRun" || it.outcome == "unknown"
            || it.outcome == "noAnswer" || it.outcome == "refused";
        if (!isKnownOutcome)
            violations.push_back("request " + it.requestId + " has the undefined outcome \"" + it.outcome + "\"");
    }
    // Within a domain the fences of a key only increase. An execution under a lower fence than an earlier one at
    // another server means that the key had two owners.
    std::map<std::string, std::map<std::string, std::vector<Execution>>> byKey;
    for (const auto& it : executions)
        byKey[it.key][it.server <= "s3" ? "north" : "south"].push_back(it);
    for (auto& key : byKey) {
        for (auto& domain : key.second) {
            auto& list = domain.second;
            std::sort(list.begin(), list.end(), [](const Execution& a, const Execution& b) { return a.time < b.time; });
            for (std::size_t n = 1; n < list.size(); ++n) {
                if (list[n].fence < list[n - 1].fence && list[n].server != list[n - 1].server)
                    violations.push_back("key " + key.first + " ran on " + list[n].server
                        + " under a lower fence than before on " + list[n - 1].server);
            }
        }
    }
    return violations;
}

} // namespace acaciagauge::e2e
