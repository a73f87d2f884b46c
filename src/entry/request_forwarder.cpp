#include "entry/request_forwarder.hpp"

#include "daemon/async.hpp"
#include "daemon/log.hpp"

#include <charconv>
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

    /// Time for a connection to a server: ten round trips between failure domains and a busy machine.
    constexpr auto connectTimeout = std::chrono::milliseconds(400);

    /// How long a request waits for its key to get another owner; most planned moves take less.
    constexpr auto ownerPatience = std::chrono::milliseconds(300);

    /// An owner that left longer ago than this is being waited out: its keys get no new one soon.
    constexpr auto moveTime = std::chrono::milliseconds(2500);

    /// A request for a key whose owner did not know it is sent again this much later, or when the owners change.
    constexpr auto movedPause = std::chrono::milliseconds(60);

    /// Suggested to callers whose key has no owner, or whose owner does not answer.
    constexpr auto ownerRetryAfter = std::chrono::milliseconds(700);

    /// Suggested to callers of an instance that knows no desired state yet.
    constexpr auto startRetryAfter = std::chrono::milliseconds(500);

    /// Bytes that a server's machine does not acknowledge for this long are given up: a few retransmissions.
    constexpr auto tcpUserTimeout = std::chrono::milliseconds(1000);

    /// A new connection is used after this: a round trip between failure domains and what a server takes to accept.
    constexpr auto rejectionWindow = std::chrono::milliseconds(5);

    /// Taken off a caller's time, for the answer's way back.
    constexpr auto answerMargin = std::chrono::milliseconds(25);

    /// Idle connections kept for one server; it takes part in few requests at once.
    constexpr std::size_t idlePerServer = 6;

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

    /// The server has seen the request, whether or not it ran it; such sends draw on the retry budget.
    bool isArrival(SendOutcome outcome)
    {
        return outcome != SendOutcome::notSent && outcome != SendOutcome::crowded;
    }

    std::string millis(Duration duration)
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
    , m_dealer(PartDealer::create())
    , m_retries(RetryShare::create(m_options.retries))
{
    net::HttpClient::Options client;
    client.maxIdlePerAddress = idlePerServer;
    client.maxIdleConnections = m_options.maxIdleConnections;
    client.bodyLimit = net::maxAdminBodyBytes;
    client.acceptCloseDelimited = true;
    client.tcpUserTimeout = tcpUserTimeout;
    client.rejectionWindow = rejectionWindow;
    m_client = net::HttpClient::create(context, client);
}

std::size_t RequestForwarder::instances() const
{
    return std::max<std::size_t>(1, m_catalog.members().size());
}

net::Response RequestForwarder::ownAnswer(
    const Job& job, unsigned status, ResultCode code, const std::string& message) const
{
    nlohmann::json body { { "code", static_cast<int>(code) }, { "name", nameOf(code) }, { "message", message } };
    auto response = net::makeResponse(status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    if (!job.id.empty())
        response.set(m_dialect.requestId, job.id);
    return response;
}

net::Response RequestForwarder::refuse(Job& job, Duration comeBackAfter)
{
    auto response = ownAnswer(job, 503, ResultCode::noOwner, job.cause);
    response.set(http::field::retry_after, secondsText(comeBackAfter));
    m_hooks.metrics->countRequest(Outcome::notRun, monotonicNow() - job.started);
    logEnd(job, response, "notRun");
    return response;
}

net::Response RequestForwarder::giveUp(Job& job, bool timedOut)
{
    auto response = timedOut ? ownAnswer(job, 504, ResultCode::deadlineExceeded, job.cause)
                             : ownAnswer(job, 502, ResultCode::outcomeUnknown, job.cause);
    m_hooks.metrics->countRequest(Outcome::unknown, monotonicNow() - job.started);
    logEnd(job, response, "unknown");
    return response;
}

void RequestForwarder::logEnd(const Job& job, const net::Response& response, std::string_view outcome) const
{
    bool isRefused = outcome == "notRun";
    bool isAnswered = outcome == "ran";
    auto event = isAnswered ? LogEvent::requestDone : isRefused ? LogEvent::requestRefused : LogEvent::requestFailed;
    logEvent(isAnswered ? LogLevel::info : LogLevel::warn, event,
        { { "request", job.id }, { "route", job.routeName }, { "version", std::to_string(job.version) },
            { "service", job.service }, { "key", job.key ? std::to_string(*job.key) : "" },
            { "server", job.lastServer }, { "arrivals", std::to_string(job.history.arrivals) },
            { "ms", millis(monotonicNow() - job.started) }, { "status", std::to_string(response.result_int()) },
            { "outcome", std::string(outcome) }, { "cause", job.cause },
            { "revision", std::to_string(m_catalog.mirror().at()) } });
}

awaitable<net::Response> RequestForwarder::handle(net::Request request, std::shared_ptr<net::Cancellation> cancellation)
{
    ++m_inFlight;
    Job job;
    job.started = monotonicNow();
    job.id = headerOf(request, m_dialect.requestId);
    job.cancellation = std::move(cancellation);
    auto host = headerOf(request, "Host");
    auto path = net::pathOf(std::string(request.target()));
    job.request = std::move(request);
    auto response = co_await route(job, host, path);
    --m_inFlight;
    co_return response;
}

awaitable<net::Response> RequestForwarder::route(Job& job, const std::string& host, const std::string& path)
{
    auto state = m_catalog.desiredState();
    if (!state) {
        job.cause = "this instance knows no desired state yet";
        co_return refuse(job, startRetryAfter);
    }
    const auto* rule = state->match(host, path);
    job.version = state->version();
    if (!rule) {
        job.cause = "no route matches host \"" + host + "\" and the path";
        auto response = ownAnswer(job, 404, ResultCode::notFound, job.cause);
        logEnd(job, response, "notRun");
        co_return response;
    }
    auto stated = headerOf(job.request, m_dialect.deadlineMs);
    auto deadline = parseNumber(stated);
    auto patience = deadline && *deadline > 0 ? std::chrono::milliseconds(*deadline) : m_options.defaultDeadline;
    if (rule->timeout.count() > 0)
        patience = std::min(patience, rule->timeout);
    job.routeName = rule->name;
    job.priority = rule->priority;
    job.deadline = job.started + patience - answerMargin;
    job.target = job.started + rule->targetLatency;
    job.service = m_dealer.next(*rule).service;
    job.history.idempotent = rule->idempotent;
    job.history.maxAttempts = std::max(1U, rule->maxAttempts);
    const auto* service = state->service(job.service);
    if (service && service->ownsKeys) {
        auto key = parseNumber(headerOf(job.request, m_dialect.keyNumber));
        if (!key || *key < 0 || *key > static_cast<long>(lastKey)) {
            job.cause = "the service needs a key from 0 to 65535";
            auto response = ownAnswer(job, 400, ResultCode::malformedRequest, job.cause);
            logEnd(job, response, "notRun");
            co_return response;
        }
        job.key = static_cast<KeyNumber>(*key);
        job.history.hasKey = true;
        m_hooks.countKey(job.service, *job.key);
    }
    m_retries.request(job.service, job.started);
    co_return co_await carry(job);
}

const KnownServer* RequestForwarder::ownerOf(const Job& job, std::string& reason, bool& mayChangeSoon) const
{
    const auto* owner = m_catalog.keys().find(job.service, *job.key);
    mayChangeSoon = !owner;
    if (!owner) {
        reason = "the key has no owner at present";
        return nullptr;
    }
    const auto* server = m_catalog.servers().find(owner->owner.id);
    if (!server) {
        reason = "owner " + owner->owner.id + " is not listed";
        return nullptr;
    }
    if (hasLeft(*server)) {
        reason = "owner " + owner->owner.id + " has left";
        mayChangeSoon = monotonicNow() - server->leavingSince < moveTime;
        return nullptr;
    }
    return server;
}

bool RequestForwarder::hasLeft(const KnownServer& server) const
{
    return server.standing != ServerStanding::ready && monotonicNow() - server.leavingSince > m_options.leavingUse;
}

// A request may have waited for room, or for a connection, since its server was chosen.
bool RequestForwarder::mayBeSentTo(const ServerRun& run) const
{
    const auto* server = m_catalog.servers().find(run.id);
    return server && server->entry.run == run && !hasLeft(*server);
}

// Returns null with job.cause set if there is none in time.
awaitable<const KnownServer*> RequestForwarder::findServer(Job& job)
{
    auto patience = std::min(job.deadline, monotonicNow() + ownerPatience);
    while (true) {
        bool mayChangeSoon = true;
        const auto* server
            = job.key ? ownerOf(job, job.cause, mayChangeSoon) : m_upstreams.choose(job.service, job.tried);
        if (!server && !job.key)
            job.cause = "service " + job.service + " has no server in use";
        bool isSilent = server && job.key && !m_upstreams.isReachable(server->entry.run);
        if (isSilent) {
            job.cause = "owner " + server->entry.run.id + " does not answer";
            co_return nullptr;
        }
        if (server || !mayChangeSoon || job.cancellation->isCancelled())
            co_return server;
        bool isChanged = co_await m_catalog.changed().wait(std::chrono::steady_clock::time_point(patience));
        if (!isChanged)
            co_return nullptr;
    }
}

awaitable<net::Response> RequestForwarder::carry(Job& job)
{
    bool timedOut = false;
    while (true) {
        const auto* found = co_await findServer(job);
        if (!found) {
            if (job.history.mayHaveRun > 0)
                co_return giveUp(job, false);
            co_return refuse(job, ownerRetryAfter);
        }
        // The directory may change while this coroutine waits.
        auto server = *found;
        job.lastServer = server.entry.run.id;
        ServerGate::Work work { job.priority, job.target, job.deadline };
        auto admitted = co_await m_upstreams.admit(server, work, job.cancellation);
        if (!admitted) {
            job.cause = "server " + server.entry.run.id + " has no room in time";
            if (job.history.mayHaveRun > 0)
                co_return giveUp(job, monotonicNow() >= job.deadline);
            co_return refuse(job, m_upstreams.expectedTime(server.entry.run.id));
        }
        auto sent = co_await send(job, server, *admitted);
        job.tried.insert(server.entry.run.id);
        job.cause = sent.cause;
        timedOut = sent.timedOut;
        job.history.last = sent.outcome;
        job.history.remaining = job.deadline - monotonicNow();
        job.history.serviceTime = m_upstreams.expectedTime(server.entry.run.id);
        auto next = afterSend(job.history);
        if (next == AfterSend::answer)
            co_return passOn(job, std::move(sent.response));
        bool mayGoOn = next != AfterSend::giveUp && !job.cancellation->isCancelled()
            && (!isArrival(sent.outcome) || m_retries.take(job.service, instances(), monotonicNow()));
        if (!mayGoOn && sent.outcome == SendOutcome::failed)
            co_return passOn(job, std::move(sent.response));
        if (!mayGoOn && job.history.mayHaveRun > 0)
            co_return giveUp(job, timedOut);
        if (!mayGoOn)
            co_return refuse(job, ownerRetryAfter);
        m_hooks.metrics->countRetry();
        logEvent(LogLevel::info, LogEvent::requestRetried,
            { { "request", job.id }, { "server", job.lastServer }, { "cause", job.cause },
                { "remainingMs", millis(job.history.remaining) } });
        if (next == AfterSend::waitForOwner)
            co_await m_catalog.changed().waitFor(movedPause);
    }
}

net::Request RequestForwarder::buildRequest(const Job& job, const KnownServer& server) const
{
    net::Request out;
    out.version(11);
    out.method_string(job.request.method_string());
    out.target(job.request.target());
    for (const auto& it : job.request) {
        auto name = it.name_string();
        if (!isHopByHop({ name.data(), name.size() }))
            out.insert(it.name_string(), it.value());
    }
    out.body() = job.request.body();
    out.prepare_payload();
    auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(job.deadline - monotonicNow());
    out.set(m_dialect.deadlineMs, std::to_string(std::max<std::int64_t>(remaining.count(), 1)));
    out.set(m_dialect.targetServer, server.entry.run.id);
    return out;
}

awaitable<RequestForwarder::Sent> RequestForwarder::send(Job& job, KnownServer server, std::uint64_t work)
{
    auto sentAt = monotonicNow();
    net::HttpClient::ExchangeOptions options;
    options.timeout = job.deadline - sentAt;
    options.connectTimeout = connectTimeout;
    options.idHeader = m_dialect.requestId;
    // Work that is not idempotent runs to its end, whoever still waits for it.
    options.cancellation = job.cancellation;
    options.uncancellableOnceSent = !job.history.idempotent;
    options.mayStillSend = [this, run = server.entry.run] { return mayBeSentTo(run); };
    auto request = buildRequest(job, server);
    auto exchange = co_await m_client->exchange(server.entry.address, std::move(request), std::move(options));
    auto sent = classify(job, std::move(exchange));
    if (isArrival(sent.outcome))
        ++job.history.arrivals;
    if (sent.outcome == SendOutcome::unknown || sent.outcome == SendOutcome::failed)
        ++job.history.mayHaveRun;
    noteEnd(job, server, work, sent, sentAt);
    co_return sent;
}

RequestForwarder::Sent RequestForwarder::classify(Job& job, net::Exchange exchange) const
{
    using net::ExchangeState;
    Sent sent;
    sent.response = std::move(exchange.response);
    sent.cause = "server " + job.lastServer + ": " + exchange.error;
    if (exchange.state == ExchangeState::connectionRefused || exchange.state == ExchangeState::notSent)
        return sent;
    if (exchange.state == ExchangeState::connectionRejected) {
        sent.outcome = SendOutcome::crowded;
        return sent;
    }
    sent.outcome = SendOutcome::unknown;
    if (exchange.state != ExchangeState::answered) {
        sent.timedOut = exchange.state == ExchangeState::timedOut;
        return sent;
    }
    auto status = sent.response.result_int();
    sent.cause = "server " + job.lastServer + " answered " + std::to_string(status);
    auto instance = headerOf(sent.response, m_dialect.serverId);
    sent.isReplaced = status == 421 && !instance.empty() && instance != job.lastServer;
    bool isNotRun = status == 421 || sent.response.find(m_dialect.notExecuted) != sent.response.end();
    if (isNotRun) {
        sent.outcome = status == 421 ? SendOutcome::moved : SendOutcome::shed;
        return sent;
    }
    bool isEncoded = sent.response.find(http::field::content_encoding) != sent.response.end();
    bool isSigned = sent.response.find(m_dialect.signature) != sent.response.end();
    if (isEncoded || !isSigned) {
        sent.cause += isEncoded ? ", encoded" : ", without a signature";
        return sent;
    }
    sent.outcome = status >= 500 ? SendOutcome::failed : SendOutcome::answered;
    return sent;
}

void RequestForwarder::noteEnd(
    const Job& job, const KnownServer& server, std::uint64_t work, const Sent& sent, TimePoint sentAt)
{
    ServerGate::Ended ended;
    auto now = monotonicNow();
    ended.time = now - sentAt;
    ended.ran = sent.outcome == SendOutcome::answered;
    ended.shed = sent.outcome == SendOutcome::shed || sent.outcome == SendOutcome::crowded;
    auto load = m_dialect.parseLoad(headerOf(sent.response, m_dialect.load));
    if (load)
        ended.statedLoad = load->running + load->waiting;
    m_upstreams.ended(server.entry.run.id, work, ended);
    if (sent.isReplaced)
        m_upstreams.noteReplaced(server.entry.run);
    bool isSilent = sent.outcome == SendOutcome::notSent && !job.cancellation->isCancelled();
    if (isSilent)
        m_upstreams.noteSilence(server.entry.run.id);
}

net::Response RequestForwarder::passOn(Job& job, net::Response response)
{
    net::Response out;
    out.version(11);
    out.result(response.result_int());
    for (const auto& it : response) {
        auto name = it.name_string();
        bool isOurs = it.name_string() == m_dialect.load;
        if (!isOurs && !isHopByHop({ name.data(), name.size() }))
            out.insert(it.name_string(), it.value());
    }
    out.body() = std::move(response.body());
    out.prepare_payload();
    m_hooks.metrics->countRequest(Outcome::ran, monotonicNow() - job.started);
    logEnd(job, out, "ran");
    return out;
}

} // namespace acaciagauge::entry
