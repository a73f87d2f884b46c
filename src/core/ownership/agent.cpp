#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>

namespace acaciagauge {

namespace {

    constexpr std::size_t maxPingedCandidates = 4;
    constexpr std::size_t maxRememberedPings = 64;

} // namespace

Agent::Agent(Options options, TimePoint now)
    : m_options(std::move(options))
    , m_started(now)
    , m_now(now)
    , m_controllerHeard(now)
{
    m_working.domain = m_options.domain;
}

Result<Agent> Agent::create(Options options, TimePoint now)
{
    if (!options.planner)
        return failure(ResultCode::invalidSetting, "an agent needs a planner");
    if (auto charts = checkBuiltInCharts(); !charts)
        return tl::make_unexpected(charts.error());
    const auto& timing = options.timing;
    if (timing.heartbeat <= Duration::zero() || timing.grantDuration <= timing.heartbeat * 2)
        return failure(ResultCode::invalidSetting, "the grant duration must exceed two heartbeats");
    return Agent(std::move(options), now);
}

std::vector<Action> Agent::handle(const Event& event, TimePoint now)
{
    m_now = std::max(m_now, now);
    m_actions.clear();
    std::visit([this](const auto& it) { on(it); }, event);
    reconcile();
    return std::move(m_actions);
}

void Agent::on(const Tick&)
{
    if (m_now - m_lastPing >= m_options.timing.heartbeat)
        sendPings();
    considerTakeover();
    resolvePendingWrite();
    if (m_role == AgentRole::joining || isController()) {
        continueJoining();
        if (!m_proposal.empty() && m_storeDown)
            requestAgreement();
    }
    tendServers();
}

void Agent::on(const DomainPlan& event)
{
    m_planNumber = event.number;
    bool isSame = m_items == event.items && m_servers == event.servers && m_confirmedEpoch == event.confirmedEpoch;
    if (isSame)
        return;
    m_confirmedEpoch = event.confirmedEpoch;
    m_items = event.items;
    m_servers = event.servers;
    for (const auto& it : m_servers) {
        auto& book = m_books[it.id];
        book.info = it;
    }
    m_replanNeeded = true;
}

void Agent::on(const InstancesListed& event)
{
    m_instances = event.instances;
}

void Agent::on(const PeerDied& event)
{
    m_dead.emplace(event.member, m_now);
}

void Agent::on(const ServerDied& event)
{
    auto it = m_books.find(event.server);
    if (it == m_books.end() || !it->second.outstanding || it->second.outstanding->sequence != event.sequence)
        return;
    it->second.outstanding.reset();
    it->second.stamp.reset();
    serverIsOut(it->second);
}

void Agent::on(const Leave&)
{
    m_leaving = true;
    m_lastPing = {};
}

void Agent::on(const PeerReceived& event)
{
    const auto& message = event.message;
    noteSender(message);
    std::visit([&](const auto& body) { onPeer(message, body); }, message.body);
}

void Agent::noteSender(const PeerMessage& message)
{
    m_livePeers[message.from.id] = message.from;
    m_alive[message.from.id] = m_now;
    noteEpoch(message.epoch);
    bool isFromController = message.from.id == m_controller.id || m_controller.id.empty();
    if (message.joined && message.epoch == m_newestEpoch && isFromController)
        m_controllerHeard = m_now;
}

// Knowledge of a newer epoch ends all authority under an older one at once.
void Agent::noteEpoch(Epoch epoch)
{
    if (epoch <= m_newestEpoch)
        return;
    m_newestEpoch = epoch;
    m_controller = {};
    m_controllerHeard = m_now;
    if (m_role != AgentRole::follower && m_set.epoch < epoch)
        stepDown();
}

void Agent::send(const InstanceId& to, PeerBody body)
{
    PeerMessage message;
    message.from = m_options.self;
    message.epoch = m_newestEpoch;
    message.joined = m_set.epoch == m_newestEpoch && contains(m_set, m_options.self);
    message.body = std::move(body);
    m_actions.push_back(SendPeer { to, std::move(message) });
}

std::vector<InstanceId> Agent::pingTargets() const
{
    std::set<InstanceId> targets;
    for (const auto& it : m_set.members)
        targets.insert(it.id);
    for (const auto& former : m_former) {
        for (const auto& it : former.members)
            targets.insert(it.first.id);
    }
    auto candidates = rendezvousOrder(m_options.domain, m_instances);
    candidates.resize(std::min(candidates.size(), maxPingedCandidates));
    targets.insert(candidates.begin(), candidates.end());
    if (isController())
        targets.insert(m_instances.begin(), m_instances.end());
    targets.erase(m_options.self.id);
    return { targets.begin(), targets.end() };
}

void Agent::sendPings()
{
    m_lastPing = m_now;
    auto sequence = ++m_sequence;
    m_pingSent[sequence] = m_now;
    if (m_pingSent.size() > maxRememberedPings)
        m_pingSent.erase(m_pingSent.begin());
    for (const auto& it : pingTargets())
        send(it, Ping { sequence });
    if (!m_leaving || !isController())
        return;
    for (const auto& it : otherMembers()) {
        if (!m_dead.contains(it))
            return send(it.id, HandOver {});
    }
}

std::vector<Member> Agent::otherMembers() const
{
    std::vector<Member> others;
    for (const auto& it : m_set.members) {
        if (it != m_options.self)
            others.push_back(it);
    }
    return others;
}

// The ends computed here must match settleSilentMembers(), which waits them out from the other side.
bool Agent::hasAuthority(TimePoint now) const
{
    if (!contains(m_set, m_options.self) || m_newestEpoch > m_set.epoch)
        return false;
    auto oldest = TimePoint::max();
    auto newest = TimePoint::min();
    auto others = otherMembers();
    // A dead member is not exempt: it may have joined a newer epoch before it died.
    for (const auto& it : others) {
        auto heard = m_heard.find(it);
        if (heard == m_heard.end())
            return false;
        oldest = std::min(oldest, heard->second);
        newest = std::max(newest, heard->second);
    }
    if (others.empty())
        return true;
    return now < newest + m_options.timing.shortAuthority && now < oldest + m_options.timing.longAuthority;
}

Duration Agent::ageOfStamps(const ServerId& server) const
{
    auto it = m_stampUsed.find(server);
    auto newest = it == m_stampUsed.end() ? m_started : it->second;
    return m_now - newest;
}

// A newer run that answers at the same address proves that the earlier ones are gone.
void Agent::noteEarlierRuns(const Member& peer)
{
    for (const auto& former : m_former) {
        for (const auto& it : former.members) {
            if (it.first.id == peer.id && it.first.incarnation < peer.incarnation)
                m_dead.emplace(it.first, m_now);
        }
    }
    for (const auto& it : m_set.members) {
        if (it.id == peer.id && it.incarnation < peer.incarnation)
            m_dead.emplace(it, m_now);
    }
}

void Agent::onPeer(const PeerMessage& message, const Ping& body)
{
    send(message.from.id, Pong { body.sequence });
}

void Agent::onPeer(const PeerMessage& message, const Pong& body)
{
    auto sent = m_pingSent.find(body.sequence);
    if (sent == m_pingSent.end())
        return;
    noteEarlierRuns(message.from);
    if (!message.joined || message.epoch != m_set.epoch)
        return;
    if (!contains(m_set, message.from))
        return;
    auto& heard = m_heard[message.from];
    heard = std::max(heard, sent->second);
}

void Agent::onPeer(const PeerMessage& message, const Join& body)
{
    if (body.renewers.epoch < m_newestEpoch || body.controller != message.from)
        return;
    if (body.renewers.epoch > m_set.epoch) {
        if (m_role != AgentRole::follower)
            stepDown();
        m_set = body.renewers;
        if (!contains(m_set, m_options.self))
            m_set.members.clear();
        m_heard.clear();
        m_stopped.clear();
    }
    m_controller = body.controller;
    m_controllerHeard = m_now;
    m_handOverAsked = false;
    Joined reply;
    for (const auto& it : m_books)
        reply.stampAges[it.first] = ageOfStamps(it.first);
    reply.provisional = m_agreedMoves;
    send(message.from.id, std::move(reply));
}

void Agent::onPeer(const PeerMessage& message, const Joined& body)
{
    if (message.epoch != m_set.epoch || m_controller != m_options.self)
        return;
    bool wasAwaited = false;
    bool isFirst = false;
    for (auto& former : m_former) {
        auto it = former.members.find(message.from);
        if (it == former.members.end() || it->second.joined)
            continue;
        isFirst = isFirst || !isInformed(former);
        it->second = { true, true, m_now, m_now };
        wasAwaited = true;
    }
    if (!wasAwaited)
        return;
    // A move in force was agreed to by every member, so the first one that joins tells all of them.
    if (isFirst) {
        for (const auto& it : body.provisional)
            adoptMove(it);
    }
    for (const auto& it : body.stampAges) {
        auto& bound = m_formerStampBounds[it.first];
        bound = std::max(bound, m_now - it.second);
    }
}

void Agent::onPeer(const PeerMessage& message, const StopRenewing& body)
{
    if (message.epoch != m_set.epoch || message.from != m_controller)
        return;
    auto& newest = m_stopped[body.server];
    if (body.sequence < newest)
        return;
    newest = body.sequence;
    send(message.from.id, StoppedRenewing { body.server, body.sequence, ageOfStamps(body.server) });
}

void Agent::onPeer(const PeerMessage& message, const StoppedRenewing& body)
{
    auto it = m_books.find(body.server);
    if (it == m_books.end() || message.epoch != m_set.epoch || it->second.stopSequence != body.sequence)
        return;
    it->second.stopBounds[message.from] = m_now - body.stampAge;
}

void Agent::onPeer(const PeerMessage& message, const ResumeRenewing& body)
{
    if (message.epoch != m_set.epoch || message.from != m_controller)
        return;
    auto& newest = m_stopped[body.server];
    newest = std::max(newest, body.sequence);
}

void Agent::onPeer(const PeerMessage& message, const Agree& body)
{
    bool inForce = message.epoch == m_set.epoch && contains(m_set, m_options.self) && message.from == m_controller;
    if (!inForce)
        return;
    for (const auto& it : body.moves) {
        if (std::find(m_agreedMoves.begin(), m_agreedMoves.end(), it) == m_agreedMoves.end())
            m_agreedMoves.push_back(it);
    }
    send(message.from.id, Agreed { body.sequence });
}

void Agent::onPeer(const PeerMessage& message, const Agreed& body)
{
    if (!isController() || message.epoch != m_set.epoch || body.sequence != m_agreeSequence)
        return;
    m_agreed.insert(message.from);
    finishAgreement();
}

void Agent::onPeer(const PeerMessage& message, const HandOver&)
{
    if (message.from.id == m_controller.id)
        m_handOverAsked = true;
}

std::map<std::string, std::size_t> Agent::serverStates() const
{
    std::map<std::string, std::size_t> states { { "unknown", 0 }, { "up", 0 }, { "silent", 0 }, { "out", 0 } };
    for (const auto& it : m_books) {
        switch (it.second.reach) {
        case Reach::unknown:
            ++states["unknown"];
            break;
        case Reach::up:
            ++states["up"];
            break;
        case Reach::silent:
            ++states["silent"];
            break;
        case Reach::out:
            ++states["out"];
            break;
        }
    }
    return states;
}

} // namespace acaciagauge
