#pragma once

#include "acaciagauge/detail/common/ids.hpp"
#include "acaciagauge/detail/common/result.hpp"
#include "acaciagauge/detail/common/time.hpp"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace acaciagauge {

/// @brief Largest number of partitions of one service.
inline constexpr std::uint32_t maxPartitions = 1U << 20;

/// @brief One upstream server as the operators describe it.
struct ServerSpec {
    ServerId id;
    DomainId domain;
    std::string address; ///< IP number and port, "127.0.0.1:9001".
    std::uint32_t slots = 1;
    std::uint32_t maxConnections = 64;
    bool checksFences = true;
    bool leaving = false;

    bool operator==(const ServerSpec&) const = default;
};

/// @brief The whole state of the subject "service/NAME".
struct ServiceSpec {
    ServiceName name;
    std::uint32_t partitions = 256;
    std::vector<std::string> idempotentMethods { "GET", "HEAD" };
    double churnWeight = 0.5; ///< 0 favours short unavailable time, 1 favours little churn.
    std::vector<std::string> hotKeys; ///< Keys that are owned apart from their partition.
    std::vector<ServerSpec> servers;

    bool operator==(const ServiceSpec&) const = default;
};

/// @brief The whole state of the subject "domain/NAME".
struct DomainSpec {
    DomainId name;
    bool lost = false; ///< Declares that the failure domain will not come back on its own.

    bool operator==(const DomainSpec&) const = default;
};

/// @brief A change ticket: a number and the whole new state of each subject that it touches.
struct Ticket {
    TicketNumber number = 0;
    std::string writer; ///< Unique token of the operator's call; tells a retry from a race.
    std::map<ServiceName, ServiceSpec> services;
    std::vector<ServiceName> removedServices;
    std::map<DomainId, DomainSpec> domains;
};

/// @brief What is in force: for each subject the highest ticket that touched it.
struct Configuration {
    TicketNumber number = 0;
    std::string writer; ///< Writer token of ticket `number`.
    std::map<ServiceName, ServiceSpec> services;
    std::map<ServiceName, TicketNumber> serviceTickets;
    std::map<DomainId, DomainSpec> domains;
    std::map<DomainId, TicketNumber> domainTickets;
};

/// @brief Reads and checks a ticket.
/// @return the ticket, or malformedTicket with the subject, field and allowed range
Result<Ticket> ticketFromJson(const nlohmann::json& document);

/// @brief Parses JSON text and reads a ticket from it.
Result<Ticket> parseTicket(std::string_view text);

/// @brief Returns the JSON form of a ticket.
nlohmann::json toJson(const Ticket& ticket);

/// @brief Applies the next ticket.
/// @return the new configuration; the same one if this very ticket is in force already;
///         ticketNumberTaken if another ticket has the number; ticketNumberGap if it is too high;
///         unknownSubject if it removes a service that does not exist
Result<Configuration> applyTicket(const Configuration& current, const Ticket& ticket);

/// @brief Returns the JSON form of a configuration.
nlohmann::json toJson(const Configuration& configuration);

/// @brief Reads a configuration that toJson wrote.
Result<Configuration> configurationFromJson(const nlohmann::json& document);

/// @brief Keeps the newer of two configurations. A lower or equal number never replaces a higher one.
/// @return true if `candidate` replaced `current`
bool adoptIfNewer(Configuration& current, const Configuration& candidate);

} // namespace acaciagauge
