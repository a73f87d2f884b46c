#pragma once

#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <functional>
#include <memory>

namespace acaciagauge::daemon {

/// @brief Waits until a callback is called, by any thread, and resumes in the context.
/// @param start starts the operation; receives the callback, which must be called exactly once
template <typename T>
boost::asio::awaitable<T> awaitCallback(
    boost::asio::io_context& context, std::function<void(std::function<void(T)>)> start)
{
    auto initiate = [&context, start](auto handler) {
        auto sharedHandler = std::make_shared<decltype(handler)>(std::move(handler));
        start([sharedHandler, &context](T value) {
            auto sharedValue = std::make_shared<T>(std::move(value));
            boost::asio::post(context, [sharedHandler, sharedValue] { (*sharedHandler)(std::move(*sharedValue)); });
        });
    };
    co_return co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>&, void(T)>(
        initiate, boost::asio::use_awaitable);
}

/// @brief Waits for a duration.
inline boost::asio::awaitable<void> sleepFor(boost::asio::io_context& context, std::chrono::microseconds duration)
{
    boost::asio::steady_timer timer(context, duration);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace acaciagauge::daemon
