#pragma once

#include "entry/catalog.hpp"

namespace acaciagauge::entry {

/// @brief Keeps this instance's member record in the store, attached to a lease that it renews.
class Membership {
public:
    Membership(boost::asio::io_context& context, MemberRecord self, ports::StorePort store, Catalog& catalog);

    void start();

    /// @brief Removes the record by revoking its lease.
    boost::asio::awaitable<void> leave();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> registerMember();
    boost::asio::awaitable<void> waitInEra(std::chrono::milliseconds time);
    [[nodiscard]] bool hasLostLease() const { return m_catalog.storeEra() != m_leaseEra; }

    boost::asio::io_context& m_context;
    MemberRecord m_self;
    ports::StorePort m_store;
    Catalog& m_catalog;
    std::uint64_t m_lease = 0;
    StoreEra m_leaseEra = 0; ///< A later era may give the lease's number to another instance.
    bool m_leaving = false;
};

} // namespace acaciagauge::entry
