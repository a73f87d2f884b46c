#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <set>

namespace acaciagauge::entry {

/// @brief Condition variable for coroutines that run on one thread.
class AsyncCondition {
public:
    explicit AsyncCondition(boost::asio::io_context& context)
        : m_context(context)
    {
    }

    /// @brief Waits for the next notifyAll(), at most until a deadline.
    /// @return false if the deadline passed first
    boost::asio::awaitable<bool> wait(std::chrono::steady_clock::time_point until)
    {
        boost::asio::steady_timer timer(m_context, until);
        m_waiting.insert(&timer);
        boost::system::error_code ec;
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
        m_waiting.erase(&timer);
        co_return ec == boost::asio::error::operation_aborted;
    }

    /// @brief Waits for the next notifyAll(), at most for a duration.
    boost::asio::awaitable<bool> waitFor(std::chrono::microseconds time)
    {
        return wait(std::chrono::steady_clock::now() + time);
    }

    /// @brief Wakes all waiting coroutines.
    void notifyAll()
    {
        for (auto* it : m_waiting)
            it->cancel();
    }

private:
    boost::asio::io_context& m_context;
    std::set<boost::asio::steady_timer*> m_waiting;
};

} // namespace acaciagauge::entry
