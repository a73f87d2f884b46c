#pragma once

#include "acaciagauge/acaciagauge.hpp"
#include "net/cancellation.hpp"
#include "net/http_types.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>

namespace acaciagauge::net {

/// @brief Answers one request. Must not throw.
using Handler = std::function<asio::awaitable<Response>(Request)>;

/// @brief Answers one request, and is told when its caller has left. Must not throw.
using CancellableHandler = std::function<asio::awaitable<Response>(Request, std::shared_ptr<Cancellation>)>;

/// @brief Bounds on what one caller may send and how long it may take.
struct HttpServerLimits {
    std::uint32_t headerBytes = maxHeaderBytes;
    std::uint64_t bodyBytes = maxBodyBytes;
    std::chrono::milliseconds headerTimeout { 10000 }; ///< From a request's first byte to the end of its header.
    std::chrono::milliseconds idleTimeout { 60000 }; ///< Between two requests.
};

class HttpSession;

/// @brief An HTTP/1.1 server on one Asio context.
///
/// Requests of one connection run side by side and are answered in the order in which they came. Malformed requests,
/// long headers and large bodies are answered with 400, 431 and 413 and end that connection only.
class HttpServer : public std::enable_shared_from_this<HttpServer> {
public:
    struct Options {
        std::string address; ///< "IP:PORT"; port 0 takes a free one.
        std::uint64_t bodyLimit = maxBodyBytes;
        std::size_t maxConnections = 4096; ///< Further connections are closed at once.
        std::size_t maxPipelined = 16; ///< Requests of one connection that are read ahead of the first answer.
        std::chrono::seconds idleTimeout { 60 };
        Handler handler;
        CancellableHandler cancellableHandler; ///< Goes before `handler`.
        std::function<HttpServerLimits()>
            limits; ///< Goes before `bodyLimit` and `idleTimeout`; asked for each request.
    };

    /// @brief Binds the address and starts to listen.
    /// @return invalidSetting if the address cannot be bound
    static Result<std::shared_ptr<HttpServer>> create(asio::io_context& context, Options options);

    /// @brief Starts to accept.
    void start();

    /// @brief Asks callers to leave: each answer from now on ends its connection. New ones are still served.
    void drain() { m_draining = true; }

    /// @brief Stops accepting and closes idle connections; requests in flight are answered.
    void stop();

    /// @brief Returns the bound port.
    [[nodiscard]] unsigned port() const;

    /// @brief Returns how many requests are being answered.
    [[nodiscard]] std::size_t inFlight() const { return m_inFlight; }

    /// @brief Returns how many connections are open.
    [[nodiscard]] std::size_t connectionCount() const { return m_sessions.size(); }

private:
    friend class HttpSession;

    HttpServer(asio::io_context& context, Options options);
    asio::awaitable<void> acceptLoop();
    void acceptPending();
    void serve(asio::ip::tcp::socket socket);
    asio::awaitable<void> closeOverdue();
    [[nodiscard]] HttpServerLimits limits() const;
    [[nodiscard]] std::vector<std::shared_ptr<HttpSession>> sessions() const;

    Options m_options;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_sweep;
    bool m_isSweeping = false;
    bool m_draining = false;
    bool m_stopped = false;
    std::size_t m_inFlight = 0;
    std::set<HttpSession*> m_sessions;
};

/// @brief Splits "IP:PORT" into an endpoint.
Result<asio::ip::tcp::endpoint> parseEndpoint(std::string_view address);

} // namespace acaciagauge::net
