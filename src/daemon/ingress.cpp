#include "daemon/ingress.hpp"

#include "daemon/async.hpp"
#include "daemon/log.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace acaciagauge::daemon {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

    constexpr long maxDeadlineMs = 600'000;

    std::string_view nameOf(Outcome outcome)
    {
        switch (outcome) {
        case Outcome::ran:
            return "ran";
        case Outcome::notRun:
            return "notRun";
        case Outcome::unknown:
            return "unknown";
        }
        return "unknown";
    }

    unsigned statusOf(const ForwardReply& reply)
    {
        if (reply.outcome == Outcome::ran)
            return reply.status;
        switch (reply.code) {
        case ResultCode::malformedRequest:
            return 400;
        case ResultCode::unknownService:
            return 404;
        case ResultCode::deadlineExceeded:
            return 504;
        default:
            return reply.outcome == Outcome::notRun ? 503 : 502;
        }
    }

    net::Response toResponse(ForwardReply reply)
    {
        auto status = statusOf(reply);
        if (reply.outcome != Outcome::ran) {
            reply.contentType = "application/json";
            nlohmann::json body { { "code", static_cast<int>(reply.code) }, { "name", acaciagauge::nameOf(reply.code) },
                { "outcome", nameOf(reply.outcome) }, { "message", reply.message } };
            reply.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        }
        auto response = net::makeResponse(status, std::move(reply.body), reply.contentType);
        response.set("X-Request-Id", reply.requestId);
        response.set("X-Acaciagauge-Outcome",
            boost::beast::string_view(nameOf(reply.outcome).data(), nameOf(reply.outcome).size()));
        response.set("X-Acaciagauge-Code", std::to_string(static_cast<int>(reply.code)));
        return response;
    }

} // namespace

Ingress::Ingress(asio::io_context& context, const Settings& settings, Directory& directory, Egress& egress,
    Metrics& metrics, Tracer& tracer, Hooks hooks)
    : m_context(context)
    , m_settings(settings)
    , m_directory(directory)
    , m_egress(egress)
    , m_metrics(metrics)
    , m_tracer(tracer)
    , m_hooks(std::move(hooks))
    , m_budget(RetryBudget::create({}))
{
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    m_requestPrefix = settings.instance + "-"
        + std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count()) + "-";
}

std::string Ingress::newRequestId()
{
    return m_requestPrefix + std::to_string(++m_lastRequest);
}

Result<ForwardRequest> Ingress::read(net::Request& request)
{
    auto path = net::pathOf(std::string(request.target()));
    auto slash = path.find('/', 1);
    if (path.empty() || path[0] != '/' || slash == std::string::npos || slash + 1 >= path.size())
        return failure(ResultCode::malformedRequest, "the target must be /SERVICE/KEY");
    ForwardRequest forward;
    forward.service = net::percentDecode(path.substr(1, slash - 1));
    forward.key = net::percentDecode(path.substr(slash + 1));
    forward.method = std::string(request.method_string());
    forward.contentType = std::string(request[net::http::field::content_type]);
    forward.idempotencyKey = net::headerOf(request, "Idempotency-Key");
    forward.remaining = m_settings.defaultDeadline;
    auto deadline = net::headerOf(request, "X-Deadline-Ms");
    if (!deadline.empty()) {
        long ms = 0;
        auto parsed = std::from_chars(deadline.data(), deadline.data() + deadline.size(), ms);
        bool isNumber = parsed.ec == std::errc {} && parsed.ptr == deadline.data() + deadline.size();
        if (!isNumber || ms < 1 || ms > maxDeadlineMs)
            return failure(
                ResultCode::malformedRequest, "X-Deadline-Ms must be from 1 to 600000, found \"" + deadline + "\"");
        forward.remaining = std::chrono::milliseconds(ms);
    }
    forward.body = std::move(request.body());
    return forward;
}

awaitable<net::Response> Ingress::handle(net::Request request)
{
    auto started = monotonicNow();
    auto parent = parseTraceparent(net::headerOf(request, "traceparent"));
    Span span;
    span.context = m_tracer.startSpan(parent);
    span.parentSpanId = parent.spanId;
    span.name = "ingress";
    span.start = std::chrono::system_clock::now();
    span.requestId = newRequestId();
    auto forward = read(request);
    ForwardReply reply;
    if (forward) {
        forward->requestId = span.requestId;
        forward->traceparent = span.context.header();
        reply = co_await route(*forward, started + forward->remaining);
    } else {
        reply = replyWithout(span.requestId, Outcome::notRun, forward.error().code, forward.error().message);
    }
    reply.requestId = span.requestId;
    if (reply.outcome == Outcome::unknown)
        logEvent(LogLevel::warn, LogEvent::requestUnknownOutcome,
            { { "request", span.requestId }, { "message", reply.message } });
    m_metrics.countRequest(reply.outcome, monotonicNow() - started);
    span.end = std::chrono::system_clock::now();
    span.code = reply.code;
    m_tracer.finishSpan(std::move(span));
    co_return toResponse(std::move(reply));
}

awaitable<ForwardReply> Ingress::route(ForwardRequest& request, TimePoint deadline)
{
    m_budget.countRequest();
    Attempt attempt;
    while (true) {
        auto reply = co_await tryOnce(request, deadline);
        attempt.outcome = reply.outcome;
        attempt.code = reply.code;
        attempt.idempotent = request.idempotent;
        attempt.remaining = deadline - monotonicNow();
        auto wait = retryDelay(attempt, m_budget);
        if (!wait)
            co_return reply;
        ++attempt.number;
        m_metrics.countRetry();
        co_await sleepFor(m_context, *wait);
    }
}

awaitable<ForwardReply> Ingress::tryOnce(ForwardRequest& request, TimePoint deadline)
{
    auto now = monotonicNow();
    auto route = m_hooks.routes()->find(request.service, request.key, request.method);
    if (!route)
        co_return replyWithout(request.requestId, Outcome::notRun, route.error().code, route.error().message);
    request.server = route->server;
    request.idempotent = route->isIdempotentMethod;
    request.remaining = deadline - now;
    auto egress = m_directory.egressFor(route->server, route->spec->domain, now);
    if (!egress)
        co_return replyWithout(request.requestId, Outcome::notRun, ResultCode::peerUnreachable,
            "no instance is known in domain " + route->spec->domain);
    if (egress->id == m_directory.self().id)
        co_return co_await m_egress.run(request);
    auto start = [&](std::function<void(ForwardReply)> done) {
        m_hooks.rpc().forward(egress->rpcAddress, request, std::move(done));
    };
    auto reply = co_await awaitCallback<ForwardReply>(m_context, start);
    if (reply.code == ResultCode::peerUnreachable || reply.code == ResultCode::outcomeUnknown)
        m_directory.suspect(egress->rpcAddress, monotonicNow());
    // An answer is matched by its id; anything else is as good as lost.
    if (reply.requestId != request.requestId)
        co_return replyWithout(
            request.requestId, Outcome::unknown, ResultCode::outcomeUnknown, "the answer belongs to another request");
    co_return reply;
}

} // namespace acaciagauge::daemon
