#pragma once

#include "e2e/fault_relay.hpp"
#include "e2e/processes.hpp"

#include <functional>
#include <nlohmann/json.hpp>

namespace acaciagauge::e2e {

/// @brief The result of one request as its caller saw it.
struct CallerResult {
    std::string id;
    bool isPost = false; ///< POST requests are not idempotent, GET requests are.
    unsigned status = 0; ///< HTTP status; 0: no complete response.
    bool matchesRequest = true; ///< False if a response 200 has another request's id or signature.
};

/// @brief Runs the stand-in of the users' platform, and daemons that use it, as processes. Each daemon connects to the
/// store through a relay of its own. Daemons and servers are numbered from 0.
class PlatformCluster {
public:
    struct Options {
        unsigned basePort = 0; ///< First of 200 ports.
        unsigned daemons = 3;
        unsigned servers = 4;
        std::string domain = "a"; ///< Failure domain of all daemons.
        bool hasServerRelays = false; ///< Daemons connect to the servers through relays.
        std::string settings; ///< Added to the settings files of all daemons.
        unsigned serverDomains = 1; ///< Servers are in the domains a, b and so on in turn.
    };

    explicit PlatformCluster(Options options);

    /// @brief Writes a daemon's settings file and starts it.
    void startDaemon(unsigned n);

    /// @brief Sets faults of the stand-in platform, see standin_users_platform.
    void setFaults(const nlohmann::json& body) const;

    /// @brief Returns the executions that the servers recorded, and the conflicts that the stand-in detected.
    [[nodiscard]] nlohmann::json fetchRecord() const;

    /// @brief Returns a daemon's status; empty if it does not respond.
    [[nodiscard]] nlohmann::json status(unsigned daemon) const;

    /// @brief Returns the value of a daemon's metric; 0 if it has none of this name.
    [[nodiscard]] double metric(unsigned daemon, const std::string& name) const;

    /// @brief Sends a request to a daemon on a new connection.
    CallerResult sendRequest(unsigned daemon, bool isPost, unsigned key, const std::string& path = "/view/");

    /// @brief Waits until a condition holds, which usually takes one or two seconds.
    /// @return false if it does not hold within 25 s; no check depends on how long it takes
    [[nodiscard]] static bool waitUntil(const std::function<bool()>& condition);

    /// @brief Waits until requests through every running daemon succeed for keys over the whole key range.
    bool waitUntilServing();

    /// @brief Returns each daemon's source of the store's changes: "store", or the name of another daemon.
    [[nodiscard]] std::vector<std::string> storeSources() const;

    /// @brief Returns the number of the daemon that is the controller, or -1.
    [[nodiscard]] int findController() const;

    ChildProcesses& processes() { return m_processes; }
    FaultRelay& storeRelay(unsigned daemon) { return *m_storeRelays.at(daemon); }
    FaultRelay& serverRelay(unsigned server) { return *m_serverRelays.at(server); }
    [[nodiscard]] const Options& options() const { return m_options; }
    [[nodiscard]] std::string callersAddress(unsigned daemon) const;
    /// @brief Renames the folder with an ended cluster's logs, so that the next cluster on these ports keeps it.
    static void preserveFolder(unsigned basePort, const std::string& name);

    static std::string nameOf(unsigned daemon) { return "d" + std::to_string(daemon); }

private:
    [[nodiscard]] net::Exchange post(const std::string& path, const std::string& body) const;

    Options m_options;
    ChildProcesses m_processes;
    std::vector<std::unique_ptr<FaultRelay>> m_storeRelays;
    std::vector<std::unique_ptr<FaultRelay>> m_serverRelays;
    std::uint64_t m_lastRequest = 0;
};

/// @brief Builds a caller's request with a result's id and method.
net::Request makeCallerRequest(const CallerResult& result, unsigned key, const std::string& path);

/// @brief Fills a result from the response, if there is one.
void readResponse(const net::Exchange& exchange, CallerResult& result);

/// @brief Compares the results that callers saw with the executions that the servers recorded.
/// @return a message for each violated guarantee
std::vector<std::string> findViolations(const std::vector<CallerResult>& results, const nlohmann::json& record);

} // namespace acaciagauge::e2e
