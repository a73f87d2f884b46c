#include "daemon/admin.hpp"

#include "daemon/log.hpp"
#include "daemon/node.hpp"

#include <nlohmann/json.hpp>

namespace acaciagauge::daemon {

using boost::asio::awaitable;
using Json = nlohmann::json;
using net::Response;

namespace {

    constexpr auto askTimeout = std::chrono::milliseconds(300);
    const std::string headKey = "tickets/head";

    std::string logKey(TicketNumber number)
    {
        return "tickets/log/" + std::to_string(number);
    }

    Response jsonResponse(unsigned status, const Json& document)
    {
        return net::makeResponse(status, document.dump());
    }

    Response errorResponse(unsigned status, const Error& error)
    {
        return jsonResponse(status,
            { { "code", static_cast<int>(error.code) }, { "name", nameOf(error.code) }, { "message", error.message } });
    }

    unsigned statusOf(ResultCode code)
    {
        switch (code) {
        case ResultCode::malformedTicket:
        case ResultCode::unknownSubject:
            return 400;
        case ResultCode::ticketNumberTaken:
        case ResultCode::ticketNumberGap:
            return 409;
        default:
            return 503;
        }
    }

    /// Reads the head from what the store answered; an absent one is an empty head.
    Result<TicketHead> readHead(const StoredValue& stored)
    {
        if (stored.outcome != StoreOutcome::ok)
            return failure(ResultCode::storeUnavailable, "the platform's store does not answer");
        if (stored.revision == 0)
            return TicketHead {};
        return ticketHeadFromJson(Json::parse(stored.value, nullptr, false));
    }

} // namespace

Admin::Admin(boost::asio::io_context& context, Node& node)
    : m_node(node)
    , m_client(net::HttpClient::create(context, {}))
{
}

bool Admin::isAuthorized(const net::Request& request) const
{
    const auto& token = m_node.settings().adminToken;
    return token != "disabled" && net::headerOf(request, "Authorization") == "Bearer " + token;
}

awaitable<Response> Admin::handle(net::Request request)
{
    auto target = std::string(request.target());
    auto path = net::pathOf(target);
    bool isPost = request.method() == net::http::verb::post;
    if (path == "/healthz")
        co_return net::makeResponse(200, "ok\n", "text/plain");
    if (path == "/readyz")
        co_return m_node.isLeaving() ? net::makeResponse(503, "leaving\n", "text/plain")
                                     : net::makeResponse(200, "ready\n", "text/plain");
    if (path == "/metrics")
        co_return net::makeResponse(200, m_node.metrics().text(), "text/plain; version=0.0.4");
    if (path == "/traces")
        co_return net::makeResponse(200, m_node.tracer().toOtlp());
    if (path == "/local")
        co_return local();
    if (path == "/status")
        co_return co_await status();
    if (path == "/owner")
        co_return owner(target);
    if (path == "/servers")
        co_return servers();
    if (path == "/tickets/check" && isPost)
        co_return checkTicket(request.body());
    if (path == "/tickets" && isPost)
        co_return co_await fileTicket(std::move(request));
    if (path.rfind("/tickets/", 0) == 0)
        co_return co_await showTicket(path);
    co_return errorResponse(404, { ResultCode::notFound, "no such resource: " + path });
}

Response Admin::checkTicket(const std::string& body) const
{
    auto ticket = parseTicket(body);
    if (!ticket)
        return errorResponse(statusOf(ticket.error().code), ticket.error());
    auto next = applyTicket(m_node.knowledge().configuration(), *ticket);
    if (!next)
        return errorResponse(statusOf(next.error().code), next.error());
    return jsonResponse(
        200, { { "code", 0 }, { "ticket", ticket->number }, { "message", "the ticket would be accepted" } });
}

awaitable<Response> Admin::fileTicket(net::Request request)
{
    auto ticket = parseTicket(request.body());
    auto number = ticket ? std::to_string(ticket->number) : std::string("unreadable");
    if (!isAuthorized(request)) {
        logEvent(LogLevel::warn, LogEvent::orderUnauthorized, { { "ticket", number } });
        co_return errorResponse(401, { ResultCode::unauthorized, "the order lacks the administration token" });
    }
    auto filing = ticket ? Filing::create(*ticket) : Result<Filing>(tl::make_unexpected(ticket.error()));
    Filing::Step step = Filing::Refused { filing ? Error {} : filing.error() };
    if (filing)
        step = co_await carryOut(*filing);
    if (const auto* refused = std::get_if<Filing::Refused>(&step)) {
        logEvent(
            LogLevel::warn, LogEvent::ticketRefused, { { "ticket", number }, { "message", refused->error.message } });
        co_return errorResponse(statusOf(refused->error.code), refused->error);
    }
    News news;
    news.configuration = std::get<Filing::Accepted>(step).configuration;
    m_node.adopt(news);
    logEvent(LogLevel::info, LogEvent::ticketAccepted, { { "ticket", number } });
    co_return jsonResponse(200, { { "code", 0 }, { "ticket", ticket->number }, { "message", "accepted" } });
}

awaitable<Filing::Step> Admin::carryOut(Filing& filing)
{
    auto step = filing.start();
    while (true) {
        if (std::holds_alternative<Filing::ReadHead>(step)) {
            auto stored = co_await m_node.store().read(headKey);
            auto head = readHead(stored);
            step = filing.headRead(
                head ? StoreOutcome::ok : StoreOutcome::unavailable, stored.revision, head.value_or(TicketHead {}));
        } else if (const auto* entry = std::get_if<Filing::ReadLog>(&step)) {
            auto stored = co_await m_node.store().read(logKey(entry->number));
            auto logged = parseTicket(stored.value);
            step = filing.logRead(stored.outcome, logged ? std::optional(*logged) : std::nullopt);
        } else if (const auto* log = std::get_if<Filing::WriteLog>(&step)) {
            auto written = co_await m_node.store().write(logKey(log->ticket.number), 0, toJson(log->ticket).dump());
            step = filing.logWritten(written.outcome);
        } else if (const auto* write = std::get_if<Filing::WriteHead>(&step)) {
            auto written = co_await m_node.store().write(headKey, write->expectedRevision, toJson(write->head).dump());
            step = filing.headWritten(written.outcome);
        } else {
            co_return step;
        }
    }
}

awaitable<Response> Admin::showTicket(std::string path)
{
    auto number = std::strtoull(path.substr(std::string("/tickets/").size()).c_str(), nullptr, 10);
    auto head = readHead(co_await m_node.store().read(headKey));
    if (!head)
        co_return errorResponse(503, head.error());
    if (number == head->configuration.number && head->ticket)
        co_return jsonResponse(200, toJson(*head->ticket));
    auto stored = co_await m_node.store().read(logKey(number));
    if (stored.outcome != StoreOutcome::ok || stored.revision == 0)
        co_return errorResponse(404, { ResultCode::notFound, "ticket " + std::to_string(number) + " does not exist" });
    co_return net::makeResponse(200, stored.value);
}

Response Admin::local() const
{
    const auto& view = m_node.agentView();
    const char* role = view.role == AgentRole::controller ? "controller" : "follower";
    Json document { { "instance", m_node.settings().instance }, { "domain", m_node.settings().domain },
        { "ticket", m_node.knowledge().configuration().number }, { "role", role }, { "epoch", view.epoch },
        { "leaving", m_node.isLeaving() }, { "committed", view.committed },
        { "storeAvailable", m_node.store().isAvailable() }, { "inFlight", m_node.inFlight() },
        { "servers", view.serverStates } };
    return jsonResponse(200, document);
}

awaitable<Response> Admin::status()
{
    std::map<DomainId, std::vector<InstanceInfo>> byDomain;
    for (const auto& it : m_node.directory().instances())
        byDomain[it.second.domain].push_back(it.second);
    for (const auto& service : m_node.knowledge().configuration().services) {
        for (const auto& it : service.second.servers)
            byDomain[it.domain];
    }
    Json domains = Json::object();
    for (const auto& domain : byDomain) {
        Json answers = Json::array();
        auto lowest = std::numeric_limits<TicketNumber>::max();
        for (const auto& it : domain.second) {
            auto exchange = co_await m_client->exchange(
                it.adminAddress, net::makeRequest(net::http::verb::get, "/local"), askTimeout);
            auto answer = exchange.state == net::ExchangeState::answered
                ? Json::parse(exchange.response.body(), nullptr, false)
                : Json();
            if (!answer.is_object()) {
                answers.push_back({ { "instance", it.id }, { "reachable", false } });
                continue;
            }
            answer["reachable"] = true;
            lowest = std::min(lowest, answer.value("ticket", TicketNumber { 0 }));
            answers.push_back(answer);
        }
        bool isReachable = lowest != std::numeric_limits<TicketNumber>::max();
        domains[domain.first] = { { "reachable", isReachable }, { "instances", answers } };
        if (isReachable)
            domains[domain.first]["ticket"] = lowest;
    }
    co_return jsonResponse(
        200, { { "code", 0 }, { "ticket", m_node.knowledge().configuration().number }, { "domains", domains } });
}

Response Admin::owner(const std::string& target) const
{
    auto service = net::queryValue(target, "service");
    auto key = net::queryValue(target, "key");
    auto route = m_node.routes()->find(service, key, "GET");
    if (!route)
        return errorResponse(404, route.error());
    return jsonResponse(200,
        { { "code", 0 }, { "service", service }, { "key", key }, { "partition", route->item.partition },
            { "server", route->server }, { "domain", route->spec->domain }, { "address", route->spec->address } });
}

Response Admin::servers() const
{
    std::map<ServerId, std::size_t> owned;
    for (const auto& record : m_node.knowledge().records()) {
        for (const auto& it : record.second.items)
            ++owned[it.second.server];
    }
    Json list = Json::array();
    for (const auto& it : m_node.routes()->servers())
        list.push_back({ { "server", it.first }, { "domain", it.second.domain }, { "address", it.second.address },
            { "slots", it.second.slots }, { "leaving", it.second.leaving }, { "items", owned[it.first] } });
    return jsonResponse(200, { { "code", 0 }, { "servers", list } });
}

} // namespace acaciagauge::daemon
