#pragma once

#include "daemon/directory.hpp"
#include "daemon/domain_actor.hpp"
#include "daemon/egress.hpp"
#include "daemon/ingress.hpp"
#include "daemon/store_client.hpp"

#include <mutex>
#include <random>

namespace acaciagauge::daemon {

/// @brief Slack of each service, read by the actor's thread and written by the node's.
class ServiceSlacks {
public:
    /// @brief Takes the churn weights of a configuration.
    void update(const Configuration& configuration);

    /// @brief Returns a service's slack; 0 for an unknown service.
    [[nodiscard]] double of(const ServiceName& service) const;

private:
    mutable std::mutex m_mutex;
    std::map<ServiceName, double> m_slacks;
};

/// @brief States of charts/daemon.chart.
enum class DaemonState {
    serving,
    announcing,
    finishing,
    stopped,
};

/// @brief Events of charts/daemon.chart.
enum class DaemonEvent {
    stopAsked,
    graceOver,
    finished,
};

/// @brief One entry instance: all roles, joined on one Asio thread.
class Node {
public:
    /// @brief Binds all addresses and starts all roles.
    /// @return invalidSetting if an address cannot be bound
    static Result<std::unique_ptr<Node>> create(boost::asio::io_context& context, Settings settings);

    /// @brief Leaves: announces it, hands over, finishes what is in flight, and ends.
    /// @return how many requests were left unfinished
    boost::asio::awaitable<std::size_t> leave();

    /// @name What the administration API needs
    /// @{
    [[nodiscard]] const Settings& settings() const { return m_settings; }
    [[nodiscard]] const Knowledge& knowledge() const { return m_knowledge; }
    [[nodiscard]] const Directory& directory() const { return m_directory; }
    [[nodiscard]] const AgentView& agentView() const { return m_view; }
    [[nodiscard]] std::shared_ptr<const RouteTable> routes() const { return m_routes; }
    [[nodiscard]] StoreClient& store() { return m_store; }
    [[nodiscard]] Metrics& metrics() { return *m_metrics; }
    [[nodiscard]] const Tracer& tracer() const { return m_tracer; }
    [[nodiscard]] bool isLeaving() const { return m_state != DaemonState::serving; }
    [[nodiscard]] std::size_t inFlight() const { return m_callers->inFlight() + m_egress.inFlight(); }
    /// @}

    /// @brief Takes documents from the store or a peer and passes on what is new.
    void adopt(const News& news);

private:
    Node(boost::asio::io_context& context, Settings settings);
    Result<bool> start();
    Result<bool> startRpc();
    Result<bool> startAgent();
    void perform(const Action& action);
    void sendPeer(const SendPeer& action);
    boost::asio::awaitable<void> sendServer(SendServer action);
    boost::asio::awaitable<void> readRecord(ReadRecord action);
    boost::asio::awaitable<void> writeRecord(WriteRecord action);
    void publish(const Publish& action);
    void noteView(AgentView view);
    boost::asio::awaitable<void> pollInstances();
    boost::asio::awaitable<void> watchTickets();
    boost::asio::awaitable<void> exchangeDigests();
    boost::asio::awaitable<void> tendHomes();
    boost::asio::awaitable<void> tendHome(ServiceSpec service);
    void tellPlan();
    void announce(const News& news);
    std::vector<InstanceInfo> randomPeers(std::size_t n);
    bool isWatcher() const;
    std::set<DomainId> lostDomains() const;
    void updateImbalance();

    boost::asio::io_context& m_context;
    Settings m_settings;
    Incarnation m_incarnation;
    std::unique_ptr<Metrics> m_metrics;
    Tracer m_tracer;
    Directory m_directory;
    StoreClient m_store;
    std::shared_ptr<net::HttpClient> m_orders;
    Knowledge m_knowledge;
    std::shared_ptr<const RouteTable> m_routes;
    std::shared_ptr<ServiceSlacks> m_slacks = std::make_shared<ServiceSlacks>();
    AgentView m_view;
    Egress m_egress;
    Ingress m_ingress;
    std::shared_ptr<net::HttpServer> m_callers;
    std::shared_ptr<net::HttpServer> m_admin;
    std::unique_ptr<RpcNode> m_rpc;
    std::unique_ptr<DomainActor> m_actor;
    std::mt19937_64 m_random;
    std::map<InstanceId, Incarnation> m_peerRuns; ///< Newest run of each peer that sent a message.
    HomeAssigner m_homes;
    std::uint64_t m_planNumber = 0;
    std::uint64_t m_headRevision = 0;
    DaemonState m_state = DaemonState::serving;
};

} // namespace acaciagauge::daemon
