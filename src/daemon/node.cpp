#include "daemon/node.hpp"

#include "daemon/admin.hpp"
#include "daemon/async.hpp"
#include "daemon/log.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

namespace acaciagauge::daemon {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

    constexpr auto orderTimeout = std::chrono::milliseconds(200);
    constexpr auto leavePoll = std::chrono::milliseconds(10);
    constexpr auto leaveLimit = std::chrono::seconds(30);
    constexpr auto handOverLimit = std::chrono::seconds(2);

    Incarnation newIncarnation()
    {
        auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<Incarnation>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
    }

    std::string recordKey(const DomainId& domain)
    {
        return "domains/" + domain;
    }

    std::size_t ownerChanges(const DomainRecord& before, const DomainRecord& after)
    {
        std::size_t changes = 0;
        for (const auto& it : after.items) {
            auto former = before.items.find(it.first);
            changes += former != before.items.end() && former->second.server != it.second.server;
        }
        return changes;
    }

    std::string_view nameOf(AgentRole role)
    {
        return role == AgentRole::controller ? "controller" : role == AgentRole::joining ? "joining" : "follower";
    }

} // namespace

void ServiceSlacks::update(const Configuration& configuration)
{
    std::lock_guard lock(m_mutex);
    for (const auto& it : configuration.services)
        m_slacks[it.first] = it.second.churnWeight * maxSlack;
}

double ServiceSlacks::of(const ServiceName& service) const
{
    std::lock_guard lock(m_mutex);
    auto it = m_slacks.find(service);
    return it == m_slacks.end() ? 0.0 : it->second;
}

Node::Node(asio::io_context& context, Settings settings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_incarnation(newIncarnation())
    , m_metrics(Metrics::create())
    , m_tracer(Tracer::create(m_settings.instance, m_settings.tracePercent))
    , m_directory(Directory::create({ m_settings.instance, m_settings.domain, m_settings.callersAddress,
          m_settings.adminAddress, m_settings.rpcAddress, false }))
    , m_store(context, m_settings.platformAddress)
    , m_orders(net::HttpClient::create(context, { 4, net::maxAdminBodyBytes }))
    , m_routes(RouteTable::create(m_knowledge))
    , m_egress(context, m_settings, *m_metrics, m_tracer, { [this] { return m_routes; } })
    , m_ingress(context, m_settings, m_directory, m_egress, *m_metrics, m_tracer,
          { [this] { return m_routes; }, [this]() -> RpcNode& { return *m_rpc; } })
    , m_random(std::random_device {}())
    , m_homes(HomeAssigner::create(m_settings.domain))
{
}

Result<std::unique_ptr<Node>> Node::create(asio::io_context& context, Settings settings)
{
    std::unique_ptr<Node> node(new Node(context, std::move(settings)));
    auto started = node->start();
    if (!started)
        return tl::make_unexpected(started.error());
    return node;
}

Result<bool> Node::start()
{
    net::HttpServer::Options callers;
    callers.address = m_settings.callersAddress;
    callers.maxConnections = m_settings.maxConnections;
    callers.handler = [this](net::Request request) { return m_ingress.handle(std::move(request)); };
    callers.onMalformed = [](const std::string& reason) {
        logEvent(LogLevel::warn, LogEvent::requestMalformed, { { "reason", reason } });
    };
    auto callersServer = net::HttpServer::create(m_context, std::move(callers));
    if (!callersServer)
        return tl::make_unexpected(callersServer.error());
    m_callers = *callersServer;
    net::HttpServer::Options admin;
    admin.address = m_settings.adminAddress;
    admin.bodyLimit = net::maxAdminBodyBytes;
    auto api = std::make_shared<Admin>(m_context, *this);
    admin.handler = [api](net::Request request) { return api->handle(std::move(request)); };
    auto adminServer = net::HttpServer::create(m_context, std::move(admin));
    if (!adminServer)
        return tl::make_unexpected(adminServer.error());
    m_admin = *adminServer;
    if (auto rpc = startRpc(); !rpc)
        return rpc;
    if (auto agent = startAgent(); !agent)
        return agent;
    m_callers->start();
    m_admin->start();
    asio::co_spawn(m_context, pollInstances(), asio::detached);
    asio::co_spawn(m_context, watchTickets(), asio::detached);
    asio::co_spawn(m_context, exchangeDigests(), asio::detached);
    asio::co_spawn(m_context, tendHomes(), asio::detached);
    logEvent(LogLevel::info, LogEvent::started,
        { { "domain", m_settings.domain }, { "callers", m_settings.callersAddress } });
    return true;
}

Result<bool> Node::startRpc()
{
    RpcNode::Hooks hooks;
    hooks.onControl = [this](PeerMessage message) {
        asio::post(m_context, [this, message = std::move(message)] {
            m_peerRuns[message.from.id] = message.from.incarnation;
            m_actor->tell(PeerReceived { message });
        });
    };
    hooks.onForward = [this](ForwardRequest request, std::function<void(ForwardReply)> done) {
        auto run = [](Egress& egress, ForwardRequest work, std::function<void(ForwardReply)> reply) -> awaitable<void> {
            reply(co_await egress.run(std::move(work)));
        };
        asio::post(m_context, [this, run, request = std::move(request), done]() mutable {
            asio::co_spawn(m_context, run(m_egress, std::move(request), done), asio::detached);
        });
    };
    hooks.onExchange = [this](Digest digest, std::function<void(News)> done) {
        asio::post(m_context, [this, digest = std::move(digest), done] { done(m_knowledge.newsFor(digest)); });
    };
    hooks.onAnnounce = [this](News news) { asio::post(m_context, [this, news = std::move(news)] { adopt(news); }); };
    auto rpc = RpcNode::create(m_settings.rpcAddress, std::move(hooks));
    if (!rpc)
        return tl::make_unexpected(rpc.error());
    m_rpc = std::move(*rpc);
    return true;
}

Result<bool> Node::startAgent()
{
    Agent::Options options;
    options.self = { m_settings.instance, m_incarnation };
    options.domain = m_settings.domain;
    options.timing = m_settings.ownership;
    options.planner = [slacks = m_slacks](const PlanInput& input) {
        return planIncremental(input, [&](const ServiceName& service) { return slacks->of(service); });
    };
    auto hook = [this](std::vector<Action> actions, AgentView view) {
        asio::post(m_context, [this, actions = std::move(actions), view = std::move(view)]() mutable {
            for (const auto& it : actions)
                perform(it);
            noteView(std::move(view));
        });
    };
    auto actor = DomainActor::create(std::move(options), std::move(hook));
    if (!actor)
        return tl::make_unexpected(actor.error());
    m_actor = std::move(*actor);
    return true;
}

void Node::perform(const Action& action)
{
    if (const auto* peer = std::get_if<SendPeer>(&action))
        sendPeer(*peer);
    else if (const auto* server = std::get_if<SendServer>(&action))
        asio::co_spawn(m_context, sendServer(*server), asio::detached);
    else if (const auto* read = std::get_if<ReadRecord>(&action))
        asio::co_spawn(m_context, readRecord(*read), asio::detached);
    else if (const auto* write = std::get_if<WriteRecord>(&action))
        asio::co_spawn(m_context, writeRecord(*write), asio::detached);
    else
        publish(std::get<Publish>(action));
}

void Node::sendPeer(const SendPeer& action)
{
    const auto* info = m_directory.find(action.to);
    if (!info)
        return;
    auto run = m_peerRuns.find(action.to);
    Member peer { action.to, run == m_peerRuns.end() ? 0 : run->second };
    m_rpc->control(info->rpcAddress, action.message, [this, peer](RpcReach reach) {
        bool isDead = reach == RpcReach::refused && peer.incarnation != 0;
        if (isDead)
            m_actor->tell(PeerDied { peer });
    });
}

awaitable<void> Node::sendServer(SendServer action)
{
    const auto* spec = m_routes->server(action.server);
    if (!spec)
        co_return;
    auto request = net::makeRequest(net::http::verb::post, "/orders", net::encodeOrder(action.order));
    auto exchange = co_await m_orders->exchange(spec->address, std::move(request), orderTimeout);
    if (exchange.state == net::ExchangeState::connectionRefused)
        m_actor->tell(ServerDied { action.server, action.sequence });
    if (exchange.state != net::ExchangeState::answered || exchange.response.result_int() != 200)
        co_return;
    auto answer = net::decodeAnswer(exchange.response.body());
    if (answer)
        m_actor->tell(ServerAnswered { action.server, action.sequence, std::move(*answer) });
}

awaitable<void> Node::readRecord(ReadRecord action)
{
    auto stored = co_await m_store.read(recordKey(m_settings.domain));
    StoreAnswered event { action.sequence, stored.outcome, stored.revision, std::nullopt };
    if (stored.outcome == StoreOutcome::ok && stored.revision > 0) {
        auto record = domainRecordFromJson(nlohmann::json::parse(stored.value, nullptr, false));
        if (record)
            event.record = std::move(*record);
        else
            event.outcome = StoreOutcome::unavailable;
    }
    m_actor->tell(std::move(event));
}

awaitable<void> Node::writeRecord(WriteRecord action)
{
    auto text = toJson(action.record).dump();
    auto stored = co_await m_store.write(recordKey(m_settings.domain), action.expectedRevision, std::move(text));
    m_actor->tell(StoreAnswered { action.sequence, stored.outcome, stored.revision, std::nullopt });
}

void Node::publish(const Publish& action)
{
    auto known = m_knowledge.records().find(action.record.domain);
    auto changes = known == m_knowledge.records().end() ? 0 : ownerChanges(known->second, action.record);
    m_metrics->countOwnerChanges(changes);
    logEvent(LogLevel::info, LogEvent::recordPublished,
        { { "epoch", std::to_string(action.record.epoch()) }, { "version", std::to_string(action.record.version) },
            { "committed", action.committed ? "true" : "false" }, { "changes", std::to_string(changes) } });
    News news;
    news.records.push_back(action.record);
    adopt(news);
}

void Node::noteView(AgentView view)
{
    if (view.role != m_view.role || view.epoch != m_view.epoch)
        logEvent(LogLevel::info, LogEvent::roleChanged,
            { { "role", std::string(nameOf(view.role)) }, { "epoch", std::to_string(view.epoch) } });
    if (view.serverStates != m_view.serverStates && view.role == AgentRole::controller) {
        std::string states;
        for (const auto& it : view.serverStates) {
            states += it.first + "=" + std::to_string(it.second) + " ";
            m_metrics->setServers(it.first, it.second);
        }
        logEvent(LogLevel::info, LogEvent::serverStatesChanged, { { "servers", states } });
    }
    bool isNewEpoch = view.epoch != m_view.epoch;
    m_view = std::move(view);
    if (isNewEpoch)
        tellPlan();
    m_metrics->setEpoch(m_view.epoch);
    m_metrics->setIsController(m_view.role == AgentRole::controller);
    m_metrics->setStoreAvailable(m_store.isAvailable());
}

void Node::adopt(const News& news)
{
    auto taken = m_knowledge.adopt(news);
    if (taken.isEmpty())
        return;
    // A newer map settles what became of an unanswered write of the former one.
    for (const auto& it : taken.homes)
        m_homes.noteNewerMap(it.service);
    m_routes = RouteTable::create(m_knowledge);
    if (taken.configuration) {
        m_slacks->update(*taken.configuration);
        m_metrics->setTicket(taken.configuration->number);
        logEvent(
            LogLevel::info, LogEvent::ticketInForce, { { "ticket", std::to_string(taken.configuration->number) } });
    }
    if (taken.configuration || !taken.homes.empty())
        tellPlan();
    updateImbalance();
    announce(taken);
}

void Node::updateImbalance()
{
    std::map<ServiceName, std::map<ServerId, double>> loads;
    for (const auto& it : m_routes->servers()) {
        if (it.second.domain == m_settings.domain && !it.second.leaving)
            loads[it.first.substr(0, it.first.find('/'))][it.first] = 0;
    }
    auto record = m_knowledge.records().find(m_settings.domain);
    if (record == m_knowledge.records().end())
        return;
    for (const auto& it : record->second.items) {
        const auto* spec = m_routes->server(it.second.server);
        if (spec)
            loads[it.first.service][it.second.server] += 1.0 / spec->slots;
    }
    double worst = 0;
    for (const auto& service : loads) {
        double sum = 0;
        double most = 0;
        for (const auto& it : service.second) {
            sum += it.second;
            most = std::max(most, it.second);
        }
        if (sum > 0)
            worst = std::max(worst, most * static_cast<double>(service.second.size()) / sum);
    }
    m_metrics->setImbalance(worst);
}

awaitable<std::size_t> Node::leave()
{
    const auto& chart = builtInChart("daemon");
    advance(chart, m_state, DaemonEvent::stopAsked);
    logEvent(LogLevel::info, LogEvent::leaving, { { "inFlight", std::to_string(inFlight()) } });
    m_actor->tell(Leave {});
    m_callers->drain();
    co_await sleepFor(m_context, m_settings.leaveGrace);
    advance(chart, m_state, DaemonEvent::graceOver);
    m_callers->stop();
    auto handOverEnd = monotonicNow() + handOverLimit;
    while (m_view.role == AgentRole::controller && monotonicNow() < handOverEnd)
        co_await sleepFor(m_context, leavePoll);
    auto end = monotonicNow() + leaveLimit;
    while (inFlight() > 0 && monotonicNow() < end)
        co_await sleepFor(m_context, leavePoll);
    advance(chart, m_state, DaemonEvent::finished);
    m_egress.close();
    co_return inFlight();
}

} // namespace acaciagauge::daemon
