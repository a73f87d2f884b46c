#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace acaciagauge::daemon {

/// @brief Numbered log events. The catalogue is docs/LOG-EVENTS.md.
enum class LogEvent : int {
    started = 1,
    leaving = 2,
    stopped = 3,
    settingsRefused = 4,
    roleChanged = 101,
    recordPublished = 102,
    serverStatesChanged = 103,
    ticketInForce = 201,
    ticketAccepted = 202,
    ticketRefused = 203,
    orderUnauthorized = 204,
    homesChanged = 205,
    storeUnavailable = 301,
    storeAvailable = 302,
    requestUnknownOutcome = 401,
    peerUnreachable = 501,
    rpcFailed = 502,
};

enum class LogLevel {
    debug,
    info,
    warn,
    error,
};

/// @brief A field of a log event.
using LogField = std::pair<std::string_view, std::string>;

/// @brief Starts logging to standard error.
/// @param level debug, info, warn or error
void startLog(const std::string& instance, const std::string& level);

/// @brief Logs an event as one line of JSON. Thread-safe.
void logEvent(LogLevel level, LogEvent event, std::initializer_list<LogField> fields = {});

} // namespace acaciagauge::daemon
