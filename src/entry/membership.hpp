#pragma once

#include "entry/catalog.hpp"

namespace acaciagauge::entry {

/// @brief Keeps this instance's member record in the store, attached to a lease that it renews.
class Membership {
public:
    Membership(boost::asio::io_context& context, MemberRecord self, ports::StorePort store);

    void start();

    /// @brief Removes the record by revoking its lease.
    boost::asio::awaitable<void> leave();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> registerMember();

    boost::asio::io_context& m_context;
    MemberRecord m_self;
    ports::StorePort m_store;
    std::uint64_t m_lease = 0;
    bool m_leaving = false;
};

} // namespace acaciagauge::entry
