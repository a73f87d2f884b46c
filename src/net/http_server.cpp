#include "net/http_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <charconv>

namespace acaciagauge::net {

using asio::ip::tcp;

namespace {

    Response rejection(beast::error_code ec)
    {
        unsigned status = 400;
        if (ec == http::error::body_limit)
            status = 413;
        if (ec == http::error::header_limit)
            status = 431;
        auto body = "{\"code\":501,\"name\":\"malformedRequest\",\"message\":\"" + ec.message() + "\"}";
        auto response = makeResponse(status, body);
        response.set("X-Acaciagauge-Outcome", "notRun");
        response.set("X-Acaciagauge-Code", "501");
        response.keep_alive(false);
        return response;
    }

    bool isProtocolError(beast::error_code ec)
    {
        bool isClosed = ec == http::error::end_of_stream || ec == http::error::partial_message;
        return !isClosed && ec.category() == make_error_code(http::error::bad_method).category();
    }

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
    boost::system::error_code ec;
    m_acceptor.close(ec);
    for (auto* it : m_idle)
        it->socket().shutdown(tcp::socket::shutdown_receive, ec);
}

asio::awaitable<void> HttpServer::acceptLoop()
{
    auto self = shared_from_this();
    while (!m_stopped) {
        boost::system::error_code ec;
        auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            continue;
        if (m_connections >= m_options.maxConnections)
            continue;
        socket.set_option(tcp::no_delay(true), ec);
        asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> HttpServer::serve(tcp::socket socket)
{
    auto self = shared_from_this();
    ++m_connections;
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    bool keepAlive = true;
    while (keepAlive && !m_stopped) {
        http::request_parser<http::string_body> parser;
        parser.header_limit(maxHeaderBytes);
        parser.body_limit(m_options.bodyLimit);
        beast::error_code ec;
        stream.expires_after(m_options.idleTimeout);
        m_idle.insert(&stream);
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
        m_idle.erase(&stream);
        if (ec && !isProtocolError(ec))
            break;
        Response response;
        if (ec) {
            response = rejection(ec);
        } else {
            ++m_inFlight;
            auto request = parser.release();
            keepAlive = request.keep_alive();
            stream.expires_never();
            response = co_await m_options.handler(std::move(request));
            response.keep_alive(response.keep_alive() && keepAlive && !m_draining);
        }
        stream.expires_after(m_options.idleTimeout);
        keepAlive = response.keep_alive();
        beast::error_code writeError;
        co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, writeError));
        if (!ec)
            --m_inFlight;
        if (ec || writeError)
            break;
    }
    beast::error_code ec;
    stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    --m_connections;
}

} // namespace acaciagauge::net
