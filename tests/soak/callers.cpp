#include "soak/callers.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace acaciagauge::soak {

using namespace std::chrono_literals;
namespace asio = net::asio;

namespace {

    constexpr auto callerTimeout = std::chrono::microseconds(2500ms);
    constexpr auto callerPause = 8ms; ///< Between two requests of a caller.

} // namespace

Callers::Callers(std::vector<std::string> addresses, unsigned count, std::uint64_t seed)
    : m_addresses(std::move(addresses))
{
    for (unsigned n = 0; n < count; ++n)
        asio::co_spawn(m_context, callLoop(n, seed + n), asio::detached);
    m_thread = std::thread([this] { m_context.run(); });
}

Callers::~Callers()
{
    m_stopped = true;
    if (m_thread.joinable())
        m_thread.join();
}

std::vector<e2e::CallerResult> Callers::stop()
{
    m_stopped = true;
    m_thread.join();
    return std::move(m_results);
}

asio::awaitable<void> Callers::callLoop(unsigned caller, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    auto client = net::HttpClient::create(m_context, {});
    std::uint64_t number = 0;
    while (!m_stopped) {
        e2e::CallerResult result;
        auto address = m_addresses[random() % m_addresses.size()];
        result.isPost = random() % 3 == 0;
        result.id = "c" + std::to_string(caller) + "-" + std::to_string(++number);
        auto key = static_cast<unsigned>(random() % 65536);
        auto request = e2e::makeCallerRequest(result, key, "/view/");
        auto exchange = co_await client->exchange(address, std::move(request), callerTimeout);
        e2e::readResponse(exchange, result);
        m_results.push_back(std::move(result));
        asio::steady_timer timer(m_context, callerPause);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace acaciagauge::soak
