/// @file
/// @brief Stand-in (test double) for the platform: a key-value store with compare-and-swap, leases and long-poll reads,
/// and a list of the entry instances that lags behind. POST /faults injects faults.

#include "net/net.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <CLI/CLI.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

using namespace acaciagauge;
using namespace acaciagauge::net;
using Json = nlohmann::json;

namespace {

constexpr std::size_t maxValueBytes = 1024 * 1024;
constexpr auto pollInterval = std::chrono::milliseconds(5);
constexpr auto probeInterval = std::chrono::milliseconds(500);
constexpr auto probeTimeout = std::chrono::milliseconds(300);

struct Entry {
    std::uint64_t revision = 0;
    std::string value;
    std::optional<std::chrono::steady_clock::time_point> expiry; ///< End of the lease; empty for a key without one.
};

struct Faults {
    bool down = false;
    std::uint64_t delayMs = 0;
    std::uint64_t loseAnswers = 0; ///< Number of writes that take effect but get the response 504.
    bool rateExceeded = false;
};

struct Instance {
    Json description;
    std::string state = "unknown";
};

/// Fixed-window rate limit: `perSecond` calls in each window of one second.
struct RateLimit {
    std::uint64_t perSecond;
    std::uint64_t used = 0;
    std::chrono::steady_clock::time_point windowStart {};

    bool tryAcquire()
    {
        auto now = std::chrono::steady_clock::now();
        if (now - windowStart >= std::chrono::seconds(1)) {
            windowStart = now;
            used = 0;
        }
        return ++used <= perSecond;
    }
};

class Platform {
public:
    Platform(asio::io_context& context, std::uint64_t writesPerSecond, std::uint64_t readsPerSecond)
        : m_context(context)
        , m_client(HttpClient::create(context, {}))
        , m_writeLimit { writesPerSecond }
        , m_readLimit { readsPerSecond }
    {
    }

    void addInstance(Json description) { m_instances.push_back({ std::move(description), "unknown" }); }

    asio::awaitable<Response> handle(Request request)
    {
        auto target = std::string(request.target());
        auto path = pathOf(target);
        if (path == "/faults")
            co_return setFaults(request.body());
        if (path == "/stats")
            co_return makeResponse(200, Json { { "writes", m_writeCount }, { "reads", m_readCount } }.dump());
        bool isWrite = request.method() == http::verb::put;
        if (m_faults.delayMs)
            co_await sleep(std::chrono::milliseconds(m_faults.delayMs));
        if (m_faults.down)
            co_return makeResponse(503, "{}");
        ++(isWrite ? m_writeCount : m_readCount);
        bool isAllowed = (isWrite ? m_writeLimit : m_readLimit).tryAcquire() && !m_faults.rateExceeded;
        if (!isAllowed)
            co_return makeResponse(429, "{}");
        if (path == "/instances")
            co_return listInstances();
        if (path.rfind("/kv/", 0) != 0)
            co_return makeResponse(404, "{}");
        auto key = percentDecode(path.substr(4));
        if (isWrite)
            co_return co_await writeKey(key, target, request.body());
        co_return co_await readKey(key, target);
    }

    /// Health-checks the instances periodically. The list shows the last result and so lags behind their real state.
    asio::awaitable<void> probeInstances()
    {
        while (true) {
            for (auto& it : m_instances) {
                auto address = it.description.at("admin").get<std::string>();
                auto probe
                    = co_await m_client->exchange(address, makeRequest(http::verb::get, "/readyz"), probeTimeout);
                it.state = "gone";
                if (probe.state == ExchangeState::answered)
                    it.state = probe.response.result_int() == 200 ? "live" : "leaving";
            }
            co_await sleep(probeInterval);
        }
    }

private:
    asio::awaitable<void> sleep(std::chrono::milliseconds duration)
    {
        asio::steady_timer timer(m_context, duration);
        co_await timer.async_wait(asio::use_awaitable);
    }

    Response setFaults(const std::string& body)
    {
        auto document = Json::parse(body, nullptr, false);
        if (!document.is_object())
            return makeResponse(400, "{}");
        m_faults.down = document.value("down", m_faults.down);
        m_faults.delayMs = document.value("delayMs", m_faults.delayMs);
        m_faults.loseAnswers = document.value("loseAnswers", m_faults.loseAnswers);
        m_faults.rateExceeded = document.value("rateExceeded", m_faults.rateExceeded);
        return makeResponse(200, "{}");
    }

    Response listInstances() const
    {
        Json list = Json::array();
        for (const auto& it : m_instances) {
            if (it.state == "gone" || it.state == "unknown")
                continue;
            auto entry = it.description;
            entry["state"] = it.state;
            list.push_back(entry);
        }
        return makeResponse(200, Json { { "instances", list } }.dump());
    }

    Entry* findEntry(const std::string& key)
    {
        auto it = m_entries.find(key);
        if (it == m_entries.end())
            return nullptr;
        if (it->second.expiry && *it->second.expiry <= std::chrono::steady_clock::now()) {
            m_entries.erase(it);
            return nullptr;
        }
        return &it->second;
    }

    static std::uint64_t parseNumberOr(const std::string& text, std::uint64_t fallback)
    {
        return text.empty() ? fallback : std::strtoull(text.c_str(), nullptr, 10);
    }

    asio::awaitable<Response> readKey(std::string key, std::string target)
    {
        auto after = queryValue(target, "after");
        auto wait = std::chrono::milliseconds(parseNumberOr(queryValue(target, "wait_ms"), 0));
        auto waitEnd = std::chrono::steady_clock::now() + wait;
        while (!after.empty()) {
            auto* entry = findEntry(key);
            bool isNewer = entry && entry->revision > parseNumberOr(after, 0);
            if (isNewer || m_faults.down || std::chrono::steady_clock::now() >= waitEnd)
                break;
            co_await sleep(pollInterval);
        }
        if (m_faults.down)
            co_return makeResponse(503, "{}");
        auto* entry = findEntry(key);
        if (!entry)
            co_return makeResponse(404, "{\"revision\":0}");
        co_return makeResponse(200, Json { { "revision", entry->revision }, { "value", entry->value } }.dump());
    }

    asio::awaitable<Response> writeKey(std::string key, std::string target, std::string value)
    {
        if (value.size() > maxValueBytes)
            co_return makeResponse(413, "{}");
        auto* entry = findEntry(key);
        auto currentRevision = entry ? entry->revision : 0;
        if (parseNumberOr(queryValue(target, "expect"), 0) != currentRevision)
            co_return makeResponse(409, Json { { "revision", currentRevision } }.dump());
        Entry newEntry { ++m_lastRevision, std::move(value), std::nullopt };
        auto lease = parseNumberOr(queryValue(target, "lease_ms"), 0);
        if (lease)
            newEntry.expiry = std::chrono::steady_clock::now() + std::chrono::milliseconds(lease);
        m_entries[key] = std::move(newEntry);
        if (m_faults.loseAnswers) {
            --m_faults.loseAnswers;
            auto response = makeResponse(504, "{}");
            response.keep_alive(false);
            co_return response;
        }
        co_return makeResponse(200, Json { { "revision", m_lastRevision } }.dump());
    }

    asio::io_context& m_context;
    std::shared_ptr<HttpClient> m_client;
    std::map<std::string, Entry> m_entries;
    std::uint64_t m_lastRevision = 0;
    std::vector<Instance> m_instances;
    Faults m_faults;
    RateLimit m_writeLimit;
    RateLimit m_readLimit;
    std::uint64_t m_writeCount = 0;
    std::uint64_t m_readCount = 0;
};

Json parseInstance(const std::string& text)
{
    std::vector<std::string> fields;
    std::stringstream in(text);
    std::string field;
    while (std::getline(in, field, ','))
        fields.push_back(field);
    if (fields.size() != 5)
        throw CLI::ValidationError("--instance", "must be ID,DOMAIN,CALLERS,ADMIN,RPC");
    return { { "id", fields[0] }, { "domain", fields[1] }, { "callers", fields[2] }, { "admin", fields[3] },
        { "rpc", fields[4] } };
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "Stand-in for the platform's store and instance list" };
    std::string listen = "127.0.0.1:7000";
    std::vector<std::string> instances;
    std::uint64_t writesPerSecond = 400;
    std::uint64_t readsPerSecond = 2000;
    app.add_option("--listen", listen, "IP:PORT to listen on");
    app.add_option("--instance", instances, "ID,DOMAIN,CALLERS,ADMIN,RPC of an entry instance; may be repeated");
    app.add_option("--writes", writesPerSecond, "Accepted writes per second; further ones get the response 429");
    app.add_option("--reads", readsPerSecond, "Accepted reads per second; further ones get the response 429");
    CLI11_PARSE(app, argc, argv);

    asio::io_context context(1);
    Platform platform(context, writesPerSecond, readsPerSecond);
    try {
        for (const auto& it : instances)
            platform.addInstance(parseInstance(it));
    } catch (const CLI::ValidationError& error) {
        return app.exit(error);
    }
    HttpServer::Options options;
    options.address = listen;
    options.bodyLimit = maxAdminBodyBytes;
    options.handler = [&](Request request) { return platform.handle(std::move(request)); };
    auto server = HttpServer::create(context, options);
    if (!server) {
        std::cerr << server.error().message << '\n';
        return 1;
    }
    (*server)->start();
    asio::co_spawn(context, platform.probeInstances(), asio::detached);
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](auto, auto) { context.stop(); });
    context.run();
    return 0;
}
