#include "key_ownership_simulation.hpp"

namespace acaciagauge::test {

using namespace std::chrono_literals;

namespace {

    constexpr auto leaseDuration = 3s;
    constexpr auto tickInterval = 20ms;
    constexpr KeyNumber sampleStep = 911; // Puts sampled keys into every chunk.

} // namespace

const ServiceName KeyOwnershipSimulation::service = "auction";

KeyOwnershipSimulation::KeyOwnershipSimulation(Options options)
    : m_options(options)
    , m_random(options.seed)
    , m_now(TimePoint(1h))
{
    for (KeyNumber key = 0; key <= lastKey; key += sampleStep)
        m_sampledKeys.push_back(key);
    for (std::size_t n = 0; n < options.servers; ++n)
        addServer();
    tick();
}

void KeyOwnershipSimulation::schedule(TimePoint when, std::function<void()> work)
{
    m_scheduledEvents.emplace(when, std::move(work));
}

bool KeyOwnershipSimulation::randomBool(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

Duration KeyOwnershipSimulation::randomDuration(Duration low, Duration high)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(low.count(), high.count())(m_random));
}

void KeyOwnershipSimulation::run(Duration duration)
{
    auto end = m_now + duration;
    while (!m_scheduledEvents.empty() && m_scheduledEvents.begin()->first <= end && m_violation.empty()) {
        auto event = m_scheduledEvents.begin();
        m_now = std::max(m_now, event->first);
        auto work = std::move(event->second);
        m_scheduledEvents.erase(event);
        work();
    }
    m_now = std::max(m_now, end);
}

// Stands in for the controller's role: starts a controller when the lease is free, sends it ticks, and drops it when
// its authority has ended.
void KeyOwnershipSimulation::tick()
{
    if (m_controller && !m_isStoreDown) {
        m_leaseUntil = m_now + leaseDuration;
        m_controller->authorityUntil = m_now + leaseDuration - 250ms;
    }
    if (m_controller && m_now >= m_controller->authorityUntil)
        m_controller.reset();
    if (!m_controller && !m_isStoreDown && m_now >= m_leaseUntil)
        startController();
    sendEvent(KeyTick {});
    schedule(m_now + tickInterval, [this] { tick(); });
}

void KeyOwnershipSimulation::startController()
{
    m_controllerEpoch = ++m_epoch;
    auto recorded = KeyOwnerMap::create();
    std::map<ChunkId, std::uint64_t> revisions;
    for (const auto& it : m_chunks) {
        recorded.set(it.first, it.second.content);
        revisions[it.first] = it.second.revision;
    }
    auto assigner = KeyAssigner::create(m_options.assigner, m_epoch, recorded, m_now);
    m_controller.emplace(Controller { std::move(assigner), m_epoch, revisions, m_now + leaseDuration - 250ms });
    m_leaseUntil = m_now + leaseDuration;
    sendEvent(KeyServicesChanged { { service } });
    sendServers();
}

void KeyOwnershipSimulation::sendEvent(const KeyEvent& event)
{
    if (!m_controller)
        return;
    for (const auto& it : m_controller->assigner.handle(event, m_now))
        perform(it);
}

void KeyOwnershipSimulation::sendServers()
{
    KeyServersChanged changed;
    for (const auto& it : m_servers) {
        auto status = !it.isListed ? ServerStatus::gone
            : it.entry.draining    ? ServerStatus::draining
                                   : ServerStatus::ready;
        changed.servers.push_back({ it.entry, status, m_now, m_now });
        if (it.isEvacuated)
            changed.servers.back().evacuatedSince = m_now;
    }
    sendEvent(changed);
}

void KeyOwnershipSimulation::perform(const KeyAction& action)
{
    auto epoch = m_controller->epoch;
    if (const auto* grant = std::get_if<SendKeyGrant>(&action))
        sendGrant(*grant, epoch);
    else if (const auto* release = std::get_if<SendKeyRelease>(&action))
        sendRelease(*release, epoch);
    else if (const auto* chunks = std::get_if<WriteOwnerChunks>(&action))
        write(*chunks, epoch);
}

void KeyOwnershipSimulation::respond(Epoch epoch, KeyOrderEnded ended, Duration after)
{
    schedule(m_now + after, [this, epoch, ended] {
        if (m_controller && m_controller->epoch == epoch)
            sendEvent(ended);
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
    for (auto key : m_sampledKeys) {
        if (order.range.contains(key) && server.highestFences[key] > order.fence)
            return KeyOrderOutcome::staleFence;
    }
    auto until = arrived + withMargin(order.duration, server.clockRate - 1);
    for (auto key : m_sampledKeys) {
        // A grant that is applied after its expiry has no effect.
        if (!order.range.contains(key) || until <= m_now)
            continue;
        auto& holder = m_highestFenceHolder[key];
        if (holder != server.entry.run && m_highestFence[key] >= order.fence && m_violation.empty())
            m_violation = "key " + std::to_string(key) + ": fence does not rise at " + server.entry.run.id;
        if (order.fence >= m_highestFence[key]) {
            m_highestFence[key] = order.fence;
            holder = server.entry.run;
        }
        server.highestFences[key] = order.fence;
        server.held[key] = { order.fence, until };
    }
    checkSingleHolder("grant to " + server.entry.run.id);
    return KeyOrderOutcome::done;
}

// A server without keys knows no orders and rejects them as malformed.
KeyOrderOutcome KeyOwnershipSimulation::outcomeAtWrongServer(const Server& server)
{
    return server.entry.service == service ? KeyOrderOutcome::wrongServer : KeyOrderOutcome::refused;
}

void KeyOwnershipSimulation::sendGrant(SendKeyGrant order, Epoch epoch)
{
    auto timeout = m_options.assigner.orderTimeout;
    bool isLost = randomBool(m_lostRequestShare);
    auto transit = randomBool(m_slowOrderShare) ? randomDuration(20ms, 20s) : randomDuration(500us, 20ms);
    // The sender gives up after its timeout and resets the connection.
    bool isAbandoned = transit > timeout;
    if (isAbandoned) {
        respond(epoch, { order.orderId, KeyOrderOutcome::unanswered, {} }, timeout);
        if (!m_options.deliverAbandonedOrders)
            return;
    }
    schedule(m_now + transit, [this, order, epoch, timeout, isLost] {
        auto* server = serverAt(order.address);
        KeyOrderEnded ended { order.orderId, KeyOrderOutcome::unanswered, {} };
        if (!server || server->isUnreachable || isLost)
            return respond(epoch, ended, timeout - 20ms);
        if (server->entry.run.id != order.server.id) {
            ended.outcome = outcomeAtWrongServer(*server);
            return respond(epoch, ended, 2ms);
        }
        auto arrived = m_now;
        auto processNumber = server->processNumber;
        if (randomBool(m_lateOrderShare)) {
            schedule(m_now + randomDuration(2s, 12s), [this, order, arrived, processNumber] {
                auto* late = serverAt(order.address);
                if (late && late->processNumber == processNumber)
                    applyGrant(*late, order, arrived);
            });
            return respond(epoch, ended, timeout - 20ms);
        }
        ended.outcome = applyGrant(*server, order, arrived);
        bool isResponseLost = randomBool(m_lostResponseShare);
        if (isResponseLost)
            ended.outcome = KeyOrderOutcome::unanswered;
        respond(epoch, ended, isResponseLost ? timeout - 20ms : randomDuration(500us, 20ms));
    });
}

void KeyOwnershipSimulation::sendRelease(SendKeyRelease order, Epoch epoch)
{
    bool isLost = randomBool(m_lostRequestShare);
    schedule(m_now + randomDuration(500us, 20ms), [this, order, epoch, isLost] {
        auto* server = serverAt(order.address);
        KeyOrderEnded ended { order.orderId, KeyOrderOutcome::unanswered, {} };
        if (!server || server->isUnreachable || isLost)
            return respond(epoch, ended, 4s);
        if (server->entry.run.id != order.server.id) {
            ended.outcome = outcomeAtWrongServer(*server);
            return respond(epoch, ended, 2ms);
        }
        for (auto key : m_sampledKeys) {
            if (order.range.contains(key))
                server->held.erase(key);
        }
        ended.outcome = KeyOrderOutcome::done;
        ended.handover = "handover";
        bool isResponseLost = randomBool(m_lostResponseShare);
        if (isResponseLost)
            ended.outcome = KeyOrderOutcome::unanswered;
        respond(epoch, ended, isResponseLost ? Duration(4s) : randomDuration(1ms, 300ms));
    });
}

bool KeyOwnershipSimulation::applyWrite(
    const WriteOwnerChunks& write, Epoch epoch, const std::map<ChunkId, std::uint64_t>& expected)
{
    bool isController = epoch == m_controllerEpoch && m_now < m_leaseUntil;
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
    bool isLate = randomBool(m_lateWriteShare);
    auto done = [this, chunks, epoch, expected](bool isResponseReceived) {
        bool isWritten = applyWrite(chunks, epoch, expected);
        if (!isResponseReceived || !m_controller || m_controller->epoch != epoch)
            return;
        // On a conflict the store's response contains the current revisions.
        for (const auto& it : chunks.chunks)
            m_controller->revisions[it.first] = m_chunks[it.first].revision;
        sendEvent(OwnerWriteEnded { isWritten });
    };
    if (!isLate) {
        schedule(m_now + randomDuration(2ms, 30ms), [done] { done(true); });
        return;
    }
    schedule(m_now + randomDuration(1s, 4s), [done] { done(false); });
    schedule(m_now + 800ms, [this, epoch] {
        if (m_controller && m_controller->epoch == epoch)
            sendEvent(OwnerWriteEnded { false });
    });
}

void KeyOwnershipSimulation::checkSingleHolder(const std::string& after)
{
    for (auto key : m_sampledKeys) {
        const Server* holder = nullptr;
        for (const auto& it : m_servers) {
            auto held = it.held.find(key);
            if (!it.isUp || held == it.held.end() || held->second.until <= m_now)
                continue;
            if (holder && m_violation.empty())
                m_violation = "key " + std::to_string(key) + " is held by " + holder->entry.run.id + " and "
                    + it.entry.run.id + " after " + after;
            holder = &it;
        }
    }
}

void KeyOwnershipSimulation::setStoreDown(bool down)
{
    m_isStoreDown = down;
}

void KeyOwnershipSimulation::crash(std::size_t n)
{
    auto& server = m_servers[n];
    server.isUp = false;
    server.held.clear();
    server.highestFences.clear();
    schedule(m_now + 2600ms, [this, n] {
        if (!m_servers[n].isUp)
            setListed(n, false);
    });
}

void KeyOwnershipSimulation::restart(std::size_t n)
{
    auto& server = m_servers[n];
    server.held.clear();
    server.highestFences.clear();
    server.processNumber = ++m_startCount;
    server.isUp = false;
    // Two processes never have the same address.
    if (serverAt(server.entry.address))
        server.entry.address = "10.0.1." + std::to_string(++m_startCount) + ":80";
    server.isUp = true;
    schedule(m_now + randomDuration(50ms, 500ms), [this, n, started = ++m_startCount] {
        m_servers[n].entry.run.startedMs = started;
        m_servers[n].entry.draining = false;
        setListed(n, true);
    });
}

void KeyOwnershipSimulation::reuseAddress(std::size_t n)
{
    crash(n);
    auto address = m_servers[n].entry.address;
    schedule(m_now + 2s, [this, n, address] {
        if (serverAt(address))
            return;
        addServer();
        m_servers.back().entry.address = address;
        m_servers.back().entry.service = "another";
        sendServers();
    });
}

void KeyOwnershipSimulation::addForeignEntry(std::size_t n, const ServiceName& name)
{
    auto address = m_servers[n].entry.address;
    addServer();
    m_servers.back().isUp = false;
    m_servers.back().entry.address = address;
    m_servers.back().entry.service = name;
    sendServers();
}

void KeyOwnershipSimulation::setDraining(std::size_t n, bool draining)
{
    m_servers[n].entry.draining = draining;
    sendServers();
}

void KeyOwnershipSimulation::setEvacuated(std::size_t firstServer, std::size_t endServer, bool evacuated)
{
    for (auto n = firstServer; n < endServer; ++n)
        m_servers[n].isEvacuated = evacuated;
    sendServers();
}

void KeyOwnershipSimulation::setListed(std::size_t n, bool listed)
{
    m_servers[n].isListed = listed;
    sendServers();
}

void KeyOwnershipSimulation::addServer()
{
    Server server;
    auto number = std::to_string(m_servers.size());
    server.entry.run = { "s" + number, ++m_startCount };
    server.processNumber = m_startCount;
    server.entry.service = service;
    server.entry.address = "10.0.0." + number + ":80";
    server.entry.slots = 2;
    server.clockRate = 1.0 + 0.02 * std::uniform_real_distribution<double>(0, 1)(m_random);
    m_servers.push_back(server);
    sendServers();
}

void KeyOwnershipSimulation::reportLoad(KeyNumber key, unsigned requests)
{
    LoadReport report;
    report.keys[service][key] = requests;
    reportLoad(std::move(report));
}

void KeyOwnershipSimulation::reportLoad(LoadReport report)
{
    sendEvent(KeyLoadReported { std::move(report) });
}

void KeyOwnershipSimulation::clearFaults()
{
    m_lostRequestShare = m_lostResponseShare = m_lateOrderShare = m_slowOrderShare = m_lateWriteShare = 0;
    m_isStoreDown = false;
    for (std::size_t n = 0; n < m_servers.size(); ++n) {
        m_servers[n].isUnreachable = false;
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

std::size_t KeyOwnershipSimulation::servedKeyCount() const
{
    std::size_t served = 0;
    for (auto key : m_sampledKeys) {
        auto owner = holder(key);
        served += owner && owner == recordedOwner(key);
    }
    return served;
}

void KeyOwnershipSimulation::loseRecords()
{
    constexpr Epoch forgottenEpochs = 1024;
    m_chunks.clear();
    m_controller->revisions.clear();
    m_epoch += forgottenEpochs;
    sendEvent(OwnerRecordsLost { m_epoch });
}

std::optional<KeyWorkload> KeyOwnershipSimulation::workload() const
{
    return m_controller ? std::optional(m_controller->assigner.workload(m_now)) : std::nullopt;
}

} // namespace acaciagauge::test
