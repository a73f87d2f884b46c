#include "e2e/fault_relay.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace acaciagauge::e2e {

using net::asio::ip::tcp;
namespace asio = net::asio;

namespace {

    constexpr auto blockedPollInterval = std::chrono::milliseconds(5);

    tcp::endpoint loopback(unsigned port)
    {
        return { asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(port) };
    }

} // namespace

FaultRelay::FaultRelay(unsigned listenPort, unsigned targetPort)
    : m_acceptor(m_context, loopback(listenPort))
    , m_targetPort(targetPort)
{
    asio::co_spawn(m_context, acceptLoop(), asio::detached);
    m_thread = std::thread([this] { m_context.run(); });
}

FaultRelay::~FaultRelay()
{
    m_context.stop();
    m_thread.join();
}

void FaultRelay::block()
{
    m_isRequestBlocked = true;
    m_isResponseBlocked = true;
}

void FaultRelay::unblock()
{
    m_isRequestBlocked = false;
    m_isResponseBlocked = false;
    m_delayMs = 0;
}

void FaultRelay::resetConnections()
{
    asio::post(m_context, [this] { closeSockets(); });
}

void FaultRelay::closeSockets()
{
    for (const auto& it : m_sockets) {
        auto socket = it.lock();
        if (!socket || !socket->is_open())
            continue;
        boost::system::error_code ec;
        socket->set_option(asio::socket_base::linger(true, 0), ec);
        socket->close(ec);
    }
    m_sockets.clear();
}

asio::awaitable<void> FaultRelay::acceptLoop()
{
    while (true) {
        auto client = std::make_shared<tcp::socket>(co_await m_acceptor.async_accept(asio::use_awaitable));
        auto target = std::make_shared<tcp::socket>(m_context);
        boost::system::error_code ec;
        co_await target->async_connect(loopback(m_targetPort), asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            continue;
        client->set_option(tcp::no_delay(true));
        target->set_option(tcp::no_delay(true));
        std::erase_if(m_sockets, [](const auto& it) { return it.expired(); });
        m_sockets.push_back(client);
        m_sockets.push_back(target);
        asio::co_spawn(m_context, forwardBytes(client, target, m_isRequestBlocked), asio::detached);
        asio::co_spawn(m_context, forwardBytes(target, client, m_isResponseBlocked), asio::detached);
    }
}

asio::awaitable<void> FaultRelay::forwardBytes(Socket from, Socket to, const std::atomic<bool>& isBlocked)
{
    std::vector<char> buf(65536);
    asio::steady_timer timer(m_context);
    while (true) {
        boost::system::error_code ec;
        auto n = co_await from->async_read_some(asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
        timer.expires_after(std::chrono::milliseconds(m_delayMs));
        if (m_delayMs > 0)
            co_await timer.async_wait(asio::use_awaitable);
        while (isBlocked) {
            timer.expires_after(blockedPollInterval);
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (!ec)
            co_await asio::async_write(*to, asio::buffer(buf.data(), n), asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            boost::system::error_code ignored;
            to->shutdown(tcp::socket::shutdown_both, ignored);
            co_return;
        }
    }
}

} // namespace acaciagauge::e2e
