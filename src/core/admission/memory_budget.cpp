#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>

namespace acaciagauge {

namespace {

    /// One body of 64 MiB (67.1 MB), the reserved part, and room for the requests of other callers.
    constexpr std::uint64_t largestBodyBudget = 72'000'000;

} // namespace

MemoryBudget::Options MemoryBudget::optionsFor(std::uint64_t memoryBytes)
{
    Options options;
    options.bytes = std::max(memoryBytes / 2, std::min(memoryBytes / 5 * 3, largestBodyBudget));
    options.reservedBytes = std::min(options.reservedBytes, options.bytes / 8);
    return options;
}

MemoryBudget::HolderId MemoryBudget::add(Phase phase, TimePoint now)
{
    m_holders[++m_lastId] = { phase, 0, 0, now };
    return m_lastId;
}

void MemoryBudget::remove(HolderId id)
{
    record(id, 0);
    m_holders.erase(id);
}

MemoryBudget::Decision MemoryBudget::resize(HolderId id, std::uint64_t bytes, TimePoint now)
{
    Decision decision;
    auto holder = m_holders.find(id);
    if (holder == m_holders.end())
        return decision;
    bool isSmall = bytes <= m_options.smallBytes;
    auto limit = isSmall ? m_options.bytes : m_options.bytes - m_options.reservedBytes;
    auto wanted = m_used - holder->second.bytes + bytes;
    if (bytes > holder->second.bytes && wanted > limit) {
        decision.ended = findStalled(id, wanted - limit, isSmall, now);
        if (decision.ended.empty())
            return decision;
        for (auto it : decision.ended)
            remove(it);
    }
    record(id, bytes);
    decision.isGranted = true;
    return decision;
}

void MemoryBudget::record(HolderId id, std::uint64_t bytes)
{
    auto holder = m_holders.find(id);
    if (holder == m_holders.end())
        return;
    m_used = m_used - holder->second.bytes + bytes;
    holder->second.bytes = bytes;
}

void MemoryBudget::noteProgress(HolderId id, std::uint64_t bytes, TimePoint now)
{
    auto holder = m_holders.find(id);
    if (holder == m_holders.end())
        return;
    holder->second.stepBytes += bytes;
    if (holder->second.stepBytes < m_options.stepBytes)
        return;
    holder->second.stepBytes = 0;
    holder->second.lastStep = now;
}

void MemoryBudget::setPhase(HolderId id, Phase phase, TimePoint now)
{
    auto holder = m_holders.find(id);
    if (holder == m_holders.end())
        return;
    holder->second.phase = phase;
    holder->second.stepBytes = 0;
    holder->second.lastStep = now;
}

// Returns the slowest stalled messages that together free the shortage; none if all of them free too little. Small
// messages are ended only for small ones: for a large one, many callers would lose theirs.
std::vector<MemoryBudget::HolderId> MemoryBudget::findStalled(
    HolderId requester, std::uint64_t shortage, bool isSmall, TimePoint now) const
{
    std::vector<std::pair<TimePoint, HolderId>> stalled;
    for (const auto& it : m_holders) {
        const auto& holder = it.second;
        bool mayEnd = it.first != requester && holder.phase == Phase::transfer && holder.bytes > 0
            && (isSmall || holder.bytes > m_options.smallBytes);
        if (mayEnd && now - holder.lastStep >= m_options.stallTime)
            stalled.emplace_back(holder.lastStep, it.first);
    }
    std::sort(stalled.begin(), stalled.end());
    std::vector<HolderId> ended;
    std::uint64_t freed = 0;
    for (const auto& it : stalled) {
        if (freed >= shortage)
            break;
        ended.push_back(it.second);
        freed += m_holders.at(it.second).bytes;
    }
    return freed >= shortage ? ended : std::vector<HolderId>();
}

} // namespace acaciagauge
