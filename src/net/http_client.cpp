#include "net/http_client.hpp"

#include "net/http_server.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sys/socket.h>

namespace acaciagauge::net {

using asio::ip::tcp;

HttpClient::HttpClient(asio::io_context& context, Options options)
    : m_context(context)
    , m_options(options)
{
}

std::shared_ptr<HttpClient> HttpClient::create(asio::io_context& context, Options options)
{
    return std::shared_ptr<HttpClient>(new HttpClient(context, options));
}

// An idle connection with anything to read was closed by the server or carries a late answer.
bool HttpClient::isStillOpen(Connection& connection)
{
    char byte = 0;
    auto n = ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::unique_ptr<HttpClient::Connection> HttpClient::takeIdle(const std::string& address)
{
    auto it = m_idle.find(address);
    while (it != m_idle.end() && !it->second.empty()) {
        auto connection = std::move(it->second.back());
        it->second.pop_back();
        if (isStillOpen(*connection))
            return connection;
    }
    return nullptr;
}

asio::awaitable<std::unique_ptr<HttpClient::Connection>> HttpClient::connect(
    std::string address, std::chrono::steady_clock::time_point deadline, Exchange& outcome)
{
    if (auto idle = takeIdle(address))
        co_return idle;
    auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        outcome.error = endpoint.error().message;
        co_return nullptr;
    }
    auto connection = std::make_unique<Connection>(m_context);
    beast::error_code ec;
    connection->stream.expires_at(deadline);
    co_await connection->stream.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        outcome.state = ec == asio::error::connection_refused ? ExchangeState::refused : ExchangeState::notSent;
        outcome.error = ec.message();
        co_return nullptr;
    }
    connection->stream.socket().set_option(tcp::no_delay(true), ec);
    co_return connection;
}

asio::awaitable<Exchange> HttpClient::exchange(std::string address, Request request, std::chrono::microseconds timeout)
{
    auto self = shared_from_this();
    auto deadline = std::chrono::steady_clock::now() + timeout;
    Exchange outcome;
    auto connection = co_await connect(address, deadline, outcome);
    if (!connection)
        co_return outcome;
    beast::error_code ec;
    connection->stream.expires_at(deadline);
    co_await http::async_write(connection->stream, request, asio::redirect_error(asio::use_awaitable, ec));
    outcome.state = ExchangeState::broken;
    if (!ec) {
        http::response_parser<http::string_body> parser;
        parser.header_limit(maxHeaderBytes);
        parser.body_limit(m_options.bodyLimit);
        co_await http::async_read(
            connection->stream, connection->buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
        // An answer without a length ends with the connection, so a cut cannot be told from its end.
        bool isWhole = !ec && !parser.need_eof();
        if (isWhole) {
            outcome.state = ExchangeState::answered;
            outcome.response = parser.release();
        }
    }
    if (outcome.state != ExchangeState::answered) {
        outcome.error = ec ? ec.message() : "the answer has no length";
        if (ec == beast::error::timeout)
            outcome.state = ExchangeState::timedOut;
        co_return outcome;
    }
    auto& idle = m_idle[address];
    bool reusable = outcome.response.keep_alive() && connection->buffer.size() == 0;
    if (reusable && idle.size() < m_options.maxIdlePerAddress)
        idle.push_back(std::move(connection));
    co_return outcome;
}

} // namespace acaciagauge::net
