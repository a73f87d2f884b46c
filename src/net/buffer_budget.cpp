#include "net/buffer_budget.hpp"

#include <utility>

namespace acaciagauge::net {

BufferBudget::BufferBudget(MemoryBudget::Options options, Hooks hooks)
    : m_budget(MemoryBudget::create(options))
    , m_hooks(std::move(hooks))
{
}

std::shared_ptr<BufferBudget> BufferBudget::create(MemoryBudget::Options options, Hooks hooks)
{
    return std::shared_ptr<BufferBudget>(new BufferBudget(options, std::move(hooks)));
}

BufferBudget::Lease BufferBudget::add(Phase phase, std::function<void()> end)
{
    Lease lease;
    lease.m_budget = shared_from_this();
    lease.m_id = m_budget.add(phase, monotonicNow());
    m_ends[lease.m_id] = std::move(end);
    return lease;
}

BufferBudget::Lease::Lease(Lease&& other) noexcept
    : m_budget(std::move(other.m_budget))
    , m_id(other.m_id)
{
}

BufferBudget::Lease& BufferBudget::Lease::operator=(Lease&& other) noexcept
{
    std::swap(m_budget, other.m_budget);
    std::swap(m_id, other.m_id);
    return *this;
}

void BufferBudget::Lease::release()
{
    if (!m_budget)
        return;
    m_budget->m_budget.remove(m_id);
    m_budget->m_ends.erase(m_id);
    m_budget.reset();
}

bool BufferBudget::Lease::resize(std::uint64_t bytes)
{
    if (!m_budget)
        return true;
    auto budget = m_budget;
    auto decision = budget->m_budget.resize(m_id, bytes, monotonicNow());
    for (auto it : decision.ended) {
        auto end = budget->m_ends.extract(it);
        if (!end.empty() && end.mapped())
            end.mapped()();
        if (budget->m_hooks.onEnded)
            budget->m_hooks.onEnded();
    }
    if (!decision.isGranted && budget->m_hooks.onRefused)
        budget->m_hooks.onRefused(bytes);
    return decision.isGranted;
}

void BufferBudget::Lease::record(std::uint64_t bytes)
{
    if (m_budget)
        m_budget->m_budget.record(m_id, bytes);
}

void BufferBudget::Lease::noteProgress(std::uint64_t bytes)
{
    if (m_budget)
        m_budget->m_budget.noteProgress(m_id, bytes, monotonicNow());
}

void BufferBudget::Lease::setPhase(Phase phase)
{
    if (m_budget)
        m_budget->m_budget.setPhase(m_id, phase, monotonicNow());
}

} // namespace acaciagauge::net
