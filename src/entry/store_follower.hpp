#pragma once

#include "entry/catalog.hpp"

namespace acaciagauge::entry {

/// @brief Keeps the catalog up to date by watching the store, or by following a peer instance that does.
class StoreFollower {
public:
    struct Hooks {
        /// Requests the changes after a revision from a peer; calls `done` with nullopt if it does not respond.
        std::function<void(const std::string& address, StoreEra era, Revision after, std::chrono::milliseconds wait,
            std::function<void(std::optional<StoreUpdate>)> done)>
            changesSince;
        std::vector<std::string> seeds; ///< RPC addresses of peers to bootstrap from if the store does not respond.
        Duration serverHeartbeat
            = StoreFreshness::Options().shortestOutage; ///< Interval at which servers renew their entries.
    };

    StoreFollower(
        boost::asio::io_context& context, MemberRecord self, ports::StorePort store, Catalog& catalog, Hooks hooks);

    /// @brief Starts following the store.
    void start();
    void stop() { m_stopped = true; }

    /// @brief Reads the whole store now.
    /// @return false if the read failed
    boost::asio::awaitable<bool> reload();

    /// @brief Responds to a peer that follows this instance, as soon as there are changes (long polling).
    boost::asio::awaitable<StoreUpdate> changesForPeer(StoreEra era, Revision after, std::chrono::milliseconds wait);

    /// @brief Returns the source of the store's changes: "store", or the id of the peer that is followed.
    [[nodiscard]] const std::string& source() const { return m_source; }

private:
    static constexpr const char* storeSourceName = "store";

    /// A request to the store for the changes after a revision.
    struct ChangesRequest {
        std::string_view call; ///< Its name, for the log.
        StoreEra era = 0;
        Revision after = 0;
        std::chrono::milliseconds wait { 0 };
        TimePoint requestedAt; ///< Reading of bootNow().
        TimePoint changedAfter; ///< Lower bound of the time of the changes, in the catalog's clock.
    };

    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<void> followStore();
    boost::asio::awaitable<void> followPeer(StoreSources::Peer peer);
    boost::asio::awaitable<void> resync(StoreSources::Peer peer, TimePoint changedAfter);
    boost::asio::awaitable<void> fetchFromSeed();
    boost::asio::awaitable<bool> watch(std::chrono::milliseconds wait);
    boost::asio::awaitable<bool> catchUp();
    bool applyChanges(ports::StoreReply reply, const ChangesRequest& request);
    ChangesRequest startRequest(std::string_view call, std::chrono::milliseconds wait) const;
    boost::asio::awaitable<std::optional<StoreUpdate>> requestChanges(
        std::string address, StoreEra era, Revision after, std::chrono::milliseconds wait);
    boost::asio::awaitable<void> removeLapsedLoop();
    void logIfSlow(const ChangesRequest& request, std::size_t changes) const;
    void noteFailure(std::string_view call, ports::StoreStatus status, TimePoint requestedAt);
    void setSource(std::string source);
    [[nodiscard]] Duration age() const;
    [[nodiscard]] std::string ageText() const;
    [[nodiscard]] TimePoint upToDateAt() const;
    std::chrono::microseconds backoff();

    boost::asio::io_context& m_context;
    MemberRecord m_self;
    ports::StorePort m_store;
    Catalog& m_catalog;
    Hooks m_hooks;
    StoreSources m_sources;
    std::uint64_t m_knownMemberChanges = 0; ///< Value of Catalog::memberChanges() that m_sources reflects.
    std::string m_source = storeSourceName; ///< "store", or the id of the peer that is followed.
    std::mt19937_64 m_random { std::random_device {}() };
    StoreFreshness m_freshness; ///< Its times are readings of bootNow().
    bool m_isComplete = false; ///< The mirror has no gaps, so a watch can continue from its revision.
    bool m_stopped = false;
};

} // namespace acaciagauge::entry
