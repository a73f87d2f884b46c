#pragma once

#include "daemon/directory.hpp"
#include "daemon/egress.hpp"
#include "daemon/rpc_node.hpp"

namespace acaciagauge::daemon {

/// @brief Takes callers' requests, finds the owner's egress and answers. For one thread.
class Ingress {
public:
    struct Hooks {
        std::function<std::shared_ptr<const RouteTable>()> routes;
        std::function<RpcNode&()> rpc;
    };

    Ingress(boost::asio::io_context& context, const Settings& settings, Directory& directory, Egress& egress,
        Metrics& metrics, Tracer& tracer, Hooks hooks);

    /// @brief Answers one request: METHOD /SERVICE/KEY.
    boost::asio::awaitable<net::Response> handle(net::Request request);

private:
    boost::asio::awaitable<ForwardReply> route(ForwardRequest& request, TimePoint deadline);
    boost::asio::awaitable<ForwardReply> tryOnce(ForwardRequest& request, TimePoint deadline);
    Result<ForwardRequest> read(net::Request& request);
    std::string newRequestId();

    boost::asio::io_context& m_context;
    const Settings& m_settings;
    Directory& m_directory;
    Egress& m_egress;
    Metrics& m_metrics;
    Tracer& m_tracer;
    Hooks m_hooks;
    RetryBudget m_budget;
    std::uint64_t m_lastRequest = 0;
    std::string m_requestPrefix;
};

} // namespace acaciagauge::daemon
