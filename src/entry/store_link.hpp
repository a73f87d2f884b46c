#pragma once

#include "daemon/rpc_node.hpp"
#include "entry/catalog.hpp"

namespace acaciagauge::entry {

/// @brief Keeps the catalog up to date: reads the store, watches it, and asks peers while it does not answer.
class StoreLink {
public:
    struct Hooks {
        std::function<daemon::RpcNode&()> rpc;
        InstanceId self;
        std::vector<std::string> seeds; ///< RPC addresses to ask before any member is known.
    };

    StoreLink(boost::asio::io_context& context, ports::StorePort store, Catalog& catalog, Hooks hooks);

    /// @brief Starts to follow the store.
    void start();
    void stop() { m_stopped = true; }

    /// @brief Reads the whole store now.
    /// @return false if it does not answer
    boost::asio::awaitable<bool> reload();

private:
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<void> relay();
    boost::asio::awaitable<void> settleLoop();
    std::optional<std::string> pickPeer();
    void note(ports::StoreStatus status);
    std::chrono::microseconds backoff();

    boost::asio::io_context& m_context;
    ports::StorePort m_store;
    Catalog& m_catalog;
    Hooks m_hooks;
    std::mt19937_64 m_random { std::random_device {}() };
    unsigned m_failures = 0; ///< Calls without success in a row.
    bool m_stopped = false;
    Signal m_linkChanged;
};

} // namespace acaciagauge::entry
