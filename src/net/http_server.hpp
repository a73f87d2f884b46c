#pragma once

#include "acaciagauge/acaciagauge.hpp"
#include "net/cancellation.hpp"
#include "net/http_types.hpp"
#include "net/stored_body.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>

namespace acaciagauge::net {

/// @brief Answers one request. Must not throw.
using Handler = std::function<asio::awaitable<Response>(Request)>;

/// @brief Answers one request; the Cancellation is cancelled when the caller disconnects. Must not throw.
using CancellableHandler = std::function<asio::awaitable<Response>(Request, std::shared_ptr<Cancellation>)>;

/// @brief As CancellableHandler; gets the body of the request apart from it.
using StoredBodyHandler
    = std::function<asio::awaitable<Response>(Request, std::shared_ptr<StoredBody>, std::shared_ptr<Cancellation>)>;

/// @brief Limits on the size and duration of a caller's requests.
struct HttpServerLimits {
    std::uint32_t headerBytes = maxHeaderBytes;
    std::uint64_t bodyBytes = maxBodyBytes;
    std::chrono::milliseconds headerTimeout { 10000 }; ///< From a request's first byte to the end of its header.
    std::chrono::milliseconds idleTimeout { 60000 }; ///< Longest idle time between two requests.
};

class HttpSession;

/// @brief An HTTP/1.1 server on one Asio context.
///
/// Pipelined requests of a connection run concurrently; their responses are sent in the order of the requests.
/// Malformed or ambiguously framed requests, oversized headers and oversized bodies are answered with 400, 431 and 413
/// and close that connection only.
class HttpServer : public std::enable_shared_from_this<HttpServer> {
public:
    struct Options {
        std::string address; ///< "IP:PORT"; port 0 selects a free port.
        std::uint64_t bodyLimit = maxBodyBytes;
        std::size_t maxConnections = 4096; ///< Further connections are closed immediately.
        std::size_t maxPipelined = 16; ///< Requests of a connection that are read before the first of them is answered.
        std::chrono::seconds idleTimeout { 60 };
        Handler handler;
        CancellableHandler cancellableHandler; ///< If set, used instead of `handler`.
        StoredBodyHandler storedBodyHandler; ///< If set, used instead of the others.
        /// Bounds the bytes of requests and responses, if set; needs storedBodyHandler. A request that does not fit is
        /// answered with 503, and a connection on which a response makes no progress for the idle timeout is closed.
        std::shared_ptr<BufferBudget> budget;
        std::function<void(const std::string&)>
            onMalformed; ///< Called with the reason when a request is refused unread.
        std::function<HttpServerLimits()> limits; ///< If set, replaces bodyLimit and idleTimeout; read at each use.
    };

    /// @brief Binds the address and starts listening.
    /// @return invalidSetting if the address cannot be bound
    static Result<std::shared_ptr<HttpServer>> create(asio::io_context& context, Options options);

    /// @brief Starts accepting connections.
    void start();

    /// @brief Closes each connection after the responses that are due on it. New connections are still served.
    void drain() { m_draining = true; }

    /// @brief Stops accepting and closes idle connections; requests in flight are answered.
    void stop();

    /// @brief Returns the bound port.
    [[nodiscard]] unsigned port() const;

    /// @brief Returns the number of requests in progress.
    [[nodiscard]] std::size_t inFlight() const { return m_inFlight; }

    /// @brief Returns true if a request has been read whose response has not been written yet.
    [[nodiscard]] bool hasPendingResponses() const;

    /// @brief Returns the number of open connections.
    [[nodiscard]] std::size_t connectionCount() const { return m_sessions.size(); }

private:
    friend class HttpSession;

    HttpServer(asio::io_context& context, Options options);
    asio::awaitable<void> acceptLoop();
    void acceptPending();
    void startSession(asio::ip::tcp::socket socket);
    asio::awaitable<void> closeOverdue();
    [[nodiscard]] HttpServerLimits limits() const;
    [[nodiscard]] std::vector<std::shared_ptr<HttpSession>> sessions() const;

    Options m_options;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_sweepTimer;
    bool m_isSweeping = false;
    bool m_draining = false;
    bool m_stopped = false;
    std::size_t m_inFlight = 0;
    std::set<HttpSession*> m_sessions;
};

/// @brief Splits "IP:PORT" into an endpoint.
Result<asio::ip::tcp::endpoint> parseEndpoint(std::string_view address);

} // namespace acaciagauge::net
