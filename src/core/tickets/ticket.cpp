#include "acaciagauge/acaciagauge.hpp"

#include <nlohmann/json.hpp>
#include <set>

namespace acaciagauge {

using Json = nlohmann::json;

namespace {

    constexpr std::size_t maxNameLength = 64;
    constexpr std::uint32_t maxSlots = 1024;
    constexpr std::uint32_t maxServerConnections = 4096;
    constexpr std::size_t maxHotKeys = 1000;

    /// Thrown for an invalid field; caught in ticketFromJson and configurationFromJson.
    struct FieldError {
        std::string message;
    };

    void requireName(const std::string& what, const std::string& name)
    {
        bool isValid = !name.empty() && name.size() <= maxNameLength;
        for (char c : name)
            isValid = isValid && (std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.');
        if (!isValid)
            throw FieldError { what + " \"" + name + "\" must have 1 to 64 letters, digits, '-', '_' or '.'" };
    }

    void requireObject(const std::string& where, const Json& document)
    {
        if (!document.is_object())
            throw FieldError { where + " must be a JSON object" };
    }

    void requireKnownFields(const std::string& where, const Json& document, const std::set<std::string>& known)
    {
        requireObject(where, document);
        for (const auto& it : document.items()) {
            if (!known.contains(it.key()))
                throw FieldError { where + " has the unknown field \"" + it.key() + "\"" };
        }
    }

    std::uint64_t readNumber(const std::string& where, const Json& document, const char* field, std::uint64_t fallback,
        std::uint64_t low, std::uint64_t high)
    {
        if (!document.contains(field))
            return fallback;
        const auto& value = document.at(field);
        auto range = std::to_string(low) + " to " + std::to_string(high);
        if (!value.is_number_unsigned() || value.get<std::uint64_t>() < low || value.get<std::uint64_t>() > high)
            throw FieldError { where + "." + field + " must be an integer from " + range + ", found " + value.dump() };
        return value.get<std::uint64_t>();
    }

    bool readFlag(const std::string& where, const Json& document, const char* field, bool fallback)
    {
        if (!document.contains(field))
            return fallback;
        if (!document.at(field).is_boolean())
            throw FieldError { where + "." + field + " must be true or false, found " + document.at(field).dump() };
        return document.at(field).get<bool>();
    }

    std::string readString(const std::string& where, const Json& document, const char* field)
    {
        if (!document.contains(field) || !document.at(field).is_string())
            throw FieldError { where + "." + field + " must be a string" };
        return document.at(field).get<std::string>();
    }

    std::vector<std::string> readStrings(const std::string& where, const Json& document, const char* field)
    {
        std::vector<std::string> strings;
        const auto& list = document.at(field);
        if (!list.is_array())
            throw FieldError { where + "." + field + " must be an array of strings" };
        for (const auto& it : list) {
            if (!it.is_string())
                throw FieldError { where + "." + field + " must be an array of strings" };
            strings.push_back(it.get<std::string>());
        }
        return strings;
    }

    ServerSpec readServer(const std::string& where, const Json& document)
    {
        requireKnownFields(
            where, document, { "id", "domain", "address", "slots", "maxConnections", "checksFences", "leaving" });
        ServerSpec spec;
        spec.id = readString(where, document, "id");
        requireName(where + ".id", spec.id);
        spec.domain = readString(where, document, "domain");
        requireName(where + ".domain", spec.domain);
        spec.address = readString(where, document, "address");
        if (spec.address.find(':') == std::string::npos)
            throw FieldError { where + ".address must be an IP address and a port, found \"" + spec.address + "\"" };
        spec.slots = static_cast<std::uint32_t>(readNumber(where, document, "slots", 1, 1, maxSlots));
        spec.maxConnections
            = static_cast<std::uint32_t>(readNumber(where, document, "maxConnections", 64, 1, maxServerConnections));
        spec.checksFences = readFlag(where, document, "checksFences", true);
        spec.leaving = readFlag(where, document, "leaving", false);
        return spec;
    }

    ServiceSpec readService(const std::string& name, const Json& document)
    {
        auto where = "services." + name;
        requireName("service", name);
        requireKnownFields(where, document, { "partitions", "idempotentMethods", "churnWeight", "hotKeys", "servers" });
        ServiceSpec spec;
        spec.name = name;
        spec.partitions = static_cast<std::uint32_t>(readNumber(where, document, "partitions", 256, 1, maxPartitions));
        if (document.contains("idempotentMethods"))
            spec.idempotentMethods = readStrings(where, document, "idempotentMethods");
        if (document.contains("hotKeys"))
            spec.hotKeys = readStrings(where, document, "hotKeys");
        if (spec.hotKeys.size() > maxHotKeys)
            throw FieldError { where + ".hotKeys may list at most 1000 keys" };
        if (document.contains("churnWeight")) {
            const auto& weight = document.at("churnWeight");
            if (!weight.is_number() || weight.get<double>() < 0 || weight.get<double>() > 1)
                throw FieldError { where + ".churnWeight must be a number from 0 to 1, found " + weight.dump() };
            spec.churnWeight = weight.get<double>();
        }
        if (!document.contains("servers") || !document.at("servers").is_array())
            throw FieldError { where + ".servers must be an array" };
        std::set<ServerId> seen;
        for (const auto& it : document.at("servers")) {
            spec.servers.push_back(readServer(where + ".servers", it));
            if (!seen.insert(spec.servers.back().id).second)
                throw FieldError { where + ".servers lists \"" + spec.servers.back().id + "\" twice" };
        }
        return spec;
    }

    Ticket readTicket(const Json& document)
    {
        requireKnownFields("ticket", document, { "number", "writer", "services", "removedServices", "domains" });
        Ticket ticket;
        if (!document.contains("number"))
            throw FieldError { "ticket.number is missing" };
        ticket.number = readNumber("ticket", document, "number", 0, 1, UINT64_MAX / 2);
        if (document.contains("writer"))
            ticket.writer = readString("ticket", document, "writer");
        if (document.contains("services")) {
            requireObject("ticket.services", document.at("services"));
            for (const auto& it : document.at("services").items())
                ticket.services[it.key()] = readService(it.key(), it.value());
        }
        if (document.contains("removedServices"))
            ticket.removedServices = readStrings("ticket", document, "removedServices");
        if (document.contains("domains")) {
            requireObject("ticket.domains", document.at("domains"));
            for (const auto& it : document.at("domains").items()) {
                requireName("domain", it.key());
                requireKnownFields("domains." + it.key(), it.value(), { "lost" });
                auto lost = readFlag("domains." + it.key(), it.value(), "lost", false);
                ticket.domains[it.key()] = DomainSpec { it.key(), lost };
            }
        }
        if (ticket.services.empty() && ticket.removedServices.empty() && ticket.domains.empty())
            throw FieldError { "the ticket changes no subject" };
        for (const auto& it : ticket.removedServices) {
            if (ticket.services.contains(it))
                throw FieldError { "service \"" + it + "\" is both changed and removed" };
        }
        return ticket;
    }

    Json serviceJson(const ServiceSpec& spec)
    {
        Json servers = Json::array();
        for (const auto& it : spec.servers) {
            servers.push_back({ { "id", it.id }, { "domain", it.domain }, { "address", it.address },
                { "slots", it.slots }, { "maxConnections", it.maxConnections }, { "checksFences", it.checksFences },
                { "leaving", it.leaving } });
        }
        return { { "partitions", spec.partitions }, { "idempotentMethods", spec.idempotentMethods },
            { "churnWeight", spec.churnWeight }, { "hotKeys", spec.hotKeys }, { "servers", servers } };
    }

} // namespace

Result<Ticket> ticketFromJson(const Json& document)
{
    try {
        return readTicket(document);
    } catch (const FieldError& error) {
        return failure(ResultCode::malformedTicket, error.message);
    }
}

Result<Ticket> parseTicket(std::string_view text)
{
    auto document = Json::parse(text, nullptr, false);
    if (document.is_discarded())
        return failure(ResultCode::malformedTicket, "the ticket is not valid JSON");
    return ticketFromJson(document);
}

Json toJson(const Ticket& ticket)
{
    Json document { { "number", ticket.number }, { "writer", ticket.writer } };
    document["services"] = Json::object();
    for (const auto& it : ticket.services)
        document["services"][it.first] = serviceJson(it.second);
    document["removedServices"] = ticket.removedServices;
    document["domains"] = Json::object();
    for (const auto& it : ticket.domains)
        document["domains"][it.first] = { { "lost", it.second.lost } };
    return document;
}

Result<Configuration> applyTicket(const Configuration& current, const Ticket& ticket)
{
    if (ticket.number == current.number && !ticket.writer.empty() && ticket.writer == current.writer)
        return current;
    auto inForce = std::to_string(current.number);
    if (ticket.number <= current.number)
        return failure(ResultCode::ticketNumberTaken,
            "ticket number " + std::to_string(ticket.number) + " is already taken by writer \"" + current.writer
                + "\"; ticket in force: " + inForce);
    if (ticket.number > current.number + 1)
        return failure(ResultCode::ticketNumberGap, "the next ticket number is " + std::to_string(current.number + 1));
    Configuration next = current;
    next.number = ticket.number;
    next.writer = ticket.writer;
    for (const auto& it : ticket.removedServices) {
        if (!next.services.erase(it))
            return failure(ResultCode::unknownSubject, "service \"" + it + "\" does not exist");
        next.serviceTickets[it] = ticket.number;
    }
    for (const auto& it : ticket.services) {
        auto existing = current.services.find(it.first);
        if (existing != current.services.end() && existing->second.partitions != it.second.partitions)
            return failure(ResultCode::malformedTicket,
                "service \"" + it.first + "\" has " + std::to_string(existing->second.partitions)
                    + " partitions; the number of partitions cannot be changed");
        bool changesHotKeys = existing != current.services.end() && existing->second.hotKeys != it.second.hotKeys;
        if (changesHotKeys)
            return failure(ResultCode::malformedTicket,
                "the hot keys of service \"" + it.first + "\" can be set only by the ticket that creates the service");
        next.services[it.first] = it.second;
        next.serviceTickets[it.first] = ticket.number;
    }
    for (const auto& it : ticket.domains) {
        next.domains[it.first] = it.second;
        next.domainTickets[it.first] = ticket.number;
    }
    return next;
}

Json toJson(const Configuration& configuration)
{
    Json document { { "number", configuration.number }, { "writer", configuration.writer } };
    document["services"] = Json::object();
    for (const auto& it : configuration.services)
        document["services"][it.first] = serviceJson(it.second);
    document["domains"] = Json::object();
    for (const auto& it : configuration.domains)
        document["domains"][it.first] = { { "lost", it.second.lost } };
    document["serviceTickets"] = configuration.serviceTickets;
    document["domainTickets"] = configuration.domainTickets;
    return document;
}

Result<Configuration> configurationFromJson(const Json& document)
{
    try {
        Configuration configuration;
        configuration.number = readWholeField<TicketNumber>(document, "number");
        configuration.writer = document.at("writer").get<std::string>();
        for (const auto& it : document.at("services").items())
            configuration.services[it.key()] = readService(it.key(), it.value());
        for (const auto& it : document.at("domains").items())
            configuration.domains[it.key()] = DomainSpec { it.key(), it.value().at("lost").get<bool>() };
        for (const auto& it : document.at("serviceTickets").get_ref<const Json::object_t&>())
            configuration.serviceTickets[it.first] = readWhole<TicketNumber>(it.second);
        for (const auto& it : document.at("domainTickets").get_ref<const Json::object_t&>())
            configuration.domainTickets[it.first] = readWhole<TicketNumber>(it.second);
        return configuration;
    } catch (const FieldError& error) {
        return failure(ResultCode::malformedTicket, error.message);
    } catch (const Json::exception& error) {
        return failure(ResultCode::malformedTicket, error.what());
    }
}

bool adoptIfNewer(Configuration& current, const Configuration& candidate)
{
    if (candidate.number <= current.number)
        return false;
    current = candidate;
    return true;
}

} // namespace acaciagauge
