#pragma once

#include <cstdint>
#include <string>

namespace acaciagauge::ctl {

/// @brief Commands of acaciagaugectl.
enum class Command {
    status,
    servers,
    domains,
    metrics,
    owner,
    fileTicket,
    checkTicket,
    showTicket,
    diffTickets,
    listTickets,
    checkConfiguration,
};

/// @brief Options and arguments of the command line.
struct Options {
    std::string adminAddress = "127.0.0.1:8101"; ///< IP:PORT of the administration API of any daemon.
    std::string token; ///< Administration token, sent as a bearer token.
    bool json = false;
    std::string service;
    std::string key;
    std::string ticketPath; ///< JSON file that holds the ticket.
    std::string configurationPath; ///< File that holds the configuration to check.
    std::string versionPath; ///< File that holds the configuration in force; empty: no comparison.
    std::uint64_t ticketNumber = 0;
    int waitSeconds = 10; ///< Longest wait until a filed ticket is in force; 0: does not wait.
};

/// @name Exit codes
/// @{
inline constexpr int exitOk = 0;
inline constexpr int exitRefused = 3; ///< Refused; nothing changed, unless the result code is storeOutcomeUnknown.
inline constexpr int exitUnreachable = 4; ///< The daemon did not respond.
inline constexpr int exitNotInForce = 5; ///< The ticket was accepted, but is not yet in force in every domain.
inline constexpr int exitBadInput = 6; ///< A file cannot be read, or the ticket's file cannot be parsed.
inline constexpr int exitConfigurationWarnings = 7; ///< The configuration check found warnings, but no error.
inline constexpr int exitConfigurationErrors = 8; ///< The configuration check found errors.
/// @}

/// @brief Runs a command against the daemon's administration API and prints its result.
/// @return the exit code
int runCommand(Command command, const Options& options);

/// @brief Checks a configuration file, compares it with the version in force if one is given, and prints the result.
/// Needs no daemon.
/// @return the exit code
int checkConfigurationFile(const Options& options);

} // namespace acaciagauge::ctl
