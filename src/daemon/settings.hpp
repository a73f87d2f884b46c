#pragma once

#include "acaciagauge/acaciagauge.hpp"

#include <string>
#include <vector>

namespace acaciagauge::daemon {

/// @brief Describes one setting; scripts/check_docs.py compares docs/SETTINGS.md with these.
struct SettingSpec {
    std::string section;
    std::string key;
    std::string defaultValue; ///< Empty: the setting is required.
    double min = 0; ///< Allowed range of a number; min == max: the setting is a string.
    double max = 0;
    std::string description;

    [[nodiscard]] bool isNumber() const { return min < max; }
};

/// @brief Whether requests are admitted by coordinators.
enum class Coordination {
    automatic, ///< If the desired state calls for it.
    on,
    off,
};

/// @brief All settings of a daemon.
struct Settings {
    InstanceId instance;
    DomainId domain;
    std::string callersAddress;
    std::string adminAddress;
    std::string rpcAddress;
    std::string platformAddress;
    std::string adminToken;
    std::chrono::milliseconds defaultDeadline { 2000 };
    std::size_t maxWaiting = 256; ///< Requests that may wait for one server.
    std::size_t maxConnections = 4096;
    std::size_t maxFileDescriptors = 4100; ///< Files and sockets that the process may have open.
    std::size_t memoryMb = 0; ///< Memory available to the process, in units of 1,000,000 bytes; 0: not stated.
    double cores = 1; ///< CPU time available to the process, in cores.
    std::chrono::milliseconds coldStart { 2000 }; ///< Time until a cold server gets all its slots.
    std::chrono::milliseconds leaveGrace { 1000 }; ///< From announcing to leave until closing.
    std::chrono::milliseconds gossipInterval { 200 };
    std::size_t tracePercent = 1;
    std::string logLevel = "info";
    OwnershipTiming ownership;

    /// @name Dialect of the users' platform
    /// @{
    bool isUsersDialect = false; ///< The platform is the users', not a service in the project's own dialect.
    std::string readinessAddress;
    std::vector<std::string> seeds; ///< IP:PORT of other instances, used before any is known.
    std::chrono::milliseconds keyGrantDuration { 10000 }; ///< Duration of a grant of keys.
    std::chrono::milliseconds serverDrainTime { 2000 }; ///< A leaving server gets no request later than this.
    std::chrono::milliseconds evacuationLimit {
        5000
    }; ///< An evacuated domain's servers get no request later than this.
    double warmupOverage = 1; ///< A cold server gets this multiple of its service's limit in any one second,
    double warmupSlack = 0; ///< and this many requests more.
    std::chrono::milliseconds serverHeartbeat { 870 }; ///< Interval in which servers renew their entries.
    std::chrono::milliseconds terminationGracePeriod { 6000 }; ///< From SIGTERM to the end of the process.
    Coordination coordination = Coordination::automatic;
    RetryShare::Options retries; ///< Budget of retries of all instances.
    /// @}
};

/// @brief Returns the description of every setting.
const std::vector<SettingSpec>& settingSpecs();

/// @brief Reads settings from INI text.
/// @param file name for error messages
/// @return the settings, or invalidSetting; its message names file, line, key, allowed range and the value found
Result<Settings> parseSettings(const std::string& file, const std::string& text);

/// @brief Reads settings from a file.
Result<Settings> loadSettings(const std::string& path);

} // namespace acaciagauge::daemon
