#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>

namespace acaciagauge {

void Agent::tendServers()
{
    bool leads = isController() || m_role == AgentRole::joining;
    if (!leads)
        return renewAsMember();
    if (!hasAuthority(m_now))
        return;
    rebuildOwned();
    for (auto& it : m_books)
        tendServer(it.second);
}

void Agent::tendServer(ServerBook& book)
{
    if (book.info.id.empty())
        return;
    const auto& timing = m_options.timing;
    if (book.outstanding) {
        if (m_now - book.outstanding->sentAt < timing.orderTimeout)
            return;
        orderTimedOut(book);
    }
    if (book.reach == Reach::silent)
        tendSilentServer(book);
    if (book.reach != Reach::up || !book.inventoried || !book.stamp) {
        bool isFirst = book.reach == Reach::unknown || book.reach == Reach::up;
        if (isFirst || m_now - book.lastProbe >= timing.heartbeat)
            sendOrder(book, OrderKind::inventory);
        return;
    }
    bool mayHaveWork = isController() && book.checkedVersion != m_workVersion;
    if (mayHaveWork) {
        if (sendRevocations(book) || sendGrants(book))
            return;
        if (mayTakeFrom(book))
            book.checkedVersion = m_workVersion;
    }
    if (m_now - book.lastRenewal >= timing.heartbeat)
        sendOrder(book, OrderKind::renew);
}

void Agent::sendOrder(ServerBook& book, OrderKind kind, std::vector<Item> items, Fence fence)
{
    ServerOrder order;
    order.kind = kind;
    order.epoch = m_set.epoch;
    order.duration = m_options.timing.grantDuration;
    order.fence = fence;
    order.items = items;
    if (book.stamp)
        order.stamp = *book.stamp;
    bool extends = kind == OrderKind::renew || kind == OrderKind::grant;
    if (extends) {
        auto& used = m_stampUsed[book.info.id];
        used = std::max(used, book.stampReceived);
        book.lastRenewal = m_now;
    }
    if (kind == OrderKind::grant) {
        for (const auto& it : items)
            m_holders.add(book.info.id, it);
    }
    auto sequence = ++m_sequence;
    book.lastProbe = m_now;
    book.outstanding = Outstanding { sequence, kind, std::move(items), m_now };
    m_actions.push_back(SendServer { book.info.id, sequence, std::move(order) });
}

// A lost grant may still arrive, even after the answer to a later inventory, until its stamp is too old.
void Agent::orderTimedOut(ServerBook& book)
{
    if (book.outstanding->kind == OrderKind::grant)
        book.uncertainUntil = m_now + withMargin(m_options.timing.grantDuration, m_options.timing.clockRateMargin);
    book.outstanding.reset();
    book.inventoried = false;
    auto before = book.reach;
    changeReach(book, ServerEvent::timedOut);
    if (book.reach == before)
        return;
    book.stopBounds.clear();
    book.stopSequence += 1 + (book.stopSequence % 2);
    book.lastStopSent = {};
    m_replanNeeded = true;
}

void Agent::tendSilentServer(ServerBook& book)
{
    if (book.lastStopSent == TimePoint {} || m_now - book.lastStopSent >= m_options.timing.heartbeat) {
        book.lastStopSent = m_now;
        for (const auto& it : otherMembers()) {
            if (!book.stopBounds.contains(it))
                send(it.id, StopRenewing { book.info.id, book.stopSequence });
        }
    }
    auto end = waitOutEnd(book);
    if (end && m_now >= *end)
        serverIsOut(book);
}

// The last moment at which anyone can have used a stamp of the server, plus the longest grant.
std::optional<TimePoint> Agent::waitOutEnd(const ServerBook& book) const
{
    auto newest = m_now - ageOfStamps(book.info.id);
    for (const auto& it : otherMembers()) {
        auto bound = book.stopBounds.find(it);
        if (bound == book.stopBounds.end())
            return std::nullopt;
        newest = std::max(newest, bound->second);
    }
    for (const auto& former : m_former) {
        for (const auto& it : former.members) {
            if (!it.second.settled)
                return std::nullopt;
            if (!it.second.joined)
                newest = std::max(newest, it.second.settledAt);
        }
    }
    auto told = m_formerStampBounds.find(book.info.id);
    if (told != m_formerStampBounds.end())
        newest = std::max(newest, told->second);
    return newest + withMargin(m_options.timing.grantDuration, m_options.timing.clockRateMargin);
}

void Agent::serverIsOut(ServerBook& book)
{
    changeReach(book, ServerEvent::gone);
    m_holders.clear(book.info.id);
    noteWork();
    book.confirmed.clear();
    book.confirmedDigest = 0;
    book.inventoried = false;
    m_replanNeeded = true;
}

void Agent::resumeServer(ServerBook& book)
{
    if (book.stopSequence % 2 == 0)
        return;
    ++book.stopSequence;
    book.stopBounds.clear();
    for (const auto& it : otherMembers())
        send(it.id, ResumeRenewing { book.info.id, book.stopSequence });
}

// Orders of a former controller may still reach a server without fence checks until they have expired.
bool Agent::mayTakeFrom(const ServerBook& book) const
{
    if (book.info.checksFences)
        return true;
    if (m_now < book.uncertainUntil || !m_formerSettledAt)
        return false;
    auto wait = withMargin(m_options.timing.grantDuration, m_options.timing.clockRateMargin);
    return m_former.empty() || m_now >= *m_formerSettledAt + wait;
}

void Agent::on(const ServerAnswered& event)
{
    auto it = m_books.find(event.server);
    if (it == m_books.end())
        return;
    auto& book = it->second;
    if (!book.outstanding || book.outstanding->sequence != event.sequence)
        return;
    auto outstanding = *book.outstanding;
    book.outstanding.reset();
    const auto& answer = event.answer;
    bool isRestarted = book.stamp && book.stamp->incarnation != answer.stamp.incarnation;
    book.stamp = answer.stamp;
    book.stampReceived = m_now;
    bool leads = isController() || m_role == AgentRole::joining;
    if (isRestarted) {
        // The process that held the grants is gone, and with it all that it held.
        serverIsOut(book);
        book.revoked.clear();
        book.outstanding.reset();
    }
    if (answer.highestEpoch > m_newestEpoch)
        return noteEpoch(answer.highestEpoch);
    if (!leads)
        return;
    if (book.draining != answer.draining) {
        book.draining = answer.draining;
        m_replanNeeded = true;
    }
    if (answer.code != ResultCode::ok) {
        book.inventoried = false;
        return;
    }
    if (outstanding.kind == OrderKind::inventory)
        takeInventory(book, answer);
    if (outstanding.kind == OrderKind::grant)
        confirmGrant(book, outstanding.items, answer.refused);
    if (outstanding.kind == OrderKind::revoke)
        revokeAnswered(book, outstanding.items, answer.released);
    bool isComplete = outstanding.kind != OrderKind::revoke || answer.released;
    if (isComplete && outstanding.kind != OrderKind::inventory && answer.heldDigest != book.confirmedDigest)
        book.inventoried = false;
    auto before = m_workVersion;
    reconcile();
    rebuildOwned();
    if (isComplete && hasAuthority(m_now))
        tendServer(book);
    if (m_workVersion != before)
        tendServers();
}

void Agent::takeInventory(ServerBook& book, const ServerAnswer& answer)
{
    bool wasUp = book.reach == Reach::up;
    changeReach(book, ServerEvent::inventoried);
    book.inventoried = true;
    book.confirmed = answer.held;
    book.confirmedDigest = digestOf(answer.held);
    if (book.info.checksFences && m_now >= book.uncertainUntil)
        m_holders.clear(book.info.id);
    noteWork();
    for (const auto& it : answer.held) {
        m_holders.add(book.info.id, it.first);
        auto& holding = m_working.items[it.first];
        if (holding.server == book.info.id || it.second <= holding.fence)
            continue;
        // The server's fence is newer than the record: the record is older than the grant.
        if (!holding.server.empty())
            m_holders.add(holding.server, it.first);
        holding = { book.info.id, it.second };
        m_provisional[it.first] = holding;
        m_dirtyRecord = true;
    }
    resumeServer(book);
    if (!wasUp)
        m_replanNeeded = true;
    m_reconcileNeeded = true;
}

void Agent::confirmGrant(ServerBook& book, const std::vector<Item>& items, const std::vector<Item>& refused)
{
    for (const auto& it : items) {
        auto holding = m_working.items.find(it);
        if (holding != m_working.items.end() && holding->second.server == book.info.id)
            book.confirmed[it] = holding->second.fence;
    }
    // A former controller revoked these; the recorded owner gets them back under a new fence.
    for (const auto& it : refused) {
        book.confirmed.erase(it);
        book.revoked.insert(it);
        m_reconcileNeeded = true;
    }
    book.confirmedDigest = digestOf(book.confirmed);
}

void Agent::revokeAnswered(ServerBook& book, const std::vector<Item>& items, bool released)
{
    if (!released)
        return;
    for (const auto& it : items) {
        m_holders.remove(book.info.id, it);
        book.confirmed.erase(it);
        book.revoked.insert(it);
    }
    book.confirmedDigest = digestOf(book.confirmed);
    noteWork();
    m_reconcileNeeded = true;
}

void Agent::renewAsMember()
{
    bool isMember = contains(m_set, m_options.self) && m_set.epoch == m_newestEpoch;
    bool isSilent = m_now - m_controllerHeard > m_options.timing.memberRenewAfter;
    if (!isMember || !isSilent || !hasAuthority(m_now))
        return;
    for (auto& it : m_books) {
        auto stop = m_stopped.find(it.first);
        bool isStopped = stop != m_stopped.end() && stop->second % 2 == 1;
        if (!isStopped && !it.second.info.id.empty())
            renewServerAsMember(it.second);
    }
}

void Agent::renewServerAsMember(ServerBook& book)
{
    const auto& timing = m_options.timing;
    if (book.outstanding) {
        if (m_now - book.outstanding->sentAt < timing.orderTimeout)
            return;
        book.outstanding.reset();
    }
    bool isFresh = book.stamp && m_now - book.stampReceived < timing.grantDuration / 2;
    if (!isFresh)
        return sendOrder(book, OrderKind::hello);
    if (m_now - book.lastRenewal >= timing.heartbeat)
        sendOrder(book, OrderKind::renew);
}

} // namespace acaciagauge
