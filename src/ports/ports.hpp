#pragma once

/// @file
/// @brief What the product asks of the place that it runs on. An adapter fills in the hooks; it decides nothing.

#include "acaciagauge/acaciagauge.hpp"

#include <boost/asio/awaitable.hpp>
#include <functional>

namespace acaciagauge::ports {

using boost::asio::awaitable;

/// @brief How a call to the metadata store ended.
enum class StoreStatus {
    done,
    conflict, ///< A condition does not hold; nothing was done.
    missing, ///< No such key or lease.
    compacted, ///< The history that a watch asked for is gone.
    refused, ///< Nothing was done: the store is away, or has had too many calls.
    unknown, ///< No answer: it may have been done, or may still be.
    malformed, ///< The answer cannot be read.
};

/// @brief Name of a status in logs.
std::string_view nameOf(StoreStatus status);

/// @brief Answer to a read or a watch.
struct StoreReply {
    StoreStatus status = StoreStatus::unknown;
    StoreDelta delta;
};

/// @brief A key and the revision that it must have; 0: it must not exist.
struct StoreCondition {
    std::string key;
    Revision revision = 0;
};

/// @brief A write of one key.
struct StorePut {
    std::string key;
    std::string value;
    std::uint64_t lease = 0; ///< 0: none.
};

/// @brief A write that is done as a whole or not at all.
struct StoreTransaction {
    std::vector<StoreCondition> conditions;
    std::vector<StorePut> puts;
    std::vector<std::string> removals;
};

/// @brief Answer to a write.
struct StoreWriteReply {
    StoreStatus status = StoreStatus::unknown;
    Revision revision = 0; ///< Of the write, if it was done.
    std::vector<StoreItem> found; ///< On conflict: the conditions' keys as they are.
};

/// @brief Answer to opening or renewing a lease.
struct LeaseReply {
    StoreStatus status = StoreStatus::unknown;
    std::uint64_t lease = 0;
    std::chrono::milliseconds duration { 0 }; ///< From the arrival of the call.
};

/// @brief The metadata store.
struct StorePort {
    std::function<awaitable<StoreReply>()> readAll;
    std::function<awaitable<StoreReply>(Revision after, std::chrono::milliseconds wait)> watch;
    std::function<awaitable<StoreReply>(std::string key)> read;
    std::function<awaitable<StoreWriteReply>(StoreTransaction)> commit;
    std::function<awaitable<LeaseReply>(std::chrono::milliseconds duration)> openLease;
    std::function<awaitable<LeaseReply>(std::uint64_t lease)> keepLease;
    std::function<awaitable<StoreStatus>(std::uint64_t lease)> endLease;
};

/// @brief Orders about keys to servers.
struct KeyOrdersPort {
    /// @param mayStillSend asked just before the first byte is written
    std::function<awaitable<KeyOrderEnded>(
        SendKeyGrant, std::chrono::milliseconds timeout, std::function<bool()> mayStillSend)>
        grant;
    std::function<awaitable<KeyOrderEnded>(
        SendKeyRelease, std::chrono::milliseconds timeout, std::function<bool()> mayStillSend)>
        release;
};

/// @brief Reads the documents that the operators and the servers keep in the store.
struct DocumentsPort {
    std::string configurationKey; ///< The operators' desired state.
    std::string serversPrefix; ///< One key for each server, by its id.
    std::function<Result<std::shared_ptr<const DesiredState>>(std::string_view text)> decodeDesiredState;
    std::function<Result<ServerEntry>(const ServerId& id, std::string_view text)> decodeServer;
};

/// @brief Load that a server states in an answer.
struct StatedLoad {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
};

/// @brief Names of the headers of requests and answers.
struct RequestDialect {
    std::string requestId;
    std::string deadlineMs; ///< How many milliseconds the sender will wait.
    std::string signature; ///< On a server's answer; passed on unchanged.
    std::string targetServer; ///< Any other server refuses the request.
    std::string serverId; ///< On an answer: the server that gave it.
    std::string load;
    std::string notExecuted; ///< Present if the server did not run the request.
    std::string keyNumber;
    std::string readinessPath; ///< Asked by the balancer in front of the instances.
    std::function<std::optional<StatedLoad>(std::string_view)> parseLoad;
};

} // namespace acaciagauge::ports
