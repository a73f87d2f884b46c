#pragma once

#include "acaciagauge/detail/common/ids.hpp"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acaciagauge {

/// @brief A service of a route; its weight is its share of the route's requests.
struct WeightedService {
    ServiceName service;
    unsigned weight = 1;
};

/// @brief Configuration of a route: which requests it matches and how they are forwarded.
struct RouteConfig {
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    bool idempotent = false;
    bool hasLargeResponses = false; ///< Its responses are large compared to those of other routes.
    std::chrono::milliseconds timeout { 0 }; ///< Maximum time until a caller gets a response.
    std::chrono::milliseconds targetLatency { 0 }; ///< A response after this time is late.
    unsigned priority = 0; ///< 0 is the highest.
    unsigned maxAttempts = 1; ///< Servers that one request may be sent to, retries included.
    std::vector<WeightedService> services; ///< At least one.
};

/// @brief Configuration of a service.
struct ServiceConfig {
    ServiceName name;
    std::string healthPath;
    unsigned maxConnections = 0; ///< To one server, from all instances; 0: not configured.
    bool isSharded = false; ///< Each key is owned by one server.
    std::chrono::milliseconds warmUp { 0 }; ///< Time for which a key that arrives without a handover is slow.
    std::optional<double>
        warmupPerSecond; ///< Requests per second that a cold server takes from all instances; nothing: no limit.
};

/// @brief Bounds on what callers may send.
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16U * 1024;
    std::uint64_t maxBodyBytes = 1024ULL * 1024;
    std::chrono::milliseconds headerTimeout { 3000 };
    std::chrono::milliseconds idleTimeout { 15000 };
};

/// @brief One complete version of the operators' configuration.
class DesiredState {
public:
    /// @brief Creates a configuration; indexes the routes for match().
    /// @param repeatedServices names that the document lists more than once; the last entry of each is in `services`
    static std::shared_ptr<const DesiredState> create(std::uint64_t version, std::vector<RouteConfig> routes,
        std::map<ServiceName, ServiceConfig> services, CallerLimits limits,
        std::vector<ServiceName> repeatedServices = {});

    /// @brief Finds the route of a request: the one of its host with the longest matching path prefix.
    /// @param host value of the Host header; case and port are ignored
    /// @param path without the query
    /// @return null if no route matches
    /// @complexity O(routes of the host)
    [[nodiscard]] const RouteConfig* match(std::string_view host, std::string_view path) const;

    /// @brief Finds a service; null if it is not configured.
    [[nodiscard]] const ServiceConfig* service(const ServiceName& name) const;

    /// @brief Returns true if demand may exceed capacity or is uneven, so that one instance should admit the requests
    /// of all to a server: a service limits the rate to cold servers, or a route has large responses.
    [[nodiscard]] bool callsForCoordination() const { return m_callsForCoordination; }

    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] const std::map<ServiceName, ServiceConfig>& services() const { return m_services; }
    [[nodiscard]] const CallerLimits& limits() const { return m_limits; }
    [[nodiscard]] std::size_t routeCount() const { return m_routeCount; }

    /// @brief Returns the routes by host (lower case, without port): the longest prefix first, equal prefixes in the
    /// document's order.
    [[nodiscard]] const std::map<std::string, std::vector<RouteConfig>, std::less<>>& routes() const
    {
        return m_routes;
    }

    /// @brief Returns the names that the document lists more than once.
    [[nodiscard]] const std::vector<ServiceName>& repeatedServices() const { return m_repeatedServices; }

private:
    DesiredState() = default;

    std::uint64_t m_version = 0;
    std::size_t m_routeCount = 0;
    bool m_callsForCoordination = false;
    std::map<std::string, std::vector<RouteConfig>, std::less<>> m_routes; ///< By host, longest prefix first.
    std::map<ServiceName, ServiceConfig> m_services;
    CallerLimits m_limits;
    std::vector<ServiceName> m_repeatedServices;
};

/// @brief Distributes the requests of a route to its services by weight, evenly over any number of requests.
///
/// Smooth weighted round robin: no service is ahead of its share by more than one request.
class WeightedRoundRobin {
public:
    static WeightedRoundRobin create() { return {}; }

    /// @brief Returns the service for the next request of a route.
    const WeightedService& next(const RouteConfig& route);

private:
    WeightedRoundRobin() = default;
    std::map<std::string, std::map<ServiceName, long>> m_credit; ///< By route name, then service.
};

} // namespace acaciagauge
