#pragma once

#include "entry/catalog.hpp"

namespace acaciagauge::entry {

/// @brief Keeps the catalog up to date: watches the store, or follows a peer that does.
class StoreFollower {
public:
    struct Hooks {
        /// Asks a peer what it knows beyond a revision; calls back with nothing if it does not answer.
        std::function<void(const std::string& address, Revision after, std::chrono::milliseconds wait,
            std::function<void(std::optional<StoreNews>)> done)>
            changesSince;
        std::vector<std::string> seeds; ///< RPC addresses to ask before any member is known.
        Duration serverHeartbeat = StoreFreshness::Options().shortestOutage; ///< Interval of the servers' writes.
    };

    StoreFollower(
        boost::asio::io_context& context, MemberRecord self, ports::StorePort store, Catalog& catalog, Hooks hooks);

    /// @brief Starts to follow the store.
    void start();
    void stop() { m_stopped = true; }

    /// @brief Reads the whole store now.
    /// @return false if it does not answer
    boost::asio::awaitable<bool> reload();

    /// @brief Answers a peer that follows this instance, as soon as there is news.
    boost::asio::awaitable<StoreNews> answerPeer(Revision after, std::chrono::milliseconds wait);

    /// @brief Returns whom this instance hears the store's changes from: "store", or a peer's id.
    [[nodiscard]] const std::string& source() const { return m_source; }

private:
    static constexpr const char* storeItself = "store";

    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<void> followStore();
    boost::asio::awaitable<void> followPeer(StoreSources::Peer peer);
    boost::asio::awaitable<void> readAnew(StoreSources::Peer peer, TimePoint heardAfter);
    boost::asio::awaitable<void> askSeed();
    boost::asio::awaitable<bool> watch(std::chrono::milliseconds wait);
    boost::asio::awaitable<std::optional<StoreNews>> ask(
        std::string address, Revision after, std::chrono::milliseconds wait);
    boost::asio::awaitable<void> settleLoop();
    void noteFailure(ports::StoreStatus status, TimePoint asked);
    void noteSource(std::string source);
    [[nodiscard]] Duration age() const;
    [[nodiscard]] TimePoint upToDateAt() const;
    [[nodiscard]] std::chrono::milliseconds watchWaitNow() const;
    std::chrono::microseconds backoff();

    boost::asio::io_context& m_context;
    MemberRecord m_self;
    ports::StorePort m_store;
    Catalog& m_catalog;
    Hooks m_hooks;
    StoreSources m_sources;
    std::uint64_t m_knownMemberChanges = 0; ///< Of which m_sources was told.
    std::string m_source = storeItself; ///< "store", or the id of the peer that is followed.
    std::mt19937_64 m_random { std::random_device {}() };
    StoreFreshness m_freshness; ///< Its times are bootNow()'s.
    bool m_isComplete = false; ///< The copy can be continued by a watch.
    bool m_stopped = false;
};

} // namespace acaciagauge::entry
