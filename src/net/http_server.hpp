#pragma once

#include "acaciagauge/acaciagauge.hpp"
#include "net/http_types.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <memory>
#include <set>

namespace acaciagauge::net {

/// @brief Answers one request. Must not throw.
using Handler = std::function<asio::awaitable<Response>(Request)>;

/// @brief An HTTP/1.1 server on one Asio context.
///
/// Malformed requests, long headers and large bodies are answered with 400, 431 and 413 and end that connection only.
class HttpServer : public std::enable_shared_from_this<HttpServer> {
public:
    struct Options {
        std::string address; ///< "IP:PORT"; port 0 takes a free one.
        std::uint64_t bodyLimit = maxBodyBytes;
        std::size_t maxConnections = 4096; ///< Further connections are closed at once.
        std::chrono::seconds idleTimeout { 60 };
        Handler handler;
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
    [[nodiscard]] std::size_t connections() const { return m_connections; }

private:
    HttpServer(asio::io_context& context, Options options);
    asio::awaitable<void> acceptLoop();
    asio::awaitable<void> serve(asio::ip::tcp::socket socket);

    Options m_options;
    asio::ip::tcp::acceptor m_acceptor;
    bool m_draining = false;
    bool m_stopped = false;
    std::size_t m_inFlight = 0;
    std::size_t m_connections = 0;
    std::set<beast::tcp_stream*> m_idle;
};

/// @brief Splits "IP:PORT" into an endpoint.
Result<asio::ip::tcp::endpoint> parseEndpoint(std::string_view address);

} // namespace acaciagauge::net
