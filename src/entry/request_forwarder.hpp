#pragma once

#include "daemon/metrics.hpp"
#include "entry/upstreams.hpp"

namespace acaciagauge::entry {

/// @brief Carries a caller's request to the server that may serve it, and the answer back.
class RequestForwarder {
public:
    struct Options {
        DomainId domain; ///< Of this instance.
        std::chrono::milliseconds defaultDeadline { 2000 }; ///< Of requests that bring none.
        std::chrono::milliseconds leavingUse { 1300 }; ///< A leaving owner still gets requests this long.
        RetryShare::Options retries;
        std::size_t maxIdleConnections = 1024; ///< To all servers together.
    };

    struct Hooks {
        std::function<void(const ServiceName&, KeyNumber)> countKey;
        daemon::Metrics* metrics = nullptr;
    };

    RequestForwarder(boost::asio::io_context& context, Options options, ports::RequestDialect dialect, Catalog& catalog,
        Hooks hooks);

    /// @brief Answers a caller's request.
    boost::asio::awaitable<net::Response> handle(net::Request request, std::shared_ptr<net::Cancellation> cancellation);

    /// @brief Returns how many requests are in progress.
    [[nodiscard]] std::size_t inFlight() const { return m_inFlight; }

    void setRetries(RetryShare::Options options) { m_retries.setOptions(options); }

    /// @brief Returns what the servers' answers took since the last call.
    std::map<ServerId, ServiceTimes> takeTimes() { return m_upstreams.takeTimes(); }

    /// @brief Forgets what belongs to servers that are gone.
    void prune() { m_upstreams.prune(); }

private:
    /// A request on its way.
    struct Job {
        net::Request request;
        std::shared_ptr<net::Cancellation> cancellation;
        std::string id;
        std::string routeName;
        ServiceName service;
        std::optional<KeyNumber> key;
        std::uint64_t version = 0; ///< Of the desired state that routed it.
        unsigned priority = 0;
        TimePoint started;
        TimePoint target; ///< An answer by then earns its full worth.
        TimePoint deadline; ///< Nobody waits for the answer after this.
        SendHistory history;
        std::set<ServerId> tried;
        ServerId lastServer;
        std::string cause; ///< Of the last send that did not bring the answer.
    };

    /// Outcome of one send.
    struct Sent {
        SendOutcome outcome = SendOutcome::notSent;
        net::Response response;
        bool timedOut = false;
        bool isReplaced = false; ///< Another process has the server's address.
        std::string cause;
    };

    boost::asio::awaitable<net::Response> route(Job& job, const std::string& host, const std::string& path);
    boost::asio::awaitable<net::Response> carry(Job& job);
    boost::asio::awaitable<const KnownServer*> findServer(Job& job);
    const KnownServer* ownerOf(const Job& job, std::string& reason, bool& mayChangeSoon) const;
    [[nodiscard]] bool hasLeft(const KnownServer& server) const;
    [[nodiscard]] bool mayBeSentTo(const ServerRun& run) const;
    boost::asio::awaitable<Sent> send(Job& job, KnownServer server, std::uint64_t work);
    net::Request buildRequest(const Job& job, const KnownServer& server) const;
    Sent classify(Job& job, net::Exchange exchange) const;
    void noteEnd(const Job& job, const KnownServer& server, std::uint64_t work, const Sent& sent, TimePoint sentAt);
    net::Response passOn(Job& job, net::Response response);
    net::Response refuse(Job& job, Duration comeBackAfter);
    net::Response giveUp(Job& job, bool timedOut);
    net::Response ownAnswer(const Job& job, unsigned status, ResultCode code, const std::string& message) const;
    void logEnd(const Job& job, const net::Response& response, std::string_view outcome) const;
    std::size_t instances() const;

    boost::asio::io_context& m_context;
    Options m_options;
    ports::RequestDialect m_dialect;
    Catalog& m_catalog;
    Hooks m_hooks;
    Upstreams m_upstreams;
    std::shared_ptr<net::HttpClient> m_client;
    PartDealer m_dealer;
    RetryShare m_retries;
    std::size_t m_inFlight = 0;
};

} // namespace acaciagauge::entry
