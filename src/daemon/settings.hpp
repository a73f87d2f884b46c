#pragma once

#include "acaciagauge/acaciagauge.hpp"

#include <string>
#include <vector>

namespace acaciagauge::daemon {

/// @brief Describes one setting; the table in docs/SETTINGS.md is checked against these.
struct SettingSpec {
    std::string section;
    std::string key;
    std::string fallback; ///< Empty: the setting is required.
    double low = 0; ///< Range of a number; low == high: the setting is a text.
    double high = 0;
    std::string description;

    [[nodiscard]] bool isNumber() const { return low < high; }
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
    std::size_t maxWaiting = 256;
    std::size_t maxConnections = 4096;
    std::size_t maxFileDescriptors = 4100; ///< That the process may have open.
    double cores = 1; ///< Processor time that the process has, in cores.
    std::chrono::milliseconds coldStart { 2000 };
    std::chrono::milliseconds leaveGrace { 1000 };
    std::chrono::milliseconds gossipInterval { 200 };
    std::size_t tracePercent = 1;
    std::string logLevel = "info";
    OwnershipTiming ownership;

    /// @name On the users' platform
    /// @{
    bool onPlatform = false; ///< The place to run on is the users' platform, not the own dialect's service.
    std::string readinessAddress;
    std::vector<std::string> seeds; ///< IP:PORT of other instances, before any is known.
    std::chrono::milliseconds keyGrantDuration { 10000 };
    std::chrono::milliseconds serverDrainTime { 2000 };
    std::chrono::milliseconds serverHeartbeat { 870 };
    std::chrono::milliseconds terminationGracePeriod { 6000 };
    RetryShare::Options retries;
    /// @}
};

/// @brief Returns the description of every setting.
const std::vector<SettingSpec>& settingSpecs();

/// @brief Reads settings from INI text.
/// @param file name for messages
/// @return the settings, or invalidSetting with file, line, key, allowed range and found value
Result<Settings> parseSettings(const std::string& file, const std::string& text);

/// @brief Reads settings from a file.
Result<Settings> loadSettings(const std::string& path);

} // namespace acaciagauge::daemon
