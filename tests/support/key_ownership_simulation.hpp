#pragma once

#include <acaciagauge/acaciagauge.hpp>

#include <functional>
#include <optional>
#include <random>
#include <string>

namespace acaciagauge::test {

/// @brief Simulates controllers, servers that own keys and the store, in memory and on simulated time.
///
/// The servers follow the users' specification: a grant runs from its arrival, by a clock that may be 2 % slow, even if
/// the server applies it late. The first violation of an invariant after a grant is kept: a key that is held by two
/// running servers, or a fence that does not rise across all servers.
class KeyOwnershipSimulation {
public:
    struct Options {
        std::size_t servers = 5;
        unsigned seed = 1;
        bool deliverAbandonedOrders = false; ///< Orders arrive even after the sender gave up on their connection.
        KeyAssigner::Options assigner;
    };

    explicit KeyOwnershipSimulation(Options options);

    /// @brief Processes the events of the next `duration`, up to the first violation.
    void run(Duration duration);

    /// @name Faults
    /// @{
    void killController() { m_controller.reset(); }
    void setStoreDown(bool down);
    void crash(std::size_t n); ///< The process ends; its entry expires later.
    void restart(std::size_t n); ///< The process ends and starts again under its id.
    void reuseAddress(std::size_t n); ///< The process ends; another server starts at its address.
    /// Another writer puts an entry with the server's address and a later start; no process belongs to it.
    void addForeignEntry(std::size_t n, const ServiceName& name);
    void setDraining(std::size_t n, bool draining);
    void setEvacuated(std::size_t firstServer, std::size_t endServer, bool evacuated);
    /// The server keeps serving, but controllers cannot reach it.
    void setUnreachable(std::size_t n, bool unreachable) { m_servers[n].isUnreachable = unreachable; }
    void setListed(std::size_t n, bool listed);
    void addServer();
    /// The store is restored from a copy without records of owners; the controller continues.
    void loseRecords();
    void setLostRequestShare(double share) { m_lostRequestShare = share; }
    void setLostResponseShare(double share) { m_lostResponseShare = share; }
    void setLateOrderShare(double share) { m_lateOrderShare = share; } ///< Applied up to 12 s after their arrival.
    void setSlowOrderShare(double share) { m_slowOrderShare = share; } ///< Arrive up to 20 s after they were sent.
    void setLateWriteShare(double share) { m_lateWriteShare = share; } ///< Applied after their timeout.
    void reportLoad(KeyNumber key, unsigned requests);

    /// @brief Reports load to the controller.
    void reportLoad(LoadReport report);

    /// @brief Name of the service whose servers own the keys.
    static const ServiceName service;
    void clearFaults();
    /// @}

    [[nodiscard]] std::size_t serverCount() const { return m_servers.size(); }

    /// @brief Returns the first violation of an invariant; empty if there was none.
    [[nodiscard]] const std::string& violation() const { return m_violation; }

    /// @brief Returns how many of the sampled keys are held by their recorded owner.
    [[nodiscard]] std::size_t servedKeyCount() const;
    [[nodiscard]] std::size_t sampledKeyCount() const { return m_sampledKeys.size(); }

    /// @brief Returns the n-th key whose holders are checked.
    [[nodiscard]] KeyNumber sampledKey(std::size_t n) const { return m_sampledKeys.at(n); }

    /// @brief Returns the owner of a key as recorded in the store.
    [[nodiscard]] std::optional<ServerId> recordedOwner(KeyNumber key) const;

    /// @brief Returns how much work the controller has; nothing if there is none.
    [[nodiscard]] std::optional<KeyWorkload> workload() const;

    /// @brief Returns the server that holds a key now.
    [[nodiscard]] std::optional<ServerId> holder(KeyNumber key) const;

private:
    struct HeldGrant {
        PackedFence fence = 0;
        TimePoint until;
    };

    struct Server {
        ServerEntry entry;
        bool isUp = true;
        bool isUnreachable = false;
        bool isListed = true;
        bool isEvacuated = false;
        std::int64_t processNumber = 0; ///< Identifies the process; its entry changes later.
        double clockRate = 1; ///< Seconds of real time in one second of its clock.
        std::map<KeyNumber, HeldGrant> held;
        std::map<KeyNumber, PackedFence> highestFences;
    };

    struct Controller {
        KeyAssigner assigner;
        Epoch epoch;
        std::map<ChunkId, std::uint64_t> revisions; ///< As the controller knows them.
        TimePoint authorityUntil;
    };

    struct StoredChunk {
        OwnerChunk content;
        std::uint64_t revision = 0;
    };

    void schedule(TimePoint when, std::function<void()> work);
    bool randomBool(double share);
    Duration randomDuration(Duration low, Duration high);
    void sendEvent(const KeyEvent& event);
    void sendServers();
    void perform(const KeyAction& action);
    void sendGrant(SendKeyGrant order, Epoch epoch);
    void sendRelease(SendKeyRelease order, Epoch epoch);
    void respond(Epoch epoch, KeyOrderEnded ended, Duration after);
    static KeyOrderOutcome outcomeAtWrongServer(const Server& server);
    KeyOrderOutcome applyGrant(Server& server, const SendKeyGrant& order, TimePoint arrived);
    void write(WriteOwnerChunks write, Epoch epoch);
    bool applyWrite(const WriteOwnerChunks& write, Epoch epoch, const std::map<ChunkId, std::uint64_t>& expected);
    void startController();
    void tick();
    void checkSingleHolder(const std::string& after);
    Server* serverAt(const std::string& address);

    Options m_options;
    std::mt19937 m_random;
    TimePoint m_now;
    std::multimap<TimePoint, std::function<void()>> m_scheduledEvents;
    std::vector<Server> m_servers;
    std::vector<KeyNumber> m_sampledKeys; ///< Keys whose holders are checked.
    std::optional<Controller> m_controller;
    TimePoint m_leaseUntil; ///< Of the latest controller, in the store.
    Epoch m_epoch = 0; ///< Highest one so far.
    Epoch m_controllerEpoch = 0; ///< With which the latest controller started.
    std::map<ChunkId, StoredChunk> m_chunks;
    std::uint64_t m_revision = 0;
    std::int64_t m_startCount = 0;
    std::map<KeyNumber, PackedFence> m_highestFence; ///< Over all servers.
    std::map<KeyNumber, ServerRun> m_highestFenceHolder; ///< Server that was granted the highest fence.
    bool m_isStoreDown = false;
    double m_lostRequestShare = 0;
    double m_lostResponseShare = 0;
    double m_lateOrderShare = 0;
    double m_slowOrderShare = 0;
    double m_lateWriteShare = 0;
    std::string m_violation;
};

} // namespace acaciagauge::test
