#pragma once

#include "acaciagauge/detail/common/ids.hpp"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace acaciagauge {

/// @brief One service of a route and its share of the route's requests.
struct WeightedService {
    ServiceName service;
    unsigned weight = 1;
};

/// @brief Where requests for a host and a path go, and how.
struct RouteConfig {
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    bool idempotent = false;
    std::chrono::milliseconds timeout { 0 }; ///< Longest time that a caller is kept waiting.
    std::chrono::milliseconds targetLatency { 0 }; ///< An answer within this time earns its full worth.
    unsigned priority = 0; ///< 0 is the highest.
    unsigned maxAttempts = 1; ///< Servers that one request may be sent to.
    std::vector<WeightedService> services; ///< At least one.
};

/// @brief What is configured for a service.
struct ServiceConfig {
    ServiceName name;
    std::string healthPath;
    unsigned maxConnections = 0; ///< Of one server, from all callers; 0: not stated.
    bool isSharded = false; ///< Each key has one owning server.
    std::chrono::milliseconds warmUp { 0 }; ///< A key that arrives without its handover is slow for this time.
};

/// @brief Bounds on what callers may send.
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16U * 1024;
    std::uint64_t maxBodyBytes = 1024ULL * 1024;
    std::chrono::milliseconds headerTimeout { 3000 };
    std::chrono::milliseconds idleTimeout { 15000 };
};

/// @brief The operators' configuration: one whole numbered state.
class DesiredState {
public:
    /// @brief Orders the routes for matching.
    static std::shared_ptr<const DesiredState> create(std::uint64_t version, std::vector<RouteConfig> routes,
        std::map<ServiceName, ServiceConfig> services, CallerLimits limits);

    /// @brief Finds the route of a request: the longest prefix of its host that begins the path.
    /// @param host value of the Host header; a port is ignored
    /// @param path without a query
    /// @return null if no route matches
    /// @complexity O(routes of the host)
    [[nodiscard]] const RouteConfig* match(std::string_view host, std::string_view path) const;

    /// @brief Finds a service; null if it is not configured.
    [[nodiscard]] const ServiceConfig* service(const ServiceName& name) const;

    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] const std::map<ServiceName, ServiceConfig>& services() const { return m_services; }
    [[nodiscard]] const CallerLimits& limits() const { return m_limits; }
    [[nodiscard]] std::size_t routeCount() const { return m_routeCount; }

private:
    DesiredState() = default;

    std::uint64_t m_version = 0;
    std::size_t m_routeCount = 0;
    std::map<std::string, std::vector<RouteConfig>, std::less<>> m_routes; ///< By host, longest prefix first.
    std::map<ServiceName, ServiceConfig> m_services;
    CallerLimits m_limits;
};

/// @brief Deals requests to a route's parts so that each window holds each part's share.
///
/// Smooth weighted round robin: no part is ahead of its share by more than one request.
class WeightedRoundRobin {
public:
    static WeightedRoundRobin create() { return {}; }

    /// @brief Returns the part of the next request on a route.
    const WeightedService& next(const RouteConfig& route);

private:
    WeightedRoundRobin() = default;
    std::map<std::string, std::map<ServiceName, long>> m_credit; ///< By route name, then service.
};

} // namespace acaciagauge
