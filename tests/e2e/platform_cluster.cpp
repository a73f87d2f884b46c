#include "e2e/platform_cluster.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fstream>
#include <thread>

namespace acaciagauge::e2e {

using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

    constexpr auto waitTimeout = 25s;

    /// Offsets from the first port. The store listens on the first port, and the servers on those directly after it.
    constexpr unsigned callersOffset = 40;
    constexpr unsigned readinessOffset = 60;
    constexpr unsigned adminOffset = 80;
    constexpr unsigned rpcOffset = 100;
    constexpr unsigned storeRelayOffset = 120;
    constexpr unsigned serverRelayOffset = 140;

    std::string loopback(unsigned port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }

    std::filesystem::path folderForPort(unsigned basePort)
    {
        return std::filesystem::temp_directory_path() / ("acaciagauge-platform-" + std::to_string(basePort));
    }

    net::Exchange exchangeOnce(const std::string& address, net::Request request, std::chrono::milliseconds timeout)
    {
        net::asio::io_context context(1);
        auto client = net::HttpClient::create(context, {});
        net::Exchange result;
        auto call = [&]() -> net::asio::awaitable<void> {
            result = co_await client->exchange(address, std::move(request), timeout);
        };
        net::asio::co_spawn(context, call(), net::asio::detached);
        context.run();
        return result;
    }

} // namespace

PlatformCluster::PlatformCluster(Options options)
    : m_options(std::move(options))
    , m_processes(folderForPort(m_options.basePort))
{
    auto basePort = m_options.basePort;
    std::vector<std::string> platform { "standin_users_platform", "--port", std::to_string(basePort), "--servers",
        std::to_string(m_options.servers) };
    for (unsigned n = 0; n < m_options.daemons; ++n)
        m_storeRelays.push_back(std::make_unique<FaultRelay>(basePort + storeRelayOffset + n, basePort));
    if (m_options.hasServerRelays) {
        platform.insert(platform.end(), { "--listed-from", std::to_string(basePort + serverRelayOffset) });
        for (unsigned n = 0; n < m_options.servers; ++n)
            m_serverRelays.push_back(std::make_unique<FaultRelay>(basePort + serverRelayOffset + n, basePort + 1 + n));
    }
    m_processes.spawn("platform", platform);
    for (unsigned n = 0; n < m_options.daemons; ++n)
        startDaemon(n);
}

void PlatformCluster::preserveFolder(unsigned basePort, const std::string& name)
{
    auto folder = folderForPort(basePort);
    auto kept = folder.string() + "-" + name;
    std::filesystem::remove_all(kept);
    std::filesystem::rename(folder, kept);
}

std::string PlatformCluster::callersAddress(unsigned daemon) const
{
    return loopback(m_options.basePort + callersOffset + daemon);
}

void PlatformCluster::startDaemon(unsigned n)
{
    auto name = nameOf(n);
    auto address = [&](unsigned offset) { return loopback(m_options.basePort + offset + n); };
    auto file = m_processes.folder() / (name + ".ini");
    std::ofstream out(file);
    out << "[instance]\nid = " << name << "\ndomain = " << m_options.domain
        << "\n[listen]\ncallers = " << address(callersOffset) << "\nreadiness = " << address(readinessOffset)
        << "\nadmin = " << address(adminOffset) << "\nrpc = " << address(rpcOffset)
        << "\n[platform]\ndialect = users\naddress = " << address(storeRelayOffset) << "\n"
        << m_options.extraSettings;
    out.close();
    m_processes.spawn(name, { "acaciagauged", "--settings", file.string() });
}

net::Exchange PlatformCluster::post(const std::string& path, const std::string& body) const
{
    return exchangeOnce(loopback(m_options.basePort), net::makeRequest(net::http::verb::post, path, body), 5s);
}

void PlatformCluster::setFaults(const Json& body) const
{
    auto exchange = post("/faults", body.dump());
    if (exchange.state != net::ExchangeState::answered)
        throw std::runtime_error("the stand-in platform does not respond to /faults: " + exchange.error);
}

Json PlatformCluster::fetchRecord() const
{
    return Json::parse(post("/record", "{}").response.body());
}

Json PlatformCluster::status(unsigned daemon) const
{
    auto request = net::makeRequest(net::http::verb::get, "/status");
    auto exchange = exchangeOnce(loopback(m_options.basePort + adminOffset + daemon), std::move(request), 1s);
    return exchange.state == net::ExchangeState::answered ? Json::parse(exchange.response.body()) : Json::object();
}

net::Request makeCallerRequest(const CallerResult& result, unsigned key, const std::string& path)
{
    auto method = result.isPost ? net::http::verb::post : net::http::verb::get;
    auto request = net::makeRequest(method, result.isPost ? std::string("/bid/1") : path + "1");
    request.set(net::http::field::host, "a.example");
    request.set("Acaciagauge-Request-Id", result.id);
    request.set("Acaciagauge-Deadline-Ms", "1500");
    request.set("Acaciagauge-Shard-Key", std::to_string(key));
    return request;
}

void readResponse(const net::Exchange& exchange, CallerResult& result)
{
    if (exchange.state != net::ExchangeState::answered)
        return;
    result.status = exchange.response.result_int();
    if (result.status != 200)
        return;
    auto body = Json::parse(exchange.response.body(), nullptr, false);
    result.matchesRequest = body.is_object() && body.value("id", "") == result.id
        && net::headerOf(exchange.response, "Acaciagauge-Response-Signature") == "signed." + result.id;
}

CallerResult PlatformCluster::sendRequest(unsigned daemon, bool isPost, unsigned key, const std::string& path)
{
    CallerResult result;
    result.isPost = isPost;
    result.id = "r" + std::to_string(++m_lastRequest);
    readResponse(exchangeOnce(callersAddress(daemon), makeCallerRequest(result, key, path), 2s), result);
    return result;
}

bool PlatformCluster::waitUntil(const std::function<bool()>& condition)
{
    auto until = std::chrono::steady_clock::now() + waitTimeout;
    while (std::chrono::steady_clock::now() < until) {
        if (condition())
            return true;
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

bool PlatformCluster::waitUntilServing()
{
    return waitUntil([this] {
        for (unsigned n = 0; n < m_options.daemons; ++n) {
            for (unsigned key = 0; key < 65536; key += 8000) {
                if (m_processes.isTracked(nameOf(n)) && sendRequest(n, false, key).status != 200)
                    return false;
            }
        }
        return true;
    });
}

std::vector<std::string> PlatformCluster::storeSources() const
{
    std::vector<std::string> found;
    for (unsigned n = 0; n < m_options.daemons; ++n)
        found.push_back(status(n).value("storeSource", ""));
    return found;
}

int PlatformCluster::findController() const
{
    for (unsigned n = 0; n < m_options.daemons; ++n) {
        if (status(n).value("isController", false))
            return static_cast<int>(n);
    }
    return -1;
}

std::vector<std::string> findViolations(const std::vector<CallerResult>& results, const Json& record)
{
    std::map<std::string, int> runs;
    for (const auto& it : record.at("runs"))
        ++runs[it.at("id").get<std::string>()];
    std::vector<std::string> violations;
    for (const auto& it : results) {
        auto count = runs[it.id];
        auto addViolation = [&](const std::string& what) {
            violations.push_back(
                it.id + " (" + std::to_string(it.status) + ", ran " + std::to_string(count) + " times): " + what);
        };
        bool isNotRunStatus = it.status == 503 || it.status == 429 || it.status == 408 || it.status == 421;
        if (!it.matchesRequest)
            addViolation("got the response of another request");
        if (it.isPost && count > 1)
            addViolation("not idempotent, but ran more than once");
        if (it.isPost && isNotRunStatus && count > 0)
            addViolation("its status says that it did not run, but it ran");
        if (it.status == 200 && count == 0)
            addViolation("its status says that it ran, but it did not");
    }
    for (const auto& it : record.at("problems"))
        violations.push_back(it.get<std::string>());
    return violations;
}

} // namespace acaciagauge::e2e
