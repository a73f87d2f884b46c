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

/// @brief The outcome of one request as its caller saw it.
struct ReportedOutcome {
    std::string requestId;
    std::string method;
    std::string key;
    std::string outcome; ///< "ran", "notRun", "unknown", "refused" before sending, or "noAnswer" after it.
    bool matchesRequest = true; ///< False if a response with "ran" has another request's id, key or body.
};

/// @brief One execution of a request, from a server's record file.
struct Execution {
    std::string requestId;
    std::string key;
    std::string method;
    std::string server;
    Fence fence;
    std::int64_t time = 0;
};

/// @brief Runs three daemons in two failure domains, the stand-in platform and six stand-in servers as processes.
/// Daemons are numbered 1 to 3, servers 1 to 6.
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
    /// @brief Waits until a daemon exits. @return its exit code, or -1 if a signal ended it
    int waitDaemon(int n) { return m_processes.wait("e" + std::to_string(n)); }
    int waitServer(int n) { return m_processes.wait("s" + std::to_string(n)); }
    void setPlatformFaults(const nlohmann::json& faults);
    void setServerFaults(int n, const nlohmann::json& faults);
    /// @brief Returns the relay through which the other daemons connect to a daemon's RPC port.
    FaultRelay& rpcRelay(int n) { return *m_relays.at(n); }

    net::Exchange call(
        unsigned port, net::Request request, std::chrono::milliseconds timeout = std::chrono::seconds(5)) const;
    net::Exchange submitTicket(int daemon, const nlohmann::json& ticket) const;
    /// @brief Builds a ticket that lists all servers for the service "lots", one of them as leaving if wanted.
    [[nodiscard]] nlohmann::json makeLotsTicket(
        TicketNumber number, const std::string& writer, int leavingServer = 0) const;
    nlohmann::json status(int daemon) const;
    /// @brief Waits until GET requests for 40 different keys all succeed through a daemon.
    /// @return false if that takes longer than the limit
    bool waitUntilServing(int daemon, std::chrono::seconds limit = std::chrono::seconds(20)) const;

    /// @brief Sends POST (not idempotent) and GET requests by turns to the daemons until stopLoad().
    void startLoad(std::set<int> daemons);
    std::vector<ReportedOutcome> stopLoad();
    /// @brief Reads the record files of all servers.
    [[nodiscard]] std::vector<Execution> executions() const;
    std::string readLog(const std::string& name) const;

    [[nodiscard]] unsigned callersPort(int n) const { return m_basePort + 100 + static_cast<unsigned>(n); }
    [[nodiscard]] unsigned adminPort(int n) const { return m_basePort + 200 + static_cast<unsigned>(n); }
    [[nodiscard]] unsigned rpcPort(int n) const { return m_basePort + 300 + static_cast<unsigned>(n); }
    [[nodiscard]] unsigned serverPort(int n) const { return m_basePort + 400 + static_cast<unsigned>(n); }

private:
    void signal(const std::string& name, int number);
    void writeSettings(int n);
    void loadLoop(int daemon, int worker);
    static std::string addressOf(unsigned port) { return "127.0.0.1:" + std::to_string(port); }

    unsigned m_basePort;
    ChildProcesses m_processes;
    std::map<int, std::unique_ptr<FaultRelay>> m_relays;
    std::vector<std::thread> m_loadThreads;
    std::atomic<bool> m_isLoadRunning { false };
    mutable std::mutex m_mutex;
    std::vector<ReportedOutcome> m_outcomes;
};

/// @brief Compares the outcomes that callers saw with the executions that servers recorded.
/// @return a message for each violated guarantee
std::vector<std::string> findViolations(
    const std::vector<ReportedOutcome>& outcomes, const std::vector<Execution>& executions);

} // namespace acaciagauge::e2e
