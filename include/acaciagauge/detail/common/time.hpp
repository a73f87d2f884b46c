#pragma once

#include <chrono>
#include <ctime>

namespace acaciagauge {

/// @brief Duration type of the core library.
using Duration = std::chrono::microseconds;

/// @brief A reading of a local monotonic clock; readings of different machines are not comparable.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// @brief Returns the current time of the monotonic clock.
inline TimePoint monotonicNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// @brief Returns the current time of the monotonic clock that also advances while the machine is suspended.
inline TimePoint bootNow()
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec)
        + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec)));
}

/// @brief Extends a duration so that it covers the same duration measured by another machine's clock.
/// @param margin largest difference of the two clocks' rates, as a fraction
inline Duration withMargin(Duration duration, double margin)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * (1.0 + margin)) + 1);
}

} // namespace acaciagauge
