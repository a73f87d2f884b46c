#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>

namespace acaciagauge {

namespace {

    constexpr unsigned sequenceBits = 32;

    /// Chunks in one write: the store takes at most 32 rows, one for the controller's key and two for each chunk.
    constexpr std::size_t maxChunksPerWrite = 15;

    std::uint32_t chunkOf(const KeyRange& keys)
    {
        return keys.from / keysPerChunk;
    }

} // namespace

PackedFence packFence(const Fence& fence)
{
    return (fence.epoch << sequenceBits) | fence.sequence;
}

KeyAssigner::KeyAssigner(Options options, Epoch epoch, TimePoint now)
    : m_options(options)
    , m_epoch(epoch)
    , m_started(now)
    , m_nextWrite(now)
    , m_nextPlan(now + options.planEvery)
{
}

KeyAssigner::Service KeyAssigner::newService(TimePoint now)
{
    return { {}, KeyLoad::create({}, now), ServerSpeeds::create({}, now), false };
}

KeyAssigner KeyAssigner::create(Options options, Epoch epoch, const KeyOwnerMap& recorded, TimePoint now)
{
    KeyAssigner keeper(options, epoch, now);
    for (const auto& chunk : recorded.chunks()) {
        auto& service = keeper.m_services.try_emplace(chunk.first.service, newService(now)).first->second;
        for (const auto& it : chunk.second.owners) {
            Range range;
            range.keys = it.range;
            range.owner = it.owner;
            range.state = RangeState::granting;
            // The former controller may have sent a renewal just before its authority ended.
            range.mayReturn = true;
            keeper.noteHold(range, options.grantDuration, now + options.orderTimeout);
            range.nextOrder = now;
            service.ranges.emplace(range.keys.from, std::move(range));
            service.isDivided = true;
        }
    }
    // Keys between the recorded ranges have never been granted, or were given up by their last owner.
    for (auto& it : keeper.m_services) {
        KeyNumber next = 0;
        std::vector<KeyRange> gaps;
        auto addGap = [&](KeyNumber end) {
            while (next < end) {
                auto chunkEnd = (next / keysPerChunk + 1) * keysPerChunk;
                auto to = std::min(end, chunkEnd) - 1;
                gaps.push_back({ next, to });
                next = to + 1;
            }
        };
        for (const auto& range : it.second.ranges) {
            addGap(range.second.keys.from);
            next = range.second.keys.to + 1;
        }
        addGap(lastKey + 1);
        for (const auto& gap : gaps) {
            Range range;
            range.keys = gap;
            it.second.ranges.emplace(gap.from, std::move(range));
        }
    }
    return keeper;
}

std::vector<KeyAction> KeyAssigner::handle(const KeyEvent& event, TimePoint now)
{
    m_actions.clear();
    if (const auto* servers = std::get_if<KeyServersChanged>(&event))
        onServers(*servers, now);
    else if (const auto* services = std::get_if<KeyServicesChanged>(&event))
        onServices(*services, now);
    else if (const auto* ended = std::get_if<KeyOrderEnded>(&event))
        onOrderEnded(*ended, now);
    else if (const auto* record = std::get_if<OwnerWriteEnded>(&event))
        onRecordEnded(*record, now);
    else if (const auto* load = std::get_if<KeyLoadReported>(&event))
        onLoad(*load, now);
    if (!std::holds_alternative<KeyLoadReported>(event))
        onTick(now);
    return std::move(m_actions);
}

bool KeyAssigner::step(Range& range, RangeEvent event)
{
    return acaciagauge::advance(builtInChart("range"), range.state, event);
}

void KeyAssigner::decide(const ServiceName& name, const Range& range, std::string what, std::string reason)
{
    m_actions.emplace_back(KeyDecision { name, range.keys, std::move(what), range.owner.id, std::move(reason) });
}

const KnownServer* KeyAssigner::usable(const ServerRun& run) const
{
    auto it = m_servers.find(run.id);
    bool isUsable = it != m_servers.end() && it->second.entry.run == run && it->second.status == ServerStatus::ready;
    return isUsable ? &it->second : nullptr;
}

bool KeyAssigner::mayOrder(const ServerId& server, bool isRelease) const
{
    const auto& inFlight = isRelease ? m_releasesInFlight : m_grantsInFlight;
    auto it = inFlight.find(server);
    return it == inFlight.end() || it->second < (isRelease ? m_options.maxReleases : m_options.maxGrants);
}

void KeyAssigner::onTick(TimePoint now)
{
    for (auto& it : m_services) {
        auto& service = it.second;
        if (!service.isDivided)
            divide(it.first, service, now);
        splitLeaving(service);
        advanceAll(it.first, service, now);
    }
    if (now >= m_nextPlan) {
        m_nextPlan = now + m_options.planEvery;
        for (auto& it : m_services) {
            if (!it.second.isDivided)
                continue;
            mergeNeighbours(it.second);
            planMoves(it.first, it.second, now);
        }
    }
    writeChunks(now);
}

// A server's orders go out one after the other: those that have waited longest first, or the last ranges would starve.
void KeyAssigner::advanceAll(const ServiceName& name, Service& service, TimePoint now)
{
    std::vector<Range*> order;
    order.reserve(service.ranges.size());
    for (auto& it : service.ranges)
        order.push_back(&it.second);
    std::stable_sort(
        order.begin(), order.end(), [](const auto* a, const auto* b) { return a->nextOrder < b->nextOrder; });
    for (auto* it : order)
        advance(name, service, *it, now);
}

// Neighbours with one owner need one renewal, not two.
void KeyAssigner::mergeNeighbours(Service& service)
{
    auto isAtRest = [](const Range& range) {
        return range.state == RangeState::held && range.orderId == 0 && !range.target && !range.mayReturn;
    };
    for (auto it = service.ranges.begin(); it != service.ranges.end();) {
        auto next = std::next(it);
        if (next == service.ranges.end())
            return;
        auto& left = it->second;
        const auto& right = next->second;
        bool isOne = isAtRest(left) && isAtRest(right) && left.owner == right.owner
            && chunkOf(left.keys) == chunkOf(right.keys);
        if (!isOne) {
            it = next;
            continue;
        }
        left.keys.to = right.keys.to;
        left.fence = std::max(left.fence, right.fence);
        left.heldUntil = std::max(left.heldUntil, right.heldUntil);
        left.nextOrder = std::min(left.nextOrder, right.nextOrder);
        service.ranges.erase(next);
    }
}

TimePoint KeyAssigner::nextDue(TimePoint now) const
{
    // Bounds the sleep so that a clock that was suspended is noticed soon after.
    auto due = now + std::chrono::seconds(1);
    if (!m_services.empty())
        due = std::min(due, m_nextPlan);
    if (!m_isWriting && m_nextWrite > now)
        due = std::min(due, m_nextWrite);
    for (const auto& service : m_services) {
        for (const auto& it : service.second.ranges) {
            const auto& range = it.second;
            bool waitsForTime
                = range.orderId == 0 && range.state != RangeState::unowned && range.state != RangeState::recording;
            bool isRelease = range.state == RangeState::releasing && !range.mayReturn;
            if (waitsForTime && mayOrder(range.owner.id, isRelease))
                due = std::min(due, std::max(range.nextOrder, now));
            if (range.state == RangeState::releasing)
                due = std::min(due, std::max(range.heldUntil, now));
        }
    }
    // Ranges whose server is busy with another order are looked at again when that order ends.
    constexpr auto shortestSleep = std::chrono::milliseconds(20);
    return std::max(due, now + shortestSleep);
}

std::map<std::string, std::size_t> KeyAssigner::countByState() const
{
    std::map<std::string, std::size_t> counts;
    const auto& states = builtInChart("range").states();
    for (const auto& service : m_services) {
        for (const auto& it : service.second.ranges)
            ++counts[states.at(static_cast<std::size_t>(it.second.state))];
    }
    return counts;
}

void KeyAssigner::onServers(const KeyServersChanged& event, TimePoint now)
{
    std::map<ServerId, KnownServer> servers;
    for (const auto& it : event.servers)
        servers.emplace(it.entry.run.id, it);
    for (const auto& it : servers) {
        auto known = m_servers.find(it.first);
        if (known == m_servers.end() || known->second.entry.run != it.second.entry.run)
            m_lastJoin[it.second.entry.service] = now;
    }
    m_servers = std::move(servers);
    loseReplaced();
    for (auto& service : m_services) {
        for (auto& it : service.second.ranges) {
            auto& range = it.second;
            auto known = m_servers.find(range.owner.id);
            bool isRestarted = known != m_servers.end() && known->second.entry.run.startedMs > range.owner.startedMs;
            if (range.state != RangeState::unowned && isRestarted)
                followRestart(service.first, range, known->second.entry.run, now);
        }
    }
}

// A process has ended once a later one has its address.
void KeyAssigner::loseReplaced()
{
    std::map<std::string, const ServerEntry*> newest;
    for (const auto& it : m_servers) {
        auto& entry = newest[it.second.entry.address];
        if (!entry || entry->run.startedMs < it.second.entry.run.startedMs)
            entry = &it.second.entry;
    }
    for (auto& service : m_services) {
        for (auto& it : service.second.ranges) {
            auto owner = m_servers.find(it.second.owner.id);
            if (it.second.state == RangeState::unowned || owner == m_servers.end())
                continue;
            if (newest.at(owner->second.entry.address) != &owner->second.entry)
                lose(service.first, it.second, "a later process has its address");
        }
    }
}

// The new run holds nothing of the former one, but a renewal meant for that one may have reached it: the keys stay with
// this id, or leave it by a release like any others.
void KeyAssigner::followRestart(const ServiceName& name, Range& range, const ServerRun& run, TimePoint now)
{
    decide(name, range, "restarted", "the owner was started again under its id");
    range.owner = run;
    range.handover.clear();
    range.isFenceUsed = false;
    range.nextOrder = now;
    if (range.state == RangeState::held)
        range.state = RangeState::granting;
    touchChunk(name, range);
}

void KeyAssigner::onServices(const KeyServicesChanged& event, TimePoint now)
{
    for (const auto& it : event.services)
        m_services.try_emplace(it, newService(now));
}

void KeyAssigner::onLoad(const KeyLoadReported& event, TimePoint now)
{
    for (const auto& it : event.report.keys) {
        auto service = m_services.find(it.first);
        if (service != m_services.end())
            service->second.load.add(it.second, now);
    }
    std::map<ServiceName, std::map<ServerId, ServiceTimes>> times;
    for (const auto& it : event.report.times) {
        auto server = m_servers.find(it.first);
        if (server != m_servers.end())
            times[server->second.entry.service][it.first] = it.second;
    }
    for (const auto& it : times) {
        auto service = m_services.find(it.first);
        if (service != m_services.end())
            service->second.speeds.add(it.second, now);
    }
}

void KeyAssigner::divide(const ServiceName& name, Service& service, TimePoint now)
{
    auto joined = m_lastJoin.find(name);
    if (joined == m_lastJoin.end() || now - joined->second < m_options.settleTime)
        return;
    service.isDivided = true;
    for (const auto& it : KeyPlacement::divide(placementInput(name, service).servers)) {
        Range range;
        range.keys = it.keys;
        range.target = it.owner;
        service.ranges[it.keys.from] = std::move(range);
    }
    service.isDivided = !service.ranges.empty();
}

KeyPlacement::Input KeyAssigner::placementInput(const ServiceName& name, const Service& service) const
{
    KeyPlacement::Input input;
    input.load = &service.load;
    std::set<ServerId> owners;
    for (const auto& it : service.ranges) {
        const auto& range = it.second;
        auto owner = range.target.value_or(range.state == RangeState::unowned ? ServerId() : range.owner.id);
        if (owner.empty())
            continue;
        owners.insert(owner);
        bool isMovable = range.state == RangeState::held && !range.target;
        if (range.target && range.state != RangeState::unowned)
            ++input.movesInProgress;
        input.ranges.push_back({ range.keys, owner, isMovable });
    }
    for (const auto& it : m_servers) {
        if (it.second.entry.service != name)
            continue;
        KeyPlacement::Server server;
        server.id = it.first;
        server.capacity = std::max(1U, it.second.entry.slots) * service.speeds.speed(it.first);
        server.isUsable = it.second.status == ServerStatus::ready;
        server.isNew = !owners.contains(it.first);
        input.servers.push_back(server);
    }
    return input;
}

KeyAssigner::Range& KeyAssigner::cut(Service& service, Range& range, const KeyRange& part)
{
    auto whole = range.keys;
    auto insert = [&](const KeyRange& keys) {
        Range piece = range;
        piece.keys = keys;
        service.ranges[keys.from] = std::move(piece);
    };
    if (part.to < whole.to)
        insert({ part.to + 1, whole.to });
    if (part.from == whole.from) {
        range.keys = part;
        return range;
    }
    insert(part);
    range.keys = { whole.from, part.from - 1 };
    return service.ranges.at(part.from);
}

void KeyAssigner::splitLeaving(Service& service)
{
    // The keys of a leaving server are spread, so that no other server gets them all.
    constexpr std::size_t pieces = 3;
    constexpr KeyNumber leastWidth = 64;
    std::vector<KeyNumber> leaving;
    for (const auto& it : service.ranges) {
        const auto& range = it.second;
        bool isLeaving = range.state == RangeState::held && range.orderId == 0 && !range.target && !usable(range.owner);
        if (isLeaving && range.keys.width() >= leastWidth)
            leaving.push_back(it.first);
    }
    for (auto from : leaving) {
        auto keys = service.ranges.at(from).keys;
        for (const auto& piece : KeyPlacement::split(service.load, keys, pieces)) {
            auto holder = std::prev(service.ranges.upper_bound(piece.from));
            cut(service, holder->second, piece);
        }
    }
}

void KeyAssigner::planMoves(const ServiceName& name, Service& service, TimePoint now)
{
    for (const auto& it : KeyPlacement::plan(m_options.placement, placementInput(name, service))) {
        auto holder = std::prev(service.ranges.upper_bound(it.keys.from));
        if (holder->second.orderId != 0)
            continue;
        auto& range = cut(service, holder->second, it.keys);
        range.target = it.to;
        decide(name, range, "move", "load, to " + it.to);
        step(range, RangeEvent::moveAsked);
        range.nextOrder = now;
        advance(name, service, range, now);
    }
}

void KeyAssigner::advance(const ServiceName& name, Service& service, Range& range, TimePoint now)
{
    bool isWaitedOut = range.state == RangeState::releasing && range.orderId == 0 && now >= range.heldUntil;
    if (isWaitedOut) {
        step(range, RangeEvent::expired);
        decide(name, range, "expired", "the server's grants have run out");
    }
    switch (range.state) {
    case RangeState::unowned:
        assign(name, service, range);
        break;
    case RangeState::recording: {
        bool isRecorded = m_chunks[{ name, chunkOf(range.keys) }].written >= range.recordNumber;
        if (!isRecorded)
            break;
        step(range, RangeEvent::recorded);
        range.nextOrder = now;
        if (usable(range.owner))
            sendGrant(name, range, now);
        break;
    }
    case RangeState::granting:
    case RangeState::held:
        if (!usable(range.owner))
            leaveServer(name, range, now);
        else if (now >= range.nextOrder)
            sendGrant(name, range, now);
        break;
    case RangeState::releasing: {
        bool mayStay = !range.target && range.orderId == 0 && usable(range.owner);
        if (mayStay) {
            step(range, RangeEvent::stayed);
            range.nextOrder = now;
            freshFence(range);
            decide(name, range, "stay", "the server is back");
            sendGrant(name, range, now);
        } else if (now >= range.nextOrder) {
            // Until a newer fence has been seen there, a late grant could undo the release.
            range.mayReturn ? sendFencingGrant(name, range, now) : sendRelease(name, range, now);
        }
        break;
    }
    }
}

void KeyAssigner::assign(const ServiceName& name, const Service& service, Range& range)
{
    auto isUsable = [&](const ServerId& id) {
        auto it = m_servers.find(id);
        return it != m_servers.end() && it->second.status == ServerStatus::ready;
    };
    if (range.target && !isUsable(*range.target))
        range.target.reset();
    auto target = range.target;
    // A server that was started again under its id takes up the keys that it had.
    if (!target && isUsable(range.owner.id))
        target = range.owner.id;
    if (!target)
        target = KeyPlacement::pick(placementInput(name, service), range.keys);
    if (!target)
        return;
    range.owner = m_servers.at(*target).entry.run;
    range.target.reset();
    range.isFenceUsed = false;
    range.mayReturn = false;
    range.heldUntil = {};
    step(range, RangeEvent::assigned);
    touchChunk(name, range);
    range.recordNumber = m_chunks[{ name, chunkOf(range.keys) }].wanted;
    decide(name, range, "assign", range.handover.empty() ? "without handover" : "with handover");
}

void KeyAssigner::leaveServer(const ServiceName& name, Range& range, TimePoint now)
{
    if (range.orderId != 0)
        return;
    if (!range.isFenceUsed && range.heldUntil <= now) {
        // Nothing was ever sent to it under this assignment.
        step(range, RangeEvent::expired);
        return;
    }
    decide(name, range, "release", "the server is leaving or gone");
    step(range, RangeEvent::moveAsked);
    range.nextOrder = now;
}

void KeyAssigner::freshFence(Range& range)
{
    range.fence = packFence({ m_epoch, ++m_sequence });
    range.isFenceUsed = false;
}

void KeyAssigner::noteHold(Range& range, Duration hold, TimePoint latestArrival)
{
    auto end = latestArrival + withMargin(hold, m_options.clockMargin) + m_options.expiryMargin;
    range.heldUntil = std::max(range.heldUntil, end);
}

void KeyAssigner::sendGrant(const ServiceName& name, Range& range, TimePoint now)
{
    sendGrantFor(name, range, m_options.grantDuration, now);
}

// Makes the server refuse what an earlier grant without an answer may still bring. Its hold is long enough for work in
// progress, and short enough not to put off the end of the grants that are waited out.
void KeyAssigner::sendFencingGrant(const ServiceName& name, Range& range, TimePoint now)
{
    auto end = now + m_options.orderTimeout + withMargin(m_options.fencingHold, m_options.clockMargin)
        + m_options.expiryMargin;
    if (end < range.heldUntil)
        sendGrantFor(name, range, m_options.fencingHold, now);
    else
        range.nextOrder = range.heldUntil;
}

void KeyAssigner::sendGrantFor(const ServiceName& name, Range& range, Duration hold, TimePoint now)
{
    if (range.orderId != 0 || !mayOrder(range.owner.id, false))
        return;
    auto server = m_servers.find(range.owner.id);
    if (server == m_servers.end()) {
        range.nextOrder = now + m_options.retryAfter;
        return;
    }
    // The process may have been started again under its id, unnoticed so far: another run needs a higher fence, and a
    // renewal cannot be told from a first grant there. A fence that always rises also outdates every late order.
    freshFence(range);
    range.orderId = ++m_lastOrder;
    range.isRelease = false;
    range.isFenceUsed = true;
    range.orderHold = hold;
    noteHold(range, hold, now + m_options.orderTimeout);
    m_orders[range.orderId] = { name, range.keys.from, range.owner.id, false };
    ++m_grantsInFlight[range.owner.id];
    m_actions.emplace_back(SendKeyGrant { range.orderId, range.owner, server->second.entry.address, range.keys,
        range.fence, std::chrono::duration_cast<std::chrono::milliseconds>(hold), range.handover });
}

void KeyAssigner::sendRelease(const ServiceName& name, Range& range, TimePoint now)
{
    if (range.orderId != 0 || !mayOrder(range.owner.id, true))
        return;
    auto server = m_servers.find(range.owner.id);
    if (server == m_servers.end()) {
        range.nextOrder = now + m_options.retryAfter;
        return;
    }
    range.orderId = ++m_lastOrder;
    range.isRelease = true;
    m_orders[range.orderId] = { name, range.keys.from, range.owner.id, true };
    ++m_releasesInFlight[range.owner.id];
    m_actions.emplace_back(
        SendKeyRelease { range.orderId, range.owner, server->second.entry.address, range.keys, range.fence });
}

void KeyAssigner::lose(const ServiceName& name, Range& range, const std::string& reason)
{
    decide(name, range, "lost", reason);
    range.orderId = 0;
    range.handover.clear();
    range.mayReturn = false;
    range.heldUntil = {};
    range.state = RangeState::unowned;
}

void KeyAssigner::onOrderEnded(const KeyOrderEnded& event, TimePoint now)
{
    auto order = m_orders.find(event.orderId);
    if (order == m_orders.end())
        return;
    auto ref = order->second;
    m_orders.erase(order);
    --(ref.isRelease ? m_releasesInFlight : m_grantsInFlight)[ref.server];
    auto service = m_services.find(ref.service);
    auto found = service->second.ranges.find(ref.from);
    if (found == service->second.ranges.end() || found->second.orderId != event.orderId)
        return;
    auto& range = found->second;
    range.orderId = 0;
    range.nextOrder = now + m_options.retryAfter;
    if (ref.isRelease) {
        if (event.outcome == KeyOrderOutcome::done) {
            range.handover = event.handover;
            step(range, RangeEvent::released);
            range.heldUntil = {};
            decide(ref.service, range, "released", event.handover.empty() ? "without handover" : "with handover");
        } else if (event.outcome == KeyOrderOutcome::wrongServer) {
            lose(ref.service, range, "another server has its address");
        }
        return;
    }
    switch (event.outcome) {
    case KeyOrderOutcome::done:
        noteHold(range, range.orderHold, now);
        range.mayReturn = false;
        range.handover.clear();
        step(range, RangeEvent::granted);
        range.nextOrder = range.state == RangeState::releasing ? now : now + m_options.renewInterval;
        break;
    case KeyOrderOutcome::staleFence:
        m_actions.emplace_back(CheckAuthority {});
        decide(ref.service, range, "fenced", "the server has seen a higher fence");
        range.isFenceUsed = false;
        range.nextOrder = now + std::chrono::seconds(1);
        break;
    case KeyOrderOutcome::wrongServer:
        lose(ref.service, range, "another server has its address");
        break;
    case KeyOrderOutcome::refused:
    case KeyOrderOutcome::notSent:
        break;
    case KeyOrderOutcome::unanswered:
        noteHold(range, range.orderHold, now);
        range.mayReturn = true;
        break;
    }
}

void KeyAssigner::touchChunk(const ServiceName& name, Range& range)
{
    m_chunks[{ name, chunkOf(range.keys) }].wanted = ++m_lastContent;
}

OwnerChunk KeyAssigner::chunkContent(const ChunkId& id) const
{
    OwnerChunk content;
    content.epoch = m_epoch;
    const auto& ranges = m_services.at(id.service).ranges;
    auto from = id.number * keysPerChunk;
    for (auto it = ranges.lower_bound(from); it != ranges.end() && chunkOf(it->second.keys) == id.number; ++it) {
        if (it->second.state != RangeState::unowned)
            content.owners.push_back({ it->second.keys, it->second.owner });
    }
    return content;
}

void KeyAssigner::writeChunks(TimePoint now)
{
    if (m_isWriting || now < m_nextWrite)
        return;
    WriteOwnerChunks write;
    for (auto& it : m_chunks) {
        if (it.second.wanted == it.second.written || write.chunks.size() == maxChunksPerWrite)
            continue;
        it.second.sent = it.second.wanted;
        write.chunks.emplace(it.first, chunkContent(it.first));
    }
    if (write.chunks.empty())
        return;
    m_isWriting = true;
    m_actions.emplace_back(std::move(write));
}

void KeyAssigner::onRecordEnded(const OwnerWriteEnded& event, TimePoint now)
{
    m_isWriting = false;
    for (auto& it : m_chunks) {
        if (event.written && it.second.sent > it.second.written)
            it.second.written = it.second.sent;
        it.second.sent = 0;
    }
    if (!event.written)
        m_nextWrite = now + m_options.retryAfter;
}

} // namespace acaciagauge
