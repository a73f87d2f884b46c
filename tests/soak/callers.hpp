#pragma once

#include "e2e/platform_cluster.hpp"

#include <random>
#include <thread>

namespace acaciagauge::soak {

using Clock = std::chrono::steady_clock;

/// @brief Load generator: a number of callers, each of which sends one request at a time to a random daemon over
/// keep-alive connections. Runs on its own thread.
class Callers {
public:
    Callers(std::vector<std::string> addresses, unsigned count, std::uint64_t seed);
    ~Callers();
    Callers(const Callers&) = delete;
    Callers& operator=(const Callers&) = delete;

    /// @brief Stops the load.
    /// @return the results of all requests, including those without a response
    std::vector<e2e::CallerResult> stop();

private:
    net::asio::awaitable<void> callLoop(unsigned caller, std::uint64_t seed);

    std::vector<std::string> m_addresses;
    net::asio::io_context m_context { 1 };
    std::vector<e2e::CallerResult> m_results;
    std::atomic<bool> m_stopped { false };
    std::thread m_thread;
};

} // namespace acaciagauge::soak
