#include "entry/request_forwarder.hpp"

#include "daemon/async.hpp"
#include "daemon/log.hpp"

#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>

namespace acaciagauge::entry {

namespace asio = boost::asio;
using asio::awaitable;
using daemon::logEvent;
using daemon::LogEvent;
using daemon::LogLevel;
using net::headerOf;
namespace http = net::http;

namespace {

    /// Timeout of a connection attempt: allows for ten round trips between failure domains, and for a busy machine.
    constexpr auto connectTimeout = std::chrono::milliseconds(400);

    /// How long a request waits for its key to get a new owner; most planned moves take less.
    constexpr auto maxOwnerWait = std::chrono::milliseconds(300);

    /// If an owner began to leave longer ago than this, its grants are left to expire, and its keys get no new owner
    /// soon.
    constexpr auto maxHandoverTime = std::chrono::milliseconds(2500);

    /// Wait before a request is sent again that a server rejected because it doesn't own the key; the wait ends earlier
    /// if the catalog changes.
    constexpr auto wrongOwnerRetryDelay = std::chrono::milliseconds(60);

    /// Retry-After for callers whose key has no owner, or whose owner does not respond.
    constexpr auto ownerRetryAfter = std::chrono::milliseconds(700);

    /// Retry-After of an instance that has no desired state yet.
    constexpr auto noDesiredStateRetryAfter = std::chrono::milliseconds(500);

    /// A connection is closed if sent bytes stay unacknowledged for this long, which allows for a few retransmissions.
    constexpr auto unacknowledgedTimeout = std::chrono::milliseconds(1000);

    /// A new connection is first used after this time, so that a server at its connection limit can close it before a
    /// request is sent: a round trip between failure domains, and the time that a server takes to accept.
    constexpr auto firstUseDelay = std::chrono::milliseconds(5);

    /// Upper bound of the time for which a server may ask for no requests.
    constexpr auto maxServerPause = std::chrono::hours(1);

    /// Subtracted from the caller's deadline for the response's way back.
    constexpr auto responseMargin = std::chrono::milliseconds(25);

    /// A request waits for its admission until its target, at least for the minimum, and no longer than for this part
    /// of the time to its deadline: the rest is for its execution, and for another try of its caller.
    constexpr double waitPartOfDeadline = 0.5;
    constexpr auto minAdmissionWait = std::chrono::milliseconds(300);

    /// Cold servers that a request may be refused by before it waits for one: each costs a call to another instance.
    constexpr unsigned maxRefusedPermits = 3;

    /// Idle connections kept per server; a server works on few requests at once.
    constexpr std::size_t maxIdlePerServer = 6;

    bool isHopByHop(std::string_view name)
    {
        static const std::set<std::string, std::less<>> names { "connection", "keep-alive", "proxy-authenticate",
            "proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect",
            "content-length" };
        std::string lower(name);
        std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return std::tolower(c); });
        return names.contains(lower);
    }

    std::optional<long> parseNumber(const std::string& text)
    {
        long number = 0;
        auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
        bool isNumber = !text.empty() && parsed.ec == std::errc {} && parsed.ptr == text.data() + text.size();
        return isNumber ? std::optional(number) : std::nullopt;
    }

    /// Returns true if the server received the request, whether or not it ran it; such sends draw on the retry budget.
    bool isArrival(SendOutcome outcome)
    {
        return outcome != SendOutcome::notSent && outcome != SendOutcome::connectionRejected;
    }

    std::string millisText(Duration duration)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    }

    std::string secondsText(Duration duration)
    {
        char text[32];
        std::snprintf(text, sizeof(text), "%.2f", std::chrono::duration<double>(duration).count());
        return text;
    }

} // namespace

RequestForwarder::RequestForwarder(
    asio::io_context& context, Options options, ports::RequestDialect dialect, Catalog& catalog, Hooks hooks)
    : m_context(context)
    , m_options(std::move(options))
    , m_dialect(std::move(dialect))
    , m_catalog(catalog)
    , m_hooks(std::move(hooks))
    , m_upstreams(context, m_options.domain, catalog)
    , m_serviceSelector(WeightedRoundRobin::create())
    , m_retries(RetryShare::create(m_options.retries))
{
    net::HttpClient::Options clientOptions;
    clientOptions.maxIdlePerAddress = maxIdlePerServer;
    clientOptions.maxIdleConnections = m_options.maxIdleConnections;
    clientOptions.bodyLimit = net::maxAdminBodyBytes;
    clientOptions.acceptCloseDelimited = true;
    clientOptions.budget = m_options.budget;
    clientOptions.tcpUserTimeout = unacknowledgedTimeout;
    clientOptions.rejectionWindow = firstUseDelay;
    m_client = net::HttpClient::create(context, clientOptions);
}

std::size_t RequestForwarder::instanceCount() const
{
    return std::max<std::size_t>(1, m_catalog.members().size());
}

net::Response RequestForwarder::makeErrorResponse(
    const PendingRequest& pending, unsigned status, ResultCode code, const std::string& message) const
{
    nlohmann::json body { { "code", static_cast<int>(code) }, { "name", nameOf(code) }, { "message", message } };
    auto response = net::makeResponse(status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    if (!pending.id.empty())
        response.set(m_dialect.requestId, pending.id);
    return response;
}

net::Response RequestForwarder::respondNotRun(PendingRequest& pending, Duration retryAfter)
{
    // Another instance may still serve the request.
    if (m_shutdown && monotonicNow() >= m_shutdown->end) {
        pending.cause = "this instance is shutting down";
        retryAfter = Duration::zero();
    }
    auto response = makeErrorResponse(pending, 503, ResultCode::noOwner, pending.cause);
    response.set(http::field::retry_after, secondsText(retryAfter));
    m_hooks.metrics->countRequest(Outcome::notRun, monotonicNow() - pending.started);
    logOutcome(pending, response, "notRun");
    return response;
}

net::Response RequestForwarder::respondUnknown(PendingRequest& pending, bool timedOut)
{
    auto response = timedOut ? makeErrorResponse(pending, 504, ResultCode::deadlineExceeded, pending.cause)
                             : makeErrorResponse(pending, 502, ResultCode::outcomeUnknown, pending.cause);
    m_hooks.metrics->countRequest(Outcome::unknown, monotonicNow() - pending.started);
    logOutcome(pending, response, "unknown");
    return response;
}

void RequestForwarder::logOutcome(
    const PendingRequest& pending, const net::Response& response, std::string_view outcome) const
{
    bool isRefused = outcome == "notRun";
    bool isAnswered = outcome == "ran";
    auto event = isAnswered ? LogEvent::requestDone : isRefused ? LogEvent::requestRefused : LogEvent::requestFailed;
    logEvent(isAnswered ? LogLevel::info : LogLevel::warn, event,
        { { "request", pending.id }, { "route", pending.routeName }, { "version", std::to_string(pending.version) },
            { "service", pending.service }, { "key", pending.key ? std::to_string(*pending.key) : "" },
            { "server", pending.lastServer }, { "arrivals", std::to_string(pending.history.arrivals) },
            { "ms", millisText(monotonicNow() - pending.started) }, { "status", std::to_string(response.result_int()) },
            { "outcome", std::string(outcome) }, { "cause", pending.cause },
            { "revision", std::to_string(m_catalog.mirror().revision()) } });
}

awaitable<net::Response> RequestForwarder::handle(
    net::Request request, std::shared_ptr<net::Cancellation> cancellation, std::shared_ptr<net::StoredBody> body)
{
    ++m_inFlight;
    PendingRequest pending;
    pending.started = monotonicNow();
    pending.id = headerOf(request, m_dialect.requestId);
    pending.cancellation = std::move(cancellation);
    auto host = headerOf(request, "Host");
    auto path = net::pathOf(std::string(request.target()));
    pending.request = std::move(request);
    pending.body = std::move(body);
    auto response = co_await route(pending, host, path);
    --m_inFlight;
    co_return response;
}

awaitable<net::Response> RequestForwarder::route(
    PendingRequest& pending, const std::string& host, const std::string& path)
{
    auto state = m_catalog.desiredState();
    if (!state) {
        pending.cause = "this instance has not read the desired state yet";
        co_return respondNotRun(pending, noDesiredStateRetryAfter);
    }
    const auto* routeConfig = state->match(host, path);
    pending.version = state->version();
    if (!routeConfig) {
        pending.cause = "no route matches host \"" + host + "\" and the path";
        auto response = makeErrorResponse(pending, 404, ResultCode::notFound, pending.cause);
        logOutcome(pending, response, "notRun");
        co_return response;
    }
    auto deadlineText = headerOf(pending.request, m_dialect.deadlineMs);
    auto deadline = parseNumber(deadlineText);
    auto timeout = deadline && *deadline > 0 ? std::chrono::milliseconds(*deadline) : m_options.defaultDeadline;
    if (routeConfig->timeout.count() > 0)
        timeout = std::min(timeout, routeConfig->timeout);
    pending.routeName = routeConfig->name;
    pending.priority = routeConfig->priority;
    pending.hasLargeResponse = routeConfig->hasLargeResponses;
    pending.deadline = pending.started + timeout - responseMargin;
    pending.latencyTarget = pending.started + routeConfig->targetLatency;
    pending.service = m_serviceSelector.next(*routeConfig).service;
    pending.history.idempotent = routeConfig->idempotent;
    pending.history.maxAttempts = std::max(1U, routeConfig->maxAttempts);
    const auto* service = state->service(pending.service);
    if (service && service->isSharded) {
        auto key = parseNumber(headerOf(pending.request, m_dialect.keyNumber));
        if (!key || *key < 0 || *key > static_cast<long>(lastKey)) {
            pending.cause = "the service requires a key from 0 to 65535 in a header";
            auto response = makeErrorResponse(pending, 400, ResultCode::malformedRequest, pending.cause);
            logOutcome(pending, response, "notRun");
            co_return response;
        }
        pending.key = static_cast<KeyNumber>(*key);
        pending.history.hasKey = true;
        m_hooks.countKey(pending.service, *pending.key);
    }
    if (m_shutdown && !m_shutdown->mayTake(pending.deadline, pending.started)) {
        pending.cause = "this instance is shutting down";
        co_return respondNotRun(pending, Duration::zero());
    }
    m_retries.countRequest(pending.service, pending.started);
    co_return co_await forward(pending);
}

void RequestForwarder::endShutdown()
{
    m_upstreams.refuseWaiting();
    if (m_hooks.admission)
        m_hooks.admission->refuseWaiting();
    m_shutdownEnd->cancel();
}

// With a later deadline, a server could still hold the request in its queue when this instance has to answer it.
TimePoint RequestForwarder::serverDeadline(const PendingRequest& pending) const
{
    return m_shutdown ? m_shutdown->limitDeadline(pending.deadline) : pending.deadline;
}

awaitable<void> RequestForwarder::sleepUntilShutdownEnds(Duration time)
{
    if (m_shutdownEnd->isCancelled())
        co_return;
    asio::steady_timer timer(m_context, time);
    auto registered = m_shutdownEnd->add([&timer] { timer.cancel(); });
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    m_shutdownEnd->remove(registered);
}

const KnownServer* RequestForwarder::ownerOf(
    const PendingRequest& pending, std::string& reason, bool& mayChangeSoon) const
{
    const auto* owner = m_catalog.keys().find(pending.service, *pending.key);
    mayChangeSoon = !owner;
    if (!owner) {
        reason = "the key has no owner at present";
        return nullptr;
    }
    const auto* server = m_catalog.servers().find(owner->owner.id);
    if (!server) {
        reason = "owner " + owner->owner.id + " is not listed in the store";
        return nullptr;
    }
    if (isPastDrainWindow(*server)) {
        reason = "owner " + owner->owner.id + " is draining or gone";
        mayChangeSoon = monotonicNow() - server->leavingSince < maxHandoverTime;
        return nullptr;
    }
    if (isPastEvacuationWindow(*server)) {
        reason = "owner " + owner->owner.id + " is in an evacuated domain";
        mayChangeSoon = true;
        return nullptr;
    }
    return server;
}

bool RequestForwarder::isPastDrainWindow(const KnownServer& server) const
{
    return server.status != ServerStatus::ready && monotonicNow() - server.leavingSince > m_options.drainWindow;
}

bool RequestForwarder::isPastEvacuationWindow(const KnownServer& server) const
{
    return server.evacuatedSince && monotonicNow() - *server.evacuatedSince > m_options.evacuationWindow;
}

// The server may have left or restarted while the request waited for admission or for a connection.
bool RequestForwarder::mayBeSentTo(const ServerRun& run) const
{
    const auto* server = m_catalog.servers().find(run.id);
    return server && server->entry.run == run && !isPastDrainWindow(*server) && !isPastEvacuationWindow(*server)
        && !m_upstreams.isPaused(run.id);
}

SelectionPolicy RequestForwarder::selectionPolicy() const
{
    const auto& state = m_catalog.desiredState();
    bool isCoordinated = m_options.coordination == daemon::Coordination::automatic
        ? state && state->callsForCoordination()
        : m_options.coordination == daemon::Coordination::on;
    return isCoordinated ? SelectionPolicy::coordinated : SelectionPolicy::leastExpectedTime;
}

const KnownServer* RequestForwarder::chooseServer(const PendingRequest& pending)
{
    ServerSelector::Request request { pending.latencyTarget - monotonicNow(), pending.hasLargeResponse };
    return m_upstreams.choose(pending.service, pending.tried, selectionPolicy(), request);
}

// Returns null and sets pending.cause if no server becomes available in time.
awaitable<const KnownServer*> RequestForwarder::findServer(PendingRequest& pending)
{
    auto waitUntil = std::min(serverDeadline(pending), monotonicNow() + maxOwnerWait);
    while (true) {
        bool mayChangeSoon = true;
        const auto* server = pending.key ? ownerOf(pending, pending.cause, mayChangeSoon) : chooseServer(pending);
        if (!server && !pending.key)
            pending.cause = "service " + pending.service + " has no ready server";
        bool isUnreachable = server && pending.key && !m_upstreams.isReachable(server->entry.run);
        if (isUnreachable) {
            pending.cause = "owner " + server->entry.run.id + " is unreachable";
            co_return nullptr;
        }
        if (server || !mayChangeSoon || pending.cancellation->isCancelled())
            co_return server;
        bool isChanged = co_await m_catalog.changed().wait(std::chrono::steady_clock::time_point(waitUntil));
        if (!isChanged)
            co_return nullptr;
    }
}

awaitable<net::Response> RequestForwarder::forward(PendingRequest& pending)
{
    bool timedOut = false;
    while (true) {
        const auto* found = co_await findServer(pending);
        if (!found) {
            if (pending.history.mayHaveRun > 0)
                co_return respondUnknown(pending, false);
            co_return respondNotRun(pending, ownerRetryAfter);
        }
        // Copied, since the directory may change while this coroutine waits.
        auto admittance = co_await admit(pending, *found);
        const auto& server = admittance.server;
        bool isAnotherTried = admittance.isRateLimited && !pending.key && coldPermitsOf(server.entry.run.id)
            && ++pending.refusedPermits <= maxRefusedPermits;
        if (isAnotherTried) {
            pending.tried.insert(server.entry.run.id);
            continue;
        }
        if (!admittance.workId) {
            if (pending.history.mayHaveRun > 0)
                co_return respondUnknown(pending, !admittance.isRateLimited && monotonicNow() >= pending.deadline);
            co_return respondNotRun(pending, admittance.retryAfter);
        }
        auto result = co_await send(pending, server, *admittance.workId);
        pending.tried.insert(server.entry.run.id);
        pending.cause = result.cause;
        timedOut = result.timedOut;
        pending.history.last = result.outcome;
        pending.history.remaining = serverDeadline(pending) - monotonicNow();
        pending.history.serviceTime = m_upstreams.expectedTime(server.entry.run.id);
        auto next = decideRetry(pending.history);
        if (next == RetryDecision::answer)
            co_return relayResponse(pending, std::move(result.response));
        bool mayRetry = next != RetryDecision::giveUp && !pending.cancellation->isCancelled()
            && (!isArrival(result.outcome) || m_retries.take(pending.service, instanceCount(), monotonicNow()));
        if (!mayRetry && result.outcome == SendOutcome::failed)
            co_return relayResponse(pending, std::move(result.response));
        if (!mayRetry && pending.history.mayHaveRun > 0)
            co_return respondUnknown(pending, timedOut);
        if (!mayRetry)
            co_return respondNotRun(pending, ownerRetryAfter);
        m_hooks.metrics->countRetry();
        logEvent(LogLevel::info, LogEvent::requestRetried,
            { { "request", pending.id }, { "server", pending.lastServer }, { "cause", pending.cause },
                { "remainingMs", millisText(pending.history.remaining) } });
        if (next == RetryDecision::waitForOwner)
            co_await m_catalog.changed().waitFor(wrongOwnerRetryDelay);
    }
}

awaitable<RequestForwarder::Admittance> RequestForwarder::admit(PendingRequest& pending, KnownServer server)
{
    ConcurrencyLimiter::Work work { pending.priority, pending.latencyTarget, serverDeadline(pending) };
    pending.lastServer = server.entry.run.id;
    bool isCoordinated = m_hooks.admission && m_hooks.admission->isActive();
    std::optional<Admission::Reply> reply;
    if (isCoordinated && !pending.key)
        reply = co_await askCoordinators(pending, server, work);
    if (reply && reply->grant) {
        const auto* granted = m_catalog.servers().find(reply->grant->server);
        if (granted) {
            server = *granted;
            pending.grant = reply->grant;
        } else {
            m_hooks.admission->end(*reply->grant, {});
            reply.reset();
        }
    }
    pending.lastServer = server.entry.run.id;
    if (!reply || reply->grant) {
        auto retryAfter = co_await waitForPermit(pending, server, work);
        if (retryAfter) {
            endAdmission(pending, {}, monotonicNow());
            co_return Admittance { std::nullopt, std::move(server), *retryAfter, true };
        }
    }
    if (isCoordinated && pending.key) {
        reply = co_await askCoordinators(pending, server, work);
        if (reply)
            pending.grant = reply->grant;
    }
    if (reply && reply->grant) {
        m_upstreams.track(server);
        co_return Admittance { reply->grant->workId, std::move(server), {} };
    }
    std::optional<std::uint64_t> workId;
    if (!reply)
        workId = co_await m_upstreams.admit(server, work, pending.cancellation);
    if (workId)
        co_return Admittance { workId, std::move(server), {} };
    pending.cause = "server " + server.entry.run.id + " has no capacity in time";
    if (reply && !pending.key)
        pending.cause = "service " + pending.service + " has no capacity in time";
    auto retryAfter = reply ? reply->retryAfter : m_upstreams.expectedTime(server.entry.run.id);
    co_return Admittance { std::nullopt, std::move(server), retryAfter };
}

// Asks the server's coordinator; without a key, the one of this failure domain, then one of another domain.
awaitable<std::optional<Admission::Reply>> RequestForwarder::askCoordinators(
    PendingRequest& pending, const KnownServer& server, const ConcurrencyLimiter::Work& work)
{
    // A route without a target latency has its deadline as the target.
    auto target = work.target > pending.started ? work.target : work.deadline;
    auto callAt = [&](TimePoint now) {
        daemon::AdmissionCall call;
        call.priority = work.priority;
        call.untilTarget = std::max(Duration::zero(), target - now);
        call.untilDeadline = std::max(Duration::zero(), work.deadline - now);
        auto longest = std::chrono::duration_cast<Duration>(call.untilDeadline * waitPartOfDeadline);
        call.maxWait = std::min(longest, std::max<Duration>(minAdmissionWait, call.untilTarget));
        return call;
    };
    auto call = callAt(monotonicNow());
    if (pending.key) {
        call.subject = server.entry.run.id;
        co_return co_await m_hooks.admission->acquire(call, server.entry.domain, pending.cancellation);
    }
    std::set<DomainId> domains;
    for (const auto* it : m_catalog.readyServers(pending.service))
        domains.insert(it->entry.domain);
    auto ownDomain = domains.extract(m_options.domain);
    auto order = rendezvousOrder(pending.id, { domains.begin(), domains.end() });
    if (!ownDomain.empty())
        order.insert(order.begin(), m_options.domain);
    constexpr std::size_t maxDomainsAsked = 2;
    std::optional<Admission::Reply> reply;
    for (std::size_t n = 0; n < std::min(order.size(), maxDomainsAsked); ++n) {
        auto now = monotonicNow();
        bool canBeInTime = now + m_upstreams.expectedTime(server.entry.run.id) < target;
        if (n > 0 && (!canBeInTime || pending.cancellation->isCancelled()))
            break;
        call = callAt(now);
        call.subject = pending.service;
        call.domain = order[n];
        call.avoided = pending.tried;
        auto answer = co_await m_hooks.admission->acquire(call, order[n], pending.cancellation);
        if (!answer || answer->grant)
            co_return answer;
        if (!reply || answer->retryAfter < reply->retryAfter)
            reply = answer;
    }
    co_return reply;
}

void RequestForwarder::endAdmission(PendingRequest& pending, const SendResult& result, TimePoint sentAt)
{
    if (!pending.grant)
        return;
    AdmissionResult ended;
    auto load = m_dialect.parseLoad(headerOf(result.response, m_dialect.load));
    if (load) {
        ended.reportedLoad = load->running + load->waiting;
        ended.slowdown = load->slowdown;
    }
    ended.responseTime = monotonicNow() - sentAt;
    if (result.response.result() == http::status::service_unavailable)
        ended.retryAfter = parseRetryAfter(result.response);
    const auto* server = m_catalog.servers().find(pending.grant->server);
    bool isUnreachable = server && !m_upstreams.isReachable(server->entry.run);
    switch (result.outcome) {
    case SendOutcome::answered:
        ended.end = AdmissionEnd::ran;
        break;
    case SendOutcome::shed:
    case SendOutcome::connectionRejected:
        ended.end = AdmissionEnd::shed;
        break;
    case SendOutcome::notSent:
        ended.end = isUnreachable ? AdmissionEnd::unreachable : AdmissionEnd::notSent;
        break;
    default:
        ended.end = AdmissionEnd::other;
    }
    m_hooks.admission->end(*std::exchange(pending.grant, std::nullopt), ended);
}

std::optional<ColdPermits> RequestForwarder::coldPermitsOf(const ServerId& id) const
{
    const auto* server = m_catalog.servers().find(id);
    bool isCold = server && monotonicNow() < server->warmUntil;
    return isCold && m_hooks.coldPermits ? m_hooks.coldPermits(id) : std::nullopt;
}

// Returns nothing once the request may be sent; otherwise, when the server takes the next one.
awaitable<std::optional<Duration>> RequestForwarder::waitForPermit(
    PendingRequest& pending, const KnownServer& server, const ConcurrencyLimiter::Work& work)
{
    auto id = server.entry.run.id;
    auto perSecond = m_upstreams.rateLimit(id);
    auto cold = coldPermitsOf(id);
    if (!perSecond && !cold)
        co_return std::nullopt;
    PermitRequest request { id, perSecond.value_or(std::numeric_limits<double>::max()),
        m_upstreams.waitLimit(server, work), {}, {} };
    if (cold) {
        cold->limit(request);
        perSecond = request.perSecond;
        // A request that another server can take does not wait for a cold one.
        if (!pending.key && pending.refusedPermits < maxRefusedPermits)
            request.maxWait = Duration::zero();
    }
    auto reply = co_await m_hooks.acquirePermit(std::move(request), server.entry.domain);
    m_upstreams.noteNextPermit(id, reply.wait);
    if (!reply.isGranted) {
        pending.cause = "server " + id + " takes " + std::to_string(*perSecond) + " requests per second";
        co_return reply.wait;
    }
    if (reply.wait > Duration::zero())
        co_await sleepUntilShutdownEnds(reply.wait);
    co_return std::nullopt;
}

net::Request RequestForwarder::buildRequest(const PendingRequest& pending, const KnownServer& server) const
{
    net::Request out;
    out.version(11);
    out.method_string(pending.request.method_string());
    out.target(pending.request.target());
    for (const auto& it : pending.request) {
        auto name = it.name_string();
        if (!isHopByHop({ name.data(), name.size() }))
            out.insert(it.name_string(), it.value());
    }
    out.body() = pending.request.body();
    out.prepare_payload();
    auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(serverDeadline(pending) - monotonicNow());
    out.set(m_dialect.deadlineMs, std::to_string(std::max<std::int64_t>(remaining.count(), 1)));
    out.set(m_dialect.targetServer, server.entry.run.id);
    return out;
}

awaitable<RequestForwarder::SendResult> RequestForwarder::send(
    PendingRequest& pending, KnownServer server, std::uint64_t workId)
{
    auto sentAt = monotonicNow();
    net::HttpClient::ExchangeOptions options;
    options.timeout = pending.deadline - sentAt;
    options.connectTimeout = connectTimeout;
    options.body = pending.body;
    options.idHeader = m_dialect.requestId;
    // A non-idempotent request that was sent as a whole is not cancelled, even if the caller has disconnected.
    options.cancellation = pending.cancellation;
    options.uncancellableOnceSent = !pending.history.idempotent;
    options.abort = m_shutdownEnd;
    options.avoidedConnections = pending.connections;
    options.mayStillSend = [this, run = server.entry.run] { return mayBeSentTo(run); };
    auto request = buildRequest(pending, server);
    auto exchange = co_await m_client->exchange(server.entry.address, std::move(request), std::move(options));
    pending.connections.insert(exchange.connection);
    auto result = classify(pending, std::move(exchange));
    if (isArrival(result.outcome))
        ++pending.history.arrivals;
    if (result.outcome == SendOutcome::unknown || result.outcome == SendOutcome::failed)
        ++pending.history.mayHaveRun;
    recordSend(pending, server, workId, result, sentAt);
    endAdmission(pending, result, sentAt);
    co_return result;
}

RequestForwarder::SendResult RequestForwarder::classify(PendingRequest& pending, net::Exchange exchange) const
{
    using net::ExchangeState;
    SendResult result;
    result.response = std::move(exchange.response);
    result.lease = std::move(exchange.lease);
    result.cause = "server " + pending.lastServer + ": " + exchange.error;
    if (exchange.state == ExchangeState::connectionRefused || exchange.state == ExchangeState::notSent)
        return result;
    if (exchange.state == ExchangeState::connectionRejected) {
        result.outcome = SendOutcome::connectionRejected;
        return result;
    }
    result.outcome = SendOutcome::unknown;
    if (exchange.state != ExchangeState::answered) {
        result.timedOut = exchange.state == ExchangeState::timedOut;
        return result;
    }
    auto status = result.response.result_int();
    result.cause = "server " + pending.lastServer + " answered " + std::to_string(status);
    auto instance = headerOf(result.response, m_dialect.serverId);
    result.isReplaced = status == 421 && !instance.empty() && instance != pending.lastServer;
    bool isNotRun = status == 421 || result.response.find(m_dialect.notExecuted) != result.response.end();
    if (isNotRun) {
        result.outcome = status == 421 ? SendOutcome::misdirected : SendOutcome::shed;
        return result;
    }
    bool isEncoded = result.response.find(http::field::content_encoding) != result.response.end();
    bool isSigned = result.response.find(m_dialect.signature) != result.response.end();
    if (isEncoded || !isSigned) {
        result.cause += isEncoded ? " with a content encoding" : " without a signature";
        return result;
    }
    result.outcome = status >= 500 ? SendOutcome::failed : SendOutcome::answered;
    return result;
}

Duration RequestForwarder::parseRetryAfter(const net::Response& response) const
{
    auto seconds = m_dialect.parseDecimal(headerOf(response, m_dialect.retryAfter)).value_or(0);
    auto limited = std::min(seconds, std::chrono::duration<double>(maxServerPause).count());
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(limited));
}

void RequestForwarder::recordSend(const PendingRequest& pending, const KnownServer& server, std::uint64_t workId,
    const SendResult& result, TimePoint sentAt)
{
    ConcurrencyLimiter::Completion ended;
    auto now = monotonicNow();
    ended.responseTime = now - sentAt;
    ended.ran = result.outcome == SendOutcome::answered;
    ended.shed = result.outcome == SendOutcome::shed || result.outcome == SendOutcome::connectionRejected;
    auto load = m_dialect.parseLoad(headerOf(result.response, m_dialect.load));
    if (load)
        ended.reportedLoad = load->running + load->waiting;
    if (load)
        m_upstreams.noteSlowdown(server.entry.run.id, load->slowdown);
    if (result.response.result() == http::status::service_unavailable)
        ended.retryAfter = parseRetryAfter(result.response);
    m_upstreams.complete(server.entry.run.id, workId, ended);
    bool isStatement = isArrival(result.outcome) && result.outcome != SendOutcome::unknown && !result.isReplaced;
    auto warmupMs = m_dialect.parseDecimal(headerOf(result.response, m_dialect.warmupMs));
    if (isStatement && warmupMs)
        m_catalog.noteWarmup(server.entry.run, std::chrono::duration<double, std::milli>(*warmupMs));
    if (isStatement && headerOf(result.response, m_dialect.leaving) == "1")
        m_catalog.noteLeaving(server.entry.run, "server");
    if (isStatement)
        m_upstreams.noteRateLimit(
            server.entry.run.id, m_dialect.parseDecimal(headerOf(result.response, m_dialect.rateLimit)));
    if (result.isReplaced)
        m_upstreams.noteReplaced(server.entry.run);
    bool isUnreachable = result.outcome == SendOutcome::notSent && !pending.cancellation->isCancelled()
        && mayBeSentTo(server.entry.run);
    if (isUnreachable)
        m_upstreams.noteUnreachable(server.entry.run.id);
}

net::Response RequestForwarder::relayResponse(PendingRequest& pending, net::Response response)
{
    net::Response out;
    out.version(11);
    out.result(response.result_int());
    for (const auto& it : response) {
        auto name = it.name_string();
        bool isInternal = it.name_string() == m_dialect.load;
        if (!isInternal && !isHopByHop({ name.data(), name.size() }))
            out.insert(it.name_string(), it.value());
    }
    out.body() = std::move(response.body());
    out.prepare_payload();
    m_hooks.metrics->countRequest(Outcome::ran, monotonicNow() - pending.started);
    logOutcome(pending, out, "ran");
    return out;
}

} // namespace acaciagauge::entry
