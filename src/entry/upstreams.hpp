#pragma once

#include "entry/catalog.hpp"
#include "net/net.hpp"

#include <boost/asio/steady_timer.hpp>

namespace acaciagauge::entry {

/// @brief How the server for a request is selected that any server may serve.
enum class SelectionPolicy {
    leastExpectedTime, ///< The least expected time of all servers, as this instance estimates it.
    coordinated, ///< ServerSelector, for deployments whose load is uneven.
};

/// @brief This instance's state of each server: admission control, and whether it is reachable.
class Upstreams {
public:
    Upstreams(boost::asio::io_context& context, DomainId domain, Catalog& catalog);

    /// @brief Chooses the best server of a service that is not sharded.
    /// @param avoid servers to choose only if there is no other
    /// @param request used by SelectionPolicy::coordinated
    /// @return null if the service has no ready server
    const KnownServer* choose(const ServiceName& service, const std::set<ServerId>& avoid,
        SelectionPolicy policy = SelectionPolicy::leastExpectedTime, const ServerSelector::Request& request = {});

    /// @brief Records how much longer than usual work takes on the server's machine, as it reports.
    void noteSlowdown(const ServerId& server, double slowdown);

    /// @brief Waits until a request may be sent to the server.
    /// @return id of the admitted work; nullopt if it was refused
    boost::asio::awaitable<std::optional<std::uint64_t>> admit(
        const KnownServer& server, ConcurrencyLimiter::Work work, std::shared_ptr<net::Cancellation> cancellation);

    /// @brief Refuses all requests that wait to be sent.
    void refuseWaiting();

    /// @brief Returns how long a request to the server may wait before it is sent.
    [[nodiscard]] Duration waitLimit(const KnownServer& server, const ConcurrencyLimiter::Work& work);

    /// @brief Keeps state of a server to which a coordinator admitted a request.
    void track(const KnownServer& server) { upstreamOf(server); }

    /// @brief Records how admitted work ended.
    void complete(const ServerId& server, std::uint64_t workId, const ConcurrencyLimiter::Completion& ended);

    /// @brief Records the rate limit that a server's response states.
    /// @param perSecond nothing if the response states none, which ends an earlier limit
    void noteRateLimit(const ServerId& server, std::optional<double> perSecond);

    /// @brief Returns the rate limit that the server's latest response stated; it outlasts a restart of the server.
    [[nodiscard]] std::optional<double> rateLimit(const ServerId& server) const;

    /// @brief Records when a server with a rate limit takes the next request.
    void noteNextPermit(const ServerId& server, Duration wait);

    /// @brief Returns true if the server wants no requests from this instance at present.
    [[nodiscard]] bool isPaused(const ServerId& server) const;

    /// @brief Records that a server could not be reached.
    void noteUnreachable(const ServerId& server);

    /// @brief Records that another process responds at the server's address, so this run has ended.
    void noteReplaced(const ServerRun& run);

    /// @brief Returns false during the backoff of an unreachable server, and for a run that has ended.
    [[nodiscard]] bool isReachable(const ServerRun& run) const;

    /// @brief Returns the expected time until the response to a request that is sent now.
    [[nodiscard]] Duration expectedTime(const ServerId& server) const;

    /// @brief Adds the servers' service times and rate limits since the last call.
    void addServerReports(LoadReport& report);

    /// @brief Drops the state of servers that are no longer in the catalog.
    void prune();

private:
    struct Waiter {
        explicit Waiter(boost::asio::io_context& context)
            : timer(context)
        {
        }
        boost::asio::steady_timer timer;
        std::optional<bool> isAdmitted;
    };

    struct Upstream {
        ConcurrencyLimiter limiter;
        std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
        unsigned consecutiveFailures = 0;
        TimePoint backoffUntil;
        bool isWakeLoopRunning = false;
        std::optional<ServerRun> replacedRun; ///< Run whose address has passed to another process.
        std::optional<double> rateLimit; ///< Requests per second that the server takes from all instances together.
        TimePoint nextPermitAt; ///< With a rate limit: when the next request can be sent, as last heard.
        double slowdown = 1;
        TimePoint slowdownAt;
    };

    Upstream& upstreamOf(const KnownServer& server);
    void wake(Upstream& upstream);
    boost::asio::awaitable<void> wakeLoop(ServerId id);
    [[nodiscard]] double cost(const KnownServer& server, TimePoint now);
    [[nodiscard]] ServerSelector::Candidate candidate(const KnownServer& server, TimePoint now) const;

    boost::asio::io_context& m_context;
    DomainId m_domain;
    Catalog& m_catalog;
    std::map<ServerId, Upstream> m_upstreams;
    std::map<ServerId, ServiceTimes> m_serviceTimes;
    std::map<ServerId, double> m_statedLimits; ///< Rate limits that responses stated since the last report.
    std::uint64_t m_lastWorkId = 0;
    std::mt19937_64 m_random { std::random_device {}() };
    ServerSelector m_selector = ServerSelector::create({}, [this] { return m_random(); });
    std::vector<ServerSelector::Candidate> m_candidates; ///< Of the selection in progress.
};

} // namespace acaciagauge::entry
