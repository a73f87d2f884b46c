#pragma once

#include "net/net.hpp"

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <mutex>
#include <thread>

namespace acaciagauge::e2e {

/// @brief A TCP relay on the loopback that harms what passes. Stands between two processes; runs on its own thread.
class FaultRelay {
public:
    FaultRelay(unsigned listenPort, unsigned targetPort);
    ~FaultRelay();
    FaultRelay(const FaultRelay&) = delete;
    FaultRelay& operator=(const FaultRelay&) = delete;

    /// @brief Stops passing bytes on; connections stay open, as on a network partition.
    void cut();

    /// @brief Stops passing answers on; requests still arrive.
    void cutAnswers() { m_isAnswerCut = true; }

    /// @brief Passes bytes on again, those held back included, without delay.
    void heal();

    /// @brief Holds all bytes back for a time.
    void delay(std::chrono::milliseconds time) { m_delayMs = time.count(); }

    /// @brief Resets all open connections.
    void reset();

private:
    using Socket = std::shared_ptr<net::asio::ip::tcp::socket>;

    net::asio::awaitable<void> acceptLoop();
    net::asio::awaitable<void> pump(Socket from, Socket to, const std::atomic<bool>& isCut);
    void resetAll();

    net::asio::io_context m_context { 1 };
    net::asio::ip::tcp::acceptor m_acceptor;
    unsigned m_targetPort;
    std::atomic<bool> m_isRequestCut { false };
    std::atomic<bool> m_isAnswerCut { false };
    std::atomic<std::int64_t> m_delayMs { 0 };
    std::vector<std::weak_ptr<net::asio::ip::tcp::socket>> m_open; ///< Used on the relay's thread only.
    std::thread m_thread;
};

} // namespace acaciagauge::e2e
