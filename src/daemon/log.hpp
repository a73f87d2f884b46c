#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace acaciagauge::daemon {

/// @brief Numbered log events; docs/LOG-EVENTS.md describes each.
enum class LogEvent : int {
    started = 1,
    leaving = 2,
    stopped = 3,
    settingsRefused = 4,
    settingsReloaded = 5,
    roleChanged = 101,
    recordPublished = 102,
    serverStatesChanged = 103,
    memberRegistered = 106,
    controllerWon = 107,
    controllerLost = 108,
    keyDecision = 109,
    loadUnreported = 110,
    controllerWorkload = 111,
    ownersUnknown = 112,
    ownersRecorded = 113,
    ticketInForce = 201,
    ticketAccepted = 202,
    ticketRefused = 203,
    orderUnauthorized = 204,
    homesChanged = 205,
    desiredStateInForce = 206,
    documentSkipped = 207,
    serverListed = 208,
    serverLeaving = 209,
    serverGone = 210,
    serverLimit = 211,
    evacuationStarted = 212,
    evacuationEnded = 213,
    storeUnavailable = 301,
    storeAvailable = 302,
    storeRelayed = 303,
    storeCallFailed = 304,
    storeSource = 305,
    storeSourceLost = 306,
    storeCopyDiffers = 307,
    storeCallSlow = 308,
    storeEra = 309,
    requestUnknownOutcome = 401,
    requestDone = 402,
    requestRefused = 403,
    requestFailed = 404,
    requestRetried = 405,
    requestMalformed = 406,
    messageUnbuffered = 407,
    transferEnded = 408,
    peerUnreachable = 501,
    rpcFailed = 502,
    permitUnanswered = 503,
    coordinatorUnanswered = 504,
    coordinationChanged = 505,
    linesDropped = 901,
};

enum class LogLevel {
    debug,
    info,
    warn,
    error,
};

/// @brief Name and value of a field in a log line.
using LogField = std::pair<std::string_view, std::string>;

/// @brief Starts logging to standard output.
///
/// A bounded queue passes lines to a writer thread. When it is full, the oldest lines are lost; logging never blocks.
/// @param level least severe level that is logged: debug, info, warn or error
void startLog(const std::string& instance, const std::string& level);

/// @brief Writes the queued lines and ends the writer thread.
void stopLog();

/// @brief Logs an event as one line of JSON. Thread-safe.
///
/// Each event is limited to a number of lines per second. Lines beyond it are dropped; event 901 reports how many.
void logEvent(LogLevel level, LogEvent event, std::initializer_list<LogField> fields = {});

} // namespace acaciagauge::daemon
