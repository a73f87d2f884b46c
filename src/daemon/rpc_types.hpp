#pragma once

#include "acaciagauge/acaciagauge.hpp"

#include <functional>
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

/// @brief How a call to a peer failed before anything reached it.
enum class RpcReach {
    reached,
    refused, ///< Nobody listens at the address.
    unreachable,
};

} // namespace acaciagauge::daemon
