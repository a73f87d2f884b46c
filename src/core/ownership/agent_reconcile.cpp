#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>

namespace acaciagauge {

namespace {

    constexpr std::size_t maxItemsPerOrder = 4096;

} // namespace

void Agent::reconcile()
{
    if (!isController() || !hasAuthority(m_now))
        return;
    if (m_replanNeeded)
        replan();
    if (!m_reconcileNeeded && !m_dirtyRecord && m_proposal.empty())
        return;
    m_reconcileNeeded = false;
    removeForeignItems();
    if (m_proposal.empty()) {
        m_proposal = readyChanges();
        m_agreed.clear();
        m_agreeSequence = 0;
        m_lastAgreeSent = {};
    }
    bool mayWrite = !m_storeBusy && !m_pendingWrite && m_now >= m_nextStoreTry;
    if (mayWrite && (!m_proposal.empty() || m_dirtyRecord))
        commit();
}

void Agent::replan()
{
    PlanInput input;
    input.items = m_items;
    for (const auto& it : m_servers) {
        const auto& book = m_books.at(it.id);
        bool mayServe = book.reach == Reach::up || book.reach == Reach::unknown;
        bool isEligible = mayServe && !it.leaving && !book.draining;
        if (isEligible)
            input.servers.push_back(it);
    }
    for (const auto& it : m_working.items)
        input.owners[it.first] = it.second.server;
    m_desired = m_options.planner(input);
    limitPlannedMoves();
    noteWork();
    m_replanNeeded = false;
    m_reconcileNeeded = true;
}

// Moves away from servers that work well wait for each other; those of lost servers do not wait.
void Agent::limitPlannedMoves()
{
    std::size_t moves = 0;
    for (auto& it : m_desired) {
        auto owner = m_working.items.find(it.first);
        if (owner == m_working.items.end() || owner->second.server == it.second)
            continue;
        const auto& book = m_books[owner->second.server];
        bool isPlanned = book.reach == Reach::up || book.reach == Reach::unknown;
        if (isPlanned && ++moves > m_options.timing.maxConcurrentMoves)
            it.second = owner->second.server;
    }
}

bool Agent::isUp(const ServerId& server) const
{
    auto it = m_books.find(server);
    return it != m_books.end() && it->second.reach == Reach::up;
}

void Agent::noteWork()
{
    ++m_workVersion;
    m_ownedStale = true;
}

void Agent::rebuildOwned()
{
    if (!m_ownedStale)
        return;
    m_ownedStale = false;
    m_owned.clear();
    for (const auto& it : m_working.items)
        m_owned[it.second.server].push_back(it.first);
}

std::map<Item, ItemOwner> Agent::readyChanges()
{
    std::map<Item, ItemOwner> changes;
    Fence fence { m_set.epoch, m_fenceSequence + 1 };
    for (const auto& it : m_desired) {
        auto owner = m_working.items.find(it.first);
        bool isSame = owner != m_working.items.end() && owner->second.server == it.second;
        if (!isUp(it.second))
            continue;
        // An earlier controller may be giving the item to another domain until this epoch is in the home map.
        bool isNew = owner == m_working.items.end();
        if (isNew && m_confirmedEpoch.value_or(m_set.epoch) != m_set.epoch)
            continue;
        bool needsFence = isSame && m_books.at(it.second).revoked.contains(it.first);
        if ((isSame && !needsFence) || m_holders.isHeldElsewhere(it.first, it.second))
            continue;
        changes[it.first] = { it.second, fence };
    }
    if (!changes.empty())
        ++m_fenceSequence;
    return changes;
}

void Agent::removeForeignItems()
{
    bool removed = std::erase_if(m_working.items,
        [this](const auto& it) { return !m_items.contains(it.first) && !m_holders.isHeldElsewhere(it.first, {}); });
    if (removed) {
        m_dirtyRecord = true;
        noteWork();
    }
}

void Agent::commit()
{
    DomainRecord record = m_working;
    for (const auto& it : m_proposal)
        record.items[it.first] = it.second;
    ++record.version;
    record.writer = newToken();
    writeRecord(StorePurpose::commit, std::move(record));
}

// The store does not answer: a change needs every member of the set, so that any successor learns of it.
void Agent::requestAgreement()
{
    if (!isController() || m_proposal.empty() || !hasAuthority(m_now))
        return;
    if (m_agreeSequence == 0)
        m_agreeSequence = ++m_sequence;
    if (m_lastAgreeSent != TimePoint {} && m_now - m_lastAgreeSent < m_options.timing.heartbeat)
        return;
    m_lastAgreeSent = m_now;
    Agree request { m_agreeSequence, {} };
    for (const auto& it : m_proposal)
        request.moves.push_back({ it.first, it.second });
    for (const auto& it : otherMembers()) {
        if (!m_agreed.contains(it))
            send(it.id, request);
    }
    finishAgreement();
}

void Agent::finishAgreement()
{
    for (const auto& it : otherMembers()) {
        if (!m_agreed.contains(it))
            return;
    }
    if (m_proposal.empty() || !hasAuthority(m_now))
        return;
    auto changes = std::move(m_proposal);
    m_proposal.clear();
    m_agreed.clear();
    m_agreeSequence = 0;
    for (const auto& it : changes) {
        m_provisional[it.first] = it.second;
        m_agreedMoves.push_back({ it.first, it.second });
    }
    m_dirtyRecord = true;
    applyChanges(changes);
    publish();
    tendServers();
}

void Agent::applyChanges(const std::map<Item, ItemOwner>& changes)
{
    for (const auto& it : changes) {
        m_working.items[it.first] = it.second;
        m_books[it.second.server].revoked.erase(it.first);
    }
    ++m_working.version;
    noteWork();
    m_replanNeeded = true;
    m_reconcileNeeded = true;
}

void Agent::publish()
{
    m_actions.push_back(Publish { m_working, isCommitted() });
}

bool Agent::sendRevocations(ServerBook& book)
{
    std::vector<Item> items;
    if (!mayTakeFrom(book))
        return false;
    for (const auto& it : m_holders.itemsOf(book.info.id)) {
        auto desired = m_desired.find(it);
        bool isForeign = !m_items.contains(it);
        bool isElsewhere = desired != m_desired.end() && desired->second != book.info.id && isUp(desired->second);
        if ((isForeign || isElsewhere) && items.size() < maxItemsPerOrder)
            items.push_back(it);
    }
    if (items.empty())
        return false;
    sendOrder(book, OrderKind::revoke, std::move(items), { m_set.epoch, ++m_fenceSequence });
    return true;
}

bool Agent::sendGrants(ServerBook& book)
{
    std::vector<Item> items;
    Fence fence;
    for (const auto& it : m_owned[book.info.id]) {
        auto holding = m_working.items.find(it);
        bool isOwner = holding != m_working.items.end() && holding->second.server == book.info.id;
        // A proposed change may land at any moment; the present owner must not be granted the item anew.
        if (!isOwner || book.revoked.contains(it) || m_proposal.contains(it))
            continue;
        auto desired = m_desired.find(it);
        bool isMoving = desired == m_desired.end() || desired->second != book.info.id;
        auto confirmed = book.confirmed.find(it);
        bool isHeld = confirmed != book.confirmed.end() && confirmed->second == holding->second.fence;
        bool isOtherFence = !items.empty() && holding->second.fence != fence;
        if (isMoving || isHeld || isOtherFence || m_holders.isHeldElsewhere(it, book.info.id))
            continue;
        fence = holding->second.fence;
        items.push_back(it);
        if (items.size() >= maxItemsPerOrder)
            break;
    }
    if (items.empty())
        return false;
    sendOrder(book, OrderKind::grant, std::move(items), fence);
    return true;
}

} // namespace acaciagauge
