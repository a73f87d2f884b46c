#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>

namespace acaciagauge {

namespace {

    constexpr Duration initialBackoff = std::chrono::milliseconds(2);
    constexpr Duration maxBackoff = std::chrono::milliseconds(50);
    constexpr unsigned maxDoublings = 6;

    /// Returns true if the request may succeed at another server or a moment later.
    bool isTransient(ResultCode code)
    {
        switch (code) {
        case ResultCode::noOwner:
        case ResultCode::ownerUnreachable:
        case ResultCode::notHeld:
        case ResultCode::staleFence:
        case ResultCode::peerUnreachable:
        case ResultCode::instanceLeaving:
            return true;
        default:
            return false;
        }
    }

} // namespace

void RetryBudget::countRequest()
{
    m_tokens = std::min(m_tokens + m_options.retryRatio, m_options.maxSavedRetries);
}

bool RetryBudget::take()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

std::optional<Duration> retryDelay(const Attempt& attempt, RetryBudget& budget)
{
    auto wait = std::min(initialBackoff * (1U << std::min(attempt.number - 1, maxDoublings)), maxBackoff);
    if (attempt.outcome == Outcome::ran || wait >= attempt.remaining)
        return std::nullopt;
    if (attempt.outcome == Outcome::notRun)
        return isTransient(attempt.code) ? std::optional(wait) : std::nullopt;
    bool mayRepeat = attempt.idempotent && budget.take();
    return mayRepeat ? std::optional(wait) : std::nullopt;
}

} // namespace acaciagauge
