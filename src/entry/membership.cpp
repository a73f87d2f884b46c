#include "entry/membership.hpp"

#include "daemon/async.hpp"
#include "daemon/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace acaciagauge::entry {

namespace asio = boost::asio;
using asio::awaitable;
using daemon::logEvent;
using daemon::LogEvent;
using daemon::LogLevel;
using daemon::sleepFor;
using ports::StoreStatus;

namespace {

    /// Lease of a member record. The number of members sets each instance's share of the retry budget; safety does not
    /// depend on it.
    constexpr auto leaseDuration = std::chrono::milliseconds(9000);

    constexpr auto renewInterval = std::chrono::milliseconds(3000);

    /// Wait after a failed call to the store.
    constexpr auto retryInterval = std::chrono::milliseconds(700);

} // namespace

Membership::Membership(asio::io_context& context, MemberRecord self, ports::StorePort store, Catalog& catalog)
    : m_context(context)
    , m_self(std::move(self))
    , m_store(std::move(store))
    , m_catalog(catalog)
{
}

void Membership::start()
{
    asio::co_spawn(m_context, run(), asio::detached);
}

awaitable<bool> Membership::registerMember()
{
    auto lease = co_await m_store.createLease(leaseDuration);
    m_catalog.noteStoreEra(lease.era);
    if (lease.status != StoreStatus::done)
        co_return false;
    m_lease = lease.lease;
    m_leaseEra = lease.era;
    ports::StoreTransaction transaction;
    transaction.puts.push_back({ membersPrefix + m_self.id, encodeMember(m_self), m_lease });
    auto reply = co_await m_store.commit(std::move(transaction));
    m_catalog.noteStoreEra(reply.era);
    bool isDone = reply.status == StoreStatus::done && !hasLostLease();
    logEvent(isDone ? LogLevel::info : LogLevel::warn, LogEvent::memberRegistered,
        { { "status", std::string(nameOf(reply.status)) }, { "revision", std::to_string(reply.revision) } });
    co_return isDone;
}

// Returns early if the store was restored.
awaitable<void> Membership::waitInEra(std::chrono::milliseconds time)
{
    auto until = std::chrono::steady_clock::now() + time;
    while (!hasLostLease() && std::chrono::steady_clock::now() < until)
        co_await m_catalog.changed().wait(until);
}

awaitable<void> Membership::run()
{
    bool isRegistered = false;
    while (!m_leaving) {
        if (!isRegistered) {
            isRegistered = co_await registerMember();
            if (isRegistered)
                co_await waitInEra(renewInterval);
            else
                co_await sleepFor(m_context, retryInterval);
            continue;
        }
        if (hasLostLease()) {
            isRegistered = false;
            continue;
        }
        auto reply = co_await m_store.renewLease(m_lease);
        m_catalog.noteStoreEra(reply.era);
        isRegistered = reply.status != StoreStatus::missing && !hasLostLease();
        if (isRegistered)
            co_await waitInEra(reply.status == StoreStatus::done ? renewInterval : retryInterval);
    }
}

awaitable<void> Membership::leave()
{
    m_leaving = true;
    if (m_lease == 0 || hasLostLease())
        co_return;
    auto ended = co_await m_store.revokeLease(m_lease);
    logEvent(LogLevel::info, LogEvent::memberRegistered, { { "status", "left, " + std::string(nameOf(ended)) } });
}

} // namespace acaciagauge::entry
