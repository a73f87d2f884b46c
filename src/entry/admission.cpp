#include "entry/admission.hpp"

#include "daemon/async.hpp"
#include "daemon/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>

namespace acaciagauge::entry {

namespace asio = boost::asio;
using asio::awaitable;
using daemon::AdmissionCall;
using daemon::AdmissionNotice;
using daemon::AdmissionReply;
using daemon::Coordination;
using daemon::logEvent;
using daemon::LogEvent;
using daemon::LogLevel;

namespace {

    /// Added to the longest wait before a coordinator counts as silent: longer than an instance stands still whose
    /// processor time for a tenth of a second is used up, as for permits.
    constexpr auto answerMargin = std::chrono::milliseconds(300);

    /// The servers of a group are read from the catalog at most this often.
    constexpr auto serversInterval = std::chrono::milliseconds(50);

    /// Time until the state of an unused group is dropped.
    constexpr auto forgetAfter = std::chrono::seconds(30);

    /// Requests beyond a server's slots: they fill the gap until the coordinator has heard of the end of a request,
    /// which takes up to a tenth of a second on an instance whose processor time is used up.
    constexpr unsigned extraInFlight = 1;

    /// Pause of a server that refused a request although it has a free slot by this instance's count. Longer pauses
    /// would stop a server that refuses some requests for other reasons.
    constexpr auto shedBackoff = std::chrono::milliseconds(20);

    /// Ids are distinct from those of Upstreams and of an earlier process at the same address.
    std::uint64_t firstWorkId()
    {
        std::random_device random;
        return (std::uint64_t { 1 } << 63U) | (static_cast<std::uint64_t>(random() >> 1U) << 32U);
    }

} // namespace

Admission::Admission(asio::io_context& context, Options options, Catalog& catalog, Hooks hooks)
    : m_context(context)
    , m_options(std::move(options))
    , m_catalog(catalog)
    , m_hooks(std::move(hooks))
    , m_coordinators(AdmissionCoordinators::create({}))
    , m_lastWorkId(firstWorkId())
{
}

bool Admission::isActive()
{
    auto state = m_catalog.desiredState();
    bool isActive = m_options.coordination == Coordination::on
        || (m_options.coordination == Coordination::automatic && state && state->callsForCoordination());
    if (isActive != m_wasActive)
        logEvent(LogLevel::info, LogEvent::coordinationChanged, { { "active", isActive ? "true" : "false" } });
    m_wasActive = isActive;
    return isActive;
}

void Admission::updateMembers()
{
    if (m_catalog.memberChanges() == m_knownMemberChanges)
        return;
    m_knownMemberChanges = m_catalog.memberChanges();
    std::map<InstanceId, CoordinatorCandidate> members;
    for (const auto& it : m_catalog.members())
        members[it.first] = { it.second.domain, it.second.cores };
    m_coordinators.setMembers(std::move(members));
}

void Admission::receive(
    const InstanceId& coordinator, const std::shared_ptr<Pending>& pending, std::optional<AdmissionReply> reply)
{
    if (pending->isAbandoned && reply && reply->isAdmitted)
        end({ reply->server, reply->workId, coordinator }, {});
    pending->isAnswered = true;
    pending->reply = std::move(reply);
    pending->timer.cancel();
}

void Admission::ask(const InstanceId& coordinator, const AdmissionCall& call, std::shared_ptr<Pending> pending)
{
    if (coordinator == m_options.self) {
        answer(call,
            [this, coordinator, pending](AdmissionReply reply) { receive(coordinator, pending, std::move(reply)); });
        return;
    }
    auto member = m_catalog.members().find(coordinator);
    if (member == m_catalog.members().end()) {
        pending->isAnswered = true;
        return;
    }
    m_hooks.ask(member->second.rpcAddress, call, [this, coordinator, pending](std::optional<AdmissionReply> reply) {
        asio::post(m_context,
            [this, coordinator, pending, reply = std::move(reply)] { receive(coordinator, pending, reply); });
    });
}

awaitable<std::optional<Admission::Reply>> Admission::acquire(
    AdmissionCall call, DomainId domain, std::shared_ptr<net::Cancellation> cancellation)
{
    updateMembers();
    auto subject = subjectOf({ call.subject, call.domain });
    auto coordinator = m_coordinators.coordinatorOf(subject, domain, monotonicNow());
    if (!coordinator)
        co_return std::nullopt;
    m_hooks.metrics->countAdmission(daemon::AdmissionStep::asked);
    auto pending = std::make_shared<Pending>(m_context);
    ask(*coordinator, call, pending);
    if (!pending->isAnswered && !cancellation->isCancelled()) {
        m_pending.insert(pending);
        pending->timer.expires_after(call.maxWait + answerMargin);
        auto registered = cancellation->add([pending] { pending->timer.cancel(); });
        boost::system::error_code ec;
        co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        cancellation->remove(registered);
        m_pending.erase(pending);
    }
    pending->isAbandoned = true;
    if (!pending->isAnswered && cancellation->isCancelled())
        co_return Reply {};
    if (!pending->reply) {
        m_hooks.metrics->countAdmission(daemon::AdmissionStep::fallback);
        if (m_coordinators.suspect(*coordinator, monotonicNow()))
            logEvent(LogLevel::info, LogEvent::coordinatorUnanswered,
                { { "subject", subject }, { "coordinator", *coordinator } });
        co_return std::nullopt;
    }
    const auto& reply = *pending->reply;
    if (!reply.isAdmitted) {
        m_hooks.metrics->countAdmission(daemon::AdmissionStep::refused);
        co_return Reply { {}, reply.retryAfter };
    }
    m_hooks.metrics->countAdmission(daemon::AdmissionStep::granted);
    co_return Reply { Grant { reply.server, reply.workId, *coordinator }, {} };
}

void Admission::end(const Grant& grant, const AdmissionResult& result)
{
    AdmissionNotice notice { grant.server, grant.workId, result };
    if (grant.coordinator == m_options.self) {
        noteEnded(notice);
        return;
    }
    auto member = m_catalog.members().find(grant.coordinator);
    if (member != m_catalog.members().end())
        m_hooks.notify(member->second.rpcAddress, std::move(notice));
}

Admission::Group& Admission::groupOf(const GroupId& id)
{
    auto it = m_groups.find(id);
    if (it == m_groups.end()) {
        SharedAdmission::Options options;
        options.extraInFlight = extraInFlight;
        options.shedBackoff = shedBackoff;
        it = m_groups.emplace(id, Group(SharedAdmission::create(std::move(options)))).first;
    }
    it->second.usedAt = monotonicNow();
    updateServers(id, it->second);
    return it->second;
}

void Admission::updateServers(const GroupId& id, Group& group)
{
    auto now = monotonicNow();
    if (now - group.serversAt < serversInterval)
        return;
    group.serversAt = now;
    std::vector<SharedAdmission::Server> servers;
    auto add = [&](const KnownServer& server) {
        bool isCold = now < server.warmUntil;
        servers.push_back({ server.entry.run.id, std::max(1U, server.entry.slots),
            isCold || !m_hooks.isReachable(server.entry.run) });
    };
    if (id.second.empty()) {
        if (const auto* server = m_catalog.servers().find(id.first))
            add(*server);
    } else {
        for (const auto* it : m_catalog.readyServers(id.first)) {
            if (it->entry.domain == id.second)
                add(*it);
        }
    }
    group.admission.setServers(servers);
}

void Admission::answer(const AdmissionCall& call, std::function<void(AdmissionReply)> done)
{
    auto now = monotonicNow();
    GroupId id { call.subject, call.domain };
    auto& group = groupOf(id);
    auto workId = ++m_lastWorkId;
    group.waiters[workId] = std::move(done);
    group.admission.offer(workId,
        { call.priority, now + call.untilTarget, now + call.untilDeadline, now + call.maxWait, call.avoided }, now);
    decide(id, group);
}

void Admission::noteEnded(const AdmissionNotice& notice)
{
    const auto* server = m_catalog.servers().find(notice.server);
    if (!server)
        return;
    auto state = m_catalog.desiredState();
    const auto* service = state ? state->service(server->entry.service) : nullptr;
    GroupId id { notice.server, {} };
    if (service && !service->isSharded)
        id = { server->entry.service, server->entry.domain };
    auto it = m_groups.find(id);
    if (it == m_groups.end())
        return;
    it->second.admission.ended(notice.server, notice.workId, notice.result, monotonicNow());
    decide(id, it->second);
}

void Admission::decide(const GroupId& id, Group& group)
{
    auto decisions = group.admission.decide(monotonicNow());
    if (group.admission.waiting() > 0 && !group.isWakeLoopRunning) {
        group.isWakeLoopRunning = true;
        asio::co_spawn(m_context, wakeLoop(id), asio::detached);
    }
    updateQueueMetric();
    // The callbacks may offer further requests or end admissions.
    std::vector<std::pair<std::function<void(AdmissionReply)>, AdmissionReply>> replies;
    for (auto& it : decisions) {
        auto waiter = group.waiters.extract(it.id);
        if (!waiter.empty())
            replies.emplace_back(std::move(waiter.mapped()),
                AdmissionReply { it.isAdmitted, std::move(it.server), it.id, it.retryAfter });
    }
    for (auto& it : replies)
        it.first(std::move(it.second));
}

awaitable<void> Admission::wakeLoop(GroupId id)
{
    while (true) {
        auto it = m_groups.find(id);
        if (it == m_groups.end())
            co_return;
        auto now = monotonicNow();
        auto due = it->second.admission.nextDue(now);
        if (!due) {
            it->second.isWakeLoopRunning = false;
            co_return;
        }
        co_await daemon::sleepFor(m_context, *due - now);
        it = m_groups.find(id);
        if (it == m_groups.end())
            co_return;
        updateServers(id, it->second);
        decide(id, it->second);
    }
}

void Admission::updateQueueMetric()
{
    std::size_t waiting = 0;
    for (const auto& it : m_groups)
        waiting += it.second.admission.waiting();
    m_hooks.metrics->setAdmissionQueue(waiting);
}

void Admission::refuseWaiting()
{
    for (const auto& it : m_pending) {
        if (!it->isAnswered)
            it->reply = AdmissionReply {};
        it->isAnswered = true;
        it->isAbandoned = true;
        it->timer.cancel();
    }
    for (auto& it : m_groups) {
        for (auto& waiter : std::exchange(it.second.waiters, {})) {
            it.second.admission.withdraw(waiter.first);
            waiter.second({});
        }
    }
}

void Admission::prune()
{
    auto now = monotonicNow();
    std::erase_if(m_groups, [&](const auto& it) {
        const auto& group = it.second;
        bool isBusy = !group.waiters.empty() || group.isWakeLoopRunning;
        return !isBusy && now - group.usedAt > forgetAfter;
    });
}

} // namespace acaciagauge::entry
