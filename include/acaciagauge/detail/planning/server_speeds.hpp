#pragma once

#include "acaciagauge/detail/common/ids.hpp"
#include "acaciagauge/detail/common/time.hpp"

#include <map>

namespace acaciagauge {

/// @brief Requests that a server answered, and the time that they took in its slots.
struct ServiceTimes {
    std::uint32_t requests = 0;
    Duration total { 0 };
};

/// @brief Learns from finished requests how fast the servers of one service are.
class ServerSpeeds {
public:
    struct Options {
        Duration timeConstant = std::chrono::seconds(12); ///< What was measured falls to a third within this time.
        double prior = 4; ///< Requests at the service's mean that are taken for granted of each server.
        double slowest = 0.25; ///< Bounds of a speed.
        double fastest = 3;
    };

    static ServerSpeeds create(Options options, TimePoint now) { return { options, now }; }

    /// @brief Adds what one instance measured.
    void add(const std::map<ServerId, ServiceTimes>& times, TimePoint now);

    /// @brief Returns a server's speed; 1 is the mean of the service.
    [[nodiscard]] double speed(const ServerId& server) const;

private:
    struct Sum {
        double requests = 0;
        double micros = 0;
    };

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
