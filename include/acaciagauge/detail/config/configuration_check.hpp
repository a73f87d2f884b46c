#pragma once

#include "acaciagauge/detail/config/desired_state.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace acaciagauge {

/// @brief Severity of a finding. With an error, requests are refused or served wrongly; a warning marks an entry
/// without effect or limits that contradict each other.
enum class FindingSeverity {
    warning,
    error,
};

/// @brief A fault found in a configuration.
struct ConfigurationFinding {
    FindingSeverity severity;
    std::string subject; ///< What the finding is about, such as `route NAME`.
    std::string message;
};

/// @brief How an entry differs from the version in force.
enum class ConfigurationChangeKind {
    added,
    removed,
    changed,
};

/// @brief A difference between two versions of the configuration.
struct ConfigurationChange {
    ConfigurationChangeKind kind;
    std::string subject; ///< `route NAME`, `service NAME` or `limits`.
    std::string field; ///< The changed field; empty if the whole entry was added or removed.
    std::string oldValue;
    std::string newValue;
};

/// @brief Result of comparing a configuration with the version in force.
struct ConfigurationComparison {
    std::vector<ConfigurationFinding> findings; ///< Reasons for which the new version cannot replace the one in force.
    std::vector<ConfigurationChange> changes;
};

/// @brief Returns the name of a severity, as printed by acaciagaugectl.
std::string_view nameOf(FindingSeverity severity);

/// @brief Returns the name of a kind of change, as printed by acaciagaugectl.
std::string_view nameOf(ConfigurationChangeKind kind);

/// @brief Finds errors, entries without effect and contradicting limits in a configuration that could be decoded.
/// @return findings about routes, then services, then limits; empty if there are none
/// @complexity O((routes + services) log(routes + services))
std::vector<ConfigurationFinding> checkConfiguration(const DesiredState& state);

/// @brief Lists the differences between the configuration in force and its successor.
///
/// Routes and services are identified by name. Of several routes with one name, which checkConfiguration() reports,
/// one is compared.
/// @complexity O((routes + services) log(routes + services))
ConfigurationComparison compareConfigurations(const DesiredState& inForce, const DesiredState& next);

} // namespace acaciagauge
