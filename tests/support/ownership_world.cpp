#include "ownership_world.hpp"

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace acaciagauge::test {

namespace {

    constexpr Duration linkLatency = std::chrono::milliseconds(1);
    constexpr Duration tickInterval = std::chrono::milliseconds(10);
    const std::string storeName = "store";

    /// Prints each order when ACACIAGAUGE_TRACE is set, for reading a shrunk counterexample.
    const bool isTraced = std::getenv("ACACIAGAUGE_TRACE") != nullptr;

    std::string itemsText(const DomainRecord& record)
    {
        std::ostringstream text;
        for (const auto& it : record.items)
            text << it.first.partition << '=' << it.second.server << '@' << it.second.fence.epoch << '.'
                 << it.second.fence.sequence << ' ';
        return text.str();
    }

} // namespace

OwnershipWorld::OwnershipWorld(Options options)
    : m_options(options)
    , m_instances(options.instances)
    , m_servers(options.servers)
{
    for (std::size_t n = 0; n < m_servers.size(); ++n) {
        m_servers[n].checksFences = !(m_options.someServersIgnoreFences && n % 3 == 2);
        m_servers[n].rate = (n % 2 ? 0.004 : -0.004);
        restartServer(n);
    }
    for (std::size_t n = 0; n < m_instances.size(); ++n) {
        m_instances[n].rate = (n % 2 ? -0.004 : 0.004);
        restartInstance(n);
    }
}

void OwnershipWorld::restartServer(std::size_t n)
{
    auto& server = m_servers[n];
    if (server.table)
        return;
    server.incarnation = ++m_lastIncarnation;
    GrantTable::Options options;
    options.incarnation = server.incarnation;
    options.checksFences = server.checksFences;
    server.table = GrantTable::create(options);
}

void OwnershipWorld::restartInstance(std::size_t n)
{
    auto& instance = m_instances[n];
    if (instance.agent)
        return;
    instance.incarnation = ++m_lastIncarnation;
    instance.leaving = false;
    Agent::Options options;
    options.self = { instanceName(n), instance.incarnation };
    options.domain = "d";
    options.timing = m_options.timing;
    options.planner
        = [](const PlanInput& input) { return planIncremental(input, [](const ServiceName&) { return 0.0; }); };
    instance.agent = Agent::create(options, localNow(instance.rate)).value();
    instance.nextTick = m_now + Duration(1000 * static_cast<Duration::rep>(n));
    InstancesListed listed;
    for (std::size_t it = 0; it < m_instances.size(); ++it)
        listed.instances.push_back(instanceName(it));
    feed(n, instance.incarnation, listed);
    tellPlan(n);
}

void OwnershipWorld::tellPlan(std::size_t n)
{
    DomainPlan plan;
    for (std::uint32_t it = 0; it < m_options.items; ++it)
        plan.items.insert(itemAt(it));
    for (std::size_t it = 0; it < m_servers.size(); ++it)
        plan.servers.push_back({ serverName(it), "lots", 1, m_servers[it].checksFences, m_servers[it].leaving });
    feed(n, m_instances[n].incarnation, plan);
}

void OwnershipWorld::setServerLeaving(std::size_t n, bool leaving)
{
    m_servers[n].leaving = leaving;
    for (std::size_t it = 0; it < m_instances.size(); ++it) {
        if (m_instances[it].agent)
            tellPlan(it);
    }
}

void OwnershipWorld::killInstance(std::size_t n)
{
    m_instances[n].agent.reset();
}

void OwnershipWorld::leaveInstance(std::size_t n)
{
    if (!m_instances[n].agent)
        return;
    m_instances[n].leaving = true;
    feed(n, m_instances[n].incarnation, Leave {});
}

void OwnershipWorld::cutBoth(const std::string& a, const std::string& b)
{
    cut(a, b);
    cut(b, a);
}

void OwnershipWorld::heal(bool dropHeld)
{
    m_cuts.clear();
    m_latency.clear();
    if (dropHeld)
        std::erase_if(m_held, [](const Parcel& it) { return it.from != storeName; });
}

void OwnershipWorld::repairAll()
{
    heal(false);
    m_storeDown = false;
    m_loseAnswer = false;
    m_writeDelay.reset();
    for (std::size_t n = 0; n < m_servers.size(); ++n) {
        wakeServer(n);
        restartServer(n);
    }
    for (std::size_t n = 0; n < m_instances.size(); ++n) {
        wakeInstance(n);
        if (m_instances[n].leaving)
            killInstance(n);
        restartInstance(n);
    }
}

void OwnershipWorld::post(const std::string& from, const std::string& to, std::function<void()> deliver)
{
    auto latency = m_latency.find({ from, to });
    auto due = m_now + (latency == m_latency.end() ? linkLatency : latency->second);
    m_parcels.push({ due, ++m_order, from, to, std::move(deliver) });
}

// A cut link holds what was sent, as TCP does; a paused process finds it in its buffers.
bool OwnershipWorld::isBlocked(const Parcel& parcel) const
{
    if (m_cuts.contains({ parcel.from, parcel.to }))
        return true;
    if (parcel.to[0] == 'i')
        return m_instances[indexOf(parcel.to)].paused;
    return parcel.to != storeName && m_servers[indexOf(parcel.to)].frozen;
}

void OwnershipWorld::run(Duration duration)
{
    auto end = m_now + duration;
    while (m_violation.empty()) {
        auto released
            = std::partition(m_held.begin(), m_held.end(), [this](const Parcel& it) { return isBlocked(it); });
        for (auto it = released; it != m_held.end(); ++it) {
            it->due = m_now;
            m_parcels.push(std::move(*it));
        }
        m_held.erase(released, m_held.end());
        auto next = end;
        for (const auto& it : m_instances) {
            if (it.agent && !it.paused)
                next = std::min(next, std::max(it.nextTick, m_now));
        }
        if (!m_parcels.empty())
            next = std::min(next, std::max(m_parcels.top().due, m_now));
        if (next >= end) {
            m_now = end;
            check();
            return;
        }
        m_now = next;
        applyDelayedWrites();
        for (std::size_t n = 0; n < m_instances.size(); ++n) {
            auto& it = m_instances[n];
            if (!it.agent || it.paused || it.nextTick > m_now)
                continue;
            it.nextTick = m_now + tickInterval;
            feed(n, it.incarnation, Tick {});
        }
        while (!m_parcels.empty() && m_parcels.top().due <= m_now) {
            auto parcel = m_parcels.top();
            m_parcels.pop();
            if (isBlocked(parcel))
                m_held.push_back(std::move(parcel));
            else
                parcel.deliver();
        }
        check();
    }
}

void OwnershipWorld::feed(std::size_t n, Incarnation incarnation, const Event& event)
{
    auto& instance = m_instances[n];
    if (!instance.agent || instance.incarnation != incarnation)
        return;
    for (const auto& it : instance.agent->handle(event, localNow(instance.rate)))
        perform(n, it);
}

void OwnershipWorld::perform(std::size_t n, const Action& action)
{
    if (const auto* peer = std::get_if<SendPeer>(&action))
        sendPeer(n, *peer);
    else if (const auto* server = std::get_if<SendServer>(&action))
        sendServer(n, *server);
    else if (const auto* read = std::get_if<ReadRecord>(&action))
        readStore(n, *read);
    else if (const auto* write = std::get_if<WriteRecord>(&action))
        writeStore(n, *write);
    else
        checkPublished(std::get<Publish>(action));
}

void OwnershipWorld::sendPeer(std::size_t n, const SendPeer& action)
{
    auto from = instanceName(n);
    auto incarnation = m_instances[n].incarnation;
    post(from, action.to, [this, n, from, incarnation, action] {
        auto to = indexOf(action.to);
        if (m_instances[to].agent)
            return feed(to, m_instances[to].incarnation, PeerReceived { action.message });
        Member dead { action.to, m_instances[to].incarnation };
        post(action.to, from, [this, n, incarnation, dead] { feed(n, incarnation, PeerDied { dead }); });
    });
}

void OwnershipWorld::traceOrder(const std::string& from, const SendServer& action, const ServerAnswer& answer) const
{
    static const char* const kinds[] = { "hello", "inventory", "renew", "grant", "revoke" };
    std::cout << m_now.time_since_epoch().count() << ' ' << from << "->" << action.server << ' '
              << kinds[static_cast<int>(action.order.kind)] << " epoch " << action.order.epoch << " fence "
              << action.order.fence.epoch << '.' << action.order.fence.sequence << " items";
    for (const auto& it : action.order.items)
        std::cout << ' ' << it.partition;
    std::cout << " : " << nameOf(answer.code) << " held";
    for (const auto& it : answer.held)
        std::cout << ' ' << it.first.partition;
    std::cout << '\n';
}

void OwnershipWorld::sendServer(std::size_t n, const SendServer& action)
{
    auto from = instanceName(n);
    auto incarnation = m_instances[n].incarnation;
    post(from, action.server, [this, n, from, incarnation, action] {
        auto& server = m_servers[indexOf(action.server)];
        Event event = ServerDied { action.server, action.sequence };
        if (server.table) {
            auto answer = server.table->handle(action.order, localNow(server.rate));
            if (isTraced)
                traceOrder(from, action, answer);
            event = ServerAnswered { action.server, action.sequence, answer };
        }
        post(action.server, from, [this, n, incarnation, event] { feed(n, incarnation, event); });
    });
}

void OwnershipWorld::readStore(std::size_t n, const ReadRecord& action)
{
    auto from = instanceName(n);
    auto incarnation = m_instances[n].incarnation;
    bool reaches = !m_storeDown && !m_cuts.contains({ from, storeName }) && !m_cuts.contains({ storeName, from });
    auto answer = [this, n, from, incarnation](StoreAnswered event) {
        post(storeName, from, [this, n, incarnation, event] { feed(n, incarnation, event); });
    };
    if (!reaches)
        return answer({ action.sequence, StoreOutcome::unavailable, 0, std::nullopt });
    post(from, storeName, [this, answer, action] {
        answer({ action.sequence, StoreOutcome::ok, m_record ? m_revision : 0, m_record });
    });
}

bool OwnershipWorld::applyWrite(std::uint64_t expected, const DomainRecord& record)
{
    if (expected != (m_record ? m_revision : 0))
        return false;
    m_record = record;
    ++m_revision;
    m_storedItems.insert({ record.epoch(), itemsText(record) });
    return true;
}

void OwnershipWorld::writeStore(std::size_t n, const WriteRecord& action)
{
    auto from = instanceName(n);
    auto incarnation = m_instances[n].incarnation;
    auto answer = [this, n, from, incarnation, action](StoreOutcome outcome) {
        StoreAnswered event { action.sequence, outcome, m_revision, std::nullopt };
        post(storeName, from, [this, n, incarnation, event] { feed(n, incarnation, event); });
    };
    if (m_storeDown || m_cuts.contains({ from, storeName }))
        return answer(StoreOutcome::unavailable);
    if (m_writeDelay) {
        m_delayedWrites.push_back({ m_now + *m_writeDelay, action.expectedRevision, action.record });
        m_writeDelay.reset();
        return answer(StoreOutcome::unknown);
    }
    bool loses = m_loseAnswer || m_cuts.contains({ storeName, from });
    m_loseAnswer = false;
    post(from, storeName, [this, answer, action, loses] {
        bool done = applyWrite(action.expectedRevision, action.record);
        answer(loses ? StoreOutcome::unknown : done ? StoreOutcome::ok : StoreOutcome::conflict);
    });
}

void OwnershipWorld::applyDelayedWrites()
{
    for (const auto& it : m_delayedWrites) {
        if (it.due <= m_now)
            applyWrite(it.expected, it.record);
    }
    std::erase_if(m_delayedWrites, [this](const StoredWrite& it) { return it.due <= m_now; });
}

void OwnershipWorld::checkPublished(const Publish& action)
{
    if (!action.committed || m_storedItems.contains({ action.record.epoch(), itemsText(action.record) }))
        return;
    m_violation = "told as made, but never stored: epoch " + std::to_string(action.record.epoch()) + " "
        + itemsText(action.record);
}

std::vector<std::size_t> OwnershipWorld::ownersOf(const Item& item) const
{
    std::vector<std::size_t> owners;
    for (std::size_t n = 0; n < m_servers.size(); ++n) {
        const auto& it = m_servers[n];
        if (it.table && !it.frozen && it.table->mayRun(item, localNow(it.rate)))
            owners.push_back(n);
    }
    return owners;
}

void OwnershipWorld::check()
{
    for (std::uint32_t it = 0; it < m_options.items; ++it) {
        auto item = itemAt(it);
        auto owners = ownersOf(item);
        if (owners.size() > 1 && m_violation.empty())
            m_violation = "item " + std::to_string(it) + " runs at " + serverName(owners[0]) + " and "
                + serverName(owners[1]) + " at " + std::to_string(m_now.time_since_epoch().count()) + " us";
        if (owners.empty()) {
            m_gapStart.emplace(item, m_now);
            auto& longest = m_longestGap[item];
            longest = std::max(longest, m_now - m_gapStart[item]);
            continue;
        }
        m_gapStart.erase(item);
        auto last = m_lastOwner.find(item);
        m_ownerChanges += last != m_lastOwner.end() && last->second != owners[0];
        m_lastOwner[item] = owners[0];
    }
}

std::size_t OwnershipWorld::itemsServed() const
{
    std::size_t served = 0;
    for (std::uint32_t it = 0; it < m_options.items; ++it)
        served += ownersOf(itemAt(it)).size() == 1;
    return served;
}

std::optional<std::size_t> OwnershipWorld::controllerIndex() const
{
    std::optional<std::size_t> index;
    Epoch epoch = 0;
    for (std::size_t n = 0; n < m_instances.size(); ++n) {
        const auto& it = m_instances[n];
        if (!it.agent || it.agent->role() != AgentRole::controller || it.agent->epoch() < epoch)
            continue;
        epoch = it.agent->epoch();
        index = n;
    }
    return index;
}

std::vector<std::size_t> OwnershipWorld::renewers() const
{
    std::vector<std::size_t> indices;
    for (const auto& it : m_record->renewers.members)
        indices.push_back(indexOf(it.id));
    return indices;
}

Duration OwnershipWorld::longestGap() const
{
    Duration longest { 0 };
    for (const auto& it : m_longestGap)
        longest = std::max(longest, it.second);
    return longest;
}

void OwnershipWorld::resetGaps()
{
    m_longestGap.clear();
    m_gapStart.clear();
}

std::string OwnershipWorld::describe() const
{
    std::ostringstream text;
    for (std::size_t n = 0; n < m_instances.size(); ++n) {
        const auto& it = m_instances[n];
        text << instanceName(n) << ": ";
        if (!it.agent) {
            text << "dead\n";
            continue;
        }
        text << "role " << static_cast<int>(it.agent->role()) << " epoch " << it.agent->epoch() << " authority "
             << it.agent->hasAuthority(localNow(it.rate)) << " paused " << it.paused << " servers";
        for (const auto& state : it.agent->serverStates())
            text << ' ' << state.first << '=' << state.second;
        text << '\n';
    }
    if (m_record)
        text << "stored: epoch " << m_record->epoch() << " former " << m_record->former.size() << ' '
             << itemsText(*m_record) << '\n';
    return text.str();
}

} // namespace acaciagauge::test
