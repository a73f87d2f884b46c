#pragma once

#include "acaciagauge/detail/ownership/key_load.hpp"
#include "acaciagauge/detail/ownership/key_ranges.hpp"
#include "acaciagauge/detail/planning/key_placement.hpp"
#include "acaciagauge/detail/planning/server_speeds.hpp"

#include <set>
#include <variant>

namespace acaciagauge {

/// @brief A fence as one number, which servers compare: the epoch in the high bits, the sequence in the low 32 bits.
using PackedFence = std::uint64_t;

/// @brief Packs an epoch and a sequence into one number. The sequence must be below 2^32.
///
/// The result is below 2^53, so that a JSON number holds it exactly, as long as the epoch is below 2^21.
PackedFence packFence(const Fence& fence);

/// @brief Outcome of an order: a grant or release request that the controller sends to a server.
enum class KeyOrderOutcome {
    done,
    staleFence, ///< The server has seen a higher fence on some of the keys.
    refused, ///< The server rejected the request as malformed.
    wrongServer, ///< Another server uses the address.
    notSent, ///< No byte of the request was written.
    unanswered, ///< No response; the server may have applied it, or may apply it later.
};

/// @brief Load that one instance measured since its last report.
struct LoadReport {
    std::map<ServiceName, KeyCounts> keys; ///< Requests by key, for services whose servers own keys.
    std::map<ServerId, ServiceTimes> times; ///< Only servers that responded.
    std::vector<ServerRun> leaving; ///< Servers that said that they are leaving, and whose entries do not say so.
    std::map<ServerId, double> rateLimits; ///< Requests per second that servers named as their limit.
};

/// @name Events of a KeyAssigner
/// @{
struct KeyTick { }; ///< Time has passed.
struct KeyServersChanged {
    std::vector<KnownServer> servers; ///< Of all services: a server may reuse the address of another service's server.
};
struct KeyServicesChanged {
    std::set<ServiceName> services; ///< Services whose servers own keys.
    bool isLoadUneven = false; ///< The desired state calls for coordination, see Options::unevenNoiseMargin.
};
struct KeyOrderEnded {
    std::uint64_t orderId = 0;
    KeyOrderOutcome outcome = KeyOrderOutcome::unanswered;
    std::string handover; ///< What the released server passes on to the next owner; may be empty.
};
struct OwnerWriteEnded {
    bool written = false; ///< If false, the chunks are written again with their content at that time.
};
struct KeyLoadReported {
    LoadReport report;
};
/// @brief The store was restored from an older copy and may lack records of owners: all are written again.
struct OwnerRecordsLost {
    Epoch epoch = 0; ///< New epoch of the same controller.
};
/// @}

using KeyEvent = std::variant<KeyTick, KeyServersChanged, KeyServicesChanged, KeyOrderEnded, OwnerWriteEnded,
    KeyLoadReported, OwnerRecordsLost>;

/// @name Actions of a KeyAssigner
/// @{
struct SendKeyGrant {
    std::uint64_t orderId = 0;
    ServerRun server;
    std::string address;
    KeyRange range;
    PackedFence fence = 0;
    std::chrono::milliseconds duration { 0 }; ///< Counted from the arrival at the server.
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
/// @brief All owners have been recorded again after their records were lost.
struct OwnersRecorded {
    Epoch epoch = 0;
};
/// @brief A server has seen a higher fence: check in the store whether this instance is still the controller.
struct CheckAuthority { };
/// @brief A decision about a key range, for the log.
struct KeyDecision {
    ServiceName service;
    KeyRange range;
    std::string what;
    ServerId server;
    std::string reason;
};
/// @}

using KeyAction
    = std::variant<SendKeyGrant, SendKeyRelease, WriteOwnerChunks, OwnersRecorded, CheckAuthority, KeyDecision>;

/// @brief How much work a KeyAssigner has.
struct KeyWorkload {
    std::map<std::string, std::size_t> rangesByState; ///< By the name of the state.
    std::size_t ranges = 0; ///< Each of them is renewed by an order of its own.
    std::uint64_t ordersSent = 0; ///< Since the start of the epoch.
    std::size_t ordersInFlight = 0;
    Duration longestOverdue { 0 }; ///< How long the most overdue order has been due.
};

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

/// @brief Assigns the key ranges of all services to servers, each key to one owner, during one epoch of the controller.
///
/// A state machine without sockets, clock or threads. An owner is recorded in the store before it gets a grant. A
/// server loses keys only when it has confirmed their release and no unanswered grant can give them back, when its
/// process has ended, or when all its grants have expired.
class KeyAssigner {
public:
    struct Options {
        Duration grantDuration = std::chrono::seconds(10); ///< Duration of a grant, counted from its arrival.
        double clockMargin = 0.02; ///< A server's clock may run slower by this fraction.
        Duration expiryMargin = std::chrono::milliseconds(300); ///< Added to the computed expiry of a grant.
        Duration fencingGrantDuration = std::chrono::milliseconds(2500); ///< Of a grant that only raises the fence.
        Duration renewInterval = std::chrono::milliseconds(2500); ///< Age at which a grant is renewed.
        Duration orderTimeout = std::chrono::milliseconds(800); ///< An order without a response by then is unanswered.
        Duration retryDelay = std::chrono::milliseconds(250); ///< Delay before a failed order or write is repeated.
        Duration initialDivisionDelay
            = std::chrono::milliseconds(1200); ///< From a service's latest new server to the first assignment of keys.
        std::size_t maxGrantsInFlight = 2; ///< For each server.
        std::size_t maxReleasesInFlight = 8; ///< For each server.
        KeyPlacement::Options placement;
        double unevenNoiseMargin = 0; ///< KeyPlacement::Options::noiseMargin while the load is uneven.
        double unevenMovesPerServer
            = 0; ///< Moves of a service in progress at once, for each usable server, while the load is uneven.
        Duration rateLimitLifetime = std::chrono::seconds(2); ///< A rate limit that is not reported again ends.
        Duration planInterval = std::chrono::milliseconds(300); ///< Interval of planning moves.
    };

    /// @brief Starts a controller's epoch from the recorded owners.
    static KeyAssigner create(Options options, Epoch epoch, const KeyOwnerMap& recorded, TimePoint now);

    /// @brief Handles an event.
    /// @return the actions to perform, in order
    /// @complexity O(ranges) for a tick; O(log ranges) for the end of an order
    std::vector<KeyAction> handle(const KeyEvent& event, TimePoint now);

    /// @brief Returns when the next tick has work.
    [[nodiscard]] TimePoint nextDue(TimePoint now) const;

    /// @brief Returns how much work there is.
    /// @complexity O(ranges)
    [[nodiscard]] KeyWorkload workload(TimePoint now) const;

private:
    struct Range {
        KeyRange keys;
        RangeState state = RangeState::unowned;
        ServerRun owner;
        std::optional<ServerId> target; ///< Planned next owner.
        PackedFence fence = 0;
        bool isFenceSent = false; ///< `fence` was sent to the owner.
        bool hasUnresolvedGrant = false; ///< An unanswered grant may still reach the owner.
        TimePoint heldUntil; ///< When the owner's grants have expired, if none follows.
        TimePoint nextOrderAt; ///< When the next order is due.
        std::uint64_t orderId = 0; ///< Order in flight; 0: none.
        bool isRelease = false; ///< The order in flight is a release.
        Duration sentGrantDuration { 0 }; ///< Duration of the grant in flight.
        std::string handover; ///< From the former owner, for the next grant.
        std::uint64_t recordVersion = 0; ///< Version of the chunk that records the owner.
    };

    struct Service {
        std::map<KeyNumber, Range> ranges; ///< By first key; without gaps once `isDivided`.
        KeyLoad load;
        ServerSpeeds speeds;
        bool isDivided = false; ///< All keys have been assigned for the first time.
    };

    struct Chunk {
        std::uint64_t wantedVersion = 0; ///< Version of the current content.
        std::uint64_t sentVersion = 0; ///< Version in the write in flight; 0: none.
        std::uint64_t writtenVersion = 0; ///< Version that the store has.
        std::uint64_t recoveredVersion = 0; ///< Version from which on the record counts as written again.
    };

    struct RateLimit {
        double perSecond = 0;
        TimePoint reportedAt;
    };

    struct SentOrder {
        ServiceName service;
        KeyNumber from = 0; ///< First key of the range.
        ServerId server;
        bool isRelease = false;
    };

    KeyAssigner(Options options, Epoch epoch, TimePoint now);

    void onTick(TimePoint now);
    void onServers(const KeyServersChanged& event, TimePoint now);
    void onServices(const KeyServicesChanged& event, TimePoint now);
    void onOrderEnded(const KeyOrderEnded& event, TimePoint now);
    void onRecordEnded(const OwnerWriteEnded& event, TimePoint now);
    void onRecordsLost(const OwnerRecordsLost& event);
    void reportIfRecorded();
    void onLoad(const KeyLoadReported& event, TimePoint now);

    void checkOwnersAt(const std::map<std::string, const ServerEntry*>& joined, TimePoint now);
    static Service newService(TimePoint now);
    bool applyEvent(Range& range, RangeEvent event);
    void advanceAll(const ServiceName& name, Service& service, TimePoint now);
    void advance(const ServiceName& name, Service& service, Range& range, TimePoint now);
    static void mergeAdjacentRanges(Service& service);
    void assign(const ServiceName& name, const Service& service, Range& range);
    void startRelease(const ServiceName& name, Range& range, TimePoint now);
    void sendGrant(const ServiceName& name, Range& range, TimePoint now);
    void sendRelease(const ServiceName& name, Range& range, TimePoint now);
    void sendFencingGrant(const ServiceName& name, Range& range, TimePoint now);
    void sendGrantWithDuration(const ServiceName& name, Range& range, Duration duration, TimePoint now);
    void extendHeldUntil(Range& range, Duration duration, TimePoint latestArrival);
    void handleOwnerRestart(const ServiceName& name, Range& range, const ServerRun& run, TimePoint now);
    void assignNewFence(Range& range);
    void markLost(const ServiceName& name, Range& range, const std::string& reason);
    void markChunkChanged(const ServiceName& name, Range& range);
    void writeChangedChunks(TimePoint now);
    void divide(const ServiceName& name, Service& service, TimePoint now);
    void splitRangesOfLeavingServers(Service& service);
    void planMoves(const ServiceName& name, Service& service, TimePoint now);
    Range& splitOff(Service& service, Range& range, const KeyRange& part);
    OwnerChunk chunkContent(const ChunkId& id) const;
    KeyPlacement::Input placementInput(const ServiceName& name, const Service& service) const;
    double capacityOf(const KnownServer& server, const Service& service) const;
    KeyPlacement::Options placementOptions(const KeyPlacement::Input& input) const;
    void dropEndedRateLimits(TimePoint now);
    const KnownServer* readyServer(const ServerRun& run) const;
    bool maySendOrder(const ServerId& server, bool isRelease) const;
    void logDecision(const ServiceName& name, const Range& range, std::string what, std::string reason);

    Options m_options;
    Epoch m_epoch;
    TimePoint m_startedAt;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_lastOrderId = 0;
    std::uint64_t m_lastChunkVersion = 0;
    bool m_isLoadUneven = false;
    bool m_isWriteInFlight = false;
    bool m_isRecordingAgain = false; ///< Records were lost and are being written again.
    TimePoint m_nextWriteAt;
    TimePoint m_handledAt; ///< Time of the latest event.
    TimePoint m_nextPlanAt;
    std::map<ServiceName, Service> m_services;
    std::map<ServerId, KnownServer> m_servers;
    std::map<ServerId, RateLimit> m_rateLimits; ///< Of servers that limit their rate at present.
    std::map<ServiceName, TimePoint> m_lastJoinedAt; ///< When a service's newest server was first seen.
    std::map<ChunkId, Chunk> m_chunks;
    std::map<std::uint64_t, SentOrder> m_ordersInFlight;
    std::map<ServerId, std::size_t> m_grantsInFlight;
    std::map<ServerId, std::size_t> m_releasesInFlight;
    std::vector<KeyAction> m_actions;
};

} // namespace acaciagauge
