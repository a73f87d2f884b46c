#pragma once

#include "acaciagauge/detail/charts/chart.hpp"
#include "acaciagauge/detail/ownership/holders.hpp"
#include "acaciagauge/detail/ownership/messages.hpp"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace acaciagauge {

/// @brief Durations and limits that govern ownership in one failure domain.
struct OwnershipTiming {
    Duration heartbeat = std::chrono::milliseconds(100); ///< Interval of pings and renewals.
    Duration grantDuration = std::chrono::milliseconds(450); ///< A grant runs this long from its stamp.
    Duration orderTimeout = std::chrono::milliseconds(200); ///< A server that has not answered by then is silent.
    Duration controllerSilence = std::chrono::milliseconds(300); ///< After this the first successor campaigns.
    Duration takeoverStagger = std::chrono::milliseconds(200); ///< Each next successor waits this much longer.
    Duration memberRenewAfter = std::chrono::milliseconds(150); ///< Members renew after this silence.
    Duration shortAuthority = std::chrono::seconds(3); ///< Authority of a member that hears none of its set.
    Duration longAuthority = std::chrono::minutes(10); ///< Authority of a member that hears only some of its set.
    Duration commitRetry = std::chrono::milliseconds(100); ///< Interval of store writes while it is unavailable.
    double clockRateMargin = 0.01; ///< Largest difference of clock rates, as a fraction.
    std::size_t maxConcurrentMoves = 64; ///< Planned moves in progress at once.
};

/// @brief A server as the ownership logic sees it.
struct ServerInfo {
    ServerId id; ///< "SERVICE/SERVER".
    ServiceName service;
    double capacity = 1; ///< Slots.
    bool checksFences = true;
    bool leaving = false;

    bool operator==(const ServerInfo&) const = default;
};

/// @brief What a planner decides from.
struct PlanInput {
    std::set<Item> items;
    std::vector<ServerInfo> servers; ///< Servers that may own items.
    std::map<Item, ServerId> owners; ///< Present owners; may name servers that are not in `servers`.
};

/// @brief Chooses an owner for each item.
using Planner = std::function<std::map<Item, ServerId>(const PlanInput&)>;

/// @name Events of an Agent
/// @{
struct Tick { };
struct DomainPlan {
    std::set<Item> items; ///< Items whose home is this domain.
    std::vector<ServerInfo> servers;
    std::uint64_t number = 0; ///< Rises with each plan.
    std::optional<Epoch> confirmedEpoch; ///< Items without an owner are taken only by this epoch; none: by any.
};
struct InstancesListed {
    std::vector<InstanceId> instances; ///< Live instances of this domain.
};
struct PeerReceived {
    PeerMessage message;
};
/// This run of the instance is known to be gone: its port refused a connection.
struct PeerDied {
    Member member;
};
struct ServerAnswered {
    ServerId server;
    std::uint64_t sequence = 0;
    ServerAnswer answer;
};
/// The server's process is known to be gone: its port refused the order's connection.
struct ServerDied {
    ServerId server;
    std::uint64_t sequence = 0; ///< Of the refused order.
};
enum class StoreOutcome {
    ok,
    conflict, ///< The revision had changed; nothing was written.
    unavailable, ///< Nothing was written.
    unknown, ///< The write may take effect, now or later.
};
struct StoreAnswered {
    std::uint64_t sequence = 0;
    StoreOutcome outcome = StoreOutcome::ok;
    std::uint64_t revision = 0; ///< Of the record; 0 if there is none.
    std::optional<DomainRecord> record; ///< Answer to a read.
};
struct Leave { };
/// @}

using Event = std::variant<Tick, DomainPlan, InstancesListed, PeerReceived, PeerDied, ServerAnswered, ServerDied,
    StoreAnswered, Leave>;

/// @name Actions of an Agent
/// @{
struct SendPeer {
    InstanceId to;
    PeerMessage message;
};
struct SendServer {
    ServerId server;
    std::uint64_t sequence = 0;
    ServerOrder order;
};
struct ReadRecord {
    std::uint64_t sequence = 0;
};
struct WriteRecord {
    std::uint64_t sequence = 0;
    std::uint64_t expectedRevision = 0; ///< 0: the record must not exist.
    DomainRecord record;
};
struct Publish {
    DomainRecord record;
    bool committed = true; ///< False while some change waits for the store.
};
/// @}

using Action = std::variant<SendPeer, SendServer, ReadRecord, WriteRecord, Publish>;

/// @brief What an instance does at present in its domain. Numbered like the states of charts/role.chart.
enum class AgentRole {
    follower,
    reading, ///< Reads the record before a campaign, or after a write whose outcome is unknown.
    campaigning, ///< Waits for the write that makes it controller.
    joining, ///< Waits for members of earlier sets.
    controller,
};

/// @brief Ownership logic of one instance: member, successor and controller of its failure domain.
///
/// Deterministic: `handle` turns an event and a time into actions. It does no I/O and reads no clock.
class Agent {
public:
    struct Options {
        Member self;
        DomainId domain;
        OwnershipTiming timing;
        Planner planner;
    };

    /// @brief Creates an agent that knows nothing yet.
    /// @param now time of the process's start; no stamp was used before it
    /// @return invalidSetting if a duration is not positive or the planner is missing; invalidChart if a chart is
    /// damaged
    static Result<Agent> create(Options options, TimePoint now);

    /// @brief Handles one event.
    /// @complexity O(servers) for a tick; O(items) when an owner may have to change
    std::vector<Action> handle(const Event& event, TimePoint now);

    [[nodiscard]] AgentRole role() const { return m_role; }
    [[nodiscard]] Epoch epoch() const { return m_set.epoch; }

    /// @brief Returns the assignment as this agent last knew it.
    [[nodiscard]] const DomainRecord& record() const { return m_working; }

    /// @brief Returns true if every change in record() is in the store.
    [[nodiscard]] bool isCommitted() const { return m_provisional.empty() && !m_dirtyRecord; }

    /// @brief Returns true if no change of owners is proposed or being written.
    [[nodiscard]] bool isSettled() const { return isCommitted() && m_proposal.empty() && !m_pendingWrite; }

    /// @brief Returns the number of the plan that the agent acts on.
    [[nodiscard]] std::uint64_t planNumber() const { return m_planNumber; }

    /// @brief Returns true if this instance may extend grants at `now`.
    [[nodiscard]] bool hasAuthority(TimePoint now) const;

    /// @brief Returns how many servers answer, are silent, or were given up.
    [[nodiscard]] std::map<std::string, std::size_t> serverStates() const;

private:
    /// Events of charts/role.chart.
    enum class RoleEvent {
        read,
        readDone,
        campaign,
        lost,
        won,
        informed,
        deposed,
    };

    /// Events of charts/server.chart.
    enum class ServerEvent {
        inventoried,
        timedOut,
        gone,
    };

    /// States of charts/server.chart.
    enum class Reach {
        unknown,
        up,
        silent,
        out, ///< Dead or waited out: it holds nothing.
    };

    struct Outstanding {
        std::uint64_t sequence = 0;
        OrderKind kind = OrderKind::hello;
        std::vector<Item> items;
        TimePoint sentAt;
    };

    struct ServerBook {
        ServerInfo info;
        Reach reach = Reach::unknown;
        std::optional<Stamp> stamp;
        TimePoint stampReceived {};
        std::optional<Outstanding> outstanding;
        bool inventoried = false; ///< Answered an inventory of this epoch since it was last silent.
        bool draining = false;
        TimePoint lastProbe {};
        TimePoint lastRenewal {};
        std::uint64_t checkedVersion = 0; ///< Value of m_workVersion when nothing was left to order.
        std::map<Item, Fence> confirmed; ///< What it said it holds.
        std::uint64_t confirmedDigest = 0;
        std::set<Item> revoked; ///< Taken away by this controller; a new grant needs a new fence.
        TimePoint uncertainUntil {}; ///< Until then a lost order may still reach a server without fence checks.
        std::uint64_t stopSequence = 0; ///< Odd: renewal is stopped.
        std::map<Member, TimePoint> stopBounds; ///< Upper bound of the newest stamp's age, by member.
        TimePoint lastStopSent {};
    };

    struct FormerMember {
        bool settled = false; ///< Joined, lapsed or dead: it renews no more.
        bool joined = false;
        TimePoint joinedAt {};
        TimePoint settledAt {};
    };

    struct FormerSet {
        RenewerSet set;
        std::map<Member, FormerMember> members;
    };

    enum class StorePurpose {
        none,
        campaign, ///< A read before a campaign, or the campaign's write.
        commit, ///< A write of the controller's changes.
        resolve, ///< A read that settles the pending write.
    };

    Agent(Options options, TimePoint now);
    void changeRole(RoleEvent event) { advance(builtInChart("role"), m_role, event); }
    static void changeReach(ServerBook& book, ServerEvent event) { advance(builtInChart("server"), book.reach, event); }

    // agent.cpp: dispatch, membership and authority
    void on(const Tick&);
    void on(const DomainPlan&);
    void on(const InstancesListed&);
    void on(const PeerReceived&);
    void on(const PeerDied&);
    void on(const ServerAnswered&);
    void on(const ServerDied&);
    void on(const StoreAnswered&);
    void on(const Leave&);
    void noteSender(const PeerMessage& message);
    void noteEarlierRuns(const Member& peer);
    void onPeer(const PeerMessage&, const Ping&);
    void onPeer(const PeerMessage&, const Pong&);
    void onPeer(const PeerMessage&, const Join&);
    void onPeer(const PeerMessage&, const Joined&);
    void onPeer(const PeerMessage&, const StopRenewing&);
    void onPeer(const PeerMessage&, const StoppedRenewing&);
    void onPeer(const PeerMessage&, const ResumeRenewing&);
    void onPeer(const PeerMessage&, const Agree&);
    void onPeer(const PeerMessage&, const Agreed&);
    void onPeer(const PeerMessage&, const HandOver&);
    void noteEpoch(Epoch epoch);
    void send(const InstanceId& to, PeerBody body);
    void sendPings();
    std::vector<InstanceId> pingTargets() const;
    std::vector<Member> otherMembers() const;
    Duration ageOfStamps(const ServerId& server) const;

    // agent_campaign.cpp: succession
    void considerTakeover();
    Duration takeoverDelay() const;
    void readRecord(StorePurpose purpose);
    void writeRecord(StorePurpose purpose, DomainRecord record);
    void recordRead(StorePurpose purpose, const StoreAnswered& event);
    void recordWritten(const StoreAnswered& event);
    void pendingWriteLanded();
    void pendingWriteFailed();
    void resolvePendingWrite();
    void campaign();
    void becomeJoining();
    void continueJoining();
    void sendJoins();
    void settleFormer();
    void settleSilentMembers(FormerSet& former);
    void adoptMove(const ProvisionalMove& move);
    std::string newToken();
    bool isInformed(const FormerSet& former) const;
    void stepDown();
    void learnRecord(const DomainRecord& record);
    std::vector<Member> chooseRenewers() const;
    bool needsNewSet() const;

    // agent_servers.cpp: orders, silence and renewal
    void tendServers();
    void tendServer(ServerBook& book);
    void tendSilentServer(ServerBook& book);
    void renewAsMember();
    void sendOrder(ServerBook& book, OrderKind kind, std::vector<Item> items = {}, Fence fence = {});
    void resumeServer(ServerBook& book);
    void revokeAnswered(ServerBook& book, const std::vector<Item>& items, bool released);
    void renewServerAsMember(ServerBook& book);
    void orderTimedOut(ServerBook& book);
    void serverIsOut(ServerBook& book);
    void takeInventory(ServerBook& book, const ServerAnswer& answer);
    void confirmGrant(ServerBook& book, const std::vector<Item>& items, const std::vector<Item>& refused);
    std::optional<TimePoint> waitOutEnd(const ServerBook& book) const;
    bool mayTakeFrom(const ServerBook& book) const;

    // agent_reconcile.cpp: decisions on owners
    void reconcile();
    void replan();
    bool isUp(const ServerId& server) const;
    std::map<Item, ItemOwner> readyChanges();
    void removeForeignItems();
    void commit();
    void requestAgreement();
    void finishAgreement();
    void applyChanges(const std::map<Item, ItemOwner>& changes);
    void publish();
    void noteWork();
    void rebuildOwned();
    void limitPlannedMoves();
    bool sendRevocations(ServerBook& book);
    bool sendGrants(ServerBook& book);
    [[nodiscard]] bool isController() const { return m_role == AgentRole::controller; }

    Options m_options;
    TimePoint m_started;
    TimePoint m_now;
    std::vector<Action> m_actions;
    AgentRole m_role = AgentRole::follower;
    std::uint64_t m_sequence = 0;
    bool m_leaving = false;

    // Membership
    RenewerSet m_set; ///< Set joined; empty if none.
    Member m_controller;
    Epoch m_newestEpoch = 0;
    std::vector<InstanceId> m_instances;
    std::map<InstanceId, Member> m_livePeers; ///< Newest run of each peer that sent a message.
    std::map<std::uint64_t, TimePoint> m_pingSent;
    std::map<Member, TimePoint> m_heard; ///< Send time of the newest ping answered from the joined epoch.
    std::map<InstanceId, TimePoint> m_alive; ///< Last message of any epoch.
    std::map<Member, TimePoint> m_dead; ///< Runs known to be gone, and since when that is known.
    TimePoint m_controllerHeard {};
    TimePoint m_lastPing {};
    std::map<ServerId, std::uint64_t> m_stopped; ///< Newest stop (odd) or resume (even) number.
    std::map<ServerId, TimePoint> m_stampUsed; ///< Receipt time of the newest stamp used.
    std::vector<ProvisionalMove> m_agreedMoves;
    bool m_handOverAsked = false;

    // Store
    StorePurpose m_storePurpose = StorePurpose::none;
    std::uint64_t m_storeSequence = 0;
    std::optional<DomainRecord> m_pendingWrite; ///< Written or being written; its outcome is not known.
    StorePurpose m_pendingPurpose = StorePurpose::none;
    bool m_storeBusy = false;
    TimePoint m_campaignSent {};
    std::uint64_t m_revision = 0;
    bool m_storeDown = false;
    TimePoint m_nextStoreTry {};
    TimePoint m_nextCampaign {};

    // Controller
    DomainRecord m_working;
    std::map<Item, ItemOwner> m_provisional; ///< Changes in force that the store lacks.
    bool m_dirtyRecord = false;
    std::map<Item, ItemOwner> m_proposal; ///< Changes that wait for the store or for agreement.
    std::uint64_t m_agreeSequence = 0;
    std::set<Member> m_agreed;
    TimePoint m_lastAgreeSent {};
    std::vector<FormerSet> m_former;
    std::optional<TimePoint> m_formerSettledAt;
    TimePoint m_lastJoinSent {};
    std::map<ServerId, TimePoint> m_formerStampBounds; ///< Upper bound of stamps used by members that joined.
    std::set<Item> m_items;
    std::optional<Epoch> m_confirmedEpoch;
    std::uint64_t m_planNumber = 0;
    std::vector<ServerInfo> m_servers;
    std::map<ServerId, ServerBook> m_books;
    Holders m_holders;
    std::map<ServerId, std::vector<Item>> m_owned; ///< Items of m_working by owner; rebuilt when stale.
    bool m_ownedStale = true;
    std::uint64_t m_workVersion = 1; ///< Rises when there may be new revocations or grants to order.
    std::map<Item, ServerId> m_desired;
    bool m_replanNeeded = true;
    bool m_reconcileNeeded = true;
    std::uint64_t m_fenceSequence = 0;
};

} // namespace acaciagauge
