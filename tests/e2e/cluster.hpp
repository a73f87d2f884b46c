#pragma once

#include "e2e/fault_relay.hpp"
#include "e2e/processes.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace acaciagauge::e2e {

/// @brief What a caller was told about one request.
struct Told {
    std::string requestId;
    std::string method;
    std::string key;
    std::string outcome; ///< "ran", "notRun", "unknown", "refused" before anything was sent, or "noAnswer" after.
    bool isOwnAnswer = true; ///< The answer carries this caller's own key and body.
};

/// @brief One execution in a server's record.
struct Executed {
    std::string requestId;
    std::string key;
    std::string method;
    std::string server;
    Fence fence;
    std::int64_t time = 0;
};

/// @brief Three daemons in two failure domains, a platform and six servers, as processes.
class Cluster {
public:
    explicit Cluster(unsigned basePort);
    ~Cluster();
    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;

    void startAll();
    void startDaemon(int n);
    void startServer(int n);
    void signalDaemon(int n, int signal);
    void signalServer(int n, int signal);
    /// @brief Waits for a daemon's end. @return its exit code, or -1 if a signal ended it
    int waitDaemon(int n) { return m_processes.wait("e" + std::to_string(n)); }
    int waitServer(int n) { return m_processes.wait("s" + std::to_string(n)); }
    void platformFaults(const nlohmann::json& faults);
    void serverFaults(int n, const nlohmann::json& faults);
    FaultRelay& rpcRelay(int n) { return *m_relays.at(n); }

    net::Exchange call(
        unsigned port, net::Request request, std::chrono::milliseconds timeout = std::chrono::seconds(5)) const;
    net::Exchange file(int daemon, const nlohmann::json& ticket) const;
    [[nodiscard]] nlohmann::json lotsTicket(
        TicketNumber number, const std::string& writer, int leavingServer = 0) const;
    nlohmann::json status(int daemon) const;
    bool waitServing(int daemon, std::chrono::seconds limit = std::chrono::seconds(20)) const;

    /// @brief Sends bids and lookups to the daemons until stopLoad().
    void startLoad(std::set<int> daemons);
    std::vector<Told> stopLoad();
    [[nodiscard]] std::vector<Executed> executions() const;
    std::string logOf(const std::string& name) const;

    [[nodiscard]] unsigned callersPort(int n) const { return m_base + 100 + static_cast<unsigned>(n); }
    [[nodiscard]] unsigned adminPort(int n) const { return m_base + 200 + static_cast<unsigned>(n); }
    [[nodiscard]] unsigned rpcPort(int n) const { return m_base + 300 + static_cast<unsigned>(n); }
    [[nodiscard]] unsigned serverPort(int n) const { return m_base + 400 + static_cast<unsigned>(n); }

private:
    void signal(const std::string& name, int number);
    void writeSettings(int n);
    void loadLoop(int daemon, int worker);
    static std::string addressOf(unsigned port) { return "127.0.0.1:" + std::to_string(port); }

    unsigned m_base;
    Processes m_processes;
    std::map<int, std::unique_ptr<FaultRelay>> m_relays;
    std::vector<std::thread> m_load;
    std::atomic<bool> m_loading { false };
    mutable std::mutex m_mutex;
    std::vector<Told> m_told;
};

/// @brief Checks what callers were told against what servers ran.
/// @return one sentence for each broken promise
std::vector<std::string> brokenPromises(const std::vector<Told>& told, const std::vector<Executed>& executed);

} // namespace acaciagauge::e2e
