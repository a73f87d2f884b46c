#pragma once

#include "e2e/platform_cluster.hpp"

#include <random>
#include <thread>

namespace acaciagauge::soak {

using Clock = std::chrono::steady_clock;

/// @brief Callers that ask all daemons on connections that they keep open. Runs on its own thread.
class Callers {
public:
    Callers(std::vector<std::string> addresses, unsigned count, std::uint64_t seed);
    ~Callers();
    Callers(const Callers&) = delete;
    Callers& operator=(const Callers&) = delete;

    /// @brief Ends the load.
    /// @return all requests, those without an answer included
    std::vector<e2e::Answer> stop();

private:
    net::asio::awaitable<void> ask(unsigned caller, std::uint64_t seed);

    std::vector<std::string> m_addresses;
    net::asio::io_context m_context { 1 };
    std::vector<e2e::Answer> m_answers;
    std::atomic<bool> m_stopped { false };
    std::thread m_thread;
};

} // namespace acaciagauge::soak
