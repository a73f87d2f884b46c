#pragma once

#include "acaciagauge/acaciagauge.hpp"
#include "net/cancellation.hpp"
#include "net/http_types.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <deque>
#include <map>
#include <memory>

namespace acaciagauge::net {

/// @brief How far a request got.
enum class ExchangeState {
    answered, ///< The whole answer is here.
    connectionRefused, ///< The connection was refused: no process listens at the address.
    notSent, ///< No byte of the request was written.
    connectionRejected, ///< The server ended a new connection before a byte was written: it takes no more of them.
    incomplete, ///< Some byte may have been written, and there is no whole answer.
    timedOut, ///< As broken, because the time was over.
};

/// @brief Outcome of one HTTP exchange.
struct Exchange {
    ExchangeState state = ExchangeState::notSent;
    Response response;
    std::string error;
    bool wasReused = false; ///< The connection had carried an exchange before.
};

/// @brief Keeps connections to HTTP servers and carries one exchange at a time on each.
///
/// A connection whose exchange did not end with a whole answer is closed, never used again.
class HttpClient : public std::enable_shared_from_this<HttpClient> {
public:
    struct Options {
        std::size_t maxIdlePerAddress = 16;
        std::uint64_t bodyLimit = maxBodyBytes;
        std::size_t maxIdleConnections = 1024; ///< To all addresses together.
        std::chrono::milliseconds maxIdle { 8000 }; ///< Idle connections are not used after this time.
        std::chrono::milliseconds idleMargin { 1000 }; ///< Nor this long before the server's own limit.
        std::chrono::milliseconds tcpUserTimeout {
            0
        }; ///< Unacknowledged bytes end the connection; 0: the system's limit.
        std::chrono::milliseconds rejectionWindow {
            0
        }; ///< A new connection is used after this time, if the server has not ended it by then.
        bool acceptCloseDelimited = false; ///< Takes answers that end with their connection, if it ends in order.
    };

    struct ExchangeOptions {
        std::chrono::microseconds timeout { 0 }; ///< For the whole exchange.
        std::chrono::microseconds connectTimeout { 0 }; ///< 0: as the whole exchange.
        std::function<bool()> mayStillSend; ///< Asked just before the first byte is written.
        std::string idHeader; ///< If set: answers with another value of this header than the request's are skipped.
        std::shared_ptr<Cancellation> cancellation; ///< Closes the connection.
        bool uncancellableOnceSent = false; ///< A request that was sent as a whole is not cancelled.
        std::chrono::milliseconds maxIdle { 0 }; ///< 0: as the client's options say.
    };

    static std::shared_ptr<HttpClient> create(asio::io_context& context, Options options);

    /// @brief Sends a request and reads the answer.
    /// @param address "IP:PORT"
    /// @param timeout for the whole exchange
    asio::awaitable<Exchange> exchange(std::string address, Request request, std::chrono::microseconds timeout);

    /// @brief Sends a request and reads the answer.
    /// @param address "IP:PORT"
    asio::awaitable<Exchange> exchange(std::string address, Request request, ExchangeOptions options);

    /// @brief Closes idle connections to an address.
    void closeIdleConnections(const std::string& address);

private:
    using Clock = std::chrono::steady_clock;

    struct Connection {
        explicit Connection(asio::io_context& context)
            : stream(context)
        {
        }
        beast::tcp_stream stream;
        beast::flat_buffer buffer { maxReadAheadBytes };
        bool wasUsed = false;
        bool isRequestSent = false; ///< The whole request of the present exchange was written.
        Clock::time_point idleSince;
        std::chrono::milliseconds serverLimit { 0 }; ///< Idle time after which the server closes; 0: not stated.
    };

    HttpClient(asio::io_context& context, Options options);
    asio::awaitable<std::unique_ptr<Connection>> connect(
        std::string address, ExchangeOptions options, Clock::time_point deadline, Exchange& outcome);
    asio::awaitable<bool> settle(Connection& connection);
    asio::awaitable<void> carry(
        Connection& connection, Request& request, const ExchangeOptions& options, Exchange& outcome);
    static std::size_t closeOnCancellation(Connection& connection, const ExchangeOptions& options);
    asio::awaitable<beast::error_code> readAnswer(
        Connection& connection, const std::string& idHeader, const std::string& id, Exchange& outcome);
    void keep(const std::string& address, std::unique_ptr<Connection> connection, const Response& response);
    std::unique_ptr<Connection> takeIdle(const std::string& address, std::chrono::milliseconds maxIdle);
    bool isUsable(Connection& connection, std::chrono::milliseconds maxIdle) const;
    static bool isQuiet(Connection& connection);
    void dropStale();

    asio::io_context& m_context;
    Options m_options;
    std::map<std::string, std::deque<std::unique_ptr<Connection>>> m_idle;
    std::size_t m_idleCount = 0; ///< Connections in m_idle.
};

} // namespace acaciagauge::net
