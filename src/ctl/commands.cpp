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

    constexpr auto callTimeout = std::chrono::seconds(5);
    constexpr auto pollInterval = std::chrono::milliseconds(200);

    struct Answer {
        bool reached = false;
        unsigned status = 0;
        std::string body;

        [[nodiscard]] Json json() const { return Json::parse(body, nullptr, false); }
    };

    Answer call(const Options& options, net::http::verb method, const std::string& target, const std::string& body = {})
    {
        net::asio::io_context context(1);
        auto client = net::HttpClient::create(context, { 1, net::maxAdminBodyBytes });
        auto request = net::makeRequest(method, target, body);
        if (!options.token.empty())
            request.set(net::http::field::authorization, "Bearer " + options.token);
        Answer answer;
        auto exchange = [&]() -> net::asio::awaitable<void> {
            auto result = co_await client->exchange(options.address, std::move(request), callTimeout);
            answer.reached = result.state == net::ExchangeState::answered;
            answer.status = result.response.result_int();
            answer.body = answer.reached ? result.response.body() : result.error;
        };
        net::asio::co_spawn(context, exchange(), net::asio::detached);
        context.run();
        return answer;
    }

    Answer get(const Options& options, const std::string& target)
    {
        return call(options, net::http::verb::get, target);
    }

    int unreachable(const Options& options, const Answer& answer)
    {
        std::cerr << "no answer from " << options.address << ": " << answer.body << '\n';
        return exitUnreachable;
    }

    int refused(const Answer& answer)
    {
        auto document = answer.json();
        if (document.is_object())
            std::cerr << "refused (" << document.value("code", 0) << ' ' << document.value("name", "")
                      << "): " << document.value("message", "") << '\n';
        else
            std::cerr << "refused with status " << answer.status << '\n';
        return exitRefused;
    }

    void printRow(const std::vector<std::string>& cells)
    {
        constexpr int cellWidth = 22;
        for (const auto& it : cells)
            std::cout << std::left << std::setw(cellWidth) << it << ' ';
        std::cout << '\n';
    }

    std::string textOf(const Json& document, const char* field)
    {
        if (!document.contains(field))
            return "-";
        const auto& value = document.at(field);
        return value.is_string() ? value.get<std::string>() : value.dump();
    }

    void printInstances(const std::string& domain, const Json& state)
    {
        bool isReachable = state.value("reachable", false);
        printRow({ domain, isReachable ? textOf(state, "ticket") : "CANNOT BE ASKED", "", "", "" });
        for (const auto& it : state.at("instances")) {
            bool isUp = it.value("reachable", false);
            printRow({ "  " + textOf(it, "instance"), isUp ? textOf(it, "ticket") : "no answer", textOf(it, "role"),
                textOf(it, "epoch"), isUp ? (it.value("storeAvailable", false) ? "store ok" : "STORE DOWN") : "" });
        }
    }

    int status(const Options& options, bool withInstances)
    {
        auto answer = get(options, "/status");
        if (!answer.reached)
            return unreachable(options, answer);
        if (options.json) {
            std::cout << answer.body << '\n';
            return exitOk;
        }
        auto document = answer.json();
        std::cout << "ticket in force at the asked instance: " << textOf(document, "ticket") << "\n\n";
        printRow({ "DOMAIN / INSTANCE", "TICKET IN FORCE", "ROLE", "EPOCH", "STORE" });
        for (const auto& it : document.at("domains").items()) {
            if (withInstances)
                printInstances(it.key(), it.value());
            else
                printRow({ it.key(),
                    it.value().value("reachable", false) ? textOf(it.value(), "ticket") : "CANNOT BE ASKED" });
        }
        return exitOk;
    }

    int servers(const Options& options)
    {
        auto answer = get(options, "/servers");
        if (!answer.reached)
            return unreachable(options, answer);
        if (options.json) {
            std::cout << answer.body << '\n';
            return exitOk;
        }
        printRow({ "SERVER", "DOMAIN", "ADDRESS", "SLOTS", "ITEMS", "LEAVING" });
        auto document = answer.json();
        for (const auto& it : document.at("servers"))
            printRow({ textOf(it, "server"), textOf(it, "domain"), textOf(it, "address"), textOf(it, "slots"),
                textOf(it, "items"), textOf(it, "leaving") });
        return exitOk;
    }

    int printAnswer(const Options& options, const std::string& target)
    {
        auto answer = get(options, target);
        if (!answer.reached)
            return unreachable(options, answer);
        if (answer.status != 200)
            return refused(answer);
        auto document = answer.json();
        if (options.json || !document.is_object()) {
            std::cout << answer.body << '\n';
            return exitOk;
        }
        for (const auto& it : document.items()) {
            if (it.key() != "code")
                printRow({ it.key(), it.value().is_string() ? it.value().get<std::string>() : it.value().dump() });
        }
        return exitOk;
    }

    int measures(const Options& options)
    {
        auto answer = get(options, "/metrics");
        if (!answer.reached)
            return unreachable(options, answer);
        std::istringstream in(answer.body);
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

    std::string newWriterToken()
    {
        std::random_device random;
        std::ostringstream token;
        token << std::hex << random() << random() << random();
        return token.str();
    }

    /// Waits until every domain that can be asked has the ticket in force, and names those that cannot.
    int waitInForce(const Options& options, std::uint64_t number)
    {
        auto end = std::chrono::steady_clock::now() + std::chrono::seconds(options.waitSeconds);
        std::string waiting;
        std::string unasked;
        do {
            auto document = get(options, "/status").json();
            waiting.clear();
            unasked.clear();
            if (!document.is_object())
                return exitUnreachable;
            for (const auto& it : document.at("domains").items()) {
                if (!it.value().value("reachable", false))
                    unasked += " " + it.key();
                else if (it.value().value("ticket", std::uint64_t { 0 }) < number)
                    waiting += " " + it.key();
            }
            if (waiting.empty())
                break;
            std::cerr << "waiting for" << waiting << '\n';
            std::this_thread::sleep_for(pollInterval);
        } while (std::chrono::steady_clock::now() < end);
        if (!unasked.empty())
            std::cerr << "cannot be asked:" << unasked << '\n';
        return waiting.empty() && unasked.empty() ? exitOk : exitNotYet;
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
        auto text = readFile(options.path);
        auto ticket = text ? parseTicket(*text) : Result<Ticket>(tl::make_unexpected(text.error()));
        if (!ticket) {
            std::cerr << options.path << ": " << ticket.error().message << '\n';
            return exitBadInput;
        }
        // The token tells a repeated call from another operator's ticket with the same number.
        if (ticket->writer.empty())
            ticket->writer = newWriterToken();
        auto answer = call(options, net::http::verb::post, "/tickets", toJson(*ticket).dump());
        if (!answer.reached)
            return unreachable(options, answer);
        if (answer.status != 200)
            return refused(answer);
        if (options.json)
            std::cout << answer.body << '\n';
        else
            std::cout << "ticket " << ticket->number << " accepted\n";
        if (options.waitSeconds == 0)
            return exitOk;
        auto code = waitInForce(options, ticket->number);
        if (code == exitOk && !options.json)
            std::cout << "ticket " << ticket->number << " is in force in every domain\n";
        return code;
    }

    int checkTicket(const Options& options)
    {
        auto text = readFile(options.path);
        if (!text) {
            std::cerr << text.error().message << '\n';
            return exitBadInput;
        }
        auto answer = call(options, net::http::verb::post, "/tickets/check", *text);
        if (!answer.reached)
            return unreachable(options, answer);
        if (answer.status != 200)
            return refused(answer);
        std::cout << (options.json ? answer.body : answer.json().value("message", "")) << '\n';
        return exitOk;
    }

    std::uint64_t newestTicket(const Options& options)
    {
        auto document = get(options, "/local").json();
        return document.is_object() ? document.value("ticket", std::uint64_t { 0 }) : 0;
    }

    std::string subjectsOf(const Json& ticket)
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
        auto newest = newestTicket(options);
        Json list = Json::array();
        for (std::uint64_t n = newest; n > 0; --n) {
            auto ticket = get(options, "/tickets/" + std::to_string(n)).json();
            if (ticket.is_object())
                list.push_back(
                    { { "number", n }, { "subjects", subjectsOf(ticket) }, { "writer", textOf(ticket, "writer") } });
        }
        if (options.json) {
            std::cout << list.dump() << '\n';
            return exitOk;
        }
        printRow({ "TICKET", "SUBJECTS" });
        for (const auto& it : list)
            printRow({ textOf(it, "number"), textOf(it, "subjects") });
        return exitOk;
    }

    /// Finds what was in force for a subject before a ticket: the newest earlier ticket that touches it.
    Json subjectBefore(const Options& options, std::uint64_t number, const std::string& kind, const std::string& name)
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
        auto answer = get(options, "/tickets/" + std::to_string(options.number));
        if (!answer.reached)
            return unreachable(options, answer);
        if (answer.status != 200)
            return refused(answer);
        auto ticket = answer.json();
        for (const char* kind : { "services", "domains" }) {
            for (const auto& it : ticket.at(kind).items()) {
                auto before = subjectBefore(options, options.number, kind, it.key());
                auto changes = Json::diff(before, it.value());
                if (options.json) {
                    std::cout << Json {
                        { "subject", std::string(kind) + "/" + it.key() }, { "changes", changes }
                    }.dump() << '\n';
                    continue;
                }
                std::cout << kind << '/' << it.key() << (before.is_null() ? " is new" : "") << '\n';
                for (const auto& change : changes)
                    std::cout << "  " << textOf(change, "op") << ' ' << textOf(change, "path") << ' '
                              << textOf(change, "value") << '\n';
            }
        }
        return exitOk;
    }

} // namespace

int run(Command command, const Options& options)
{
    switch (command) {
    case Command::status:
        return status(options, true);
    case Command::domains:
        return status(options, false);
    case Command::servers:
        return servers(options);
    case Command::measures:
        return measures(options);
    case Command::owner:
        return printAnswer(options,
            "/owner?service=" + net::percentEncode(options.service) + "&key=" + net::percentEncode(options.key));
    case Command::fileTicket:
        return fileTicket(options);
    case Command::checkTicket:
        return checkTicket(options);
    case Command::showTicket:
        return printAnswer(options, "/tickets/" + std::to_string(options.number));
    case Command::diffTickets:
        return diffTickets(options);
    case Command::listTickets:
        return listTickets(options);
    }
    return exitBadInput;
}

} // namespace acaciagauge::ctl
