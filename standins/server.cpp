/// @file
/// @brief Stand-in (test double) for an upstream server: accepts fenced grants, executes requests in a limited number
/// of slots and records every execution. POST /faults injects faults.

#include "net/net.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace acaciagauge;
using namespace acaciagauge::net;
using Json = nlohmann::json;

namespace {

/// Time for which a drained server still responds before it exits: requests that were sent under older routes get a
/// refusal (notRun) rather than a closed connection.
constexpr auto lingerAfterDrain = std::chrono::milliseconds(500);

/// The service time is multiplied by this while the server is cold.
constexpr int coldServiceTimeFactor = 4;

struct Faults {
    std::uint64_t serviceTimeUs = 0;
    std::uint64_t truncateAnswers = 0; ///< Number of responses that are shorter than their Content-Length.
    std::uint64_t crossAnswers = 0; ///< Number of responses that carry another request's id.
    std::uint64_t dropAnswers = 0; ///< Number of executions whose response comes 3 s late.
    bool shed = false;
    double reportedLoad = -1; ///< Load to report instead of the real one; negative: report the real one.
};

struct Execution {
    std::string requestId;
    std::string key;
    std::string method;
    Fence fence;
    std::string idempotencyKey;
};

class Server {
public:
    Server(
        asio::io_context& context, std::string name, std::uint32_t slots, std::uint32_t maxWaiting, bool checksFences)
        : m_context(context)
        , m_name(std::move(name))
        , m_slots(slots)
        , m_maxWaiting(maxWaiting)
        , m_grants(GrantTable::create(tableOptions(checksFences)))
    {
    }

    asio::awaitable<Response> handle(Request request)
    {
        auto path = pathOf(std::string(request.target()));
        if (path.rfind("/keys/", 0) == 0)
            co_return co_await handleKeyRequest(std::move(request), path.substr(6));
        if (path == "/orders")
            co_return handleOrder(request.body());
        if (path == "/executions")
            co_return listExecutions();
        if (path == "/health" || path == "/load")
            co_return makeResponse(200, health().dump());
        if (path == "/drain") {
            m_draining = true;
            co_return makeResponse(200, "{}");
        }
        if (path.rfind("/cancel/", 0) == 0) {
            m_cancelled.insert(path.substr(8));
            co_return makeResponse(200, "{}");
        }
        if (path == "/faults")
            co_return setFaults(request.body());
        co_return makeResponse(404, "{}");
    }

    /// Reports that the server drains, so that the controller moves its items to other servers. Returns once no grant
    /// is held and no request waits or runs.
    asio::awaitable<void> drain()
    {
        m_draining = true;
        while (!m_grants.isEmpty(monotonicNow()) || m_running > 0 || m_waiting > 0)
            co_await sleep(std::chrono::milliseconds(10));
        co_await sleep(lingerAfterDrain);
    }

    /// Sets for how long after its start the server is slower.
    void setColdTime(Duration duration) { m_coldTime = duration; }

    /// Appends each execution to a file, so that the record survives when the process is killed.
    void openRecord(const std::string& path) { m_record.open(path, std::ios::app); }

    /// Executes requests for all keys without grants. Benchmarks use it to measure servers without the router.
    void ownAllKeys() { m_ownsAllKeys = true; }

private:
    GrantTable::Options tableOptions(bool checksFences)
    {
        GrantTable::Options options;
        auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        options.incarnation
            = static_cast<Incarnation>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
        options.checksFences = checksFences;
        options.isBusy = [this](const Item& item) { return m_pendingByItem.contains(item); };
        return options;
    }

    Response handleOrder(const std::string& body)
    {
        auto order = decodeOrder(body);
        if (!order)
            return makeResponse(400, Json { { "message", order.error().message } }.dump());
        auto answer = m_grants.handle(*order, monotonicNow());
        answer.draining = m_draining;
        answer.load = load();
        return makeResponse(200, encodeAnswer(answer));
    }

    bool isCold() const { return monotonicNow() < m_started + m_coldTime; }

    double load() const
    {
        return m_faults.reportedLoad >= 0 ? m_faults.reportedLoad : static_cast<double>(m_running) / m_slots;
    }

    Json health() const
    {
        return { { "server", m_name }, { "load", load() }, { "draining", m_draining }, { "waiting", m_waiting },
            { "executions", m_executions.size() } };
    }

    static Response refusal(unsigned status, ResultCode code, const std::string& requestId)
    {
        auto response = makeResponse(status, "{\"name\":\"" + std::string(nameOf(code)) + "\"}");
        response.set("X-Request-Id", requestId);
        response.set("X-Outcome", "notRun");
        response.set("X-Code", std::to_string(static_cast<int>(code)));
        return response;
    }

    asio::awaitable<Response> handleKeyRequest(Request request, std::string path)
    {
        auto requestId = headerOf(request, "X-Request-Id");
        auto slash = path.find('/');
        Item item { path.substr(0, slash), 0, "" };
        auto key = slash == std::string::npos ? "" : percentDecode(path.substr(slash + 1));
        item.partition
            = static_cast<std::uint32_t>(std::strtoul(headerOf(request, "X-Partition").c_str(), nullptr, 10));
        item.key = headerOf(request, "X-Hot").empty() ? "" : key;
        auto remaining = std::strtoull(headerOf(request, "X-Deadline-Us").c_str(), nullptr, 10);
        auto deadline = monotonicNow() + Duration(remaining ? static_cast<Duration::rep>(remaining) : 60'000'000);
        if (!m_ownsAllKeys && !m_grants.mayRun(item, monotonicNow()))
            co_return refusal(409, ResultCode::notHeld, requestId);
        if (m_faults.shed || m_waiting >= m_maxWaiting)
            co_return refusal(503, ResultCode::queueFull, requestId);
        auto fence = m_grants.fenceOf(item);
        ++m_pendingByItem[item];
        auto response = co_await runInSlot(request, item, key, fence, deadline);
        if (--m_pendingByItem[item] == 0)
            m_pendingByItem.erase(item);
        co_return response;
    }

    asio::awaitable<Response> runInSlot(
        const Request& request, const Item& item, std::string key, Fence fence, TimePoint deadline)
    {
        auto requestId = headerOf(request, "X-Request-Id");
        ++m_waiting;
        while (m_running >= m_slots && monotonicNow() < deadline)
            co_await sleep(std::chrono::microseconds(200));
        --m_waiting;
        if (monotonicNow() >= deadline)
            co_return refusal(504, ResultCode::deadlineExceeded, requestId);
        ++m_running;
        if (m_faults.serviceTimeUs)
            co_await sleep(std::chrono::microseconds(m_faults.serviceTimeUs) * (isCold() ? coldServiceTimeFactor : 1));
        --m_running;
        // The grant must have been valid for the whole execution; otherwise the request has no effect and is refused.
        bool stillHeld = m_ownsAllKeys || (monotonicNow() < m_grants.expiry() && m_grants.fenceOf(item) == fence);
        if (!stillHeld)
            co_return refusal(409, ResultCode::notHeld, requestId);
        if (m_cancelled.erase(requestId))
            co_return refusal(409, ResultCode::deadlineExceeded, requestId);
        if (m_record.is_open())
            m_record << requestId << ' ' << key << ' ' << request.method_string() << ' ' << m_name << ' ' << fence.epoch
                     << ' ' << fence.sequence << ' ' << monotonicNow().time_since_epoch().count() << std::endl;
        m_executions.push_back(
            { requestId, key, std::string(request.method_string()), fence, headerOf(request, "Idempotency-Key") });
        co_return co_await respond(request, requestId, key, fence);
    }

    asio::awaitable<Response> respond(
        const Request& request, std::string requestId, const std::string& key, Fence fence)
    {
        if (m_faults.dropAnswers) {
            --m_faults.dropAnswers;
            co_await sleep(std::chrono::seconds(3));
        }
        Json body { { "server", m_name }, { "key", key }, { "requestId", requestId }, { "echo", request.body() } };
        auto response = makeResponse(200, body.dump());
        if (m_faults.crossAnswers) {
            --m_faults.crossAnswers;
            requestId = "another-request";
        }
        response.set("X-Request-Id", requestId);
        response.set("X-Outcome", "ran");
        response.set("X-Fence", std::to_string(fence.epoch) + "." + std::to_string(fence.sequence));
        if (m_faults.truncateAnswers) {
            --m_faults.truncateAnswers;
            response.content_length(response.body().size() + 10);
            response.keep_alive(false);
        }
        co_return response;
    }

    Response listExecutions() const
    {
        Json list = Json::array();
        for (const auto& it : m_executions)
            list.push_back({ { "requestId", it.requestId }, { "key", it.key }, { "method", it.method },
                { "fence", std::to_string(it.fence.epoch) + "." + std::to_string(it.fence.sequence) },
                { "idempotencyKey", it.idempotencyKey } });
        return makeResponse(200, list.dump());
    }

    Response setFaults(const std::string& body)
    {
        auto document = Json::parse(body, nullptr, false);
        if (!document.is_object())
            return makeResponse(400, "{}");
        m_faults.serviceTimeUs = document.value("serviceTimeUs", m_faults.serviceTimeUs);
        m_faults.truncateAnswers = document.value("truncateAnswers", m_faults.truncateAnswers);
        m_faults.crossAnswers = document.value("crossAnswers", m_faults.crossAnswers);
        m_faults.dropAnswers = document.value("dropAnswers", m_faults.dropAnswers);
        m_faults.shed = document.value("shed", m_faults.shed);
        m_faults.reportedLoad = document.value("reportedLoad", m_faults.reportedLoad);
        return makeResponse(200, "{}");
    }

    asio::awaitable<void> sleep(std::chrono::microseconds duration)
    {
        asio::steady_timer timer(m_context, duration);
        co_await timer.async_wait(asio::use_awaitable);
    }

    asio::io_context& m_context;
    std::string m_name;
    std::uint32_t m_slots;
    std::uint32_t m_maxWaiting;
    GrantTable m_grants;
    Faults m_faults;
    std::map<Item, std::uint32_t> m_pendingByItem; ///< Number of requests that wait or run.
    std::set<std::string> m_cancelled;
    std::vector<Execution> m_executions;
    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;
    bool m_draining = false;
    bool m_ownsAllKeys = false;
    TimePoint m_started = monotonicNow();
    Duration m_coldTime { 0 };
    std::ofstream m_record;
};

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "Stand-in for an upstream server that owns keys" };
    std::string listen = "127.0.0.1:9001";
    std::string name = "server";
    std::uint32_t slots = 2;
    std::uint32_t maxWaiting = 256;
    std::uint64_t serviceTimeUs = 0;
    bool ignoresFences = false;
    bool ownsAllKeys = false;
    std::string record;
    std::uint64_t coldMs = 0;
    app.add_option("--listen", listen, "IP:PORT to listen on");
    app.add_option("--name", name, "Name in responses");
    app.add_option("--slots", slots, "Requests that run at once")->check(CLI::Range(1, 1024));
    app.add_option("--max-waiting", maxWaiting, "Requests that may wait for a slot; further ones are refused");
    app.add_option("--service-time-us", serviceTimeUs, "Execution time of a request, in microseconds");
    app.add_option("--cold-ms", coldMs, "Time after the start in which a request takes four times as long");
    app.add_option("--record", record, "File to which each execution is appended");
    app.add_flag("--owns-all", ownsAllKeys, "Execute requests for all keys without grants, for baselines");
    app.add_flag("--ignore-fences", ignoresFences, "Accept orders of any epoch and fence");
    CLI11_PARSE(app, argc, argv);

    asio::io_context context(1);
    Server server(context, name, slots, maxWaiting, !ignoresFences);
    server.setColdTime(std::chrono::milliseconds(coldMs));
    if (!record.empty())
        server.openRecord(record);
    if (ownsAllKeys)
        server.ownAllKeys();
    if (serviceTimeUs) {
        Request request = makeRequest(http::verb::post, "/faults", Json { { "serviceTimeUs", serviceTimeUs } }.dump());
        asio::co_spawn(context, server.handle(std::move(request)), asio::detached);
    }
    HttpServer::Options options;
    options.address = listen;
    options.handler = [&](Request request) { return server.handle(std::move(request)); };
    auto http = HttpServer::create(context, options);
    if (!http) {
        std::cerr << http.error().message << '\n';
        return 1;
    }
    (*http)->start();
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait(
        [&](auto, auto) { asio::co_spawn(context, server.drain(), [&](std::exception_ptr) { context.stop(); }); });
    context.run();
    return 0;
}
