#pragma once

#include "acaciagauge/acaciagauge.hpp"
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
    refused, ///< The connection was refused: no process listens at the address.
    notSent, ///< No byte of the request was written.
    broken, ///< Some byte may have been written, and there is no whole answer.
    timedOut, ///< As broken, because the time was over.
};

/// @brief Outcome of one HTTP exchange.
struct Exchange {
    ExchangeState state = ExchangeState::notSent;
    Response response;
    std::string error;
};

/// @brief Keeps connections to HTTP servers and carries one exchange at a time on each.
///
/// A connection whose exchange did not end with a whole answer is closed, never used again.
class HttpClient : public std::enable_shared_from_this<HttpClient> {
public:
    struct Options {
        std::size_t maxIdlePerAddress = 16;
        std::uint64_t bodyLimit = maxBodyBytes;
    };

    static std::shared_ptr<HttpClient> create(asio::io_context& context, Options options);

    /// @brief Sends a request and reads the answer.
    /// @param address "IP:PORT"
    /// @param timeout for the whole exchange
    asio::awaitable<Exchange> exchange(std::string address, Request request, std::chrono::microseconds timeout);

    /// @brief Closes idle connections to an address.
    void forget(const std::string& address) { m_idle.erase(address); }

private:
    struct Connection {
        explicit Connection(asio::io_context& context)
            : stream(context)
        {
        }
        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        bool used = false;
    };

    HttpClient(asio::io_context& context, Options options);
    asio::awaitable<std::unique_ptr<Connection>> connect(
        std::string address, std::chrono::steady_clock::time_point deadline, Exchange& outcome);
    std::unique_ptr<Connection> takeIdle(const std::string& address);
    static bool isStillOpen(Connection& connection);

    asio::io_context& m_context;
    Options m_options;
    std::map<std::string, std::deque<std::unique_ptr<Connection>>> m_idle;
};

} // namespace acaciagauge::net
