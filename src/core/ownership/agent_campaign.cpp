#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>

namespace acaciagauge {

namespace {

    constexpr std::size_t renewerSetSize = 3;
    constexpr Duration outsiderDelay = std::chrono::seconds(1);
    constexpr Duration memberSilence = std::chrono::seconds(1);
    constexpr Duration minSetAge = std::chrono::seconds(2);

} // namespace

std::string Agent::newToken()
{
    return m_options.self.id + "." + std::to_string(m_options.self.incarnation) + "." + std::to_string(++m_sequence);
}

Duration Agent::takeoverDelay() const
{
    std::vector<InstanceId> order;
    for (const auto& it : m_set.members) {
        if (it.id != m_controller.id)
            order.push_back(it.id);
    }
    bool isMember = contains(m_set, m_options.self);
    if (!isMember)
        order = rendezvousOrder(m_options.domain, m_instances);
    auto position = std::find(order.begin(), order.end(), m_options.self.id) - order.begin();
    auto delay = m_options.timing.takeoverStagger * position;
    if (!isMember && m_newestEpoch > 0)
        delay += outsiderDelay;
    if (!m_dead.contains(m_controller))
        delay += m_options.timing.controllerSilence;
    return delay;
}

void Agent::considerTakeover()
{
    bool mayCampaign = !m_leaving && !m_storeBusy && !m_pendingWrite && m_now >= m_nextCampaign && !m_instances.empty();
    if (!mayCampaign)
        return;
    if (isController() && needsNewSet()) {
        m_nextCampaign = m_now + minSetAge;
        return campaign();
    }
    if (m_role != AgentRole::follower || m_now < m_nextStoreTry)
        return;
    bool isSilent = m_now - m_controllerHeard > takeoverDelay();
    if (m_handOverAsked || isSilent)
        readRecord(StorePurpose::campaign);
}

bool Agent::needsNewSet() const
{
    std::size_t live = 1;
    for (const auto& it : m_instances) {
        auto alive = m_alive.find(it);
        live += it != m_options.self.id && alive != m_alive.end() && m_now - alive->second < memberSilence;
    }
    std::size_t good = 1;
    for (const auto& it : otherMembers()) {
        auto heard = m_heard.find(it);
        bool isHeard = heard != m_heard.end() && m_now - heard->second < memberSilence;
        good += isHeard && !m_dead.contains(it);
    }
    return good < m_set.members.size() || good < std::min(live, renewerSetSize);
}

std::vector<Member> Agent::chooseRenewers() const
{
    std::vector<Member> chosen { m_options.self };
    for (const auto& it : rendezvousOrder(m_options.domain, m_instances)) {
        auto alive = m_alive.find(it);
        bool isLive = alive != m_alive.end() && m_now - alive->second < memberSilence;
        if (it == m_options.self.id || !isLive || chosen.size() >= renewerSetSize)
            continue;
        auto member = m_livePeers.at(it);
        if (!m_dead.contains(member))
            chosen.push_back(member);
    }
    return chosen;
}

void Agent::readRecord(StorePurpose purpose)
{
    m_storePurpose = purpose;
    m_storeBusy = true;
    m_storeSequence = ++m_sequence;
    changeRole(RoleEvent::read);
    m_actions.push_back(ReadRecord { m_storeSequence });
}

void Agent::writeRecord(StorePurpose purpose, DomainRecord record)
{
    m_storePurpose = purpose;
    m_pendingPurpose = purpose;
    m_storeBusy = true;
    m_storeSequence = ++m_sequence;
    m_pendingWrite = record;
    m_actions.push_back(WriteRecord { m_storeSequence, m_revision, std::move(record) });
}

void Agent::on(const StoreAnswered& event)
{
    if (event.sequence != m_storeSequence || !m_storeBusy)
        return;
    m_storeBusy = false;
    bool reached = event.outcome == StoreOutcome::ok || event.outcome == StoreOutcome::conflict;
    m_storeDown = !reached;
    if (!reached)
        m_nextStoreTry = m_now + m_options.timing.commitRetry;
    if (m_storePurpose == StorePurpose::resolve || (m_storePurpose == StorePurpose::campaign && !m_pendingWrite))
        return recordRead(m_storePurpose, event);
    recordWritten(event);
}

void Agent::recordRead(StorePurpose purpose, const StoreAnswered& event)
{
    changeRole(RoleEvent::readDone);
    if (event.outcome != StoreOutcome::ok)
        return;
    if (purpose == StorePurpose::resolve) {
        bool landed = event.record && event.record->writer == m_pendingWrite->writer;
        if (landed) {
            m_revision = event.revision;
            return pendingWriteLanded();
        }
        // With the revision unchanged the write may still land, so the same write is repeated.
        if (event.revision == m_revision)
            return writeRecord(m_pendingPurpose, *m_pendingWrite);
        m_revision = event.revision;
        pendingWriteFailed();
        if (event.record)
            learnRecord(*event.record);
        return;
    }
    m_revision = event.revision;
    if (m_role != AgentRole::follower)
        return;
    bool isNews = event.record && event.record->epoch() > m_newestEpoch;
    if (event.record)
        learnRecord(*event.record);
    bool isOwnRecord = event.record && event.record->controller == m_options.self;
    if (isNews && !isOwnRecord) {
        m_controllerHeard = m_now;
        return;
    }
    // The campaign replaces the whole record, so it starts from what the store has, not from provisional changes.
    m_working = event.record.value_or(DomainRecord {});
    m_working.domain = m_options.domain;
    campaign();
}

void Agent::recordWritten(const StoreAnswered& event)
{
    switch (event.outcome) {
    case StoreOutcome::ok:
        m_revision = event.revision;
        return pendingWriteLanded();
    case StoreOutcome::unavailable:
        // An earlier try of the same write may have an unknown outcome; only a read settles it.
        if (m_pendingPurpose == StorePurpose::commit)
            return requestAgreement();
        return;
    case StoreOutcome::unknown:
        if (m_pendingPurpose == StorePurpose::commit)
            requestAgreement();
        return;
    case StoreOutcome::conflict:
        return readRecord(StorePurpose::resolve);
    }
}

void Agent::resolvePendingWrite()
{
    if (m_pendingWrite && !m_storeBusy && m_now >= m_nextStoreTry)
        readRecord(StorePurpose::resolve);
}

void Agent::pendingWriteLanded()
{
    auto record = *m_pendingWrite;
    m_pendingWrite.reset();
    if (record.epoch() < m_newestEpoch)
        return stepDown();
    if (m_pendingPurpose == StorePurpose::campaign) {
        m_working = record;
        return becomeJoining();
    }
    std::map<Item, ItemOwner> stored;
    for (const auto& it : m_proposal) {
        auto found = record.items.find(it.first);
        if (found != record.items.end() && found->second == it.second)
            stored.insert(it);
    }
    for (const auto& it : stored)
        m_proposal.erase(it.first);
    m_agreed.clear();
    noteWork();
    applyChanges(stored);
    std::erase_if(m_provisional, [&](const auto& it) {
        auto found = record.items.find(it.first);
        return found != record.items.end() && found->second == it.second;
    });
    m_dirtyRecord = m_working.items != record.items || m_working.former != record.former;
    publish();
}

void Agent::pendingWriteFailed()
{
    m_pendingWrite.reset();
    changeRole(RoleEvent::lost);
    m_nextCampaign = m_now + m_options.timing.takeoverStagger;
}

void Agent::learnRecord(const DomainRecord& record)
{
    noteEpoch(record.epoch());
    if (record.epoch() < m_newestEpoch && m_role != AgentRole::follower)
        return;
    bool isNewer = record.epoch() > m_working.epoch()
        || (record.epoch() == m_working.epoch() && record.version >= m_working.version);
    if (m_role == AgentRole::follower && isNewer) {
        m_working = record;
        m_controller = record.controller;
    }
    std::erase_if(m_agreedMoves, [&](const ProvisionalMove& it) {
        auto stored = record.items.find(it.item);
        return stored != record.items.end() && stored->second.fence >= it.holding.fence;
    });
}

void Agent::campaign()
{
    DomainRecord record = m_working;
    if (!m_working.renewers.members.empty())
        record.former.push_back(m_working.renewers);
    record.renewers.epoch = std::max(m_working.epoch(), m_newestEpoch) + 1;
    record.renewers.members = chooseRenewers();
    record.controller = m_options.self;
    record.version = m_working.version + 1;
    record.writer = newToken();
    // Changes that are in force without the store are written along.
    for (const auto& it : m_provisional)
        record.items[it.first] = it.second;
    changeRole(RoleEvent::campaign);
    m_campaignSent = m_now;
    m_handOverAsked = false;
    writeRecord(StorePurpose::campaign, std::move(record));
}

void Agent::becomeJoining()
{
    bool wasController = isController();
    changeRole(RoleEvent::won);
    m_set = m_working.renewers;
    m_controller = m_options.self;
    m_newestEpoch = m_set.epoch;
    m_controllerHeard = m_now;
    m_heard.clear();
    for (const auto& it : otherMembers())
        m_heard[it] = m_campaignSent;
    m_stopped.clear();
    m_proposal.clear();
    m_provisional.clear();
    m_agreed.clear();
    m_dirtyRecord = false;
    m_fenceSequence = 0;
    m_formerSettledAt.reset();
    m_formerStampBounds.clear();
    m_former.clear();
    for (const auto& set : m_working.former) {
        FormerSet former { set, {} };
        for (const auto& it : set.members)
            former.members[it] = it == m_options.self ? FormerMember { true, true, m_now, m_now } : FormerMember {};
        m_former.push_back(std::move(former));
    }
    noteWork();
    // A controller that renews its own set also remembers what it granted and could not confirm.
    if (!wasController)
        m_holders.reset();
    for (auto& it : m_books) {
        ServerBook fresh;
        fresh.info = it.second.info;
        it.second = std::move(fresh);
    }
    for (const auto& it : m_working.items)
        m_holders.add(it.second.server, it.first);
    auto moves = m_agreedMoves;
    for (const auto& it : moves)
        adoptMove(it);
    m_replanNeeded = true;
    m_lastJoinSent = {};
    noteEarlierRuns(m_options.self);
    continueJoining();
}

// Both servers count as possible holders; the higher fence names the owner.
void Agent::adoptMove(const ProvisionalMove& move)
{
    m_holders.add(move.holding.server, move.item);
    noteWork();
    auto& holding = m_working.items[move.item];
    if (!holding.server.empty())
        m_holders.add(holding.server, move.item);
    if (move.holding.fence <= holding.fence)
        return;
    holding = move.holding;
    if (std::find(m_agreedMoves.begin(), m_agreedMoves.end(), move) == m_agreedMoves.end())
        m_agreedMoves.push_back(move);
    m_provisional[move.item] = move.holding;
    m_dirtyRecord = true;
    m_replanNeeded = true;
}

void Agent::sendJoins()
{
    m_lastJoinSent = m_now;
    std::set<InstanceId> targets;
    for (const auto& former : m_former) {
        for (const auto& it : former.members) {
            if (!it.second.settled)
                targets.insert(it.first.id);
        }
    }
    for (const auto& it : otherMembers()) {
        auto heard = m_heard.find(it);
        if (heard == m_heard.end() || heard->second <= m_campaignSent)
            targets.insert(it.id);
    }
    for (const auto& it : targets)
        send(it, Join { m_options.self, m_set });
}

void Agent::continueJoining()
{
    settleFormer();
    if (m_lastJoinSent == TimePoint {} || m_now - m_lastJoinSent >= m_options.timing.heartbeat)
        sendJoins();
    if (m_role != AgentRole::joining)
        return;
    for (const auto& it : m_former) {
        if (!isInformed(it))
            return;
    }
    changeRole(RoleEvent::informed);
    m_replanNeeded = true;
}

bool Agent::isInformed(const FormerSet& former) const
{
    auto wait = withMargin(m_options.timing.grantDuration, m_options.timing.clockRateMargin);
    bool allLapsed = true;
    for (const auto& it : former.members) {
        if (it.second.joined)
            return true;
        allLapsed = allLapsed && it.second.settled && m_now >= it.second.settledAt + wait;
    }
    // Nobody can have renewed a grant since: whatever was moved without the store has expired.
    return allLapsed;
}

void Agent::settleFormer()
{
    if (!m_formerSettledAt) {
        bool allSettled = true;
        for (auto& former : m_former) {
            settleSilentMembers(former);
            for (const auto& it : former.members)
                allSettled = allSettled && it.second.settled;
        }
        if (allSettled)
            m_formerSettledAt = m_now;
    }
    // What the former members renewed last has to run out before a successor may forget them.
    auto wait = withMargin(m_options.timing.grantDuration, m_options.timing.clockRateMargin);
    bool isOver = m_formerSettledAt && m_now >= *m_formerSettledAt + wait;
    if (!isOver || m_working.former.empty())
        return;
    m_working.former.clear();
    m_dirtyRecord = true;
}

// Mirrors hasAuthority(): a silent member heard a joined one in the old epoch at the latest when that one joined.
void Agent::settleSilentMembers(FormerSet& former)
{
    const auto& timing = m_options.timing;
    auto firstJoin = TimePoint::max();
    auto lastJoin = TimePoint::min();
    std::size_t silent = 0;
    for (auto& it : former.members) {
        if (!it.second.settled && m_dead.contains(it.first))
            it.second = { true, false, {}, m_now };
        if (it.second.joined) {
            firstJoin = std::min(firstJoin, it.second.joinedAt);
            lastJoin = std::max(lastJoin, it.second.joinedAt);
        }
        silent += !it.second.settled;
    }
    if (firstJoin == TimePoint::max() || silent == 0)
        return;
    auto lapse = silent == 1 ? lastJoin + withMargin(timing.shortAuthority, timing.clockRateMargin)
                             : firstJoin + withMargin(timing.longAuthority, timing.clockRateMargin);
    if (m_now < lapse)
        return;
    for (auto& it : former.members) {
        if (!it.second.settled)
            it.second = { true, false, {}, m_now };
    }
}

void Agent::stepDown()
{
    changeRole(RoleEvent::deposed);
    m_proposal.clear();
    m_provisional.clear();
    m_agreed.clear();
    m_former.clear();
    m_dirtyRecord = false;
    m_controllerHeard = m_now;
    m_nextCampaign = m_now + m_options.timing.takeoverStagger;
    // The newer epoch's write changed the revision, so an unsettled write of this instance can land no more.
    if (m_pendingWrite && m_pendingWrite->epoch() < m_newestEpoch) {
        m_pendingWrite.reset();
        m_storeBusy = false;
    }
    for (auto& it : m_books)
        it.second.outstanding.reset();
}

} // namespace acaciagauge
