#include "ctl/commands.hpp"

#include "net/net.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <thread>

namespace acaciagauge::ctl {

using Json = nlohmann::json;

namespace {

    constexpr auto requestTimeout = std::chrono::seconds(5);
    constexpr auto pollInterval = std::chrono::milliseconds(200);

    /// Response of the administration API. If none was received, `body` holds the reason.
    struct AdminResponse {
        bool isReceived = false;
        unsigned status = 0;
        std::string body;

        [[nodiscard]] Json json() const { return Json::parse(body, nullptr, false); }
    };

    AdminResponse sendRequest(
        const Options& options, net::http::verb method, const std::string& target, const std::string& body = {})
    {
        net::asio::io_context context(1);
        auto client = net::HttpClient::create(context, { 1, net::maxAdminBodyBytes });
        auto request = net::makeRequest(method, target, body);
        if (!options.token.empty())
            request.set(net::http::field::authorization, "Bearer " + options.token);
        AdminResponse response;
        auto exchange = [&]() -> net::asio::awaitable<void> {
            auto result = co_await client->exchange(options.adminAddress, std::move(request), requestTimeout);
            response.isReceived = result.state == net::ExchangeState::answered;
            response.status = result.response.result_int();
            response.body = response.isReceived ? result.response.body() : result.error;
        };
        net::asio::co_spawn(context, exchange(), net::asio::detached);
        context.run();
        return response;
    }

    AdminResponse get(const Options& options, const std::string& target)
    {
        return sendRequest(options, net::http::verb::get, target);
    }

    int reportUnreachable(const Options& options, const AdminResponse& response)
    {
        std::cerr << "no response from " << options.adminAddress << ": " << response.body << '\n';
        return exitUnreachable;
    }

    int reportRefusal(const AdminResponse& response)
    {
        auto document = response.json();
        if (document.is_object())
            std::cerr << "refused (" << document.value("code", 0) << ' ' << document.value("name", "")
                      << "): " << document.value("message", "") << '\n';
        else
            std::cerr << "refused with HTTP status " << response.status << '\n';
        return exitRefused;
    }

    void printRow(const std::vector<std::string>& cells)
    {
        constexpr int cellWidth = 22;
        for (const auto& it : cells)
            std::cout << std::left << std::setw(cellWidth) << it << ' ';
        std::cout << '\n';
    }

    std::string fieldText(const Json& document, const char* field)
    {
        if (!document.contains(field))
            return "-";
        const auto& value = document.at(field);
        return value.is_string() ? value.get<std::string>() : value.dump();
    }

    void printInstances(const std::string& domain, const Json& state)
    {
        bool isReachable = state.value("reachable", false);
        printRow({ domain, isReachable ? fieldText(state, "ticket") : "UNREACHABLE", "", "", "" });
        for (const auto& it : state.at("instances")) {
            bool isUp = it.value("reachable", false);
            printRow({ "  " + fieldText(it, "instance"), isUp ? fieldText(it, "ticket") : "no response",
                fieldText(it, "role"), fieldText(it, "epoch"),
                isUp ? (it.value("storeAvailable", false) ? "store ok" : "STORE UNAVAILABLE") : "" });
        }
    }

    int printStatus(const Options& options, bool withInstances)
    {
        auto response = get(options, "/status");
        if (!response.isReceived)
            return reportUnreachable(options, response);
        if (options.json) {
            std::cout << response.body << '\n';
            return exitOk;
        }
        auto document = response.json();
        std::cout << "ticket in force at the queried instance: " << fieldText(document, "ticket") << "\n\n";
        printRow({ "DOMAIN / INSTANCE", "TICKET IN FORCE", "ROLE", "EPOCH", "STORE" });
        for (const auto& it : document.at("domains").items()) {
            if (withInstances)
                printInstances(it.key(), it.value());
            else
                printRow({ it.key(),
                    it.value().value("reachable", false) ? fieldText(it.value(), "ticket") : "UNREACHABLE" });
        }
        return exitOk;
    }

    int printServers(const Options& options)
    {
        auto response = get(options, "/servers");
        if (!response.isReceived)
            return reportUnreachable(options, response);
        if (options.json) {
            std::cout << response.body << '\n';
            return exitOk;
        }
        printRow({ "SERVER", "DOMAIN", "ADDRESS", "SLOTS", "ITEMS", "LEAVING" });
        auto document = response.json();
        for (const auto& it : document.at("servers"))
            printRow({ fieldText(it, "server"), fieldText(it, "domain"), fieldText(it, "address"),
                fieldText(it, "slots"), fieldText(it, "items"), fieldText(it, "leaving") });
        return exitOk;
    }

    int printResponse(const Options& options, const std::string& target)
    {
        auto response = get(options, target);
        if (!response.isReceived)
            return reportUnreachable(options, response);
        if (response.status != 200)
            return reportRefusal(response);
        auto document = response.json();
        if (options.json || !document.is_object()) {
            std::cout << response.body << '\n';
            return exitOk;
        }
        for (const auto& it : document.items()) {
            if (it.key() != "code")
                printRow({ it.key(), it.value().is_string() ? it.value().get<std::string>() : it.value().dump() });
        }
        return exitOk;
    }

    int printMetrics(const Options& options)
    {
        auto response = get(options, "/metrics");
        if (!response.isReceived)
            return reportUnreachable(options, response);
        std::istringstream in(response.body);
        std::string line;
        Json document = Json::object();
        while (std::getline(in, line)) {
            auto space = line.rfind(' ');
            bool isSample = !line.empty() && line[0] != '#' && line.find("_bucket") == std::string::npos;
            if (isSample && space != std::string::npos)
                document[line.substr(0, space)] = std::strtod(line.c_str() + space, nullptr);
        }
        if (options.json)
            std::cout << document.dump() << '\n';
        else
            for (const auto& it : document.items())
                std::cout << std::left << std::setw(64) << it.key() << ' ' << it.value() << '\n';
        return exitOk;
    }

    std::string createWriterToken()
    {
        std::random_device random;
        std::ostringstream token;
        token << std::hex << random() << random() << random();
        return token.str();
    }

    /// Waits until the ticket is in force in every reachable domain, and prints the unreachable ones.
    /// Returns exitOk only if it is in force everywhere.
    int waitUntilInForce(const Options& options, std::uint64_t number)
    {
        auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(options.waitSeconds);
        std::string pending;
        std::string unreachable;
        do {
            auto document = get(options, "/status").json();
            pending.clear();
            unreachable.clear();
            if (!document.is_object())
                return exitUnreachable;
            for (const auto& it : document.at("domains").items()) {
                if (!it.value().value("reachable", false))
                    unreachable += " " + it.key();
                else if (it.value().value("ticket", std::uint64_t { 0 }) < number)
                    pending += " " + it.key();
            }
            if (pending.empty())
                break;
            std::cerr << "waiting for domains:" << pending << '\n';
            std::this_thread::sleep_for(pollInterval);
        } while (std::chrono::steady_clock::now() < deadline);
        if (!unreachable.empty())
            std::cerr << "unreachable domains:" << unreachable << '\n';
        return pending.empty() && unreachable.empty() ? exitOk : exitNotInForce;
    }

    Result<std::string> readFile(const std::string& path)
    {
        std::ifstream in(path);
        if (!in)
            return failure(ResultCode::malformedTicket, "cannot read " + path);
        std::stringstream text;
        text << in.rdbuf();
        return text.str();
    }

    int fileTicket(const Options& options)
    {
        auto text = readFile(options.ticketPath);
        auto ticket = text ? parseTicket(*text) : Result<Ticket>(tl::make_unexpected(text.error()));
        if (!ticket) {
            std::cerr << options.ticketPath << ": " << ticket.error().message << '\n';
            return exitBadInput;
        }
        // The token distinguishes a retry of this call from another operator's ticket with the same number.
        if (ticket->writer.empty())
            ticket->writer = createWriterToken();
        auto response = sendRequest(options, net::http::verb::post, "/tickets", toJson(*ticket).dump());
        if (!response.isReceived)
            return reportUnreachable(options, response);
        if (response.status != 200)
            return reportRefusal(response);
        if (options.json)
            std::cout << response.body << '\n';
        else
            std::cout << "ticket " << ticket->number << " accepted\n";
        if (options.waitSeconds == 0)
            return exitOk;
        auto code = waitUntilInForce(options, ticket->number);
        if (code == exitOk && !options.json)
            std::cout << "ticket " << ticket->number << " is in force in every domain\n";
        return code;
    }

    int checkTicket(const Options& options)
    {
        auto text = readFile(options.ticketPath);
        if (!text) {
            std::cerr << text.error().message << '\n';
            return exitBadInput;
        }
        auto response = sendRequest(options, net::http::verb::post, "/tickets/check", *text);
        if (!response.isReceived)
            return reportUnreachable(options, response);
        if (response.status != 200)
            return reportRefusal(response);
        std::cout << (options.json ? response.body : response.json().value("message", "")) << '\n';
        return exitOk;
    }

    std::uint64_t newestTicketNumber(const Options& options)
    {
        auto document = get(options, "/local").json();
        return document.is_object() ? document.value("ticket", std::uint64_t { 0 }) : 0;
    }

    std::string subjectNames(const Json& ticket)
    {
        std::string subjects;
        for (const char* kind : { "services", "domains" }) {
            if (!ticket.contains(kind))
                continue;
            for (const auto& it : ticket.at(kind).items())
                subjects += std::string(kind) + "/" + it.key() + " ";
        }
        if (ticket.contains("removedServices")) {
            for (const auto& it : ticket.at("removedServices"))
                subjects += "removed/" + it.get<std::string>() + " ";
        }
        return subjects;
    }

    int listTickets(const Options& options)
    {
        auto newest = newestTicketNumber(options);
        Json list = Json::array();
        for (std::uint64_t n = newest; n > 0; --n) {
            auto ticket = get(options, "/tickets/" + std::to_string(n)).json();
            if (ticket.is_object())
                list.push_back({ { "number", n }, { "subjects", subjectNames(ticket) },
                    { "writer", fieldText(ticket, "writer") } });
        }
        if (options.json) {
            std::cout << list.dump() << '\n';
            return exitOk;
        }
        printRow({ "TICKET", "SUBJECTS" });
        for (const auto& it : list)
            printRow({ fieldText(it, "number"), fieldText(it, "subjects") });
        return exitOk;
    }

    /// Returns a subject's value before ticket `number`, taken from the newest earlier ticket that contains the
    /// subject; null if there is none.
    Json previousValue(const Options& options, std::uint64_t number, const std::string& kind, const std::string& name)
    {
        for (auto n = number - 1; n > 0; --n) {
            auto ticket = get(options, "/tickets/" + std::to_string(n)).json();
            if (ticket.is_object() && ticket.contains(kind) && ticket.at(kind).contains(name))
                return ticket.at(kind).at(name);
        }
        return Json();
    }

    int diffTickets(const Options& options)
    {
        auto response = get(options, "/tickets/" + std::to_string(options.ticketNumber));
        if (!response.isReceived)
            return reportUnreachable(options, response);
        if (response.status != 200)
            return reportRefusal(response);
        auto ticket = response.json();
        for (const char* kind : { "services", "domains" }) {
            for (const auto& it : ticket.at(kind).items()) {
                auto previous = previousValue(options, options.ticketNumber, kind, it.key());
                auto changes = Json::diff(previous, it.value());
                if (options.json) {
                    std::cout << Json {
                        { "subject", std::string(kind) + "/" + it.key() }, { "changes", changes }
                    }.dump() << '\n';
                    continue;
                }
                std::cout << kind << '/' << it.key() << (previous.is_null() ? " is new" : "") << '\n';
                for (const auto& change : changes)
                    std::cout << "  " << fieldText(change, "op") << ' ' << fieldText(change, "path") << ' '
                              << fieldText(change, "value") << '\n';
            }
        }
        return exitOk;
    }

} // namespace

int runCommand(Command command, const Options& options)
{
    switch (command) {
    case Command::status:
        return printStatus(options, true);
    case Command::domains:
        return printStatus(options, false);
    case Command::servers:
        return printServers(options);
    case Command::metrics:
        return printMetrics(options);
    case Command::owner:
        return printResponse(options,
            "/owner?service=" + net::percentEncode(options.service) + "&key=" + net::percentEncode(options.key));
    case Command::fileTicket:
        return fileTicket(options);
    case Command::checkTicket:
        return checkTicket(options);
    case Command::showTicket:
        return printResponse(options, "/tickets/" + std::to_string(options.ticketNumber));
    case Command::diffTickets:
        return diffTickets(options);
    case Command::listTickets:
        return listTickets(options);
    case Command::checkConfiguration:
        return checkConfigurationFile(options);
    }
    return exitBadInput;
}

} // namespace acaciagauge::ctl
