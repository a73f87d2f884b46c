#pragma once

#include "acaciagauge/acaciagauge.hpp"

#include <functional>
#include <set>
#include <string>

namespace acaciagauge::daemon {

/// @brief A request on its way from an ingress to the egress of its key's owner.
struct ForwardRequest {
    std::string requestId;
    ServiceName service;
    std::string key;
    ServerId server; ///< Owner as the ingress knows it, "SERVICE/SERVER".
    std::string method;
    std::string body;
    std::string contentType;
    std::string idempotencyKey;
    std::string traceparent;
    Duration remaining { 0 };
    bool idempotent = false;
};

/// @brief What became of a forwarded request.
struct ForwardReply {
    std::string requestId;
    Outcome outcome = Outcome::unknown;
    ResultCode code = ResultCode::outcomeUnknown;
    unsigned status = 0; ///< The server's HTTP status, if it ran.
    std::string body;
    std::string contentType;
    std::string message;
};

/// @brief Builds a reply for a request that has no answer.
inline ForwardReply replyWithout(const std::string& requestId, Outcome outcome, ResultCode code, std::string message)
{
    return { requestId, outcome, code, 0, {}, {}, std::move(message) };
}

/// @brief Asks a coordinator to admit a request.
struct AdmissionCall {
    std::string subject; ///< The server; or the service, if any of its servers in the domain may serve the request.
    DomainId domain; ///< Empty: the subject is a server.
    unsigned priority = 0;
    Duration untilTarget { 0 };
    Duration untilDeadline { 0 };
    Duration maxWait { 0 }; ///< The coordinator answers within this time.
    std::set<ServerId> avoided; ///< Servers to select only if there is no other.
};

struct AdmissionReply {
    bool isAdmitted = false;
    ServerId server; ///< If it is admitted.
    std::uint64_t workId = 0;
    Duration retryAfter { 0 }; ///< If it is refused: when it would be served.
};

/// @brief Tells a coordinator that an admitted request has ended.
struct AdmissionNotice {
    ServerId server;
    std::uint64_t workId = 0;
    AdmissionResult result;
};

/// @brief How a call to a peer failed before anything reached it.
enum class RpcReach {
    reached,
    refused, ///< Nobody listens at the address.
    unreachable,
};

} // namespace acaciagauge::daemon
