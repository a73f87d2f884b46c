#include "net/http_server.hpp"

#include "net/http_session.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>

namespace acaciagauge::net {

using asio::ip::tcp;

namespace {

    /// Pause after a failed accept: file descriptors become free as other connections end.
    constexpr auto acceptRetryDelay = std::chrono::milliseconds(20);

    /// Interval at which connections are checked against their time limits.
    constexpr auto sweepInterval = std::chrono::milliseconds(500);

} // namespace

Result<tcp::endpoint> parseEndpoint(std::string_view address)
{
    auto colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return failure(ResultCode::invalidSetting, "address \"" + std::string(address) + "\" lacks a port");
    unsigned port = 0;
    auto digits = address.substr(colon + 1);
    auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    boost::system::error_code ec;
    auto ip = asio::ip::make_address(std::string(address.substr(0, colon)), ec);
    if (ec || parsed.ec != std::errc {} || parsed.ptr != digits.data() + digits.size() || port > 65535)
        return failure(ResultCode::invalidSetting, "address \"" + std::string(address) + "\" is not IP:PORT");
    return tcp::endpoint(ip, static_cast<unsigned short>(port));
}

HttpServer::HttpServer(asio::io_context& context, Options options)
    : m_options(std::move(options))
    , m_acceptor(context)
    , m_sweepTimer(context)
{
}

Result<std::shared_ptr<HttpServer>> HttpServer::create(asio::io_context& context, Options options)
{
    auto endpoint = parseEndpoint(options.address);
    if (!endpoint)
        return tl::make_unexpected(endpoint.error());
    std::shared_ptr<HttpServer> server(new HttpServer(context, std::move(options)));
    boost::system::error_code ec;
    server->m_acceptor.open(endpoint->protocol(), ec);
    server->m_acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    server->m_acceptor.bind(*endpoint, ec);
    if (!ec)
        server->m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        return failure(
            ResultCode::invalidSetting, "cannot listen on " + server->m_options.address + ": " + ec.message());
    return server;
}

unsigned HttpServer::port() const
{
    boost::system::error_code ec;
    return m_acceptor.local_endpoint(ec).port();
}

void HttpServer::start()
{
    asio::co_spawn(m_acceptor.get_executor(), acceptLoop(), asio::detached);
}

void HttpServer::stop()
{
    m_draining = true;
    m_stopped = true;
    acceptPending();
    boost::system::error_code ec;
    m_acceptor.close(ec);
    for (auto& it : sessions())
        it->closeIfIdle();
    m_sweepTimer.cancel();
}

// Closing the listening socket would reset the connections in its backlog and lose the requests sent on them.
void HttpServer::acceptPending()
{
    boost::system::error_code ec;
    m_acceptor.non_blocking(true, ec);
    while (!ec && m_sessions.size() < m_options.maxConnections) {
        tcp::socket socket(m_acceptor.get_executor());
        m_acceptor.accept(socket, ec);
        if (!ec)
            startSession(std::move(socket));
    }
}

void HttpServer::startSession(tcp::socket socket)
{
    boost::system::error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    HttpSession::create(shared_from_this(), std::move(socket))->start();
    if (!m_isSweeping)
        asio::co_spawn(m_acceptor.get_executor(), closeOverdue(), asio::detached);
}

std::vector<std::shared_ptr<HttpSession>> HttpServer::sessions() const
{
    std::vector<std::shared_ptr<HttpSession>> sessions;
    for (auto* it : m_sessions) {
        if (auto session = it->weak_from_this().lock())
            sessions.push_back(std::move(session));
    }
    return sessions;
}

bool HttpServer::hasPendingResponses() const
{
    auto open = sessions();
    return std::any_of(open.begin(), open.end(), [](const auto& it) { return it->hasPendingResponses(); });
}

HttpServerLimits HttpServer::limits() const
{
    if (m_options.limits)
        return m_options.limits();
    HttpServerLimits limits;
    limits.bodyBytes = m_options.bodyLimit;
    limits.idleTimeout = m_options.idleTimeout;
    return limits;
}

asio::awaitable<void> HttpServer::acceptLoop()
{
    auto self = shared_from_this();
    while (!m_stopped) {
        boost::system::error_code ec;
        auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (!ec && m_sessions.size() < m_options.maxConnections)
            startSession(std::move(socket));
        if (!ec || m_stopped)
            continue;
        asio::steady_timer pause(m_acceptor.get_executor(), acceptRetryDelay);
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

// Runs only while there are connections, so that an idle instance has no timer.
asio::awaitable<void> HttpServer::closeOverdue()
{
    auto self = shared_from_this();
    m_isSweeping = true;
    while (!m_sessions.empty()) {
        boost::system::error_code ec;
        m_sweepTimer.expires_after(sweepInterval);
        co_await m_sweepTimer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        auto now = HttpSession::Clock::now();
        for (auto& it : sessions()) {
            it->closeIfOverdue(now);
            if (m_stopped)
                it->closeIfIdle();
        }
    }
    m_isSweeping = false;
}

} // namespace acaciagauge::net
