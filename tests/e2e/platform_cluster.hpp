#pragma once

#include "e2e/fault_relay.hpp"
#include "e2e/processes.hpp"

#include <functional>
#include <nlohmann/json.hpp>

namespace acaciagauge::e2e {

/// @brief What a caller was told about one request.
struct Answer {
    std::string id;
    bool isBid = false; ///< Not idempotent.
    unsigned status = 0; ///< 0: no whole answer.
    bool isOwn = true; ///< A success carries this request's id and signature.
};

/// @brief The users' platform by stand-in, and daemons on it, as processes. Each daemon reaches the store through a
/// relay.
class PlatformCluster {
public:
    struct Options {
        unsigned base = 0; ///< First of some hundred ports.
        unsigned daemons = 3;
        unsigned servers = 4;
        std::string domain = "a"; ///< Of all daemons.
        bool hasServerRelays = false; ///< Servers are reached through relays.
    };

    explicit PlatformCluster(Options options);

    /// @brief Starts a daemon with its own settings.
    void startDaemon(unsigned n);

    /// @brief Sets faults of the stand-in.
    void faults(const nlohmann::json& body) const;

    /// @brief Returns what the servers ran, and what they saw go wrong.
    [[nodiscard]] nlohmann::json record() const;

    /// @brief Returns a daemon's status; empty if it does not answer.
    [[nodiscard]] nlohmann::json status(unsigned daemon) const;

    /// @brief Asks one daemon, on a connection of its own.
    Answer request(unsigned daemon, bool isBid, unsigned key, const std::string& path = "/view/");

    /// @brief Waits for a state that takes a second or two.
    /// @return false if it does not come within 25 s; verdicts never rest on how long it takes
    [[nodiscard]] static bool waitFor(const std::function<bool()>& condition);

    /// @brief Waits until every daemon serves keys of all servers.
    bool waitServing();

    /// @brief Returns whom each daemon hears the store's changes from.
    [[nodiscard]] std::vector<std::string> sources() const;

    /// @brief Returns the daemon that is controller, or -1.
    [[nodiscard]] int controller() const;

    Processes& processes() { return m_processes; }
    FaultRelay& storeRelay(unsigned daemon) { return *m_storeRelays.at(daemon); }
    FaultRelay& serverRelay(unsigned server) { return *m_serverRelays.at(server); }
    [[nodiscard]] const Options& options() const { return m_options; }
    [[nodiscard]] std::string callersAddress(unsigned daemon) const;
    /// @brief Keeps the processes' logs of a cluster that has ended beside those of later ones.
    static void keepLogs(unsigned base, const std::string& name);

    static std::string nameOf(unsigned daemon) { return "d" + std::to_string(daemon); }

private:
    [[nodiscard]] net::Exchange post(const std::string& path, const std::string& body) const;

    Options m_options;
    Processes m_processes;
    std::vector<std::unique_ptr<FaultRelay>> m_storeRelays;
    std::vector<std::unique_ptr<FaultRelay>> m_serverRelays;
    std::uint64_t m_lastRequest = 0;
};

/// @brief Builds a caller's request.
net::Request callerRequest(const Answer& answer, unsigned key, const std::string& path);

/// @brief Reads what a caller was told.
void readAnswer(const net::Exchange& exchange, Answer& answer);

/// @brief Checks what callers were told against what the servers ran.
/// @return one sentence for each broken promise
std::vector<std::string> brokenPromises(const std::vector<Answer>& answers, const nlohmann::json& record);

} // namespace acaciagauge::e2e
