#include "daemon/egress.hpp"

#include "daemon/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace acaciagauge::daemon {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

    constexpr auto cancelTimeout = std::chrono::milliseconds(200);

} // namespace

Egress::Egress(asio::io_context& context, const Settings& settings, Metrics& metrics, Tracer& tracer, Hooks hooks)
    : m_context(context)
    , m_settings(settings)
    , m_metrics(metrics)
    , m_tracer(tracer)
    , m_hooks(std::move(hooks))
    , m_client(net::HttpClient::create(context, {}))
{
}

Egress::ServerEntry& Egress::entryOf(const ServerId& server, const ServerSpec& spec)
{
    auto it = m_servers.find(server);
    if (it != m_servers.end())
        return it->second;
    ServerQueue::Options options;
    options.slots = spec.slots;
    options.maxWaiting = m_settings.maxWaiting;
    options.coldStart = m_settings.coldStart;
    return m_servers.emplace(server, ServerEntry { ServerQueue::create(options, monotonicNow()), {} }).first->second;
}

awaitable<ForwardReply> Egress::run(ForwardRequest request)
{
    auto deadline = monotonicNow() + request.remaining;
    auto routes = m_hooks.routes();
    auto route = routes->find(request.service, request.key, request.method);
    if (m_closed)
        co_return replyWithout(
            request.requestId, Outcome::notRun, ResultCode::instanceLeaving, "this instance is leaving");
    if (!route)
        co_return replyWithout(request.requestId, Outcome::notRun, route.error().code, route.error().message);
    const auto* spec = routes->server(request.server);
    if (!spec)
        co_return replyWithout(
            request.requestId, Outcome::notRun, ResultCode::noOwner, "server " + request.server + " is not known here");
    // The ingress may know a newer owner than this instance does: the server itself refuses what it does not hold.
    Route target = *route;
    target.server = request.server;
    target.spec = spec;
    auto& entry = entryOf(request.server, *spec);
    ++m_inFlight;
    auto verdict = co_await admit(request.server, entry, request, deadline);
    ForwardReply reply;
    if (verdict != ResultCode::ok) {
        reply
            = replyWithout(request.requestId, Outcome::notRun, verdict, "the server's queue did not admit the request");
    } else {
        auto started = monotonicNow();
        reply = co_await carry(request, target, deadline);
        bool shed = reply.code == ResultCode::queueFull;
        entry.queue.finished(monotonicNow() - started, shed, monotonicNow());
        wakeNext(request.server, entry);
    }
    --m_inFlight;
    co_return reply;
}

awaitable<ResultCode> Egress::admit(
    const ServerId& server, ServerEntry& entry, const ForwardRequest& request, TimePoint deadline)
{
    auto id = ++m_lastId;
    auto priority = request.idempotent ? Priority::idempotent : Priority::nonIdempotent;
    auto verdict = entry.queue.offer(id, priority, deadline, monotonicNow());
    m_metrics.setQueue(server, entry.queue.waiting(), entry.queue.inFlight());
    if (verdict == ServerQueue::Verdict::start)
        co_return ResultCode::ok;
    if (verdict == ServerQueue::Verdict::refuse)
        co_return ResultCode::queueFull;
    auto waiter = std::make_shared<Waiter>(m_context);
    entry.waiters[id] = waiter;
    waiter->timer.expires_at(std::chrono::steady_clock::time_point(deadline));
    boost::system::error_code ec;
    co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    entry.waiters.erase(id);
    if (waiter->verdict)
        co_return *waiter->verdict;
    entry.queue.withdraw(id);
    co_return ResultCode::deadlineExceeded;
}

void Egress::wakeNext(const ServerId& server, ServerEntry& entry)
{
    for (const auto& it : entry.queue.dequeue(monotonicNow())) {
        auto waiter = entry.waiters.find(it.id);
        if (waiter == entry.waiters.end())
            continue;
        waiter->second->verdict = it.code;
        waiter->second->timer.cancel();
    }
    m_metrics.setQueue(server, entry.queue.waiting(), entry.queue.inFlight());
}

net::Request Egress::buildRequest(
    const ForwardRequest& request, const Route& route, TimePoint deadline, const TraceContext& trace) const
{
    auto target = "/keys/" + net::percentEncode(request.service) + "/" + net::percentEncode(request.key);
    auto out = net::makeRequest(net::http::verb::get, target, request.body);
    out.method_string(request.method);
    out.prepare_payload();
    out.set("X-Request-Id", request.requestId);
    out.set("X-Partition", std::to_string(route.item.partition));
    if (!route.item.key.empty())
        out.set("X-Hot", "1");
    out.set("X-Deadline-Us", std::to_string(std::max<Duration::rep>((deadline - monotonicNow()).count(), 1)));
    out.set("traceparent", trace.header());
    if (!request.idempotencyKey.empty())
        out.set("Idempotency-Key", request.idempotencyKey);
    if (!request.contentType.empty())
        out.set(net::http::field::content_type, request.contentType);
    return out;
}

awaitable<ForwardReply> Egress::carry(const ForwardRequest& request, const Route& route, TimePoint deadline)
{
    auto parent = parseTraceparent(request.traceparent);
    Span span;
    span.context = m_tracer.startSpan(parent);
    span.parentSpanId = parent.spanId;
    span.name = "egress";
    span.requestId = request.requestId;
    span.start = std::chrono::system_clock::now();
    auto remaining = deadline - monotonicNow();
    if (remaining <= Duration::zero())
        co_return replyWithout(
            request.requestId, Outcome::notRun, ResultCode::deadlineExceeded, "the deadline has passed");
    auto address = route.spec->address;
    net::HttpClient::ExchangeOptions options;
    options.timeout = remaining;
    // A late copy of a refusal could not be told from the response to the retry, which has the same id.
    options.mayReuse = [](const net::Response& response) { return net::headerOf(response, "X-Outcome") == "ran"; };
    auto exchange = co_await m_client->exchange(
        address, buildRequest(request, route, deadline, span.context), std::move(options));
    if (exchange.state == net::ExchangeState::timedOut)
        cancelAtServer(address, request.requestId);
    auto reply = classify(request, address, std::move(exchange));
    span.end = std::chrono::system_clock::now();
    span.code = reply.code;
    m_tracer.finishSpan(std::move(span));
    co_return reply;
}

ForwardReply Egress::classify(const ForwardRequest& request, const std::string& address, net::Exchange exchange)
{
    using net::ExchangeState;
    if (exchange.state == ExchangeState::connectionRefused || exchange.state == ExchangeState::notSent)
        return replyWithout(request.requestId, Outcome::notRun, ResultCode::ownerUnreachable, exchange.error);
    if (exchange.state == ExchangeState::timedOut)
        return replyWithout(request.requestId, Outcome::unknown, ResultCode::deadlineExceeded, exchange.error);
    if (exchange.state == ExchangeState::incomplete)
        return replyWithout(request.requestId, Outcome::unknown, ResultCode::answerTruncated, exchange.error);
    auto& response = exchange.response;
    if (net::headerOf(response, "X-Request-Id") != request.requestId) {
        // The connection carries somebody else's answer; nothing on it can be trusted.
        m_client->closeIdleConnections(address);
        return replyWithout(
            request.requestId, Outcome::unknown, ResultCode::outcomeUnknown, "the answer belongs to another request");
    }
    auto outcome = net::headerOf(response, "X-Outcome");
    if (outcome == "notRun") {
        auto code = static_cast<ResultCode>(std::atoi(net::headerOf(response, "X-Code").c_str()));
        return replyWithout(request.requestId, Outcome::notRun,
            code == ResultCode::ok ? ResultCode::refusedByServer : code, "the server did not run it");
    }
    if (outcome != "ran")
        return replyWithout(
            request.requestId, Outcome::unknown, ResultCode::outcomeUnknown, "the server does not say whether it ran");
    ForwardReply reply;
    reply.requestId = request.requestId;
    reply.outcome = Outcome::ran;
    reply.code = ResultCode::ok;
    reply.status = response.result_int();
    reply.contentType = std::string(response[net::http::field::content_type]);
    reply.body = std::move(response.body());
    return reply;
}

void Egress::cancelAtServer(const std::string& address, const std::string& requestId)
{
    auto cancel = [](std::shared_ptr<net::HttpClient> client, std::string to, std::string id) -> awaitable<void> {
        auto request = net::makeRequest(net::http::verb::post, "/cancel/" + net::percentEncode(id));
        co_await client->exchange(to, std::move(request), cancelTimeout);
    };
    asio::co_spawn(m_context, cancel(m_client, address, requestId), asio::detached);
}

} // namespace acaciagauge::daemon
