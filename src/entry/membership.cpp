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

Membership::Membership(asio::io_context& context, MemberRecord self, ports::StorePort store)
    : m_context(context)
    , m_self(std::move(self))
    , m_store(std::move(store))
{
}

void Membership::start()
{
    asio::co_spawn(m_context, run(), asio::detached);
}

awaitable<bool> Membership::registerMember()
{
    auto lease = co_await m_store.createLease(leaseDuration);
    if (lease.status != StoreStatus::done)
        co_return false;
    m_lease = lease.lease;
    ports::StoreTransaction transaction;
    transaction.puts.push_back({ membersPrefix + m_self.id, encodeMember(m_self), m_lease });
    auto reply = co_await m_store.commit(std::move(transaction));
    bool isDone = reply.status == StoreStatus::done;
    logEvent(isDone ? LogLevel::info : LogLevel::warn, LogEvent::memberRegistered,
        { { "status", std::string(nameOf(reply.status)) }, { "revision", std::to_string(reply.revision) } });
    co_return isDone;
}

awaitable<void> Membership::run()
{
    bool isRegistered = false;
    while (!m_leaving) {
        if (!isRegistered) {
            isRegistered = co_await registerMember();
            co_await sleepFor(m_context, isRegistered ? renewInterval : retryInterval);
            continue;
        }
        auto reply = co_await m_store.renewLease(m_lease);
        isRegistered = reply.status != StoreStatus::missing;
        if (isRegistered)
            co_await sleepFor(m_context, reply.status == StoreStatus::done ? renewInterval : retryInterval);
    }
}

awaitable<void> Membership::leave()
{
    m_leaving = true;
    if (m_lease == 0)
        co_return;
    auto ended = co_await m_store.revokeLease(m_lease);
    logEvent(LogLevel::info, LogEvent::memberRegistered, { { "status", "left, " + std::string(nameOf(ended)) } });
}

} // namespace acaciagauge::entry
