#include "entry/entry_node.hpp"

#include "daemon/async.hpp"
#include "daemon/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

namespace acaciagauge::entry {

namespace asio = boost::asio;
using asio::awaitable;
using daemon::logEvent;
using daemon::LogEvent;
using daemon::LogLevel;
using daemon::sleepFor;

namespace {

    /// Longest time between the last check of a server's status and the request's arrival there.
    constexpr auto deliveryMargin = std::chrono::milliseconds(700);

    /// With uneven servers more keys are misplaced at once, and moves that follow random differences of the load would
    /// delay the others.
    constexpr double unevenNoiseMargin = 2.0;
    constexpr double unevenMovesPerServer = 0.02;

    constexpr auto drainPollInterval = std::chrono::milliseconds(50);
    constexpr auto flushPollInterval = std::chrono::milliseconds(5);
    /// Deployments state memory in decimal or binary megabytes; the smaller unit is safe for both.
    constexpr std::uint64_t bytesPerMb = 1'000'000;

    constexpr auto pruneInterval = std::chrono::seconds(10);

    /// File descriptors reserved for files, other instances and the store.
    constexpr std::size_t reservedDescriptors = 300;

    /// Connections to callers and connections to servers each get half of the other descriptors.
    std::size_t connectionShare(const daemon::Settings& settings)
    {
        return (settings.maxFileDescriptors - reservedDescriptors) / 2;
    }

    std::string ipOf(const std::string& address)
    {
        return address.substr(0, address.rfind(':'));
    }

    std::string portOf(const std::string& address)
    {
        return address.substr(address.rfind(':') + 1);
    }

} // namespace

EntryNode::EntryNode(asio::io_context& context, daemon::Settings settings, Ports ports)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_ports(std::move(ports))
    , m_metrics(daemon::Metrics::create())
    , m_catalog(context, m_ports.documents)
    , m_follower(context, selfRecord(), m_ports.store, m_catalog, followerHooks())
    , m_membership(context, selfRecord(), m_ports.store, m_catalog)
    , m_controller(context, selfRecord(), m_ports.store, m_ports.orders, m_catalog, m_follower, keyAssignerOptions(),
          controllerHooks())
    , m_permits(context, m_settings.instance, m_catalog, permitHooks())
    , m_admission(context, { m_settings.instance, m_settings.coordination }, m_catalog, admissionHooks())
    , m_forwarder(context, forwarderOptions(), m_ports.dialect, m_catalog, forwarderHooks())
{
    observeBudget();
}

std::shared_ptr<net::BufferBudget> createBudget(const daemon::Settings& settings)
{
    if (settings.memoryMb == 0)
        return nullptr;
    return net::BufferBudget::create(MemoryBudget::optionsFor(settings.memoryMb * bytesPerMb), {});
}

void EntryNode::observeBudget()
{
    if (!m_ports.budget)
        return;
    net::BufferBudget::Hooks hooks;
    hooks.onRefused = [this](std::uint64_t bytes) {
        m_metrics->countBufferRefusal();
        logEvent(LogLevel::warn, LogEvent::messageUnbuffered,
            { { "bytes", std::to_string(bytes) }, { "buffered", std::to_string(m_ports.budget->used()) },
                { "budget", std::to_string(m_ports.budget->capacity()) } });
    };
    hooks.onEnded = [this] {
        m_metrics->countEndedTransfer();
        logEvent(LogLevel::warn, LogEvent::transferEnded, { { "buffered", std::to_string(m_ports.budget->used()) } });
    };
    m_ports.budget->setHooks(std::move(hooks));
}

MemberRecord EntryNode::selfRecord() const
{
    return { m_settings.instance, m_settings.domain, m_settings.rpcAddress, m_settings.cores };
}

StoreFollower::Hooks EntryNode::followerHooks()
{
    StoreFollower::Hooks hooks;
    hooks.changesSince = [this](const std::string& address, StoreEra era, Revision after,
                             std::chrono::milliseconds wait, std::function<void(std::optional<StoreUpdate>)> done) {
        m_rpc->changesSince(address, era, after, wait, std::move(done));
    };
    hooks.serverHeartbeat = m_settings.serverHeartbeat;
    // The seeds' addresses have another port. All instances use the same RPC port.
    for (const auto& it : m_settings.seeds) {
        auto seed = ipOf(it) + ":" + portOf(m_settings.rpcAddress);
        if (seed != m_settings.rpcAddress)
            hooks.seeds.push_back(seed);
    }
    return hooks;
}

ControllerRole::Hooks EntryNode::controllerHooks()
{
    ControllerRole::Hooks hooks;
    hooks.rpc = [this]() -> daemon::RpcNode& { return *m_rpc; };
    hooks.addServerReports = [this](LoadReport& report) { m_forwarder.addServerReports(report); };
    hooks.metrics = m_metrics.get();
    return hooks;
}

Permits::Hooks EntryNode::permitHooks()
{
    Permits::Hooks hooks;
    hooks.request = [this](const std::string& address, PermitRequest request,
                        std::function<void(std::optional<PermitReply>)> done) {
        m_rpc->requestPermit(address, std::move(request), std::move(done));
    };
    hooks.coldPermits = [this](const ServerId& id) { return coldPermitsOf(id); };
    return hooks;
}

Admission::Hooks EntryNode::admissionHooks()
{
    Admission::Hooks hooks;
    hooks.ask = [this](const std::string& address, daemon::AdmissionCall call,
                    std::function<void(std::optional<daemon::AdmissionReply>)> done) {
        m_rpc->admit(address, std::move(call), std::move(done));
    };
    hooks.notify = [this](const std::string& address, daemon::AdmissionNotice notice) {
        m_rpc->admissionEnded(address, std::move(notice));
    };
    hooks.isReachable = [this](const ServerRun& run) { return m_forwarder.isReachable(run); };
    hooks.metrics = m_metrics.get();
    return hooks;
}

RequestForwarder::Hooks EntryNode::forwarderHooks()
{
    RequestForwarder::Hooks hooks;
    hooks.admission = &m_admission;
    hooks.acquirePermit = [this](PermitRequest request, DomainId domain) {
        return m_permits.acquire(std::move(request), std::move(domain));
    };
    hooks.coldPermits = [this](const ServerId& id) { return coldPermitsOf(id); };
    hooks.countKey = [this](const ServiceName& service, KeyNumber key) { m_controller.countKey(service, key); };
    hooks.metrics = m_metrics.get();
    return hooks;
}

std::optional<ColdPermits> EntryNode::coldPermitsOf(const ServerId& id) const
{
    const auto* server = m_catalog.servers().find(id);
    const auto& state = m_catalog.desiredState();
    const auto* service = server && state ? state->service(server->entry.service) : nullptr;
    if (!service || !service->warmupPerSecond)
        return std::nullopt;
    auto bound = *service->warmupPerSecond * m_settings.warmupOverage + m_settings.warmupSlack;
    return ColdPermits::create(*service->warmupPerSecond, bound);
}

KeyAssigner::Options EntryNode::keyAssignerOptions() const
{
    KeyAssigner::Options options;
    options.grantDuration = m_settings.keyGrantDuration;
    options.renewInterval = m_settings.keyGrantDuration / 4;
    options.unevenNoiseMargin = unevenNoiseMargin;
    options.unevenMovesPerServer = unevenMovesPerServer;
    return options;
}

RequestForwarder::Options EntryNode::forwarderOptions() const
{
    RequestForwarder::Options options;
    options.domain = m_settings.domain;
    options.defaultDeadline = m_settings.defaultDeadline;
    options.drainWindow = std::max(std::chrono::milliseconds(0), m_settings.serverDrainTime - deliveryMargin);
    options.evacuationWindow = std::max(std::chrono::milliseconds(0), m_settings.evacuationLimit - deliveryMargin);
    options.retries = m_settings.retries;
    options.coordination = m_settings.coordination;
    // The remaining quarter is for connections in use.
    options.maxIdleConnections = connectionShare(m_settings) * 3 / 4;
    options.budget = m_ports.budget;
    return options;
}

Result<std::unique_ptr<EntryNode>> EntryNode::create(asio::io_context& context, daemon::Settings settings, Ports ports)
{
    std::unique_ptr<EntryNode> node(new EntryNode(context, std::move(settings), std::move(ports)));
    auto started = node->start();
    if (!started)
        return tl::make_unexpected(started.error());
    return node;
}

Result<bool> EntryNode::start()
{
    auto listening = listen();
    if (!listening)
        return listening;
    auto rpc = startRpc();
    if (!rpc)
        return rpc;
    m_callerServer->start();
    m_readinessServer->start();
    m_adminServer->start();
    m_follower.start();
    m_membership.start();
    m_controller.start();
    asio::co_spawn(m_context, pruneLoop(), asio::detached);
    logEvent(LogLevel::info, LogEvent::started,
        { { "domain", m_settings.domain }, { "callers", m_settings.callersAddress },
            { "control", m_settings.adminAddress }, { "rpc", m_settings.rpcAddress } });
    return true;
}

Result<bool> EntryNode::listen()
{
    net::HttpServer::Options callers;
    callers.address = m_settings.callersAddress;
    callers.maxConnections = std::min(m_settings.maxConnections, connectionShare(m_settings));
    callers.storedBodyHandler = [this](net::Request request, std::shared_ptr<net::StoredBody> body,
                                    std::shared_ptr<net::Cancellation> cancellation) {
        return m_forwarder.handle(std::move(request), std::move(cancellation), std::move(body));
    };
    callers.budget = m_ports.budget;
    callers.limits = [this] { return callerLimits(); };
    callers.onMalformed = [](const std::string& reason) {
        logEvent(LogLevel::warn, LogEvent::requestMalformed, { { "reason", reason } });
    };
    auto callerServer = net::HttpServer::create(m_context, std::move(callers));
    if (!callerServer)
        return tl::make_unexpected(callerServer.error());
    m_callerServer = *callerServer;

    net::HttpServer::Options readiness;
    readiness.address = m_settings.readinessAddress;
    readiness.handler
        = [this](net::Request request) -> awaitable<net::Response> { co_return answerReadiness(request); };
    auto readinessServer = net::HttpServer::create(m_context, std::move(readiness));
    if (!readinessServer)
        return tl::make_unexpected(readinessServer.error());
    m_readinessServer = *readinessServer;

    net::HttpServer::Options admin;
    admin.address = m_settings.adminAddress;
    admin.handler = [this](net::Request request) -> awaitable<net::Response> { co_return answerAdmin(request); };
    auto adminServer = net::HttpServer::create(m_context, std::move(admin));
    if (!adminServer)
        return tl::make_unexpected(adminServer.error());
    m_adminServer = *adminServer;
    return true;
}

Result<bool> EntryNode::startRpc()
{
    daemon::RpcNode::Hooks hooks;
    hooks.onControl = [](PeerMessage) {};
    hooks.onForward = [](daemon::ForwardRequest request, std::function<void(daemon::ForwardReply)> done) {
        done(daemon::replyWithout(request.requestId, Outcome::notRun, ResultCode::peerUnreachable,
            "this instance does not forward requests between instances"));
    };
    hooks.onExchange = [](Digest, std::function<void(News)> done) { done({}); };
    hooks.onAnnounce = [](News) {};
    hooks.onLoad = [this](LoadReport report) {
        asio::post(m_context, [this, report = std::move(report)] { m_controller.handleReport(report); });
    };
    hooks.onPermit = [this](PermitRequest request, std::function<void(PermitReply)> done) {
        asio::post(m_context, [this, request = std::move(request), done] { done(m_permits.answer(request)); });
    };
    hooks.onAdmit = [this](daemon::AdmissionCall call, std::function<void(daemon::AdmissionReply)> done) {
        asio::post(m_context, [this, call = std::move(call), done] { m_admission.answer(call, done); });
    };
    hooks.onAdmissionEnded = [this](daemon::AdmissionNotice notice) {
        asio::post(m_context, [this, notice = std::move(notice)] { m_admission.noteEnded(notice); });
    };
    hooks.onChangesSince = [this](StoreEra era, Revision revision, std::chrono::milliseconds wait,
                               std::function<void(StoreUpdate)> done) {
        auto answer = [this, era, revision, wait, done]() -> awaitable<void> {
            auto update = co_await m_follower.changesForPeer(era, revision, wait);
            done(std::move(update));
        };
        asio::co_spawn(m_context, answer, asio::detached);
    };
    auto rpc = daemon::RpcNode::create(m_settings.rpcAddress, std::move(hooks));
    if (!rpc)
        return tl::make_unexpected(rpc.error());
    m_rpc = std::move(*rpc);
    return true;
}

net::HttpServerLimits EntryNode::callerLimits() const
{
    net::HttpServerLimits limits;
    if (!m_catalog.desiredState())
        return limits;
    const auto& stated = m_catalog.desiredState()->limits();
    limits.headerBytes = stated.maxHeaderBytes;
    limits.bodyBytes = stated.maxBodyBytes;
    limits.headerTimeout = stated.headerTimeout;
    limits.idleTimeout = stated.idleTimeout;
    return limits;
}

bool EntryNode::isReady() const
{
    return !m_leaving && m_catalog.desiredState() != nullptr;
}

net::Response EntryNode::answerReadiness(const net::Request& request) const
{
    if (net::pathOf(std::string(request.target())) != m_ports.dialect.readinessPath)
        return net::makeResponse(404, "unknown path\n", "text/plain");
    return isReady() ? net::makeResponse(200, "ready\n", "text/plain")
                     : net::makeResponse(503, m_leaving ? "leaving\n" : "no desired state\n", "text/plain");
}

net::Response EntryNode::status() const
{
    const auto& controller = m_catalog.controller();
    nlohmann::json body { { "instance", m_settings.instance }, { "domain", m_settings.domain }, { "ready", isReady() },
        { "storeAvailable", m_catalog.isStoreAvailable() }, { "storeSource", m_follower.source() },
        { "revision", m_catalog.mirror().revision() }, { "members", m_catalog.members().size() },
        { "servers", m_catalog.servers().servers().size() }, { "inFlight", m_forwarder.inFlight() },
        { "isController", m_controller.isController() } };
    body["version"] = m_catalog.desiredState() ? nlohmann::json(m_catalog.desiredState()->version()) : nullptr;
    body["evacuations"] = nlohmann::json::object();
    for (const auto& it : m_catalog.servers().evacuations())
        body["evacuations"][it.first] = m_catalog.keysOwnedIn(it.first);
    body["controller"] = controller ? nlohmann::json { { "id", controller->id }, { "epoch", controller->epoch } }
                                    : nlohmann::json(nullptr);
    return net::makeResponse(200, body.dump());
}

net::Response EntryNode::answerAdmin(const net::Request& request) const
{
    auto path = net::pathOf(std::string(request.target()));
    if (path == "/metrics" && m_ports.budget)
        m_metrics->setBuffered(m_ports.budget->used(), m_ports.budget->capacity());
    if (path == "/metrics")
        return net::makeResponse(200, m_metrics->text(), "text/plain; version=0.0.4");
    if (path == "/status")
        return status();
    return net::makeResponse(404, "unknown path\n", "text/plain");
}

awaitable<void> EntryNode::pruneLoop()
{
    while (!m_leaving) {
        co_await sleepFor(m_context, pruneInterval);
        m_forwarder.prune();
        m_admission.prune();
    }
}

void EntryNode::reload(const daemon::Settings& settings)
{
    m_forwarder.setRetries(settings.retries);
    logEvent(LogLevel::info, LogEvent::settingsReloaded,
        { { "retryRatio", std::to_string(settings.retries.ratio) },
            { "retryAllowance", std::to_string(settings.retries.allowance) } });
}

awaitable<std::size_t> EntryNode::leave()
{
    if (m_leaving)
        co_return 0;
    m_leaving = true;
    auto schedule = ShutdownSchedule::create(monotonicNow(), m_settings.terminationGracePeriod);
    logEvent(LogLevel::info, LogEvent::leaving, { { "inFlight", std::to_string(m_forwarder.inFlight()) } });
    m_forwarder.startShutdown(schedule);
    m_callerServer->drain();
    asio::co_spawn(m_context, m_controller.leave(), asio::detached);
    asio::co_spawn(m_context, m_membership.leave(), asio::detached);
    while (monotonicNow() < schedule.takeAllUntil)
        co_await sleepFor(m_context, drainPollInterval);
    m_callerServer->stop();
    while (m_callerServer->connectionCount() > 0 && monotonicNow() < schedule.answerAllAt)
        co_await sleepFor(m_context, drainPollInterval);
    auto unfinished = m_forwarder.inFlight();
    m_forwarder.endShutdown();
    while (m_callerServer->hasPendingResponses() && monotonicNow() < schedule.exitAt)
        co_await sleepFor(m_context, flushPollInterval);
    m_follower.stop();
    co_return unfinished;
}

} // namespace acaciagauge::entry
