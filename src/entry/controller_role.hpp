#pragma once

#include "daemon/metrics.hpp"
#include "daemon/rpc_node.hpp"
#include "entry/catalog.hpp"
#include "entry/keeper_actor.hpp"
#include "entry/store_follower.hpp"

namespace acaciagauge::entry {

/// @brief A right that ends at a moment of the clock that goes on while the machine is suspended.
class Authority {
public:
    using Clock = std::chrono::nanoseconds; ///< Of CLOCK_BOOTTIME.

    /// @brief Reads the clock.
    static Clock now();

    void extendTo(Clock until) { m_until = std::max(m_until, until); }
    void drop() { m_until = Clock(0); }
    [[nodiscard]] bool holds() const { return now() < m_until; }
    [[nodiscard]] Clock until() const { return m_until; }

private:
    Clock m_until { 0 };
};

/// @brief Takes part in choosing the controller, and is it while chosen: keeps the keys' owners through a KeyAssigner.
class ControllerRole {
public:
    struct Hooks {
        std::function<daemon::RpcNode&()> rpc;
        std::function<std::map<ServerId, ServiceTimes>()> takeTimes;
        daemon::Metrics* metrics = nullptr;
    };

    ControllerRole(boost::asio::io_context& context, MemberRecord self, ports::StorePort store,
        ports::KeyOrdersPort orders, Catalog& catalog, StoreFollower& link, KeyAssigner::Options options, Hooks hooks);

    void start();

    /// @brief Gives the duty up, so that another instance can take it over at once.
    boost::asio::awaitable<void> leave();

    /// @brief Counts a request for a key; the controller is told.
    void countKey(const ServiceName& service, KeyNumber key) { ++m_counts[service][key]; }

    /// @brief Takes what another instance saw of the load.
    void takeReport(LoadReport report) { tell(KeyLoadReported { std::move(report) }); }

    [[nodiscard]] bool isController() const { return m_actor != nullptr; }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> waitForVacancy();
    [[nodiscard]] bool isOwnFormer(const ControllerRecord& record) const;
    boost::asio::awaitable<void> endFormerLease(std::uint64_t lease);
    boost::asio::awaitable<bool> campaign();
    boost::asio::awaitable<bool> confirm(ports::StoreWriteReply reply, const ControllerRecord& wanted);
    boost::asio::awaitable<void> rule();
    boost::asio::awaitable<void> keepLease();
    boost::asio::awaitable<void> reportLoad();
    boost::asio::awaitable<void> sendGrant(SendKeyGrant order);
    boost::asio::awaitable<void> sendRelease(SendKeyRelease order);
    boost::asio::awaitable<void> writeChunks(WriteOwnerChunks write);
    boost::asio::awaitable<void> checkAuthority();
    void startKeeper();
    void tellCatalog();
    void perform(const KeyAction& action);
    void depose(const std::string& reason);
    void tell(KeyEvent event);
    std::function<bool()> authorityCheck();
    std::chrono::microseconds campaignDelay();

    boost::asio::io_context& m_context;
    MemberRecord m_self;
    ports::StorePort m_store;
    ports::KeyOrdersPort m_orders;
    Catalog& m_catalog;
    StoreFollower& m_link;
    KeyAssigner::Options m_options;
    Hooks m_hooks;
    std::mt19937_64 m_random { std::random_device {}() };
    Authority m_authority;
    std::uint64_t m_lease = 0;
    Epoch m_epoch = 0;
    std::uint64_t m_reign = 0; ///< Counts this instance's epochs; an answer of an earlier one is dropped.
    Revision m_controllerRevision = 0;
    std::map<ChunkId, Revision> m_chunkRevisions;
    std::shared_ptr<KeeperActor> m_actor;
    std::map<ServiceName, KeyCounts> m_counts;
    AsyncCondition m_reignChanged;
    bool m_leaving = false;
};

} // namespace acaciagauge::entry
