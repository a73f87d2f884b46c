#pragma once

#include "daemon/metrics.hpp"
#include "daemon/rpc_node.hpp"
#include "entry/catalog.hpp"
#include "entry/key_assigner_actor.hpp"
#include "entry/store_follower.hpp"

namespace acaciagauge::entry {

/// @brief Authority under a lease. Ends by CLOCK_BOOTTIME, which also advances while the machine is suspended.
class LeaseAuthority {
public:
    using BootTime = std::chrono::nanoseconds; ///< Reading of CLOCK_BOOTTIME.

    /// @brief Reads the clock.
    static BootTime now();

    void extendTo(BootTime until) { m_until = std::max(m_until, until); }
    void revoke() { m_until = BootTime(0); }
    [[nodiscard]] bool isValid() const { return now() < m_until; }
    [[nodiscard]] BootTime until() const { return m_until; }

private:
    BootTime m_until { 0 };
};

/// @brief Takes part in the controller election. While elected, manages the owners of all keys through a KeyAssigner.
class ControllerRole {
public:
    struct Hooks {
        std::function<daemon::RpcNode&()> rpc;
        std::function<void(LoadReport&)> addServerReports; ///< Adds what servers reported since the last call.
        daemon::Metrics* metrics = nullptr;
    };

    ControllerRole(boost::asio::io_context& context, MemberRecord self, ports::StorePort store,
        ports::KeyOrdersPort orders, Catalog& catalog, StoreFollower& follower, KeyAssigner::Options options,
        Hooks hooks);

    void start();

    /// @brief Steps down and revokes the controller's lease, so that another instance can take over at once.
    boost::asio::awaitable<void> leave();

    /// @brief Counts a request for a key, for the load report to the controller.
    void countKey(const ServiceName& service, KeyNumber key) { ++m_keyCounts[service][key]; }

    /// @brief Handles the load report of an instance.
    void handleReport(LoadReport report);

    [[nodiscard]] bool isController() const { return m_actor != nullptr; }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> waitForVacancy();
    [[nodiscard]] bool isOwnStaleRecord(const ControllerRecord& record) const;
    boost::asio::awaitable<void> revokeStaleLease(std::uint64_t lease);
    boost::asio::awaitable<bool> campaign();
    boost::asio::awaitable<bool> confirm(ports::StoreWriteReply reply, const ControllerRecord& ownRecord);
    boost::asio::awaitable<void> serveTerm();
    boost::asio::awaitable<void> renewLeaseLoop();
    boost::asio::awaitable<void> reportLoad();
    boost::asio::awaitable<void> sendGrant(SendKeyGrant order);
    boost::asio::awaitable<void> sendRelease(SendKeyRelease order);
    boost::asio::awaitable<void> writeChunks(WriteOwnerChunks write);
    boost::asio::awaitable<void> checkAuthority();
    boost::asio::awaitable<void> continueInNewEra();
    boost::asio::awaitable<void> awaitExpiryOfGrants(std::uint64_t term);
    boost::asio::awaitable<void> recordOwnersEra();
    [[nodiscard]] bool isVacant() const;
    [[nodiscard]] TimePoint vacantFrom() const;
    [[nodiscard]] bool areOwnersRecorded() const;
    [[nodiscard]] std::map<ChunkId, Revision> recordedChunks() const;
    void startAssigner(const KeyOwnerMap& recorded);
    void updateAssigner();
    void reportWorkload(const KeyWorkload& workload);
    void perform(const KeyAction& action);
    void stepDown(const std::string& reason);
    void tell(KeyEvent event);
    std::function<bool()> authorityCheck();
    std::chrono::microseconds campaignDelay();

    boost::asio::io_context& m_context;
    MemberRecord m_self;
    ports::StorePort m_store;
    ports::KeyOrdersPort m_orders;
    Catalog& m_catalog;
    StoreFollower& m_follower;
    KeyAssigner::Options m_options;
    Hooks m_hooks;
    std::mt19937_64 m_random { std::random_device {}() };
    LeaseAuthority m_authority;
    std::uint64_t m_lease = 0;
    Epoch m_epoch = 0;
    StoreEra m_era = 0; ///< Of the lease and of the epoch.
    std::uint64_t m_term = 0; ///< Number of the present term; responses to calls of an earlier term are dropped.
    Revision m_controllerRevision = 0;
    std::map<ChunkId, Revision> m_chunkRevisions;
    std::shared_ptr<KeyAssignerActor> m_actor;
    TimePoint m_workloadLoggedAt;
    std::map<ServiceName, KeyCounts> m_keyCounts;
    AsyncCondition m_termEnded; ///< Notified when this instance steps down.
    bool m_leaving = false;
};

} // namespace acaciagauge::entry
