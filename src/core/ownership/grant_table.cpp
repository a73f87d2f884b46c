#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>

namespace acaciagauge {

std::uint64_t digestOf(const std::map<Item, Fence>& held)
{
    std::uint64_t digest = 0;
    for (const auto& it : held) {
        auto name = std::to_string(it.first.partition) + "/" + std::to_string(it.second.epoch) + "."
            + std::to_string(it.second.sequence) + "/" + it.first.key;
        digest ^= hashOf(it.first.service, name);
    }
    return digest;
}

GrantTable::GrantTable(Options options)
    : m_options(std::move(options))
{
}

GrantTable GrantTable::create(Options options)
{
    return GrantTable(std::move(options));
}

ServerAnswer GrantTable::answer(ResultCode code, TimePoint now) const
{
    ServerAnswer result;
    result.code = code;
    result.stamp = { m_options.incarnation, now.time_since_epoch().count() };
    result.highestEpoch = m_highestEpoch;
    result.heldDigest = digestOf(m_held);
    return result;
}

ResultCode GrantTable::checkTiming(const ServerOrder& order, TimePoint now) const
{
    if (order.stamp.incarnation != m_options.incarnation)
        return ResultCode::wrongIncarnation;
    auto end = TimePoint(Duration(order.stamp.ticks)) + order.duration;
    return end <= now ? ResultCode::lateOrder : ResultCode::ok;
}

// An expired grant must not come back to life by a later renewal: its items may have a new owner by then.
void GrantTable::dropExpired(TimePoint now)
{
    if (now < m_expiry)
        return;
    m_held.clear();
    m_closing.clear();
}

std::vector<Item> GrantTable::grant(const ServerOrder& order)
{
    std::vector<Item> refused;
    for (const auto& it : order.items) {
        auto& highest = m_highestFences[it];
        if (m_options.checksFences && order.fence < highest) {
            refused.push_back(it);
            continue;
        }
        highest = std::max(highest, order.fence);
        m_held[it] = order.fence;
        m_closing.erase(it);
    }
    return refused;
}

bool GrantTable::revoke(const ServerOrder& order)
{
    bool released = true;
    for (const auto& it : order.items) {
        auto& highest = m_highestFences[it];
        if (m_options.checksFences && order.fence < highest)
            continue;
        highest = std::max(highest, order.fence);
        if (m_options.isBusy && m_options.isBusy(it)) {
            m_closing.insert(it);
            released = false;
            continue;
        }
        m_held.erase(it);
        m_closing.erase(it);
    }
    return released;
}

ServerAnswer GrantTable::handle(const ServerOrder& order, TimePoint now)
{
    dropExpired(now);
    if (order.kind == OrderKind::hello)
        return answer(ResultCode::ok, now);
    if (m_options.checksFences && order.epoch < m_highestEpoch)
        return answer(ResultCode::staleFence, now);
    m_highestEpoch = std::max(m_highestEpoch, order.epoch);
    if (order.kind == OrderKind::inventory) {
        auto result = answer(ResultCode::ok, now);
        result.held = m_held;
        return result;
    }
    if (order.kind == OrderKind::revoke) {
        bool released = revoke(order);
        auto result = answer(ResultCode::ok, now);
        result.released = released;
        return result;
    }
    auto code = checkTiming(order, now);
    if (code != ResultCode::ok)
        return answer(code, now);
    std::vector<Item> refused;
    if (order.kind == OrderKind::grant)
        refused = grant(order);
    m_expiry = std::max(m_expiry, TimePoint(Duration(order.stamp.ticks)) + order.duration);
    auto result = answer(ResultCode::ok, now);
    result.refused = std::move(refused);
    return result;
}

bool GrantTable::mayRun(const Item& item, TimePoint now) const
{
    return now < m_expiry && m_held.contains(item) && !m_closing.contains(item);
}

Fence GrantTable::fenceOf(const Item& item) const
{
    auto it = m_held.find(item);
    return it == m_held.end() ? Fence {} : it->second;
}

} // namespace acaciagauge
