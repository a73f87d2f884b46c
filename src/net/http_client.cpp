#include "net/http_client.hpp"

#include "net/http_server.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace acaciagauge::net {

using asio::ip::tcp;

namespace {

    /// Answers to earlier requests that are skipped on one connection before it is given up.
    constexpr int maxStrayAnswers = 3;

    // A machine that has lost its power, or is cut off, sends nothing: only unanswered segments and probes tell.
    void limitSilence(tcp::socket& socket, std::chrono::milliseconds limit)
    {
        using Option = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
        using ProbeAfter = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
        using ProbeEvery = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
        beast::error_code ec;
        socket.set_option(asio::socket_base::keep_alive(true), ec);
        socket.set_option(ProbeAfter(1), ec);
        socket.set_option(ProbeEvery(1), ec);
        socket.set_option(Option(static_cast<int>(limit.count())), ec);
    }

    // A connection that is closed in order goes on sending what its peer has not acknowledged, even seconds later. What
    // is given up here must not arrive any more.
    void discardOnClose(tcp::socket& socket)
    {
        beast::error_code ec;
        socket.set_option(asio::socket_base::linger(true, 0), ec);
    }

    // "timeout=5" within the value of Keep-Alive, in seconds.
    std::chrono::milliseconds keepAliveLimit(const Response& response)
    {
        auto value = headerOf(response, "Keep-Alive");
        auto at = value.find("timeout=");
        if (at == std::string::npos)
            return std::chrono::milliseconds(0);
        return std::chrono::seconds(std::atoi(value.c_str() + at + 8));
    }

} // namespace

HttpClient::HttpClient(asio::io_context& context, Options options)
    : m_context(context)
    , m_options(options)
{
}

std::shared_ptr<HttpClient> HttpClient::create(asio::io_context& context, Options options)
{
    return std::shared_ptr<HttpClient>(new HttpClient(context, options));
}

bool HttpClient::isUsable(Connection& connection, std::chrono::milliseconds maxIdle) const
{
    auto limit = maxIdle;
    if (connection.serverLimit.count() > 0)
        limit = std::min(limit, connection.serverLimit - m_options.idleMargin);
    return Clock::now() - connection.idleSince <= limit && isQuiet(connection);
}

// A connection with anything to read was ended by the server or carries a late answer.
bool HttpClient::isQuiet(Connection& connection)
{
    char byte = 0;
    auto n = ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::unique_ptr<HttpClient::Connection> HttpClient::takeIdle(
    const std::string& address, std::chrono::milliseconds maxIdle)
{
    auto it = m_idle.find(address);
    while (it != m_idle.end() && !it->second.empty()) {
        auto connection = std::move(it->second.back());
        it->second.pop_back();
        --m_idleCount;
        if (isUsable(*connection, maxIdle))
            return connection;
    }
    return nullptr;
}

void HttpClient::closeIdleConnections(const std::string& address)
{
    auto it = m_idle.find(address);
    if (it == m_idle.end())
        return;
    m_idleCount -= it->second.size();
    m_idle.erase(it);
}

// Connections to servers that are asked no more are found by nobody else.
void HttpClient::dropStale()
{
    auto oldest = Clock::now() - m_options.maxIdle;
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        auto stale = std::erase_if(it->second, [&](const auto& kept) { return kept->idleSince < oldest; });
        m_idleCount -= stale;
        it = it->second.empty() ? m_idle.erase(it) : std::next(it);
    }
}

void HttpClient::keep(const std::string& address, std::unique_ptr<Connection> connection, const Response& response)
{
    if (m_idleCount >= m_options.maxIdleConnections)
        dropStale();
    auto& idle = m_idle[address];
    bool isReusable = response.keep_alive() && connection->buffer.size() == 0;
    bool hasRoom = idle.size() < m_options.maxIdlePerAddress && m_idleCount < m_options.maxIdleConnections;
    if (!isReusable || !hasRoom)
        return;
    auto limit = keepAliveLimit(response);
    if (limit.count() > 0)
        connection->serverLimit = limit;
    connection->wasUsed = true;
    connection->idleSince = Clock::now();
    idle.push_back(std::move(connection));
    ++m_idleCount;
}

asio::awaitable<std::unique_ptr<HttpClient::Connection>> HttpClient::connect(
    std::string address, ExchangeOptions options, Clock::time_point deadline, Exchange& outcome)
{
    auto maxIdle = options.maxIdle.count() > 0 ? options.maxIdle : m_options.maxIdle;
    if (auto idle = takeIdle(address, maxIdle))
        co_return idle;
    auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        outcome.error = endpoint.error().message;
        co_return nullptr;
    }
    auto connection = std::make_unique<Connection>(m_context);
    beast::error_code ec;
    if (options.connectTimeout.count() > 0)
        deadline = std::min(deadline, Clock::now() + options.connectTimeout);
    connection->stream.expires_at(deadline);
    co_await connection->stream.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        outcome.state
            = ec == asio::error::connection_refused ? ExchangeState::connectionRefused : ExchangeState::notSent;
        outcome.error = ec.message();
        co_return nullptr;
    }
    connection->stream.socket().set_option(tcp::no_delay(true), ec);
    discardOnClose(connection->stream.socket());
    if (m_options.tcpUserTimeout.count() > 0)
        limitSilence(connection->stream.socket(), m_options.tcpUserTimeout);
    if (m_options.rejectionWindow.count() > 0) {
        bool isTaken = co_await settle(*connection);
        if (!isTaken) {
            outcome.state = ExchangeState::connectionRejected;
            outcome.error = "the server ended the new connection";
            co_return nullptr;
        }
    }
    co_return connection;
}

// A server without room for connections accepts and resets them. Before a byte was written that is known to have run
// nothing; afterwards it is not.
asio::awaitable<bool> HttpClient::settle(Connection& connection)
{
    asio::steady_timer timer(m_context, m_options.rejectionWindow);
    beast::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    co_return isQuiet(connection);
}

asio::awaitable<beast::error_code> HttpClient::readAnswer(
    Connection& connection, const std::string& idHeader, const std::string& id, Exchange& outcome)
{
    beast::error_code ec;
    for (int strays = 0; strays <= maxStrayAnswers; ++strays) {
        http::response_parser<http::string_body> parser;
        parser.header_limit(maxHeaderBytes);
        parser.body_limit(m_options.bodyLimit);
        co_await http::async_read(
            connection.stream, connection.buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            co_return ec;
        // Only an orderly end of the connection ends an answer without a length; a reset is an error above.
        if (parser.need_eof() && !m_options.acceptCloseDelimited) {
            outcome.error = "the answer has no length";
            co_return make_error_code(http::error::partial_message);
        }
        outcome.response = parser.release();
        bool isInterim = outcome.response.result_int() < 200;
        bool isMine = idHeader.empty() || headerOf(outcome.response, idHeader) == id;
        if (isMine && !isInterim)
            co_return ec;
        outcome.error = "the answer belongs to another request";
    }
    co_return make_error_code(http::error::unexpected_body);
}

asio::awaitable<void> HttpClient::carry(
    Connection& connection, Request& request, const ExchangeOptions& options, Exchange& outcome)
{
    beast::error_code ec;
    auto written
        = co_await http::async_write(connection.stream, request, asio::redirect_error(asio::use_awaitable, ec));
    outcome.state = written > 0 ? ExchangeState::incomplete : ExchangeState::notSent;
    connection.isRequestSent = !ec;
    auto id = options.idHeader.empty() ? std::string() : headerOf(request, options.idHeader);
    if (!ec)
        ec = co_await readAnswer(connection, options.idHeader, id, outcome);
    if (!ec) {
        outcome.state = ExchangeState::answered;
        co_return;
    }
    if (outcome.error.empty())
        outcome.error = ec.message();
    if (ec == beast::error::timeout && outcome.state == ExchangeState::incomplete)
        outcome.state = ExchangeState::timedOut;
}

asio::awaitable<Exchange> HttpClient::exchange(std::string address, Request request, std::chrono::microseconds timeout)
{
    ExchangeOptions options;
    options.timeout = timeout;
    co_return co_await exchange(std::move(address), std::move(request), std::move(options));
}

std::size_t HttpClient::closeOnCancellation(Connection& connection, const ExchangeOptions& options)
{
    if (!options.cancellation)
        return 0;
    return options.cancellation->add([&connection, uncancellableOnceSent = options.uncancellableOnceSent] {
        bool mustRun = uncancellableOnceSent && connection.isRequestSent;
        if (!mustRun)
            connection.stream.close();
    });
}

asio::awaitable<Exchange> HttpClient::exchange(std::string address, Request request, ExchangeOptions options)
{
    auto self = shared_from_this();
    auto deadline = Clock::now() + options.timeout;
    Exchange outcome;
    auto connection = co_await connect(address, options, deadline, outcome);
    if (!connection)
        co_return outcome;
    outcome.wasReused = connection->wasUsed;
    bool isUnwanted = (options.cancellation && options.cancellation->isCancelled())
        || (options.mayStillSend && !options.mayStillSend());
    if (isUnwanted) {
        outcome.error = "the request was withdrawn before it was sent";
        co_return outcome;
    }
    connection->isRequestSent = false;
    auto registered = closeOnCancellation(*connection, options);
    connection->stream.expires_at(deadline);
    co_await carry(*connection, request, options, outcome);
    if (options.cancellation)
        options.cancellation->remove(registered);
    if (outcome.state == ExchangeState::answered)
        keep(address, std::move(connection), outcome.response);
    co_return outcome;
}

} // namespace acaciagauge::net
