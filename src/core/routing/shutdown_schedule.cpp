#include "acaciagauge/acaciagauge.hpp"

namespace acaciagauge {

namespace {

    /// Time until the load balancer has taken this instance out of rotation, which needs two failed health checks, a
    /// second apart. New callers arrive until then.
    constexpr Duration balancerDetectionTime = std::chrono::milliseconds(2600);

    /// Part of the grace period that is kept for the last responses and the exit of the process.
    constexpr Duration maxExitMargin = std::chrono::milliseconds(700);

    /// In a short grace period, the margin is at most this part of it.
    constexpr Duration::rep exitMarginDivisor = 8;

} // namespace

ShutdownSchedule ShutdownSchedule::create(TimePoint now, Duration gracePeriod)
{
    auto margin = std::min(maxExitMargin, gracePeriod / exitMarginDivisor);
    auto end = now + gracePeriod - margin;
    // Responses of servers that used all of their time arrive in the first quarter of the margin, and the last
    // responses to callers are written in the second.
    return { std::min(now + balancerDetectionTime, end), end, end + margin / 4, end + margin / 2 };
}

} // namespace acaciagauge
