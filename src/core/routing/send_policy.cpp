#include "acaciagauge/acaciagauge.hpp"

namespace acaciagauge {

namespace {

    /// Attempts that reach a server which does not own the key, before the caller is told to retry later.
    constexpr unsigned maxMisdirected = 6;

    bool mayRunAgain(const SendHistory& history)
    {
        return history.idempotent && history.mayHaveRun < history.maxAttempts
            && history.remaining > history.serviceTime;
    }

} // namespace

RetryDecision decideRetry(const SendHistory& history)
{
    bool hasTime = history.remaining > history.serviceTime / 2;
    switch (history.last) {
    case SendOutcome::answered:
        return RetryDecision::answer;
    case SendOutcome::failed:
        return mayRunAgain(history) ? RetryDecision::retry : RetryDecision::answer;
    case SendOutcome::shed:
    case SendOutcome::connectionRejected:
        return hasTime ? RetryDecision::retry : RetryDecision::giveUp;
    case SendOutcome::misdirected:
        return hasTime && history.arrivals <= maxMisdirected ? RetryDecision::waitForOwner : RetryDecision::giveUp;
    case SendOutcome::notSent:
        if (!hasTime)
            return RetryDecision::giveUp;
        return history.hasKey ? RetryDecision::waitForOwner : RetryDecision::retry;
    case SendOutcome::unknown:
        return mayRunAgain(history) ? RetryDecision::retry : RetryDecision::giveUp;
    }
    return RetryDecision::giveUp;
}

} // namespace acaciagauge
