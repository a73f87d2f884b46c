#pragma once

#include "entry/catalog.hpp"
#include "net/net.hpp"

#include <boost/asio/steady_timer.hpp>

namespace acaciagauge::entry {

/// @brief This instance's sight of every server: its gate, and whether it answers.
class Upstreams {
public:
    Upstreams(boost::asio::io_context& context, DomainId domain, Catalog& catalog);

    /// @brief Picks the best server of a service whose servers are alike.
    /// @param avoid servers to be taken only if there is no other
    /// @return null if none can be used
    const KnownServer* choose(const ServiceName& service, const std::set<ServerId>& avoid);

    /// @brief Waits until the server has room.
    /// @return number of the admitted work; nothing if it is refused
    boost::asio::awaitable<std::optional<std::uint64_t>> admit(
        const KnownServer& server, ServerGate::Work work, std::shared_ptr<net::Cancellation> cancellation);

    /// @brief Notes how admitted work ended.
    void ended(const ServerId& server, std::uint64_t work, const ServerGate::Ended& ended);

    /// @brief Notes that a server could not be reached, or did not answer.
    void noteSilence(const ServerId& server);

    /// @brief Notes that another process answers at a server's address: this run has ended.
    void noteReplaced(const ServerRun& run);

    /// @brief Returns false while a server that was silent is left alone, and for one whose run has ended.
    [[nodiscard]] bool isReachable(const ServerRun& run) const;

    /// @brief Returns the expected time until a request sent now would be answered.
    [[nodiscard]] Duration expectedTime(const ServerId& server) const;

    /// @brief Returns what the servers' answers took since the last call.
    std::map<ServerId, ServiceTimes> takeTimes();

    /// @brief Forgets servers that are no longer in the catalog.
    void prune();

private:
    struct Waiter {
        explicit Waiter(boost::asio::io_context& context)
            : timer(context)
        {
        }
        boost::asio::steady_timer timer;
        std::optional<bool> isSent;
    };

    struct Upstream {
        ServerGate gate;
        std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
        unsigned silences = 0; ///< In a row.
        TimePoint leftAloneUntil;
        bool isRechecking = false;
        std::optional<ServerRun> replacedRun; ///< Its address has passed to another process.
    };

    Upstream& upstreamOf(const KnownServer& server);
    void wake(Upstream& upstream);
    boost::asio::awaitable<void> recheck(ServerId id);
    [[nodiscard]] double cost(const KnownServer& server, TimePoint now);

    boost::asio::io_context& m_context;
    DomainId m_domain;
    Catalog& m_catalog;
    std::map<ServerId, Upstream> m_upstreams;
    std::map<ServerId, ServiceTimes> m_times;
    std::uint64_t m_lastWork = 0;
    std::mt19937_64 m_random { std::random_device {}() };
};

} // namespace acaciagauge::entry
