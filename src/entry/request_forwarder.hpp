#pragma once

#include "daemon/metrics.hpp"
#include "daemon/settings.hpp"
#include "entry/admission.hpp"
#include "entry/upstreams.hpp"

namespace acaciagauge::entry {

/// @brief Forwards a caller's request to a server that may serve it, and relays the response.
class RequestForwarder {
public:
    struct Options {
        DomainId domain; ///< Failure domain of this instance.
        std::chrono::milliseconds defaultDeadline { 2000 }; ///< For requests without a deadline header.
        std::chrono::milliseconds drainWindow { 1300 }; ///< A draining or gone owner still gets requests this long.
        std::chrono::milliseconds evacuationWindow { 4300 }; ///< The same for an owner in an evacuated domain.
        RetryShare::Options retries;
        daemon::Coordination coordination = daemon::Coordination::automatic;
        std::size_t maxIdleConnections = 1024; ///< In total, to all servers.
        std::shared_ptr<net::BufferBudget> budget; ///< For servers' responses; null: no bound.
    };

    struct Hooks {
        std::function<void(const ServiceName&, KeyNumber)> countKey;
        /// Asks for the permission to send a request to a server with a rate limit.
        std::function<boost::asio::awaitable<PermitReply>(PermitRequest, DomainId)> acquirePermit;
        Admission* admission = nullptr; ///< Null: requests are not admitted by coordinators.
        /// Returns the permits of a server while it is cold; nothing if its service has no limit for cold servers.
        std::function<std::optional<ColdPermits>(const ServerId&)> coldPermits;
        daemon::Metrics* metrics = nullptr;
    };

    RequestForwarder(boost::asio::io_context& context, Options options, ports::RequestDialect dialect, Catalog& catalog,
        Hooks hooks);

    /// @brief Forwards a caller's request and returns the response to the caller.
    /// @param body if set, the body of the request, whose own body is empty then
    boost::asio::awaitable<net::Response> handle(net::Request request, std::shared_ptr<net::Cancellation> cancellation,
        std::shared_ptr<net::StoredBody> body = nullptr);

    /// @brief Returns how many requests are in progress.
    [[nodiscard]] std::size_t inFlight() const { return m_inFlight; }

    /// @brief From now on, refuses requests that the schedule does not allow, and gives servers no more time than it
    /// allows.
    void startShutdown(const ShutdownSchedule& schedule) { m_shutdown = schedule; }

    /// @brief Answers all requests in progress without waiting for their servers any longer.
    void endShutdown();

    void setRetries(RetryShare::Options options) { m_retries.setOptions(options); }

    /// @brief Adds what servers reported and how fast they were since the last call.
    void addServerReports(LoadReport& report) { m_upstreams.addServerReports(report); }

    /// @brief Returns false if this instance could not reach the server a moment ago, or its run has ended.
    [[nodiscard]] bool isReachable(const ServerRun& run) const { return m_upstreams.isReachable(run); }

    /// @brief Drops the state of servers that are no longer listed.
    void prune() { m_upstreams.prune(); }

private:
    /// A request in progress.
    struct PendingRequest {
        net::Request request;
        std::shared_ptr<net::StoredBody> body; ///< Shared by all sends; null: the request itself has the body.
        std::shared_ptr<net::Cancellation> cancellation;
        std::string id;
        std::string routeName;
        ServiceName service;
        std::optional<KeyNumber> key;
        std::uint64_t version = 0; ///< Version of the desired state that it was routed by.
        unsigned priority = 0;
        bool hasLargeResponse = false; ///< Its route's responses are large.
        TimePoint started;
        TimePoint latencyTarget; ///< Latency objective; a later response is worth less to the caller.
        TimePoint deadline; ///< The caller does not wait for the response after this.
        SendHistory history;
        std::set<ServerId> tried;
        unsigned refusedPermits = 0; ///< Cold servers that could not be used in time.
        std::set<std::uint64_t> connections; ///< That carried the request.
        ServerId lastServer;
        std::optional<Admission::Grant> grant; ///< A coordinator's admission of the present send.
        std::string cause; ///< Why the last send did not bring a response to relay.
    };

    /// Result of one send.
    struct SendResult {
        SendOutcome outcome = SendOutcome::notSent;
        net::Response response;
        std::shared_ptr<net::BufferBudget::Lease> lease; ///< For the response; null without a budget.
        bool timedOut = false;
        bool isReplaced = false; ///< Another process responded at the server's address.
        std::string cause;
    };

    /// Decision on sending a request.
    struct Admittance {
        std::optional<std::uint64_t> workId; ///< Nothing: refused, pending.cause says why.
        KnownServer server; ///< Server that it may be sent to.
        Duration retryAfter { 0 }; ///< If it is refused.
        bool isRateLimited = false; ///< It is refused by the server's rate limit.
    };

    boost::asio::awaitable<net::Response> route(
        PendingRequest& pending, const std::string& host, const std::string& path);
    boost::asio::awaitable<net::Response> forward(PendingRequest& pending);
    boost::asio::awaitable<const KnownServer*> findServer(PendingRequest& pending);
    boost::asio::awaitable<std::optional<Duration>> waitForPermit(
        PendingRequest& pending, const KnownServer& server, const ConcurrencyLimiter::Work& work);
    boost::asio::awaitable<Admittance> admit(PendingRequest& pending, KnownServer server);
    boost::asio::awaitable<std::optional<Admission::Reply>> askCoordinators(
        PendingRequest& pending, const KnownServer& server, const ConcurrencyLimiter::Work& work);
    void endAdmission(PendingRequest& pending, const SendResult& result, TimePoint sentAt);
    [[nodiscard]] std::optional<ColdPermits> coldPermitsOf(const ServerId& id) const;
    const KnownServer* ownerOf(const PendingRequest& pending, std::string& reason, bool& mayChangeSoon) const;
    [[nodiscard]] TimePoint serverDeadline(const PendingRequest& pending) const;
    boost::asio::awaitable<void> sleepUntilShutdownEnds(Duration time);
    [[nodiscard]] bool isPastDrainWindow(const KnownServer& server) const;
    [[nodiscard]] bool isPastEvacuationWindow(const KnownServer& server) const;
    [[nodiscard]] SelectionPolicy selectionPolicy() const;
    const KnownServer* chooseServer(const PendingRequest& pending);
    [[nodiscard]] bool mayBeSentTo(const ServerRun& run) const;
    boost::asio::awaitable<SendResult> send(PendingRequest& pending, KnownServer server, std::uint64_t workId);
    net::Request buildRequest(const PendingRequest& pending, const KnownServer& server) const;
    SendResult classify(PendingRequest& pending, net::Exchange exchange) const;
    void recordSend(const PendingRequest& pending, const KnownServer& server, std::uint64_t workId,
        const SendResult& result, TimePoint sentAt);
    [[nodiscard]] Duration parseRetryAfter(const net::Response& response) const;
    net::Response relayResponse(PendingRequest& pending, net::Response response);
    net::Response respondNotRun(PendingRequest& pending, Duration retryAfter);
    net::Response respondUnknown(PendingRequest& pending, bool timedOut);
    net::Response makeErrorResponse(
        const PendingRequest& pending, unsigned status, ResultCode code, const std::string& message) const;
    void logOutcome(const PendingRequest& pending, const net::Response& response, std::string_view outcome) const;
    std::size_t instanceCount() const;

    boost::asio::io_context& m_context;
    Options m_options;
    ports::RequestDialect m_dialect;
    Catalog& m_catalog;
    Hooks m_hooks;
    Upstreams m_upstreams;
    std::shared_ptr<net::HttpClient> m_client;
    WeightedRoundRobin m_serviceSelector;
    RetryShare m_retries;
    std::optional<ShutdownSchedule> m_shutdown;
    std::shared_ptr<net::Cancellation> m_shutdownEnd = net::Cancellation::create(); ///< Cancelled when it has ended.
    std::size_t m_inFlight = 0;
};

} // namespace acaciagauge::entry
