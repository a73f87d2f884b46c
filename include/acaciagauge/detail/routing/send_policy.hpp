#pragma once

#include "acaciagauge/detail/common/time.hpp"

namespace acaciagauge {

/// @brief How one send of a request to a server ended.
enum class SendOutcome {
    answered, ///< The server ran it and answered.
    failed, ///< The server ran it and says that it failed.
    shed, ///< The server had no room and did not run it.
    connectionRejected, ///< The server took no further connection; no byte was sent.
    misdirected, ///< The server does not own the key, or is another one; it did not run it.
    notSent, ///< No byte reached the server.
    unknown, ///< It may have run.
};

/// @brief What was done for a request so far.
struct SendHistory {
    SendOutcome last = SendOutcome::unknown;
    bool idempotent = false;
    bool hasKey = false; ///< Only the key's owner can serve it.
    unsigned mayHaveRun = 0; ///< Sends that may have run it.
    unsigned arrivals = 0; ///< Sends that reached a server.
    unsigned maxAttempts = 1; ///< Servers that it may be sent to.
    Duration remaining { 0 }; ///< Until nobody waits for it any more.
    Duration serviceTime { 0 }; ///< Expected time of one more send.
};

/// @brief What to do after a send.
enum class RetryDecision {
    answer, ///< Pass the server's answer on.
    retry, ///< At once, to the best server.
    waitForOwner, ///< As soon as another owner is known, or a little later.
    giveUp, ///< Answer that it did not run, or that nobody knows.
};

/// @brief Decides what to do after a send. The retry budget is asked separately.
///
/// What did not run may be sent again whatever it is; what may have run only if it is idempotent.
RetryDecision decideRetry(const SendHistory& history);

} // namespace acaciagauge
