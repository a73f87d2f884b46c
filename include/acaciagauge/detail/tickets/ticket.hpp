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

/// @brief One upstream server, as configured by the operators.
struct ServerSpec {
    ServerId id;
    DomainId domain;
    std::string address; ///< IP number and port, "127.0.0.1:9001".
    std::uint32_t slots = 1; ///< Requests that the server processes concurrently.
    std::uint32_t maxConnections = 64;
    bool checksFences = true;
    bool leaving = false;

    bool operator==(const ServerSpec&) const = default;
};

/// @brief The complete configuration of the subject "service/NAME".
struct ServiceSpec {
    ServiceName name;
    std::uint32_t partitions = 256;
    std::vector<std::string> idempotentMethods { "GET", "HEAD" };
    double churnWeight = 0.5; ///< From 0 (minimize unavailable time) to 1 (minimize churn).
    std::vector<std::string> hotKeys; ///< Keys that are assigned individually instead of with their partition.
    std::vector<ServerSpec> servers;

    bool operator==(const ServiceSpec&) const = default;
};

/// @brief The complete configuration of the subject "domain/NAME".
struct DomainSpec {
    DomainId name;
    bool lost = false; ///< The operators declare that the failure domain will not recover by itself.

    bool operator==(const DomainSpec&) const = default;
};

/// @brief A configuration change: a number and the complete new configuration of each subject (service or failure
/// domain) that it changes.
struct Ticket {
    TicketNumber number = 0;
    std::string writer; ///< Unique token of the operator's call; distinguishes a retry from another operator's ticket.
    std::map<ServiceName, ServiceSpec> services;
    std::vector<ServiceName> removedServices;
    std::map<DomainId, DomainSpec> domains;
};

/// @brief The configuration in force, with the number of the newest ticket that changed each subject.
struct Configuration {
    TicketNumber number = 0;
    std::string writer; ///< Writer token of ticket `number`.
    std::map<ServiceName, ServiceSpec> services;
    std::map<ServiceName, TicketNumber> serviceTickets;
    std::map<DomainId, DomainSpec> domains;
    std::map<DomainId, TicketNumber> domainTickets;
};

/// @brief Reads and validates a ticket.
/// @return the ticket, or malformedTicket with the subject, the field and its allowed range
Result<Ticket> ticketFromJson(const nlohmann::json& document);

/// @brief Parses JSON text and reads a ticket from it.
Result<Ticket> parseTicket(std::string_view text);

/// @brief Returns the JSON form of a ticket.
nlohmann::json toJson(const Ticket& ticket);

/// @brief Applies the next ticket.
/// @return the new configuration; `current` if it results from this same ticket (equal number and writer);
///         ticketNumberTaken if another ticket has the number; ticketNumberGap if it is not the next number;
///         unknownSubject if it removes a service that does not exist
Result<Configuration> applyTicket(const Configuration& current, const Ticket& ticket);

/// @brief Returns the JSON form of a configuration.
nlohmann::json toJson(const Configuration& configuration);

/// @brief Reads a configuration written by toJson.
Result<Configuration> configurationFromJson(const nlohmann::json& document);

/// @brief Replaces `current` by `candidate` if the candidate's ticket number is higher.
/// @return true if `candidate` replaced `current`
bool adoptIfNewer(Configuration& current, const Configuration& candidate);

} // namespace acaciagauge
