#pragma once

#include "net/net.hpp"

#include <boost/asio/awaitable.hpp>

namespace acaciagauge::daemon {

/// @brief A value of the platform's store.
struct StoredValue {
    StoreOutcome outcome = StoreOutcome::unavailable;
    std::uint64_t revision = 0; ///< 0: the key does not exist.
    std::string value;
};

/// @brief States of charts/store.chart.
enum class StoreLink {
    available,
    unavailable,
};

/// @brief Client of the platform's key-value service and instance list.
class StoreClient {
public:
    /// @param address "IP:PORT"
    StoreClient(boost::asio::io_context& context, std::string address);

    /// @brief Reads a key.
    boost::asio::awaitable<StoredValue> read(std::string key);

    /// @brief Waits until a key's revision exceeds `after`, for at most `wait`.
    boost::asio::awaitable<StoredValue> watch(std::string key, std::uint64_t after, std::chrono::milliseconds wait);

    /// @brief Writes a key if its revision is `expected`; 0: if it does not exist.
    boost::asio::awaitable<StoredValue> write(std::string key, std::uint64_t expected, std::string value);

    /// @brief Reads the list of live and leaving instances as JSON text; empty if it cannot be had.
    boost::asio::awaitable<std::string> instances();

    /// @brief Returns true if the last call was answered.
    [[nodiscard]] bool isAvailable() const { return m_link == StoreLink::available; }

private:
    boost::asio::awaitable<StoredValue> get(std::string target, std::chrono::milliseconds timeout);
    void note(bool isAnswered);

    std::string m_address;
    std::shared_ptr<net::HttpClient> m_client;
    StoreLink m_link = StoreLink::available;
};

} // namespace acaciagauge::daemon
