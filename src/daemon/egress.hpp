#pragma once

#include "daemon/metrics.hpp"
#include "daemon/rpc_types.hpp"
#include "daemon/settings.hpp"
#include "daemon/tracing.hpp"
#include "net/net.hpp"

#include <boost/asio/steady_timer.hpp>

namespace acaciagauge::daemon {

/// @brief Admits work to the servers that this instance is the egress of, and carries it there. For one thread.
class Egress {
public:
    /// @brief What an egress needs from its surroundings.
    struct Hooks {
        std::function<std::shared_ptr<const RouteTable>()> routes;
    };

    Egress(boost::asio::io_context& context, const Settings& settings, Metrics& metrics, Tracer& tracer, Hooks hooks);

    /// @brief Runs a request at its server.
    /// @return ran with the whole answer, notRun, or unknown
    boost::asio::awaitable<ForwardReply> run(ForwardRequest request);

    /// @brief Refuses new work as notRun from now on.
    void close() { m_closed = true; }

    /// @brief Returns how many requests wait or are at a server.
    [[nodiscard]] std::size_t inFlight() const { return m_inFlight; }

private:
    struct Waiter {
        explicit Waiter(boost::asio::io_context& context)
            : timer(context)
        {
        }
        boost::asio::steady_timer timer;
        std::optional<ResultCode> verdict;
    };

    struct ServerEntry {
        ServerQueue queue;
        std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
    };

    ServerEntry& entryOf(const ServerId& server, const ServerSpec& spec);
    boost::asio::awaitable<ResultCode> admit(
        const ServerId& server, ServerEntry& entry, const ForwardRequest& request, TimePoint deadline);
    boost::asio::awaitable<ForwardReply> carry(const ForwardRequest& request, const Route& route, TimePoint deadline);
    ForwardReply classify(const ForwardRequest& request, const std::string& address, net::Exchange exchange);
    void wakeNext(const ServerId& server, ServerEntry& entry);
    void cancelAtServer(const std::string& address, const std::string& requestId);
    net::Request buildRequest(
        const ForwardRequest& request, const Route& route, TimePoint deadline, const TraceContext& trace) const;

    boost::asio::io_context& m_context;
    const Settings& m_settings;
    Metrics& m_metrics;
    Tracer& m_tracer;
    Hooks m_hooks;
    std::shared_ptr<net::HttpClient> m_client;
    std::map<ServerId, ServerEntry> m_servers;
    std::uint64_t m_lastId = 0;
    std::size_t m_inFlight = 0;
    bool m_closed = false;
};

} // namespace acaciagauge::daemon
