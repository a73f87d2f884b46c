#pragma once

#include "daemon/rpc_node.hpp"
#include "daemon/settings.hpp"
#include "entry/controller_role.hpp"
#include "entry/membership.hpp"
#include "entry/request_forwarder.hpp"

namespace acaciagauge::entry {

/// @brief What the place that an instance runs on offers.
struct Ports {
    ports::StorePort store;
    ports::KeyOrdersPort orders;
    ports::DocumentsPort documents;
    ports::RequestDialect dialect;
};

/// @brief One entry instance on the users' platform: wires the duties together, each of which owns its state.
class EntryNode {
public:
    /// @brief Binds all addresses and starts all duties.
    /// @return invalidSetting if an address cannot be bound
    static Result<std::unique_ptr<EntryNode>> create(
        boost::asio::io_context& context, daemon::Settings settings, Ports ports);

    /// @brief Leaves: not ready at once, hands duties over, serves on until callers have gone elsewhere, and ends.
    /// @return how many requests were left unfinished
    boost::asio::awaitable<std::size_t> leave();

    /// @brief Takes settings that may change while running.
    void reload(const daemon::Settings& settings);

private:
    EntryNode(boost::asio::io_context& context, daemon::Settings settings, Ports ports);
    Result<bool> start();
    Result<bool> listen();
    Result<bool> startRpc();
    net::HttpServerLimits callerLimits() const;
    net::Response answerReadiness(const net::Request& request) const;
    net::Response answerControl(const net::Request& request) const;
    net::Response status() const;
    [[nodiscard]] bool isReady() const;
    MemberRecord selfRecord() const;
    StoreFollower::Hooks linkHooks();
    ControllerRole::Hooks controllerHooks();
    RequestForwarder::Hooks requestHooks();
    KeyAssigner::Options keeperOptions() const;
    RequestForwarder::Options requestOptions() const;
    boost::asio::awaitable<void> pruneLoop();

    boost::asio::io_context& m_context;
    daemon::Settings m_settings;
    Ports m_ports;
    std::unique_ptr<daemon::Metrics> m_metrics;
    Catalog m_catalog;
    StoreFollower m_link;
    Membership m_membership;
    ControllerRole m_controller;
    RequestForwarder m_requests;
    std::shared_ptr<net::HttpServer> m_callers;
    std::shared_ptr<net::HttpServer> m_readiness;
    std::shared_ptr<net::HttpServer> m_control;
    std::unique_ptr<daemon::RpcNode> m_rpc;
    bool m_leaving = false;
};

} // namespace acaciagauge::entry
