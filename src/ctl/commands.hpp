#pragma once

#include <cstdint>
#include <string>

namespace acaciagauge::ctl {

/// @brief Commands of acaciagaugectl.
enum class Command {
    status,
    servers,
    domains,
    measures,
    owner,
    fileTicket,
    checkTicket,
    showTicket,
    diffTickets,
    listTickets,
};

/// @brief Options of a call.
struct Options {
    std::string address = "127.0.0.1:8101";
    std::string token;
    bool json = false;
    std::string service;
    std::string key;
    std::string path;
    std::uint64_t number = 0;
    int waitSeconds = 10;
};

/// @name Exit codes
/// @{
inline constexpr int exitOk = 0;
inline constexpr int exitRefused = 3; ///< The order was refused; nothing changed.
inline constexpr int exitUnreachable = 4; ///< The daemon does not answer.
inline constexpr int exitNotYet = 5; ///< Accepted, but not yet in force in some domain.
inline constexpr int exitBadInput = 6; ///< The ticket's file cannot be read.
/// @}

/// @brief Carries out a command and prints its result.
/// @return the exit code
int run(Command command, const Options& options);

} // namespace acaciagauge::ctl
