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

    /// The balancer takes an instance out after two questions a second apart; until then new callers arrive.
    constexpr auto balancerNotice = std::chrono::milliseconds(2600);

    /// Left of the grace time for ending the process.
    constexpr auto endMargin = std::chrono::milliseconds(700);

    /// Longest way of a request to a server after the last look at the server's standing.
    constexpr auto arrivalMargin = std::chrono::milliseconds(700);

    constexpr auto leavePoll = std::chrono::milliseconds(50);
    constexpr auto pruneInterval = std::chrono::seconds(10);

    /// Descriptors for files, other instances and the store.
    constexpr std::size_t otherDescriptors = 300;

    /// Callers and servers get as many connections each.
    std::size_t connectionShare(const daemon::Settings& settings)
    {
        return (settings.maxFileDescriptors - otherDescriptors) / 2;
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
    , m_link(context, selfRecord(), m_ports.store, m_catalog, linkHooks())
    , m_membership(context, selfRecord(), m_ports.store)
    , m_controller(
          context, selfRecord(), m_ports.store, m_ports.orders, m_catalog, m_link, keeperOptions(), controllerHooks())
    , m_requests(context, requestOptions(), m_ports.dialect, m_catalog, requestHooks())
{
}

MemberRecord EntryNode::selfRecord() const
{
    return { m_settings.instance, m_settings.domain, m_settings.rpcAddress, m_settings.cores };
}

StoreFollower::Hooks EntryNode::linkHooks()
{
    StoreFollower::Hooks hooks;
    hooks.changesSince = [this](const std::string& address, Revision after, std::chrono::milliseconds wait,
                             std::function<void(std::optional<StoreNews>)> done) {
        m_rpc->changesSince(address, after, wait, std::move(done));
    };
    hooks.serverHeartbeat = m_settings.serverHeartbeat;
    // Ports are the same on all instances; seeds name another port of theirs.
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
    hooks.takeTimes = [this] { return m_requests.takeTimes(); };
    hooks.metrics = m_metrics.get();
    return hooks;
}

RequestForwarder::Hooks EntryNode::requestHooks()
{
    RequestForwarder::Hooks hooks;
    hooks.countKey = [this](const ServiceName& service, KeyNumber key) { m_controller.countKey(service, key); };
    hooks.metrics = m_metrics.get();
    return hooks;
}

KeyAssigner::Options EntryNode::keeperOptions() const
{
    KeyAssigner::Options options;
    options.hold = m_settings.keyGrantDuration;
    options.renewEvery = m_settings.keyGrantDuration / 4;
    return options;
}

RequestForwarder::Options EntryNode::requestOptions() const
{
    RequestForwarder::Options options;
    options.domain = m_settings.domain;
    options.defaultDeadline = m_settings.defaultDeadline;
    options.leavingUse = std::max(std::chrono::milliseconds(0), m_settings.serverDrainTime - arrivalMargin);
    options.retries = m_settings.retries;
    // The rest is for connections in use.
    options.maxIdleConnections = connectionShare(m_settings) * 3 / 4;
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
    m_callers->start();
    m_readiness->start();
    m_control->start();
    m_link.start();
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
    callers.cancellableHandler = [this](net::Request request, std::shared_ptr<net::Cancellation> cancellation) {
        return m_requests.handle(std::move(request), std::move(cancellation));
    };
    callers.limits = [this] { return callerLimits(); };
    auto callersServer = net::HttpServer::create(m_context, std::move(callers));
    if (!callersServer)
        return tl::make_unexpected(callersServer.error());
    m_callers = *callersServer;

    net::HttpServer::Options readiness;
    readiness.address = m_settings.readinessAddress;
    readiness.handler
        = [this](net::Request request) -> awaitable<net::Response> { co_return answerReadiness(request); };
    auto readinessServer = net::HttpServer::create(m_context, std::move(readiness));
    if (!readinessServer)
        return tl::make_unexpected(readinessServer.error());
    m_readiness = *readinessServer;

    net::HttpServer::Options control;
    control.address = m_settings.adminAddress;
    control.handler = [this](net::Request request) -> awaitable<net::Response> { co_return answerControl(request); };
    auto controlServer = net::HttpServer::create(m_context, std::move(control));
    if (!controlServer)
        return tl::make_unexpected(controlServer.error());
    m_control = *controlServer;
    return true;
}

Result<bool> EntryNode::startRpc()
{
    daemon::RpcNode::Hooks hooks;
    hooks.onControl = [](PeerMessage) {};
    hooks.onForward = [](daemon::ForwardRequest request, std::function<void(daemon::ForwardReply)> done) {
        done(daemon::replyWithout(
            request.requestId, Outcome::notRun, ResultCode::peerUnreachable, "requests are not forwarded here"));
    };
    hooks.onExchange = [](Digest, std::function<void(News)> done) { done({}); };
    hooks.onAnnounce = [](News) {};
    hooks.onLoad = [this](LoadReport report) {
        asio::post(m_context, [this, report = std::move(report)] { m_controller.takeReport(report); });
    };
    hooks.onChangesSince
        = [this](Revision revision, std::chrono::milliseconds wait, std::function<void(StoreNews)> done) {
              auto answer = [this, revision, wait, done]() -> awaitable<void> {
                  auto news = co_await m_link.answerPeer(revision, wait);
                  done(std::move(news));
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
        { "storeAvailable", m_catalog.isStoreAvailable() }, { "storeSource", m_link.source() },
        { "revision", m_catalog.mirror().at() }, { "members", m_catalog.members().size() },
        { "servers", m_catalog.servers().servers().size() }, { "inFlight", m_requests.inFlight() },
        { "isController", m_controller.isController() } };
    body["version"] = m_catalog.desiredState() ? nlohmann::json(m_catalog.desiredState()->version()) : nullptr;
    body["controller"] = controller ? nlohmann::json { { "id", controller->id }, { "epoch", controller->epoch } }
                                    : nlohmann::json(nullptr);
    return net::makeResponse(200, body.dump());
}

net::Response EntryNode::answerControl(const net::Request& request) const
{
    auto path = net::pathOf(std::string(request.target()));
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
        m_requests.prune();
    }
}

void EntryNode::reload(const daemon::Settings& settings)
{
    m_requests.setRetries(settings.retries);
    logEvent(LogLevel::info, LogEvent::settingsReloaded,
        { { "retryRatio", std::to_string(settings.retries.ratio) },
            { "retryAllowance", std::to_string(settings.retries.allowance) } });
}

awaitable<std::size_t> EntryNode::leave()
{
    if (m_leaving)
        co_return 0;
    m_leaving = true;
    auto started = monotonicNow();
    auto end = started + m_settings.terminationGracePeriod - endMargin;
    logEvent(LogLevel::info, LogEvent::leaving, { { "inFlight", std::to_string(m_requests.inFlight()) } });
    m_callers->drain();
    asio::co_spawn(m_context, m_controller.leave(), asio::detached);
    asio::co_spawn(m_context, m_membership.leave(), asio::detached);
    while (monotonicNow() < started + balancerNotice && monotonicNow() < end)
        co_await sleepFor(m_context, leavePoll);
    m_callers->stop();
    while (m_callers->connectionCount() > 0 && monotonicNow() < end)
        co_await sleepFor(m_context, leavePoll);
    m_link.stop();
    co_return m_requests.inFlight();
}

} // namespace acaciagauge::entry
