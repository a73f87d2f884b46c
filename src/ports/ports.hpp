#pragma once

/// @file
/// @brief Interfaces to the platform that the daemon runs on. An adapter implements the functions; it makes no
/// decisions of its own.

#include "acaciagauge/acaciagauge.hpp"

#include <boost/asio/awaitable.hpp>
#include <functional>

namespace acaciagauge::ports {

using boost::asio::awaitable;

/// @brief Result of a call to the metadata store.
enum class StoreStatus {
    done,
    conflict, ///< A condition does not hold; nothing was written.
    missing, ///< No such key or lease.
    compacted, ///< The store no longer has the history from the revision that a watch starts at.
    refused, ///< Nothing was done: the store is unreachable, or limits the rate of calls.
    unknown, ///< No response: the call may have taken effect, or may still do so.
    malformed, ///< The response cannot be parsed.
};

/// @brief Returns the name of a status for logs.
std::string_view nameOf(StoreStatus status);

/// @brief Response to a read or a watch.
struct StoreReply {
    StoreStatus status = StoreStatus::unknown;
    StoreDelta delta; ///< Its era is set whenever the store answered.
};

/// @brief Precondition of a transaction: the revision that a key must have; 0: the key must not exist.
struct StoreCondition {
    std::string key;
    Revision revision = 0;
};

/// @brief A write of one key.
struct StorePut {
    std::string key;
    std::string value;
    std::uint64_t lease = 0; ///< The key is removed when this lease ends; 0: no lease.
};

/// @brief An atomic write of several keys.
struct StoreTransaction {
    std::vector<StoreCondition> conditions;
    std::vector<StorePut> puts;
    std::vector<std::string> removals;
};

/// @brief Response to a transaction.
struct StoreWriteReply {
    StoreStatus status = StoreStatus::unknown;
    StoreEra era = 0; ///< Of the store when it answered; 0 if it did not.
    Revision revision = 0; ///< Revision of the transaction, if it was committed.
    std::vector<StoreItem> currentItems; ///< On conflict: the present items of the conditions' keys.
};

/// @brief Response to creating or renewing a lease.
struct LeaseReply {
    StoreStatus status = StoreStatus::unknown;
    StoreEra era = 0; ///< Of the store when it answered; 0 if it did not. The lease ends with its era.
    std::uint64_t lease = 0;
    std::chrono::milliseconds duration { 0 }; ///< Runs from the arrival of the call at the store.
};

/// @brief Calls to the platform's metadata store.
struct StorePort {
    std::function<awaitable<StoreReply>()> readAll;
    std::function<awaitable<StoreReply>(Revision after, std::chrono::milliseconds wait)> watch;
    /// Returns the changes after a revision without waiting. Fails early, so that the store can be read instead.
    std::function<awaitable<StoreReply>(Revision after)> poll;
    std::function<awaitable<StoreReply>(std::string key)> read;
    std::function<awaitable<StoreWriteReply>(StoreTransaction)> commit;
    std::function<awaitable<LeaseReply>(std::chrono::milliseconds duration)> createLease;
    std::function<awaitable<LeaseReply>(std::uint64_t lease)> renewLease;
    std::function<awaitable<StoreStatus>(std::uint64_t lease)> revokeLease;
};

/// @brief Sends orders to servers: grants and releases of key ranges.
struct KeyOrdersPort {
    /// @param mayStillSend called just before the first byte is written; false cancels the order
    std::function<awaitable<KeyOrderEnded>(
        SendKeyGrant, std::chrono::milliseconds timeout, std::function<bool()> mayStillSend)>
        grant;
    std::function<awaitable<KeyOrderEnded>(
        SendKeyRelease, std::chrono::milliseconds timeout, std::function<bool()> mayStillSend)>
        release;
};

/// @brief Store keys and decoders of the documents that operators and servers write to the store.
struct DocumentsPort {
    std::string configurationKey; ///< Key of the operators' desired state.
    std::string serversPrefix; ///< Each server has a key: this prefix and its id.
    std::string evacuationsPrefix; ///< Each evacuated failure domain has a key: this prefix and its name.
    std::function<Result<std::shared_ptr<const DesiredState>>(std::string_view text)> decodeDesiredState;
    std::function<Result<ServerEntry>(const ServerId& id, std::string_view text)> decodeServer;
};

/// @brief Load that a server reports in a response.
struct ReportedLoad {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    double slowdown = 1; ///< How much longer than usual work takes on the server's machine at present.
};

/// @brief Names of the HTTP headers, and other conventions of HTTP traffic on the platform.
struct RequestDialect {
    std::string requestId;
    std::string deadlineMs; ///< Time in ms that the sender waits for the response.
    std::string signature; ///< Set by a server on its response; forwarded unchanged.
    std::string targetServer; ///< Server that the request is meant for; any other server rejects it.
    std::string serverId; ///< On a response: the server that sent it.
    std::string load; ///< On a response: the server's load, see parseLoad.
    std::string leaving; ///< On a response: "1" if the server is leaving.
    std::string rateLimit; ///< On a response: requests per second that the server takes from all instances together.
    std::string warmupMs; ///< On a response: for how many ms the server is still cold.
    std::string retryAfter; ///< On a refusal: seconds for which the server wants no requests from this instance.
    std::string notExecuted; ///< Present on a response if the server did not execute the request.
    std::string keyNumber;
    std::string readinessPath; ///< Path of the health check by the load balancer in front of the instances.
    std::function<std::optional<ReportedLoad>(std::string_view)> parseLoad;
    std::function<std::optional<double>(std::string_view)> parseDecimal; ///< A number that is not negative.
};

} // namespace acaciagauge::ports
