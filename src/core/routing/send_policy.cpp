#include "acaciagauge/acaciagauge.hpp"

namespace acaciagauge {

namespace {

    /// Arrivals at servers that do not own the key, before the caller is told to come back.
    constexpr unsigned maxMisdirected = 6;

    bool mayRunAgain(const SendHistory& history)
    {
        return history.idempotent && history.mayHaveRun < history.maxAttempts
            && history.remaining > history.serviceTime;
    }

} // namespace

AfterSend afterSend(const SendHistory& history)
{
    bool hasTime = history.remaining > history.serviceTime / 2;
    switch (history.last) {
    case SendOutcome::answered:
        return AfterSend::answer;
    case SendOutcome::failed:
        return mayRunAgain(history) ? AfterSend::sendAgain : AfterSend::answer;
    case SendOutcome::shed:
    case SendOutcome::crowded:
        return hasTime ? AfterSend::sendAgain : AfterSend::giveUp;
    case SendOutcome::moved:
        return hasTime && history.arrivals <= maxMisdirected ? AfterSend::waitForOwner : AfterSend::giveUp;
    case SendOutcome::notSent:
        if (!hasTime)
            return AfterSend::giveUp;
        return history.hasKey ? AfterSend::waitForOwner : AfterSend::sendAgain;
    case SendOutcome::unknown:
        return mayRunAgain(history) ? AfterSend::sendAgain : AfterSend::giveUp;
    }
    return AfterSend::giveUp;
}

} // namespace acaciagauge
