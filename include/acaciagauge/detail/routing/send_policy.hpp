#pragma once

#include "acaciagauge/detail/common/time.hpp"

namespace acaciagauge {

/// @brief How one attempt to send a request to a server ended.
enum class SendOutcome {
    answered, ///< The server executed the request and responded.
    failed, ///< The server executed the request and reports that it failed.
    shed, ///< The server had no capacity and did not execute the request.
    connectionRejected, ///< The server accepted no further connection; no byte was sent.
    misdirected, ///< The server does not own the key, or is not the expected one; it did not execute the request.
    notSent, ///< No byte reached the server.
    unknown, ///< The request may have been executed.
};

/// @brief The attempts made for a request so far.
struct SendHistory {
    SendOutcome last = SendOutcome::unknown;
    bool idempotent = false;
    bool hasKey = false; ///< Only the key's owner can serve the request.
    unsigned mayHaveRun = 0; ///< Attempts that may have executed the request.
    unsigned arrivals = 0; ///< Attempts that reached a server.
    unsigned maxAttempts = 1; ///< Servers that the request may be sent to.
    Duration remaining { 0 }; ///< Time until the request's deadline.
    Duration serviceTime { 0 }; ///< Expected duration of one more attempt.
};

/// @brief What to do after an attempt.
enum class RetryDecision {
    answer, ///< Forward the server's response.
    retry, ///< Immediately, to the best server.
    waitForOwner, ///< Retry when another owner is known, or after a short delay.
    giveUp, ///< Respond that the request did not run, or that its outcome is unknown.
};

/// @brief Decides what to do after an attempt. The retry budget is checked separately.
///
/// A request that did not run may be retried even if it is not idempotent; one that may have run only if it is.
RetryDecision decideRetry(const SendHistory& history);

} // namespace acaciagauge
