#include "key_ownership_simulation.hpp"

namespace acaciagauge::test {

using namespace std::chrono_literals;

namespace {

    const ServiceName service = "auction";
    constexpr auto leaseTime = 3s;
    constexpr auto tickEvery = 20ms;
    constexpr KeyNumber keyStep = 911; // Spreads the watched keys over all chunks.

} // namespace

KeyOwnershipSimulation::KeyOwnershipSimulation(Options options)
    : m_options(options)
    , m_random(options.seed)
    , m_now(TimePoint(1h))
{
    for (KeyNumber key = 0; key <= lastKey; key += keyStep)
        m_keys.push_back(key);
    for (std::size_t n = 0; n < options.servers; ++n)
        add();
    tick();
}

void KeyOwnershipSimulation::at(TimePoint when, std::function<void()> work)
{
    m_events.emplace(when, std::move(work));
}

bool KeyOwnershipSimulation::chance(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

Duration KeyOwnershipSimulation::between(Duration low, Duration high)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(low.count(), high.count())(m_random));
}

void KeyOwnershipSimulation::run(Duration duration)
{
    auto end = m_now + duration;
    while (!m_events.empty() && m_events.begin()->first <= end && m_problem.empty()) {
        auto event = m_events.begin();
        m_now = std::max(m_now, event->first);
        auto work = std::move(event->second);
        m_events.erase(event);
        work();
    }
    m_now = std::max(m_now, end);
}

// The shell around a keeper: takes the duty over, ticks, and drops it when the lease has run out.
void KeyOwnershipSimulation::tick()
{
    if (m_controller && !m_isStoreDown) {
        m_leaseUntil = m_now + leaseTime;
        m_controller->authorityUntil = m_now + leaseTime - 250ms;
    }
    if (m_controller && m_now >= m_controller->authorityUntil)
        m_controller.reset();
    if (!m_controller && !m_isStoreDown && m_now >= m_leaseUntil)
        takeOver();
    tell(KeyTick {});
    at(m_now + tickEvery, [this] { tick(); });
}

void KeyOwnershipSimulation::takeOver()
{
    ++m_epoch;
    auto recorded = KeyOwnerMap::create();
    std::map<ChunkId, std::uint64_t> revisions;
    for (const auto& it : m_chunks) {
        recorded.set(it.first, it.second.content);
        revisions[it.first] = it.second.revision;
    }
    auto keeper = KeyAssigner::create(m_options.keeper, m_epoch, recorded, m_now);
    m_controller.emplace(Controller { std::move(keeper), m_epoch, revisions, m_now + leaseTime - 250ms });
    m_leaseUntil = m_now + leaseTime;
    tell(KeyServicesChanged { { service } });
    tellServers();
}

void KeyOwnershipSimulation::tell(const KeyEvent& event)
{
    if (!m_controller)
        return;
    for (const auto& it : m_controller->keeper.handle(event, m_now))
        perform(it);
}

void KeyOwnershipSimulation::tellServers()
{
    KeyServersChanged changed;
    for (const auto& it : m_servers) {
        auto standing = !it.isListed ? ServerStatus::gone
            : it.entry.draining      ? ServerStatus::draining
                                     : ServerStatus::ready;
        changed.servers.push_back({ it.entry, standing, m_now, m_now });
    }
    tell(changed);
}

void KeyOwnershipSimulation::perform(const KeyAction& action)
{
    auto epoch = m_controller->epoch;
    if (const auto* grant = std::get_if<SendKeyGrant>(&action))
        deliverGrant(*grant, epoch);
    else if (const auto* release = std::get_if<SendKeyRelease>(&action))
        deliverRelease(*release, epoch);
    else if (const auto* chunks = std::get_if<WriteOwnerChunks>(&action))
        write(*chunks, epoch);
}

void KeyOwnershipSimulation::answer(Epoch epoch, KeyOrderEnded ended, Duration after)
{
    at(m_now + after, [this, epoch, ended] {
        if (m_controller && m_controller->epoch == epoch)
            tell(ended);
    });
}

KeyOwnershipSimulation::Server* KeyOwnershipSimulation::serverAt(const std::string& address)
{
    for (auto& it : m_servers) {
        if (it.isUp && it.entry.address == address)
            return &it;
    }
    return nullptr;
}

KeyOrderOutcome KeyOwnershipSimulation::applyGrant(Server& server, const SendKeyGrant& order, TimePoint arrived)
{
    for (auto key : m_keys) {
        if (order.range.contains(key) && server.seen[key] > order.fence)
            return KeyOrderOutcome::staleFence;
    }
    auto until = arrived + withMargin(order.duration, server.clockRate - 1);
    for (auto key : m_keys) {
        // An order that is carried out after its time gives nothing.
        if (!order.range.contains(key) || until <= m_now)
            continue;
        auto& holder = m_highestHolder[key];
        if (holder != server.entry.run && m_highestFence[key] >= order.fence && m_problem.empty())
            m_problem = "key " + std::to_string(key) + ": fence does not rise at " + server.entry.run.id;
        if (order.fence >= m_highestFence[key]) {
            m_highestFence[key] = order.fence;
            holder = server.entry.run;
        }
        server.seen[key] = order.fence;
        server.held[key] = { order.fence, until };
    }
    look("grant to " + server.entry.run.id);
    return KeyOrderOutcome::done;
}

void KeyOwnershipSimulation::deliverGrant(SendKeyGrant order, Epoch epoch)
{
    auto timeout = m_options.keeper.orderTimeout;
    bool isLost = chance(m_lostRequests);
    auto transit = chance(m_slowOrders) ? between(20ms, 20s) : between(500us, 20ms);
    // The sender gives up after its timeout, and resets the connection.
    bool isAbandoned = transit > timeout;
    if (isAbandoned) {
        answer(epoch, { order.orderId, KeyOrderOutcome::unanswered, {} }, timeout);
        if (!m_options.abandonedOrdersArrive)
            return;
    }
    at(m_now + transit, [this, order, epoch, timeout, isLost] {
        auto* server = serverAt(order.address);
        KeyOrderEnded ended { order.orderId, KeyOrderOutcome::unanswered, {} };
        if (!server || server->isCut || isLost)
            return answer(epoch, ended, timeout - 20ms);
        if (server->entry.run.id != order.server.id) {
            ended.outcome = KeyOrderOutcome::wrongServer;
            return answer(epoch, ended, 2ms);
        }
        auto arrived = m_now;
        auto life = server->life;
        if (chance(m_lateOrders)) {
            at(m_now + between(2s, 12s), [this, order, arrived, life] {
                auto* late = serverAt(order.address);
                if (late && late->life == life)
                    applyGrant(*late, order, arrived);
            });
            return answer(epoch, ended, timeout - 20ms);
        }
        ended.outcome = applyGrant(*server, order, arrived);
        bool isAnswerLost = chance(m_lostAnswers);
        if (isAnswerLost)
            ended.outcome = KeyOrderOutcome::unanswered;
        answer(epoch, ended, isAnswerLost ? timeout - 20ms : between(500us, 20ms));
    });
}

void KeyOwnershipSimulation::deliverRelease(SendKeyRelease order, Epoch epoch)
{
    bool isLost = chance(m_lostRequests);
    at(m_now + between(500us, 20ms), [this, order, epoch, isLost] {
        auto* server = serverAt(order.address);
        KeyOrderEnded ended { order.orderId, KeyOrderOutcome::unanswered, {} };
        if (!server || server->isCut || isLost)
            return answer(epoch, ended, 4s);
        if (server->entry.run.id != order.server.id) {
            ended.outcome = KeyOrderOutcome::wrongServer;
            return answer(epoch, ended, 2ms);
        }
        for (auto key : m_keys) {
            if (order.range.contains(key))
                server->held.erase(key);
        }
        ended.outcome = KeyOrderOutcome::done;
        ended.handover = "handover";
        bool isAnswerLost = chance(m_lostAnswers);
        if (isAnswerLost)
            ended.outcome = KeyOrderOutcome::unanswered;
        answer(epoch, ended, isAnswerLost ? Duration(4s) : between(1ms, 300ms));
    });
}

bool KeyOwnershipSimulation::applyWrite(
    const WriteOwnerChunks& write, Epoch epoch, const std::map<ChunkId, std::uint64_t>& expected)
{
    bool isController = epoch == m_epoch && m_now < m_leaseUntil;
    if (!isController || m_isStoreDown)
        return false;
    for (const auto& it : expected) {
        if (m_chunks[it.first].revision != it.second)
            return false;
    }
    ++m_revision;
    for (const auto& it : write.chunks)
        m_chunks[it.first] = { it.second, m_revision };
    return true;
}

void KeyOwnershipSimulation::write(WriteOwnerChunks chunks, Epoch epoch)
{
    std::map<ChunkId, std::uint64_t> expected;
    for (const auto& it : chunks.chunks)
        expected[it.first] = m_controller->revisions[it.first];
    bool isLate = chance(m_lateWrites);
    auto done = [this, chunks, epoch, expected](bool isAnswered) {
        bool isWritten = applyWrite(chunks, epoch, expected);
        if (!isAnswered || !m_controller || m_controller->epoch != epoch)
            return;
        // On conflict the store's answer carries the present revisions.
        for (const auto& it : chunks.chunks)
            m_controller->revisions[it.first] = m_chunks[it.first].revision;
        tell(OwnerWriteEnded { isWritten });
    };
    if (!isLate) {
        at(m_now + between(2ms, 30ms), [done] { done(true); });
        return;
    }
    at(m_now + between(1s, 4s), [done] { done(false); });
    at(m_now + 800ms, [this, epoch] {
        if (m_controller && m_controller->epoch == epoch)
            tell(OwnerWriteEnded { false });
    });
}

void KeyOwnershipSimulation::look(const std::string& after)
{
    for (auto key : m_keys) {
        const Server* holder = nullptr;
        for (const auto& it : m_servers) {
            auto held = it.held.find(key);
            if (!it.isUp || held == it.held.end() || held->second.until <= m_now)
                continue;
            if (holder && m_problem.empty())
                m_problem = "key " + std::to_string(key) + " is held by " + holder->entry.run.id + " and "
                    + it.entry.run.id + " after " + after;
            holder = &it;
        }
    }
}

void KeyOwnershipSimulation::storeDown(bool down)
{
    m_isStoreDown = down;
}

void KeyOwnershipSimulation::crash(std::size_t n)
{
    auto& server = m_servers[n];
    server.isUp = false;
    server.held.clear();
    server.seen.clear();
    at(m_now + 2600ms, [this, n] {
        if (!m_servers[n].isUp)
            setListed(n, false);
    });
}

void KeyOwnershipSimulation::restart(std::size_t n)
{
    auto& server = m_servers[n];
    server.held.clear();
    server.seen.clear();
    server.life = ++m_starts;
    server.isUp = false;
    // Two processes never share an address.
    if (serverAt(server.entry.address))
        server.entry.address = "10.0.1." + std::to_string(++m_starts) + ":80";
    server.isUp = true;
    at(m_now + between(50ms, 500ms), [this, n, started = ++m_starts] {
        m_servers[n].entry.run.startedMs = started;
        m_servers[n].entry.draining = false;
        setListed(n, true);
    });
}

void KeyOwnershipSimulation::reuseAddress(std::size_t n)
{
    crash(n);
    auto address = m_servers[n].entry.address;
    at(m_now + 2s, [this, n, address] {
        if (serverAt(address))
            return;
        add();
        m_servers.back().entry.address = address;
        m_servers.back().entry.service = "another";
        tellServers();
    });
}

void KeyOwnershipSimulation::setDraining(std::size_t n, bool draining)
{
    m_servers[n].entry.draining = draining;
    tellServers();
}

void KeyOwnershipSimulation::setListed(std::size_t n, bool listed)
{
    m_servers[n].isListed = listed;
    tellServers();
}

void KeyOwnershipSimulation::add()
{
    Server server;
    auto number = std::to_string(m_servers.size());
    server.entry.run = { "s" + number, ++m_starts };
    server.life = m_starts;
    server.entry.service = service;
    server.entry.address = "10.0.0." + number + ":80";
    server.entry.slots = 2;
    server.clockRate = 1.0 + 0.02 * std::uniform_real_distribution<double>(0, 1)(m_random);
    m_servers.push_back(server);
    tellServers();
}

void KeyOwnershipSimulation::heat(KeyNumber key, unsigned requests)
{
    LoadReport report;
    report.keys[service][key] = requests;
    tell(KeyLoadReported { report });
}

void KeyOwnershipSimulation::repairAll()
{
    m_lostRequests = m_lostAnswers = m_lateOrders = m_slowOrders = m_lateWrites = 0;
    m_isStoreDown = false;
    for (std::size_t n = 0; n < m_servers.size(); ++n) {
        m_servers[n].isCut = false;
        m_servers[n].entry.draining = false;
        setListed(n, m_servers[n].isUp);
    }
}

std::optional<ServerId> KeyOwnershipSimulation::holder(KeyNumber key) const
{
    for (const auto& it : m_servers) {
        auto held = it.held.find(key);
        if (it.isUp && held != it.held.end() && held->second.until > m_now)
            return it.entry.run.id;
    }
    return std::nullopt;
}

std::optional<ServerId> KeyOwnershipSimulation::recordedOwner(KeyNumber key) const
{
    auto map = KeyOwnerMap::create();
    for (const auto& it : m_chunks)
        map.set(it.first, it.second.content);
    const auto* owner = map.find(service, key);
    return owner ? std::optional(owner->owner.id) : std::nullopt;
}

std::size_t KeyOwnershipSimulation::servedKeys() const
{
    std::size_t served = 0;
    for (auto key : m_keys) {
        auto owner = holder(key);
        served += owner && owner == recordedOwner(key);
    }
    return served;
}

} // namespace acaciagauge::test
