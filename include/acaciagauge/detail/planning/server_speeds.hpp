#pragma once

#include "acaciagauge/detail/common/ids.hpp"
#include "acaciagauge/detail/common/time.hpp"

#include <map>

namespace acaciagauge {

/// @brief Number of requests that a server answered, and the total time that they occupied its slots.
struct ServiceTimes {
    std::uint32_t requests = 0;
    Duration total { 0 };
};

/// @brief Estimates from finished requests how fast the servers of one service are.
class ServerSpeeds {
public:
    struct Options {
        Duration timeConstant
            = std::chrono::seconds(12); ///< The weight of a measurement falls to 1/e within this time.
        double priorRequests = 4; ///< Weight, in requests, of the assumption that a server has the mean speed.
        double minSpeed = 0.25; ///< Lower bound of an estimate.
        double maxSpeed = 3; ///< Upper bound of an estimate.
    };

    static ServerSpeeds create(Options options, TimePoint now) { return { options, now }; }

    /// @brief Adds the measurements of one instance.
    void add(const std::map<ServerId, ServiceTimes>& times, TimePoint now);

    /// @brief Returns the mean service time of all servers; 0 if none was measured.
    [[nodiscard]] Duration meanServiceTime() const;

    /// @brief Returns a server's speed relative to the mean of its service, which is 1.
    [[nodiscard]] double speed(const ServerId& server) const;

private:
    struct Sum {
        double requests = 0;
        double micros = 0;
    };

    [[nodiscard]] Sum total() const;

    ServerSpeeds(Options options, TimePoint now)
        : m_options(options)
        , m_decayedAt(now)
    {
    }

    Options m_options;
    TimePoint m_decayedAt;
    std::map<ServerId, Sum> m_sums;
};

} // namespace acaciagauge
