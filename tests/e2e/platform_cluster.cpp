#include "e2e/platform_cluster.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fstream>
#include <thread>

namespace acaciagauge::e2e {

using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

    constexpr auto patience = 25s;

    /// Offsets of the ports from the first: the store and the servers, then the daemons' and the relays'.
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

    std::filesystem::path folderOf(unsigned base)
    {
        return std::filesystem::temp_directory_path() / ("acaciagauge-platform-" + std::to_string(base));
    }

    net::Exchange ask(const std::string& address, net::Request request, std::chrono::milliseconds timeout)
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
    , m_processes(folderOf(m_options.base))
{
    auto base = m_options.base;
    std::vector<std::string> platform { "standin_users_platform", "--port", std::to_string(base), "--servers",
        std::to_string(m_options.servers) };
    for (unsigned n = 0; n < m_options.daemons; ++n)
        m_storeRelays.push_back(std::make_unique<FaultRelay>(base + storeRelayOffset + n, base));
    if (m_options.hasServerRelays) {
        platform.insert(platform.end(), { "--listed-from", std::to_string(base + serverRelayOffset) });
        for (unsigned n = 0; n < m_options.servers; ++n)
            m_serverRelays.push_back(std::make_unique<FaultRelay>(base + serverRelayOffset + n, base + 1 + n));
    }
    m_processes.spawn("platform", platform);
    for (unsigned n = 0; n < m_options.daemons; ++n)
        startDaemon(n);
}

void PlatformCluster::keepLogs(unsigned base, const std::string& name)
{
    auto folder = folderOf(base);
    auto kept = folder.string() + "-" + name;
    std::filesystem::remove_all(kept);
    std::filesystem::rename(folder, kept);
}

std::string PlatformCluster::callersAddress(unsigned daemon) const
{
    return loopback(m_options.base + callersOffset + daemon);
}

void PlatformCluster::startDaemon(unsigned n)
{
    auto name = nameOf(n);
    auto address = [&](unsigned offset) { return loopback(m_options.base + offset + n); };
    auto file = m_processes.folder() / (name + ".ini");
    std::ofstream out(file);
    out << "[instance]\nid = " << name << "\ndomain = " << m_options.domain
        << "\n[listen]\ncallers = " << address(callersOffset) << "\nreadiness = " << address(readinessOffset)
        << "\nadmin = " << address(adminOffset) << "\nrpc = " << address(rpcOffset)
        << "\n[platform]\ndialect = users\naddress = " << address(storeRelayOffset) << "\n";
    out.close();
    m_processes.spawn(name, { "acaciagauged", "--settings", file.string() });
}

net::Exchange PlatformCluster::post(const std::string& path, const std::string& body) const
{
    return ask(loopback(m_options.base), net::makeRequest(net::http::verb::post, path, body), 5s);
}

void PlatformCluster::faults(const Json& body) const
{
    auto exchange = post("/faults", body.dump());
    if (exchange.state != net::ExchangeState::answered)
        throw std::runtime_error("the stand-in does not take faults: " + exchange.error);
}

Json PlatformCluster::record() const
{
    return Json::parse(post("/record", "{}").response.body());
}

Json PlatformCluster::status(unsigned daemon) const
{
    auto request = net::makeRequest(net::http::verb::get, "/status");
    auto exchange = ask(loopback(m_options.base + adminOffset + daemon), std::move(request), 1s);
    return exchange.state == net::ExchangeState::answered ? Json::parse(exchange.response.body()) : Json::object();
}

net::Request callerRequest(const Answer& answer, unsigned key, const std::string& path)
{
    auto method = answer.isBid ? net::http::verb::post : net::http::verb::get;
    auto request = net::makeRequest(method, answer.isBid ? std::string("/bid/1") : path + "1");
    request.set(net::http::field::host, "a.example");
    request.set("Acaciagauge-Request-Id", answer.id);
    request.set("Acaciagauge-Deadline-Ms", "1500");
    request.set("Acaciagauge-Shard-Key", std::to_string(key));
    return request;
}

void readAnswer(const net::Exchange& exchange, Answer& answer)
{
    if (exchange.state != net::ExchangeState::answered)
        return;
    answer.status = exchange.response.result_int();
    if (answer.status != 200)
        return;
    auto body = Json::parse(exchange.response.body(), nullptr, false);
    answer.isOwn = body.is_object() && body.value("id", "") == answer.id
        && net::headerOf(exchange.response, "Acaciagauge-Response-Signature") == "signed." + answer.id;
}

Answer PlatformCluster::request(unsigned daemon, bool isBid, unsigned key, const std::string& path)
{
    Answer answer;
    answer.isBid = isBid;
    answer.id = "r" + std::to_string(++m_lastRequest);
    readAnswer(ask(callersAddress(daemon), callerRequest(answer, key, path), 2s), answer);
    return answer;
}

bool PlatformCluster::waitFor(const std::function<bool()>& condition)
{
    auto until = std::chrono::steady_clock::now() + patience;
    while (std::chrono::steady_clock::now() < until) {
        if (condition())
            return true;
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

bool PlatformCluster::waitServing()
{
    return waitFor([this] {
        for (unsigned n = 0; n < m_options.daemons; ++n) {
            for (unsigned key = 0; key < 65536; key += 8000) {
                if (m_processes.isKnown(nameOf(n)) && request(n, false, key).status != 200)
                    return false;
            }
        }
        return true;
    });
}

std::vector<std::string> PlatformCluster::sources() const
{
    std::vector<std::string> found;
    for (unsigned n = 0; n < m_options.daemons; ++n)
        found.push_back(status(n).value("storeSource", ""));
    return found;
}

int PlatformCluster::controller() const
{
    for (unsigned n = 0; n < m_options.daemons; ++n) {
        if (status(n).value("isController", false))
            return static_cast<int>(n);
    }
    return -1;
}

std::vector<std::string> brokenPromises(const std::vector<Answer>& answers, const Json& record)
{
    std::map<std::string, int> runs;
    for (const auto& it : record.at("runs"))
        ++runs[it.at("id").get<std::string>()];
    std::vector<std::string> broken;
    for (const auto& it : answers) {
        auto count = runs[it.id];
        auto say = [&](const std::string& what) {
            broken.push_back(
                it.id + " (" + std::to_string(it.status) + ", ran " + std::to_string(count) + " times): " + what);
        };
        bool isPromise = it.status == 503 || it.status == 429 || it.status == 408 || it.status == 421;
        if (!it.isOwn)
            say("another request's answer");
        if (it.isBid && count > 1)
            say("not idempotent, and ran more than once");
        if (it.isBid && isPromise && count > 0)
            say("told that it did not run, and ran");
        if (it.status == 200 && count == 0)
            say("told that it ran, and did not");
    }
    for (const auto& it : record.at("problems"))
        broken.push_back(it.get<std::string>());
    return broken;
}

} // namespace acaciagauge::e2e
