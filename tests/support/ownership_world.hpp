#pragma once

#include <acaciagauge/acaciagauge.hpp>

#include <functional>
#include <map>
#include <optional>
#include <ostream>
#include <queue>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace acaciagauge::test {

/// @brief One failure domain in memory: agents, servers, the store and the links between them, on simulated time.
///
/// The oracle looks after each delivery: no item may run at two servers, and what is published as committed was stored.
class OwnershipWorld {
public:
    struct Options {
        std::size_t instances = 4;
        std::size_t servers = 4;
        std::uint32_t items = 12;
        bool someServersIgnoreFences = true;
        OwnershipTiming timing = shortTiming();
    };

    static OwnershipTiming shortTiming()
    {
        OwnershipTiming timing;
        timing.longAuthority = std::chrono::seconds(8);
        return timing;
    }

    explicit OwnershipWorld(Options options);

    void run(Duration duration);
    void killInstance(std::size_t n);
    void restartInstance(std::size_t n);
    void pauseInstance(std::size_t n) { m_instances[n].paused = true; }
    void wakeInstance(std::size_t n) { m_instances[n].paused = false; }
    void leaveInstance(std::size_t n);
    void killServer(std::size_t n) { m_servers[n].table.reset(); }
    void restartServer(std::size_t n);
    void freezeServer(std::size_t n) { m_servers[n].frozen = true; }
    void wakeServer(std::size_t n) { m_servers[n].frozen = false; }
    void cut(const std::string& from, const std::string& to) { m_cuts.insert({ from, to }); }
    void cutBoth(const std::string& a, const std::string& b);
    void heal(bool dropHeld);
    void setLatency(const std::string& from, const std::string& to, Duration latency)
    {
        m_latency[{ from, to }] = latency;
    }
    void setStoreDown(bool down) { m_storeDown = down; }
    void loseNextStoreAnswer() { m_loseAnswer = true; }
    void delayNextStoreWrite(Duration delay) { m_writeDelay = delay; }
    void setServerLeaving(std::size_t n, bool leaving);
    void repairAll();

    [[nodiscard]] TimePoint now() const { return m_now; }
    [[nodiscard]] std::string instanceName(std::size_t n) const { return "i" + std::to_string(n); }
    [[nodiscard]] std::string serverName(std::size_t n) const { return "s" + std::to_string(n); }
    [[nodiscard]] const std::string& violation() const { return m_violation; }
    [[nodiscard]] std::size_t itemsServed() const;
    [[nodiscard]] std::optional<std::size_t> controllerIndex() const;
    [[nodiscard]] std::vector<std::size_t> ownersOf(const Item& item) const;
    [[nodiscard]] std::size_t itemCount() const { return m_options.items; }
    [[nodiscard]] Item itemAt(std::uint32_t n) const { return { "lots", n, "" }; }
    [[nodiscard]] std::string describe() const;
    /// Indices of the renewer set in the store, the controller's included.
    [[nodiscard]] std::vector<std::size_t> renewers() const;
    [[nodiscard]] std::uint64_t ownerChanges() const { return m_ownerChanges; }
    /// Longest time that any item had no server that may run it.
    [[nodiscard]] Duration longestGap() const;
    void resetGaps();

private:
    struct InstanceNode {
        std::optional<Agent> agent;
        Incarnation incarnation = 0;
        bool paused = false;
        double rate = 0;
        TimePoint nextTick {};
        bool leaving = false;
    };
    struct ServerNode {
        std::optional<GrantTable> table;
        Incarnation incarnation = 0;
        bool frozen = false;
        bool checksFences = true;
        bool leaving = false;
        double rate = 0;
    };
    struct Parcel {
        TimePoint due;
        std::uint64_t order;
        std::string from;
        std::string to;
        std::function<void()> deliver;
        bool operator>(const Parcel& other) const { return std::tie(due, order) > std::tie(other.due, other.order); }
    };
    struct StoredWrite {
        TimePoint due;
        std::uint64_t expected;
        DomainRecord record;
    };

    TimePoint localNow(double rate) const
    {
        auto elapsed = static_cast<double>(m_now.time_since_epoch().count());
        return TimePoint(Duration(static_cast<Duration::rep>(elapsed * (1.0 + rate))));
    }
    void post(const std::string& from, const std::string& to, std::function<void()> deliver);
    bool isBlocked(const Parcel& parcel) const;
    void feed(std::size_t n, Incarnation incarnation, const Event& event);
    void perform(std::size_t n, const Action& action);
    void sendPeer(std::size_t n, const SendPeer& action);
    void sendServer(std::size_t n, const SendServer& action);
    void traceOrder(const std::string& from, const SendServer& action, const ServerAnswer& answer) const;
    void readStore(std::size_t n, const ReadRecord& action);
    void writeStore(std::size_t n, const WriteRecord& action);
    bool applyWrite(std::uint64_t expected, const DomainRecord& record);
    void checkPublished(const Publish& action);
    void applyDelayedWrites();
    void check();
    void tellPlan(std::size_t n);
    std::size_t indexOf(const std::string& name) const { return static_cast<std::size_t>(std::stoul(name.substr(1))); }

    Options m_options;
    TimePoint m_now { Duration(1'000'000) };
    std::vector<InstanceNode> m_instances;
    std::vector<ServerNode> m_servers;
    std::priority_queue<Parcel, std::vector<Parcel>, std::greater<>> m_parcels;
    std::vector<Parcel> m_held;
    std::uint64_t m_order = 0;
    Incarnation m_lastIncarnation = 0;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::map<std::pair<std::string, std::string>, Duration> m_latency;
    std::optional<DomainRecord> m_record;
    std::uint64_t m_revision = 0;
    bool m_storeDown = false;
    bool m_loseAnswer = false;
    std::optional<Duration> m_writeDelay;
    std::vector<StoredWrite> m_delayedWrites;
    std::set<std::pair<Epoch, std::string>> m_storedItems;
    std::string m_violation;
    std::map<Item, std::size_t> m_lastOwner;
    std::map<Item, TimePoint> m_gapStart;
    std::map<Item, Duration> m_longestGap;
    std::uint64_t m_ownerChanges = 0;
};

} // namespace acaciagauge::test
