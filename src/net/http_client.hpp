#pragma once

#include "acaciagauge/acaciagauge.hpp"
#include "net/cancellation.hpp"
#include "net/http_types.hpp"
#include "net/message_parser.hpp"
#include "net/stored_body.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>

namespace acaciagauge::net {

/// @brief How an HTTP exchange ended.
enum class ExchangeState {
    answered, ///< The complete response was received.
    connectionRefused, ///< No process listens at the address.
    notSent, ///< No byte of the request was written.
    connectionRejected, ///< The server closed a new connection before a byte was written (connection limit reached).
    incomplete, ///< Part of the request may have been written, but no complete response was received.
    timedOut, ///< As `incomplete`, because the timeout expired.
};

/// @brief Outcome of one HTTP exchange.
struct Exchange {
    ExchangeState state = ExchangeState::notSent;
    Response response;
    std::string error;
    bool wasReused = false; ///< The connection had carried an earlier exchange.
    std::shared_ptr<BufferBudget::Lease> lease; ///< For the response; null without a budget.
    std::uint64_t connection = 0; ///< Identifies the connection; 0 if there was none.
};

/// @brief HTTP/1.1 client with a pool of connections; each connection carries one exchange at a time.
///
/// A connection is reused only after a complete response. After any other end of an exchange it is closed.
class HttpClient : public std::enable_shared_from_this<HttpClient> {
public:
    struct Options {
        std::size_t maxIdlePerAddress = 16;
        std::uint64_t bodyLimit = maxBodyBytes;
        std::size_t maxIdleConnections = 1024; ///< To all addresses together.
        std::chrono::milliseconds idleTimeout { 8000 }; ///< Connections idle for longer are not reused.
        std::chrono::milliseconds keepAliveMargin { 1000 }; ///< Nor this shortly before the server's own idle limit.
        std::chrono::milliseconds tcpUserTimeout {
            0
        }; ///< Data unacknowledged for this long closes the connection; 0: system default.
        std::chrono::milliseconds rejectionWindow {
            0
        }; ///< Wait before a new connection is used, in which the server may close it.
        std::size_t readBufferBytes = 4096; ///< Most that one read of a connection takes.
        std::shared_ptr<BufferBudget> budget = nullptr; ///< If set, bounds the memory of responses.
        bool mayExceedBudget = false; ///< Responses are counted, but not refused for lack of memory.
        bool acceptCloseDelimited = false; ///< Accepts responses that end with an orderly close of the connection.
    };

    struct ExchangeOptions {
        std::chrono::microseconds timeout { 0 }; ///< For the whole exchange.
        std::chrono::microseconds connectTimeout { 0 }; ///< 0: limited only by `timeout`.
        std::function<bool()> mayStillSend; ///< Called just before the first byte is written; false cancels.
        std::shared_ptr<StoredBody> body; ///< If set, sent instead of the request's own body.
        std::string idHeader; ///< If set, responses whose value of this header differs from the request's are skipped.
        std::shared_ptr<Cancellation> cancellation; ///< Closes the connection when cancelled.
        bool uncancellableOnceSent = false; ///< Once fully written, the request is not cancelled.
        std::shared_ptr<Cancellation> abort; ///< Closes the connection when cancelled, whatever has been written.
        std::chrono::milliseconds idleTimeout { 0 }; ///< 0: as in the client's options.
        std::function<bool(const Response&)> mayReuse; ///< If set, false closes the connection after this response.
        /// Connections not to use: they carried the same request before, and a late copy of the response to it cannot
        /// be told from the response to this one.
        std::set<std::uint64_t> avoidedConnections;
    };

    static std::shared_ptr<HttpClient> create(asio::io_context& context, Options options);

    /// @brief Sends a request and reads the response.
    /// @param address "IP:PORT"
    /// @param timeout for the whole exchange
    asio::awaitable<Exchange> exchange(std::string address, Request request, std::chrono::microseconds timeout);

    /// @brief Sends a request and reads the response.
    /// @param address "IP:PORT"
    asio::awaitable<Exchange> exchange(std::string address, Request request, ExchangeOptions options);

    /// @brief Closes the idle connections to an address.
    void closeIdleConnections(const std::string& address);

private:
    using Clock = std::chrono::steady_clock;
    using ResponseParser = MessageParser<false, http::string_body>;

    struct Connection {
        Connection(asio::io_context& context, std::size_t readBufferBytes)
            : stream(context)
        {
            buffer.reserve(readBufferBytes);
        }
        std::uint64_t id = 0;
        beast::tcp_stream stream;
        beast::flat_buffer buffer { maxReadAheadBytes };
        bool wasUsed = false;
        bool isRequestSent = false; ///< The current request was written completely.
        std::uint64_t drawn = 0; ///< From the budget, for the current response.
        bool isReceiving = false; ///< The header of the current response has arrived, and more of it is missing.
        bool isEnded = false; ///< The budget has ended the current response.
        Clock::time_point idleSince;
        std::chrono::milliseconds keepAliveTimeout { 0 }; ///< Idle time after which the server closes; 0: not stated.
    };

    HttpClient(asio::io_context& context, Options options);
    asio::awaitable<std::unique_ptr<Connection>> connect(
        std::string address, ExchangeOptions options, Clock::time_point deadline, Exchange& outcome);
    asio::awaitable<bool> remainsOpen(Connection& connection);
    asio::awaitable<void> sendAndReceive(Connection& connection, Request& request, const ExchangeOptions& options,
        Clock::time_point deadline, Exchange& outcome);
    template <typename Body>
    static asio::awaitable<beast::error_code> writeRequest(
        Connection& connection, const http::request<Body>& request, Exchange& outcome);
    bool draw(Connection& connection, std::uint64_t bytes, Exchange& outcome) const;
    beast::error_code prepareRead(Connection& connection, const ResponseParser& parser, Exchange& outcome) const;
    asio::awaitable<beast::error_code> readSome(Connection& connection, ResponseParser& parser, Exchange& outcome);
    static bool isAborted(const ExchangeOptions& options);
    static std::size_t closeOnCancellation(Connection& connection, const ExchangeOptions& options);
    static std::size_t closeOnAbort(Connection& connection, const ExchangeOptions& options);
    asio::awaitable<beast::error_code> readResponse(Connection& connection, const std::string& idHeader,
        const std::string& id, Clock::time_point deadline, Exchange& outcome);
    asio::awaitable<beast::error_code> readMessage(
        Connection& connection, ResponseParser& parser, Clock::time_point deadline, Exchange& outcome);
    void returnToPool(const std::string& address, std::unique_ptr<Connection> connection, const Response& response);
    std::unique_ptr<Connection> takeIdle(const std::string& address, const ExchangeOptions& options);
    bool isUsable(Connection& connection, std::chrono::milliseconds idleTimeout) const;
    static bool hasNoPendingData(Connection& connection);
    void closeExpired();

    asio::io_context& m_context;
    Options m_options;
    std::map<std::string, std::deque<std::unique_ptr<Connection>>> m_idle;
    std::size_t m_idleCount = 0; ///< Connections in m_idle.
    std::uint64_t m_lastConnection = 0; ///< Id of the newest connection.
};

} // namespace acaciagauge::net
