#pragma once

#include "acaciagauge/detail/ownership/key_load.hpp"
#include "acaciagauge/detail/ownership/key_ranges.hpp"
#include "acaciagauge/detail/planning/key_placement.hpp"
#include "acaciagauge/detail/planning/server_speeds.hpp"

#include <set>
#include <variant>

namespace acaciagauge {

/// @brief Fence of a grant as servers compare it. Epochs go before sequences.
using PackedFence = std::uint64_t;

/// @brief Packs an epoch and a sequence below 2^32 into one number; below 2^53 for epochs below 2^21.
PackedFence packFence(const Fence& fence);

/// @brief How an order to a server ended.
enum class KeyOrderOutcome {
    done,
    staleFence, ///< The server has seen a higher fence on some of the keys.
    refused, ///< The server cannot read the order.
    wrongServer, ///< Another server has the address.
    notSent, ///< No byte of it was written.
    unanswered, ///< It may be carried out, now or later.
};

/// @brief What one instance saw of the load since its last report.
struct LoadReport {
    std::map<ServiceName, KeyCounts> keys; ///< Requests by key, of services that own keys.
    std::map<ServerId, ServiceTimes> times; ///< Of servers that answered.
};

/// @name Events of a KeyAssigner
/// @{
struct KeyTick { };
struct KeyServersChanged {
    std::vector<KnownServer> servers; ///< Of all services: an address may pass from one to another.
};
struct KeyServicesChanged {
    std::set<ServiceName> services; ///< That own keys.
};
struct KeyOrderEnded {
    std::uint64_t orderId = 0;
    KeyOrderOutcome outcome = KeyOrderOutcome::unanswered;
    std::string handover;
};
struct OwnerWriteEnded {
    bool written = false; ///< false: write again with what is wanted by then.
};
struct KeyLoadReported {
    LoadReport report;
};
/// @}

using KeyEvent
    = std::variant<KeyTick, KeyServersChanged, KeyServicesChanged, KeyOrderEnded, OwnerWriteEnded, KeyLoadReported>;

/// @name Actions of a KeyAssigner
/// @{
struct SendKeyGrant {
    std::uint64_t orderId = 0;
    ServerRun server;
    std::string address;
    KeyRange range;
    PackedFence fence = 0;
    std::chrono::milliseconds duration { 0 };
    std::string handover;
};
struct SendKeyRelease {
    std::uint64_t orderId = 0;
    ServerRun server;
    std::string address;
    KeyRange range;
    PackedFence fence = 0;
};
struct WriteOwnerChunks {
    std::map<ChunkId, OwnerChunk> chunks;
};
/// @brief The server has seen a higher fence: find out who is controller.
struct CheckAuthority { };
/// @brief A decision for the log.
struct KeyDecision {
    ServiceName service;
    KeyRange range;
    std::string what;
    ServerId server;
    std::string reason;
};
/// @}

using KeyAction = std::variant<SendKeyGrant, SendKeyRelease, WriteOwnerChunks, CheckAuthority, KeyDecision>;

/// @brief States of charts/range.chart.
enum class RangeState {
    unowned,
    recording,
    granting,
    held,
    releasing,
};

/// @brief Events of charts/range.chart.
enum class RangeEvent {
    assigned,
    recorded,
    granted,
    moveAsked,
    stayed,
    released,
    expired,
};

/// @brief Keeps every key with one owner, for one epoch of the controller. No sockets, clock or threads.
///
/// An owner is recorded in the store before it is granted anything. Keys leave a server only when it has answered their
/// release and no unanswered order can bring them back, when its run has ended, or when all its grants have run out.
class KeyAssigner {
public:
    struct Options {
        Duration grantDuration = std::chrono::seconds(10); ///< Duration of a grant from its arrival.
        double clockMargin = 0.02; ///< A server's clock may be slower by this fraction.
        Duration expiryMargin = std::chrono::milliseconds(300); ///< Added to the end of a grant that is waited out.
        Duration fencingHold = std::chrono::milliseconds(2500); ///< Of a grant that only raises the fence.
        Duration renewInterval = std::chrono::milliseconds(2500); ///< Age at which a grant is renewed.
        Duration orderTimeout = std::chrono::milliseconds(800); ///< An order without an answer by then is unanswered.
        Duration retryAfter = std::chrono::milliseconds(250); ///< Wait after an order that failed.
        Duration settleTime
            = std::chrono::milliseconds(1200); ///< A service is first divided this long after its last new server.
        std::size_t maxGrants = 2; ///< Grants in progress at one server.
        std::size_t maxReleases = 8; ///< Releases in progress at one server.
        KeyPlacement::Options placement;
        Duration planEvery = std::chrono::milliseconds(300); ///< Interval of looking for moves.
    };

    /// @brief Starts a controller's epoch from what is recorded.
    static KeyAssigner create(Options options, Epoch epoch, const KeyOwnerMap& recorded, TimePoint now);

    /// @brief Handles an event.
    /// @complexity O(ranges) for a tick; O(log ranges) for an order's end
    std::vector<KeyAction> handle(const KeyEvent& event, TimePoint now);

    /// @brief Returns when the next tick has work.
    [[nodiscard]] TimePoint nextDue(TimePoint now) const;

    /// @brief Returns how many ranges are in each state, by its name.
    [[nodiscard]] std::map<std::string, std::size_t> countByState() const;

private:
    struct Range {
        KeyRange keys;
        RangeState state = RangeState::unowned;
        ServerRun owner;
        std::optional<ServerId> target; ///< Planned next owner.
        PackedFence fence = 0;
        bool isFenceUsed = false; ///< `fence` was sent to the owner.
        bool mayReturn = false; ///< An unanswered order may still give the keys to the owner.
        TimePoint heldUntil; ///< The owner holds nothing after this, unless it is granted again.
        TimePoint nextOrder;
        std::uint64_t orderId = 0; ///< In flight; 0: none.
        bool isRelease = false; ///< The order in flight is a release.
        Duration orderHold { 0 }; ///< Of the grant in flight.
        std::string handover;
        std::uint64_t recordNumber = 0; ///< The owner is recorded once this content of the chunk is written.
    };

    struct Service {
        std::map<KeyNumber, Range> ranges; ///< By first key; without gaps once divided.
        KeyLoad load;
        ServerSpeeds speeds;
        bool isDivided = false;
    };

    struct Chunk {
        std::uint64_t wanted = 0; ///< Number of the content that is wanted.
        std::uint64_t sent = 0; ///< Number of the content in the write in flight.
        std::uint64_t written = 0; ///< Number of the content that the store has.
    };

    struct OrderRef {
        ServiceName service;
        KeyNumber from = 0;
        ServerId server;
        bool isRelease = false;
    };

    KeyAssigner(Options options, Epoch epoch, TimePoint now);

    void onTick(TimePoint now);
    void onServers(const KeyServersChanged& event, TimePoint now);
    void onServices(const KeyServicesChanged& event, TimePoint now);
    void onOrderEnded(const KeyOrderEnded& event, TimePoint now);
    void onRecordEnded(const OwnerWriteEnded& event, TimePoint now);
    void onLoad(const KeyLoadReported& event, TimePoint now);

    void loseReplaced();
    static Service newService(TimePoint now);
    bool step(Range& range, RangeEvent event);
    void advanceAll(const ServiceName& name, Service& service, TimePoint now);
    void advance(const ServiceName& name, Service& service, Range& range, TimePoint now);
    static void mergeNeighbours(Service& service);
    void assign(const ServiceName& name, const Service& service, Range& range);
    void leaveServer(const ServiceName& name, Range& range, TimePoint now);
    void sendGrant(const ServiceName& name, Range& range, TimePoint now);
    void sendRelease(const ServiceName& name, Range& range, TimePoint now);
    void sendFencingGrant(const ServiceName& name, Range& range, TimePoint now);
    void sendGrantFor(const ServiceName& name, Range& range, Duration hold, TimePoint now);
    void noteHold(Range& range, Duration hold, TimePoint latestArrival);
    void followRestart(const ServiceName& name, Range& range, const ServerRun& run, TimePoint now);
    void freshFence(Range& range);
    void lose(const ServiceName& name, Range& range, const std::string& reason);
    void touchChunk(const ServiceName& name, Range& range);
    void writeChunks(TimePoint now);
    void divide(const ServiceName& name, Service& service, TimePoint now);
    void splitLeaving(Service& service);
    void planMoves(const ServiceName& name, Service& service, TimePoint now);
    Range& cut(Service& service, Range& range, const KeyRange& part);
    OwnerChunk chunkContent(const ChunkId& id) const;
    KeyPlacement::Input placementInput(const ServiceName& name, const Service& service) const;
    const KnownServer* usable(const ServerRun& run) const;
    bool mayOrder(const ServerId& server, bool isRelease) const;
    void decide(const ServiceName& name, const Range& range, std::string what, std::string reason);

    Options m_options;
    Epoch m_epoch;
    TimePoint m_started;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_lastOrder = 0;
    std::uint64_t m_lastContent = 0;
    bool m_isWriting = false;
    TimePoint m_nextWrite;
    TimePoint m_nextPlan;
    std::map<ServiceName, Service> m_services;
    std::map<ServerId, KnownServer> m_servers;
    std::map<ServiceName, TimePoint> m_lastJoin; ///< When a service's newest server was first seen.
    std::map<ChunkId, Chunk> m_chunks;
    std::map<std::uint64_t, OrderRef> m_orders;
    std::map<ServerId, std::size_t> m_grantsInFlight;
    std::map<ServerId, std::size_t> m_releasesInFlight;
    std::vector<KeyAction> m_actions;
};

} // namespace acaciagauge
