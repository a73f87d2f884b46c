#pragma once

#include "net/net.hpp"

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <mutex>
#include <thread>

namespace acaciagauge::e2e {

/// @brief A TCP proxy on the loopback interface that injects network faults between two processes. Runs on its own
/// thread.
class FaultRelay {
public:
    FaultRelay(unsigned listenPort, unsigned targetPort);
    ~FaultRelay();
    FaultRelay(const FaultRelay&) = delete;
    FaultRelay& operator=(const FaultRelay&) = delete;

    /// @brief Stops forwarding bytes; connections stay open, as during a network partition.
    void block();

    /// @brief Stops forwarding from the target to the client; requests still arrive.
    void blockResponses() { m_isResponseBlocked = true; }

    /// @brief Forwards again and without delay; the bytes held back meanwhile come first.
    void unblock();

    /// @brief Delays every forwarded chunk of bytes by a time.
    void setDelay(std::chrono::milliseconds time) { m_delayMs = time.count(); }

    /// @brief Closes all open connections with a TCP reset.
    void resetConnections();

private:
    using Socket = std::shared_ptr<net::asio::ip::tcp::socket>;

    net::asio::awaitable<void> acceptLoop();
    net::asio::awaitable<void> forwardBytes(Socket from, Socket to, const std::atomic<bool>& isBlocked);
    void closeSockets();

    net::asio::io_context m_context { 1 };
    net::asio::ip::tcp::acceptor m_acceptor;
    unsigned m_targetPort;
    std::atomic<bool> m_isRequestBlocked { false };
    std::atomic<bool> m_isResponseBlocked { false };
    std::atomic<std::int64_t> m_delayMs { 0 };
    std::vector<std::weak_ptr<net::asio::ip::tcp::socket>> m_sockets; ///< Accessed on the relay's thread only.
    std::thread m_thread;
};

} // namespace acaciagauge::e2e
