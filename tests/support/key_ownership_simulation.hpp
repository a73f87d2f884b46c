#pragma once

#include <acaciagauge/acaciagauge.hpp>

#include <functional>
#include <optional>
#include <random>
#include <string>

namespace acaciagauge::test {

/// @brief Controllers, servers that own keys and the store in memory, on simulated time.
///
/// The servers hold keys as the users' pages say: from an order's arrival, by a clock that may be 2 in 100 slow, late
/// orders included. The oracle looks after each event: no key is held by two servers that are up, and fences rise over
/// all servers.
class KeyOwnershipSimulation {
public:
    struct Options {
        std::size_t servers = 5;
        unsigned seed = 1;
        bool abandonedOrdersArrive = false; ///< As if a connection that is given up went on sending.
        KeyAssigner::Options keeper;
    };

    explicit KeyOwnershipSimulation(Options options);

    void run(Duration duration);

    /// @name Faults
    /// @{
    void killController() { m_controller.reset(); }
    void storeDown(bool down);
    void crash(std::size_t n); ///< The process ends; its entry lapses later.
    void restart(std::size_t n); ///< Ends and starts again under its id.
    void reuseAddress(std::size_t n); ///< Ends; another server starts at its address.
    void setDraining(std::size_t n, bool draining);
    void setCut(std::size_t n, bool cut) { m_servers[n].isCut = cut; } ///< From controllers; it serves on.
    void setListed(std::size_t n, bool listed);
    void add();
    void setLostRequests(double share) { m_lostRequests = share; }
    void setLostAnswers(double share) { m_lostAnswers = share; }
    void setLateOrders(double share) { m_lateOrders = share; }
    void setSlowOrders(double share) { m_slowOrders = share; } ///< They are seconds on their way.
    void setLateWrites(double share) { m_lateWrites = share; }
    void heat(KeyNumber key, unsigned requests);
    void repairAll();
    /// @}

    [[nodiscard]] std::size_t serverCount() const { return m_servers.size(); }

    /// @brief Returns what the oracle saw first; empty if nothing was wrong.
    [[nodiscard]] const std::string& problem() const { return m_problem; }

    /// @brief Returns how many of the watched keys are held by a server that is ready.
    [[nodiscard]] std::size_t servedKeys() const;
    [[nodiscard]] std::size_t watchedKeys() const { return m_keys.size(); }

    /// @brief Returns the owner of a key in the store's records.
    [[nodiscard]] std::optional<ServerId> recordedOwner(KeyNumber key) const;

    /// @brief Returns the server that holds a key now.
    [[nodiscard]] std::optional<ServerId> holder(KeyNumber key) const;

private:
    struct Held {
        PackedFence fence = 0;
        TimePoint until;
    };

    struct Server {
        ServerEntry entry;
        bool isUp = true;
        bool isCut = false;
        bool isListed = true;
        std::int64_t life = 0; ///< Of the process; its entry follows later.
        double clockRate = 1; ///< Real time that passes in one second of its clock.
        std::map<KeyNumber, Held> held;
        std::map<KeyNumber, PackedFence> seen;
    };

    struct Controller {
        KeyAssigner keeper;
        Epoch epoch;
        std::map<ChunkId, std::uint64_t> revisions; ///< As it believes.
        TimePoint authorityUntil;
    };

    struct StoredChunk {
        OwnerChunk content;
        std::uint64_t revision = 0;
    };

    void at(TimePoint when, std::function<void()> work);
    bool chance(double share);
    Duration between(Duration low, Duration high);
    void tell(const KeyEvent& event);
    void tellServers();
    void perform(const KeyAction& action);
    void deliverGrant(SendKeyGrant order, Epoch epoch);
    void deliverRelease(SendKeyRelease order, Epoch epoch);
    void answer(Epoch epoch, KeyOrderEnded ended, Duration after);
    KeyOrderOutcome applyGrant(Server& server, const SendKeyGrant& order, TimePoint arrived);
    void write(WriteOwnerChunks write, Epoch epoch);
    bool applyWrite(const WriteOwnerChunks& write, Epoch epoch, const std::map<ChunkId, std::uint64_t>& expected);
    void takeOver();
    void tick();
    void look(const std::string& after);
    Server* serverAt(const std::string& address);

    Options m_options;
    std::mt19937 m_random;
    TimePoint m_now;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::vector<Server> m_servers;
    std::vector<KeyNumber> m_keys; ///< Watched by the oracle.
    std::optional<Controller> m_controller;
    TimePoint m_leaseUntil; ///< Of the last controller, in the store.
    Epoch m_epoch = 0;
    std::map<ChunkId, StoredChunk> m_chunks;
    std::uint64_t m_revision = 0;
    std::int64_t m_starts = 0;
    std::map<KeyNumber, PackedFence> m_highestFence; ///< Over all servers, and whose it was.
    std::map<KeyNumber, ServerRun> m_highestHolder;
    bool m_isStoreDown = false;
    double m_lostRequests = 0;
    double m_lostAnswers = 0;
    double m_lateOrders = 0;
    double m_slowOrders = 0;
    double m_lateWrites = 0;
    std::string m_problem;
};

} // namespace acaciagauge::test
