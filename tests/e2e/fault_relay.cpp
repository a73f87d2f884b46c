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

    constexpr auto cutPoll = std::chrono::milliseconds(5);

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

void FaultRelay::cut()
{
    m_isRequestCut = true;
    m_isAnswerCut = true;
}

void FaultRelay::heal()
{
    m_isRequestCut = false;
    m_isAnswerCut = false;
    m_delayMs = 0;
}

void FaultRelay::reset()
{
    asio::post(m_context, [this] { resetAll(); });
}

void FaultRelay::resetAll()
{
    for (const auto& it : m_open) {
        auto socket = it.lock();
        if (!socket || !socket->is_open())
            continue;
        boost::system::error_code ec;
        socket->set_option(asio::socket_base::linger(true, 0), ec);
        socket->close(ec);
    }
    m_open.clear();
}

asio::awaitable<void> FaultRelay::acceptLoop()
{
    while (true) {
        auto near = std::make_shared<tcp::socket>(co_await m_acceptor.async_accept(asio::use_awaitable));
        auto far = std::make_shared<tcp::socket>(m_context);
        boost::system::error_code ec;
        co_await far->async_connect(loopback(m_targetPort), asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            continue;
        near->set_option(tcp::no_delay(true));
        far->set_option(tcp::no_delay(true));
        std::erase_if(m_open, [](const auto& it) { return it.expired(); });
        m_open.push_back(near);
        m_open.push_back(far);
        asio::co_spawn(m_context, pump(near, far, m_isRequestCut), asio::detached);
        asio::co_spawn(m_context, pump(far, near, m_isAnswerCut), asio::detached);
    }
}

asio::awaitable<void> FaultRelay::pump(Socket from, Socket to, const std::atomic<bool>& isCut)
{
    std::vector<char> buf(65536);
    asio::steady_timer timer(m_context);
    while (true) {
        boost::system::error_code ec;
        auto n = co_await from->async_read_some(asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
        timer.expires_after(std::chrono::milliseconds(m_delayMs));
        if (m_delayMs > 0)
            co_await timer.async_wait(asio::use_awaitable);
        while (isCut) {
            timer.expires_after(cutPoll);
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
