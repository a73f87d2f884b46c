#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>

namespace acaciagauge {

namespace {

    constexpr unsigned sequenceBits = 32;

    /// The store accepts at most 32 rows in a transaction: one for the controller's key and two for each chunk.
    constexpr std::size_t maxChunksPerWrite = 15;

    std::uint32_t chunkNumberOf(const KeyRange& keys)
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
    , m_startedAt(now)
    , m_nextWriteAt(now)
    , m_nextPlanAt(now + options.planInterval)
{
}

KeyAssigner::Service KeyAssigner::newService(TimePoint now)
{
    return { {}, KeyLoad::create({}, now), ServerSpeeds::create({}, now), false };
}

namespace {

    bool hasNewerServerAtAddress(const std::map<ServerId, KnownServer>& servers, const ServerRun& owner)
    {
        auto known = servers.find(owner.id);
        return known != servers.end() && std::any_of(servers.begin(), servers.end(), [&](const auto& it) {
            const auto& entry = it.second.entry;
            return it.first != owner.id && entry.address == known->second.entry.address
                && entry.run.startedMs > owner.startedMs;
        });
    }

} // namespace

KeyAssigner KeyAssigner::create(Options options, Epoch epoch, const KeyOwnerMap& recorded, TimePoint now)
{
    KeyAssigner assigner(options, epoch, now);
    for (const auto& chunk : recorded.chunks()) {
        auto& service = assigner.m_services.try_emplace(chunk.first.service, newService(now)).first->second;
        for (const auto& it : chunk.second.owners) {
            Range range;
            range.keys = it.range;
            range.owner = it.owner;
            range.state = RangeState::granting;
            // The previous controller may have sent a renewal just before its authority ended.
            range.hasUnresolvedGrant = true;
            assigner.extendHeldUntil(range, options.grantDuration, now + options.orderTimeout);
            range.nextOrderAt = now;
            service.ranges.emplace(range.keys.from, std::move(range));
            service.isDivided = true;
        }
    }
    // Keys outside the recorded ranges have never been granted, or their last owner has released them.
    for (auto& it : assigner.m_services) {
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
    return assigner;
}

std::vector<KeyAction> KeyAssigner::handle(const KeyEvent& event, TimePoint now)
{
    m_actions.clear();
    m_handledAt = now;
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
    else if (const auto* lost = std::get_if<OwnerRecordsLost>(&event))
        onRecordsLost(*lost);
    if (!std::holds_alternative<KeyLoadReported>(event))
        onTick(now);
    return std::move(m_actions);
}

bool KeyAssigner::applyEvent(Range& range, RangeEvent event)
{
    return acaciagauge::advance(builtInChart("range"), range.state, event);
}

void KeyAssigner::logDecision(const ServiceName& name, const Range& range, std::string what, std::string reason)
{
    m_actions.emplace_back(KeyDecision { name, range.keys, std::move(what), range.owner.id, std::move(reason) });
}

const KnownServer* KeyAssigner::readyServer(const ServerRun& run) const
{
    auto it = m_servers.find(run.id);
    bool isUsable = it != m_servers.end() && it->second.entry.run == run && it->second.isUsable();
    return isUsable ? &it->second : nullptr;
}

bool KeyAssigner::maySendOrder(const ServerId& server, bool isRelease) const
{
    const auto& inFlight = isRelease ? m_releasesInFlight : m_grantsInFlight;
    auto it = inFlight.find(server);
    return it == inFlight.end()
        || it->second < (isRelease ? m_options.maxReleasesInFlight : m_options.maxGrantsInFlight);
}

void KeyAssigner::onTick(TimePoint now)
{
    for (auto& it : m_services) {
        auto& service = it.second;
        if (!service.isDivided)
            divide(it.first, service, now);
        splitRangesOfLeavingServers(service);
        advanceAll(it.first, service, now);
    }
    if (now >= m_nextPlanAt) {
        m_nextPlanAt = now + m_options.planInterval;
        dropEndedRateLimits(now);
        for (auto& it : m_services) {
            if (!it.second.isDivided)
                continue;
            mergeAdjacentRanges(it.second);
            planMoves(it.first, it.second, now);
        }
    }
    writeChangedChunks(now);
}

// The orders in flight to a server are limited, so ranges that have waited longest go first: in the order of keys the
// last ranges would starve.
void KeyAssigner::advanceAll(const ServiceName& name, Service& service, TimePoint now)
{
    std::vector<Range*> longestWaitingFirst;
    longestWaitingFirst.reserve(service.ranges.size());
    for (auto& it : service.ranges)
        longestWaitingFirst.push_back(&it.second);
    std::stable_sort(longestWaitingFirst.begin(), longestWaitingFirst.end(),
        [](const auto* a, const auto* b) { return a->nextOrderAt < b->nextOrderAt; });
    for (auto* it : longestWaitingFirst)
        advance(name, service, *it, now);
}

// Adjacent ranges with the same owner are merged, so that one renewal covers both.
void KeyAssigner::mergeAdjacentRanges(Service& service)
{
    auto isIdle = [](const Range& range) {
        return range.state == RangeState::held && range.orderId == 0 && !range.target && !range.hasUnresolvedGrant;
    };
    for (auto it = service.ranges.begin(); it != service.ranges.end();) {
        auto next = std::next(it);
        if (next == service.ranges.end())
            return;
        auto& left = it->second;
        const auto& right = next->second;
        bool canMerge = isIdle(left) && isIdle(right) && left.owner == right.owner
            && chunkNumberOf(left.keys) == chunkNumberOf(right.keys);
        if (!canMerge) {
            it = next;
            continue;
        }
        left.keys.to = right.keys.to;
        left.fence = std::max(left.fence, right.fence);
        left.heldUntil = std::max(left.heldUntil, right.heldUntil);
        left.nextOrderAt = std::min(left.nextOrderAt, right.nextOrderAt);
        service.ranges.erase(next);
    }
}

TimePoint KeyAssigner::nextDue(TimePoint now) const
{
    // The sleep is bounded so that a suspended clock is noticed soon after it resumes.
    auto due = now + std::chrono::seconds(1);
    if (!m_services.empty())
        due = std::min(due, m_nextPlanAt);
    if (!m_isWriteInFlight && m_nextWriteAt > now)
        due = std::min(due, m_nextWriteAt);
    for (const auto& service : m_services) {
        for (const auto& it : service.second.ranges) {
            const auto& range = it.second;
            bool waitsForNextOrder
                = range.orderId == 0 && range.state != RangeState::unowned && range.state != RangeState::recording;
            bool isRelease = range.state == RangeState::releasing && !range.hasUnresolvedGrant;
            if (waitsForNextOrder && maySendOrder(range.owner.id, isRelease))
                due = std::min(due, std::max(range.nextOrderAt, now));
            if (range.state == RangeState::releasing)
                due = std::min(due, std::max(range.heldUntil, now));
        }
    }
    // Ranges that wait for an order slot of their server need no timer: the end of another order advances them.
    constexpr auto minSleep = std::chrono::milliseconds(20);
    return std::max(due, now + minSleep);
}

KeyWorkload KeyAssigner::workload(TimePoint now) const
{
    KeyWorkload workload;
    workload.ordersSent = m_lastOrderId;
    workload.ordersInFlight = m_ordersInFlight.size();
    const auto& states = builtInChart("range").states();
    for (const auto& service : m_services) {
        workload.ranges += service.second.ranges.size();
        for (const auto& it : service.second.ranges) {
            const auto& range = it.second;
            ++workload.rangesByState[states.at(static_cast<std::size_t>(range.state))];
            bool hasOrders = range.state != RangeState::unowned && range.state != RangeState::recording;
            if (hasOrders && range.orderId == 0)
                workload.longestOverdue = std::max(workload.longestOverdue, now - range.nextOrderAt);
        }
    }
    return workload;
}

void KeyAssigner::onServers(const KeyServersChanged& event, TimePoint now)
{
    std::map<ServerId, KnownServer> servers;
    for (const auto& it : event.servers)
        servers.emplace(it.entry.run.id, it);
    std::map<std::string, const ServerEntry*> newestAt;
    for (const auto& it : servers) {
        const auto& entry = it.second.entry;
        auto known = m_servers.find(it.first);
        bool isNewRun = known == m_servers.end() || known->second.entry.run != entry.run;
        if (isNewRun)
            m_lastJoinedAt[entry.service] = now;
        if (!isNewRun && known->second.entry.address == entry.address)
            continue;
        auto& newest = newestAt[entry.address];
        if (!newest || newest->run.startedMs < entry.run.startedMs)
            newest = &entry;
    }
    m_servers = std::move(servers);
    checkOwnersAt(newestAt, now);
    for (auto& service : m_services) {
        for (auto& it : service.second.ranges) {
            auto& range = it.second;
            auto known = m_servers.find(range.owner.id);
            bool hasRestarted = known != m_servers.end() && known->second.entry.run.startedMs > range.owner.startedMs;
            if (range.state != RangeState::unowned && hasRestarted)
                handleOwnerRestart(service.first, range, known->second.entry.run, now);
        }
    }
}

// A newer server at an owner's address suggests that the owner's process has ended, but its entry proves nothing:
// another writer may have put it, and a server that is up keeps its keys. The next order is sent at once instead; a
// process that is not the owner rejects it.
void KeyAssigner::checkOwnersAt(const std::map<std::string, const ServerEntry*>& joined, TimePoint now)
{
    if (joined.empty())
        return;
    for (auto& service : m_services) {
        for (auto& it : service.second.ranges) {
            auto& range = it.second;
            auto owner = m_servers.find(range.owner.id);
            if (range.state == RangeState::unowned || owner == m_servers.end())
                continue;
            auto newer = joined.find(owner->second.entry.address);
            if (newer == joined.end() || newer->second->run.startedMs <= range.owner.startedMs
                || newer->second->run.id == range.owner.id)
                continue;
            logDecision(service.first, range, "check",
                "server " + newer->second->run.id + " has its address and a later start");
            range.nextOrderAt = now;
        }
    }
}

// The new process holds none of its predecessor's grants, but a renewal sent to the predecessor may have reached it.
// The keys therefore stay with this server id until they are released like any others.
void KeyAssigner::handleOwnerRestart(const ServiceName& name, Range& range, const ServerRun& run, TimePoint now)
{
    logDecision(name, range, "restarted", "the owner restarted under the same id");
    range.owner = run;
    range.handover.clear();
    range.isFenceSent = false;
    range.nextOrderAt = now;
    if (range.state == RangeState::held)
        range.state = RangeState::granting;
    markChunkChanged(name, range);
}

void KeyAssigner::onServices(const KeyServicesChanged& event, TimePoint now)
{
    m_isLoadUneven = event.isLoadUneven;
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
    for (const auto& it : event.report.rateLimits)
        m_rateLimits[it.first] = { it.second, now };
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
    auto joined = m_lastJoinedAt.find(name);
    if (joined == m_lastJoinedAt.end() || now - joined->second < m_options.initialDivisionDelay)
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
        server.capacity = capacityOf(it.second, service);
        server.isUsable = it.second.isUsable();
        if (m_handledAt < it.second.warmUntil)
            server.maxRate = it.second.coldRate;
        server.isNew = !owners.contains(it.first);
        input.servers.push_back(server);
    }
    return input;
}

// A server that limits its rate has as many slots' worth of capacity as its limit keeps busy.
double KeyAssigner::capacityOf(const KnownServer& server, const Service& service) const
{
    constexpr double minCapacity = 0.05;
    auto capacity = std::max(1U, server.entry.slots) * service.speeds.speed(server.entry.run.id);
    auto limit = m_rateLimits.find(server.entry.run.id);
    auto serviceTime = std::chrono::duration<double>(service.speeds.meanServiceTime()).count();
    if (limit != m_rateLimits.end() && serviceTime > 0)
        capacity = std::clamp(limit->second.perSecond * serviceTime, minCapacity, capacity);
    return capacity;
}

KeyPlacement::Options KeyAssigner::placementOptions(const KeyPlacement::Input& input) const
{
    auto options = m_options.placement;
    if (!m_isLoadUneven)
        return options;
    auto usable = std::count_if(input.servers.begin(), input.servers.end(), [](const auto& it) { return it.isUsable; });
    auto moves = static_cast<std::size_t>(static_cast<double>(usable) * m_options.unevenMovesPerServer);
    options.maxMoves = std::max(options.maxMoves, moves);
    options.noiseMargin = m_options.unevenNoiseMargin;
    return options;
}

void KeyAssigner::dropEndedRateLimits(TimePoint now)
{
    std::erase_if(
        m_rateLimits, [&](const auto& it) { return now - it.second.reportedAt > m_options.rateLimitLifetime; });
}

// Splits a range so that `part` becomes a range of its own, and returns that one.
KeyAssigner::Range& KeyAssigner::splitOff(Service& service, Range& range, const KeyRange& part)
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

void KeyAssigner::splitRangesOfLeavingServers(Service& service)
{
    // Each range of a leaving server is split, so that its keys are spread over several servers.
    constexpr std::size_t pieces = 3;
    constexpr KeyNumber minWidth = 64;
    std::vector<KeyNumber> leaving;
    for (const auto& it : service.ranges) {
        const auto& range = it.second;
        bool isLeaving
            = range.state == RangeState::held && range.orderId == 0 && !range.target && !readyServer(range.owner);
        if (isLeaving && range.keys.width() >= minWidth)
            leaving.push_back(it.first);
    }
    for (auto from : leaving) {
        auto keys = service.ranges.at(from).keys;
        for (const auto& piece : KeyPlacement::split(service.load, keys, pieces)) {
            auto holder = std::prev(service.ranges.upper_bound(piece.from));
            splitOff(service, holder->second, piece);
        }
    }
}

void KeyAssigner::planMoves(const ServiceName& name, Service& service, TimePoint now)
{
    auto input = placementInput(name, service);
    auto options = placementOptions(input);
    for (const auto& it : KeyPlacement::plan(options, std::move(input))) {
        auto holder = std::prev(service.ranges.upper_bound(it.keys.from));
        if (holder->second.orderId != 0)
            continue;
        auto& range = splitOff(service, holder->second, it.keys);
        range.target = it.to;
        logDecision(name, range, "move", "load balancing, to " + it.to);
        applyEvent(range, RangeEvent::moveAsked);
        range.nextOrderAt = now;
        advance(name, service, range, now);
    }
}

void KeyAssigner::advance(const ServiceName& name, Service& service, Range& range, TimePoint now)
{
    bool hasGrantExpired = range.state == RangeState::releasing && range.orderId == 0 && now >= range.heldUntil;
    if (hasGrantExpired) {
        applyEvent(range, RangeEvent::expired);
        logDecision(name, range, "expired", "the server's grants have expired");
    }
    switch (range.state) {
    case RangeState::unowned:
        assign(name, service, range);
        break;
    case RangeState::recording: {
        bool isRecorded = m_chunks[{ name, chunkNumberOf(range.keys) }].writtenVersion >= range.recordVersion;
        if (!isRecorded)
            break;
        applyEvent(range, RangeEvent::recorded);
        range.nextOrderAt = now;
        if (readyServer(range.owner))
            sendGrant(name, range, now);
        break;
    }
    case RangeState::granting:
    case RangeState::held:
        if (!readyServer(range.owner))
            startRelease(name, range, now);
        else if (now >= range.nextOrderAt)
            sendGrant(name, range, now);
        break;
    case RangeState::releasing: {
        bool mayStay = !range.target && range.orderId == 0 && readyServer(range.owner);
        if (mayStay) {
            applyEvent(range, RangeEvent::stayed);
            range.nextOrderAt = now;
            assignNewFence(range);
            logDecision(name, range, "stay", "the server is ready again");
            sendGrant(name, range, now);
        } else if (now >= range.nextOrderAt) {
            // Until the server has seen a newer fence, a delayed grant could undo the release.
            range.hasUnresolvedGrant ? sendFencingGrant(name, range, now) : sendRelease(name, range, now);
        }
        break;
    }
    }
}

void KeyAssigner::assign(const ServiceName& name, const Service& service, Range& range)
{
    auto isUsable = [&](const ServerId& id) {
        auto it = m_servers.find(id);
        return it != m_servers.end() && it->second.isUsable();
    };
    if (range.target && !isUsable(*range.target))
        range.target.reset();
    auto target = range.target;
    // A server that restarted under the same id gets its former keys back.
    if (!target && isUsable(range.owner.id))
        target = range.owner.id;
    if (!target)
        target = KeyPlacement::pick(placementInput(name, service), range.keys);
    if (!target)
        return;
    range.owner = m_servers.at(*target).entry.run;
    range.target.reset();
    range.isFenceSent = false;
    range.hasUnresolvedGrant = false;
    range.heldUntil = {};
    applyEvent(range, RangeEvent::assigned);
    markChunkChanged(name, range);
    range.recordVersion = m_chunks[{ name, chunkNumberOf(range.keys) }].wantedVersion;
    logDecision(name, range, "assign", range.handover.empty() ? "without handover" : "with handover");
}

void KeyAssigner::startRelease(const ServiceName& name, Range& range, TimePoint now)
{
    if (range.orderId != 0)
        return;
    if (!range.isFenceSent && range.heldUntil <= now) {
        // No grant of this assignment was ever sent.
        applyEvent(range, RangeEvent::expired);
        return;
    }
    logDecision(name, range, "release", "the server is draining or gone, or its domain is evacuated");
    applyEvent(range, RangeEvent::moveAsked);
    range.nextOrderAt = now;
}

void KeyAssigner::assignNewFence(Range& range)
{
    range.fence = packFence({ m_epoch, ++m_sequence });
    range.isFenceSent = false;
}

void KeyAssigner::extendHeldUntil(Range& range, Duration duration, TimePoint latestArrival)
{
    auto end = latestArrival + withMargin(duration, m_options.clockMargin) + m_options.expiryMargin;
    range.heldUntil = std::max(range.heldUntil, end);
}

void KeyAssigner::sendGrant(const ServiceName& name, Range& range, TimePoint now)
{
    sendGrantWithDuration(name, range, m_options.grantDuration, now);
}

// Raises the fence at the server, so that it rejects an earlier, unanswered grant that arrives late. The duration is
// long enough for requests in progress, and short enough not to delay the expiry of the earlier grants: a fencing grant
// that would outlast them is not sent.
void KeyAssigner::sendFencingGrant(const ServiceName& name, Range& range, TimePoint now)
{
    auto end = now + m_options.orderTimeout + withMargin(m_options.fencingGrantDuration, m_options.clockMargin)
        + m_options.expiryMargin;
    if (end < range.heldUntil)
        sendGrantWithDuration(name, range, m_options.fencingGrantDuration, now);
    else
        range.nextOrderAt = range.heldUntil;
}

void KeyAssigner::sendGrantWithDuration(const ServiceName& name, Range& range, Duration duration, TimePoint now)
{
    if (range.orderId != 0 || !maySendOrder(range.owner.id, false))
        return;
    auto server = m_servers.find(range.owner.id);
    if (server == m_servers.end()) {
        range.nextOrderAt = now + m_options.retryDelay;
        return;
    }
    // The process may have restarted under the same id, unnoticed so far. A new process needs a higher fence, and for
    // it a renewal looks like a first grant. A fence that rises with every grant also outdates every late order.
    assignNewFence(range);
    range.orderId = ++m_lastOrderId;
    range.isRelease = false;
    range.isFenceSent = true;
    range.sentGrantDuration = duration;
    extendHeldUntil(range, duration, now + m_options.orderTimeout);
    m_ordersInFlight[range.orderId] = { name, range.keys.from, range.owner.id, false };
    ++m_grantsInFlight[range.owner.id];
    m_actions.emplace_back(SendKeyGrant { range.orderId, range.owner, server->second.entry.address, range.keys,
        range.fence, std::chrono::duration_cast<std::chrono::milliseconds>(duration), range.handover });
}

void KeyAssigner::sendRelease(const ServiceName& name, Range& range, TimePoint now)
{
    if (range.orderId != 0 || !maySendOrder(range.owner.id, true))
        return;
    auto server = m_servers.find(range.owner.id);
    if (server == m_servers.end()) {
        range.nextOrderAt = now + m_options.retryDelay;
        return;
    }
    range.orderId = ++m_lastOrderId;
    range.isRelease = true;
    m_ordersInFlight[range.orderId] = { name, range.keys.from, range.owner.id, true };
    ++m_releasesInFlight[range.owner.id];
    m_actions.emplace_back(
        SendKeyRelease { range.orderId, range.owner, server->second.entry.address, range.keys, range.fence });
}

void KeyAssigner::markLost(const ServiceName& name, Range& range, const std::string& reason)
{
    logDecision(name, range, "lost", reason);
    range.orderId = 0;
    range.handover.clear();
    range.hasUnresolvedGrant = false;
    range.heldUntil = {};
    range.state = RangeState::unowned;
}

void KeyAssigner::onOrderEnded(const KeyOrderEnded& event, TimePoint now)
{
    auto order = m_ordersInFlight.find(event.orderId);
    if (order == m_ordersInFlight.end())
        return;
    auto sent = order->second;
    m_ordersInFlight.erase(order);
    --(sent.isRelease ? m_releasesInFlight : m_grantsInFlight)[sent.server];
    auto service = m_services.find(sent.service);
    auto found = service->second.ranges.find(sent.from);
    if (found == service->second.ranges.end() || found->second.orderId != event.orderId)
        return;
    auto& range = found->second;
    range.orderId = 0;
    range.nextOrderAt = now + m_options.retryDelay;
    // A server never refuses to release its keys, nor a renewal: another process uses the address.
    bool isReplaced = event.outcome == KeyOrderOutcome::refused && hasNewerServerAtAddress(m_servers, range.owner);
    if (isReplaced)
        return markLost(
            sent.service, range, "a newer server has its address, and the process there refuses its orders");
    if (sent.isRelease) {
        if (event.outcome == KeyOrderOutcome::done) {
            range.handover = event.handover;
            applyEvent(range, RangeEvent::released);
            range.heldUntil = {};
            logDecision(sent.service, range, "released", event.handover.empty() ? "without handover" : "with handover");
        } else if (event.outcome == KeyOrderOutcome::wrongServer) {
            markLost(sent.service, range, "another server uses its address");
        }
        return;
    }
    switch (event.outcome) {
    case KeyOrderOutcome::done:
        extendHeldUntil(range, range.sentGrantDuration, now);
        range.hasUnresolvedGrant = false;
        range.handover.clear();
        applyEvent(range, RangeEvent::granted);
        range.nextOrderAt = range.state == RangeState::releasing ? now : now + m_options.renewInterval;
        break;
    case KeyOrderOutcome::staleFence:
        m_actions.emplace_back(CheckAuthority {});
        logDecision(sent.service, range, "fenced", "the server has seen a higher fence");
        range.isFenceSent = false;
        range.nextOrderAt = now + std::chrono::seconds(1);
        break;
    case KeyOrderOutcome::wrongServer:
        markLost(sent.service, range, "another server uses its address");
        break;
    case KeyOrderOutcome::refused:
    case KeyOrderOutcome::notSent:
        break;
    case KeyOrderOutcome::unanswered:
        extendHeldUntil(range, range.sentGrantDuration, now);
        range.hasUnresolvedGrant = true;
        break;
    }
}

void KeyAssigner::markChunkChanged(const ServiceName& name, Range& range)
{
    m_chunks[{ name, chunkNumberOf(range.keys) }].wantedVersion = ++m_lastChunkVersion;
}

OwnerChunk KeyAssigner::chunkContent(const ChunkId& id) const
{
    OwnerChunk content;
    content.epoch = m_epoch;
    const auto& ranges = m_services.at(id.service).ranges;
    auto from = id.number * keysPerChunk;
    for (auto it = ranges.lower_bound(from); it != ranges.end() && chunkNumberOf(it->second.keys) == id.number; ++it) {
        if (it->second.state != RangeState::unowned)
            content.owners.push_back({ it->second.keys, it->second.owner });
    }
    return content;
}

void KeyAssigner::writeChangedChunks(TimePoint now)
{
    if (m_isWriteInFlight || now < m_nextWriteAt)
        return;
    WriteOwnerChunks write;
    for (auto& it : m_chunks) {
        if (it.second.wantedVersion == it.second.writtenVersion || write.chunks.size() == maxChunksPerWrite)
            continue;
        it.second.sentVersion = it.second.wantedVersion;
        write.chunks.emplace(it.first, chunkContent(it.first));
    }
    if (write.chunks.empty())
        return;
    m_isWriteInFlight = true;
    m_actions.emplace_back(std::move(write));
}

void KeyAssigner::onRecordEnded(const OwnerWriteEnded& event, TimePoint now)
{
    m_isWriteInFlight = false;
    for (auto& it : m_chunks) {
        if (event.written && it.second.sentVersion > it.second.writtenVersion)
            it.second.writtenVersion = it.second.sentVersion;
        it.second.sentVersion = 0;
    }
    if (!event.written)
        m_nextWriteAt = now + m_options.retryDelay;
    reportIfRecorded();
}

// Servers keep what they hold, and this controller knows of all of it. Only the records are missing, and fences of the
// new epoch are above those of any controller that the store has forgotten.
void KeyAssigner::onRecordsLost(const OwnerRecordsLost& event)
{
    m_epoch = event.epoch;
    m_isRecordingAgain = true;
    for (auto& service : m_services) {
        for (auto& it : service.second.ranges) {
            markChunkChanged(service.first, it.second);
            if (it.second.state == RangeState::recording)
                it.second.recordVersion = m_lastChunkVersion;
        }
    }
    for (auto& it : m_chunks) {
        it.second.wantedVersion = ++m_lastChunkVersion;
        it.second.recoveredVersion = it.second.wantedVersion;
        it.second.sentVersion = 0;
    }
    reportIfRecorded();
}

void KeyAssigner::reportIfRecorded()
{
    bool isRecorded = std::all_of(m_chunks.begin(), m_chunks.end(),
        [](const auto& it) { return it.second.writtenVersion >= it.second.recoveredVersion; });
    if (!m_isRecordingAgain || !isRecorded)
        return;
    m_isRecordingAgain = false;
    m_actions.emplace_back(OwnersRecorded { m_epoch });
}

} // namespace acaciagauge
