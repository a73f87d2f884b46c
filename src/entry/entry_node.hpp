#pragma once

#include "daemon/rpc_node.hpp"
#include "daemon/settings.hpp"
#include "entry/admission.hpp"
#include "entry/controller_role.hpp"
#include "entry/membership.hpp"
#include "entry/permits.hpp"
#include "entry/request_forwarder.hpp"

namespace acaciagauge::entry {

/// @brief Adapters to the platform.
struct Ports {
    ports::StorePort store;
    ports::KeyOrdersPort orders;
    ports::DocumentsPort documents;
    ports::RequestDialect dialect;
    std::shared_ptr<net::BufferBudget> budget; ///< Shared with the clients of the other ports; null: no bound.
};

/// @brief Creates the budget for all messages that an instance buffers.
/// @return null without the setting limits.memory_mb
std::shared_ptr<net::BufferBudget> createBudget(const daemon::Settings& settings);

/// @brief An instance on the users' platform that accepts callers' requests: creates and connects its components.
class EntryNode {
public:
    /// @brief Binds all addresses and starts all components.
    /// @return invalidSetting if an address cannot be bound
    static Result<std::unique_ptr<EntryNode>> create(
        boost::asio::io_context& context, daemon::Settings settings, Ports ports);

    /// @brief Shuts down gracefully: reports not ready, steps down, and serves until callers have moved to other
    /// instances.
    /// @return number of unfinished requests
    boost::asio::awaitable<std::size_t> leave();

    /// @brief Applies the settings that can change at run time.
    void reload(const daemon::Settings& settings);

private:
    EntryNode(boost::asio::io_context& context, daemon::Settings settings, Ports ports);
    Result<bool> start();
    Result<bool> listen();
    Result<bool> startRpc();
    void observeBudget();
    net::HttpServerLimits callerLimits() const;
    net::Response answerReadiness(const net::Request& request) const;
    net::Response answerAdmin(const net::Request& request) const;
    net::Response status() const;
    [[nodiscard]] bool isReady() const;
    MemberRecord selfRecord() const;
    StoreFollower::Hooks followerHooks();
    ControllerRole::Hooks controllerHooks();
    Permits::Hooks permitHooks();
    Admission::Hooks admissionHooks();
    RequestForwarder::Hooks forwarderHooks();
    [[nodiscard]] std::optional<ColdPermits> coldPermitsOf(const ServerId& id) const;
    KeyAssigner::Options keyAssignerOptions() const;
    RequestForwarder::Options forwarderOptions() const;
    boost::asio::awaitable<void> pruneLoop();

    boost::asio::io_context& m_context;
    daemon::Settings m_settings;
    Ports m_ports;
    std::unique_ptr<daemon::Metrics> m_metrics;
    Catalog m_catalog;
    StoreFollower m_follower;
    Membership m_membership;
    ControllerRole m_controller;
    Permits m_permits;
    Admission m_admission;
    RequestForwarder m_forwarder;
    std::shared_ptr<net::HttpServer> m_callerServer;
    std::shared_ptr<net::HttpServer> m_readinessServer;
    std::shared_ptr<net::HttpServer> m_adminServer;
    std::unique_ptr<daemon::RpcNode> m_rpc;
    bool m_leaving = false;
};

} // namespace acaciagauge::entry
