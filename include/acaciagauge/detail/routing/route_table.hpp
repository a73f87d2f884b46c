#pragma once

#include "acaciagauge/detail/relay/knowledge.hpp"

#include <memory>
#include <unordered_map>

namespace acaciagauge {

/// @brief The owner of a key.
struct Route {
    Item item;
    ServerId server; ///< "SERVICE/SERVER".
    const ServerSpec* spec = nullptr;
    bool isIdempotentMethod = false;
};

/// @brief Immutable table of all owners; replaced as a whole by a newer one.
class RouteTable {
public:
    /// @brief Builds a table from the configuration, the ownership records and the home map.
    /// @complexity O(partitions + hot keys + servers)
    static std::shared_ptr<const RouteTable> create(const Knowledge& knowledge);

    /// @brief Finds the owner of a key.
    /// @return the route; unknownService, or noOwner if no server is currently known to own the key
    /// @complexity O(1)
    [[nodiscard]] Result<Route> find(const std::string& service, const std::string& key, std::string_view method) const;

    /// @brief Finds a server by "SERVICE/SERVER"; null if no ticket names it.
    [[nodiscard]] const ServerSpec* server(const ServerId& id) const;

    /// @brief Returns all servers by "SERVICE/SERVER".
    [[nodiscard]] const std::map<ServerId, ServerSpec>& servers() const { return m_servers; }

private:
    struct Service {
        std::uint32_t partitions = 0;
        std::vector<std::string> idempotentMethods;
        std::vector<const std::pair<const ServerId, ServerSpec>*> owners; ///< By partition; null if unknown.
        std::unordered_map<std::string, const std::pair<const ServerId, ServerSpec>*> hotOwners;
    };

    std::map<ServerId, ServerSpec> m_servers;
    std::unordered_map<ServiceName, Service> m_services;
};

/// @brief Joins the names of a service and its server.
inline ServerId serverIdOf(const ServiceName& service, const ServerId& server)
{
    return service + "/" + server;
}

} // namespace acaciagauge
