#include "entry/permits.hpp"

#include "daemon/async.hpp"
#include "daemon/log.hpp"

namespace acaciagauge::entry {

using boost::asio::awaitable;
using daemon::logEvent;
using daemon::LogEvent;
using daemon::LogLevel;

namespace {

    /// Holders that are asked one after the other before this instance uses its own part of the rate: a request waits
    /// for each that does not answer.
    constexpr int maxHoldersAsked = 2;

} // namespace

Permits::Permits(boost::asio::io_context& context, InstanceId self, Catalog& catalog, Hooks hooks)
    : m_context(context)
    , m_self(std::move(self))
    , m_catalog(catalog)
    , m_hooks(std::move(hooks))
    , m_held(RatePermits::create({}))
    , m_ownShare(RatePermits::create({}))
    , m_holders(PermitHolders::create({}))
{
}

void Permits::updateMembers()
{
    if (m_catalog.memberChanges() == m_knownMemberChanges)
        return;
    m_knownMemberChanges = m_catalog.memberChanges();
    std::map<InstanceId, DomainId> members;
    for (const auto& it : m_catalog.members())
        members[it.first] = it.second.domain;
    m_holders.setMembers(std::move(members));
}

awaitable<std::optional<PermitReply>> Permits::ask(const InstanceId& holder, PermitRequest request)
{
    if (holder == m_self)
        co_return answer(request);
    auto member = m_catalog.members().find(holder);
    if (member == m_catalog.members().end())
        co_return std::nullopt;
    std::function<void(std::function<void(std::optional<PermitReply>)>)> call
        = [this, address = member->second.rpcAddress, request](std::function<void(std::optional<PermitReply>)> done) {
              m_hooks.request(address, request, std::move(done));
          };
    co_return co_await daemon::awaitCallback<std::optional<PermitReply>>(m_context, call);
}

awaitable<PermitReply> Permits::acquire(PermitRequest request, DomainId domain)
{
    for (int n = 0; n < maxHoldersAsked; ++n) {
        updateMembers();
        auto holder = m_holders.holderOf(request.server, domain, monotonicNow());
        if (!holder)
            break;
        auto reply = co_await ask(*holder, request);
        if (reply)
            co_return *reply;
        m_holders.suspect(*holder, monotonicNow());
        logEvent(LogLevel::info, LogEvent::permitUnanswered, { { "server", request.server }, { "holder", *holder } });
    }
    auto phase = std::uniform_real_distribution<double>(0, 1)(m_random);
    request = ownShare(std::move(request), m_catalog.members().size(), phase);
    co_return m_ownShare.request(request, monotonicNow());
}

// The rate of a request for a cold server's permits is at most that of cold servers; the burst is not in the message.
PermitReply Permits::answer(PermitRequest request)
{
    auto cold = m_hooks.coldPermits ? m_hooks.coldPermits(request.server) : std::nullopt;
    if (cold && request.perSecond <= cold->perSecond)
        cold->limit(request);
    return m_held.request(request, monotonicNow());
}

} // namespace acaciagauge::entry
