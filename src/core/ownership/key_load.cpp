#include "acaciagauge/acaciagauge.hpp"

#include <cmath>

namespace acaciagauge {

KeyLoad KeyLoad::create(Options options, TimePoint now)
{
    return { options, now };
}

void KeyLoad::decay(TimePoint now)
{
    // Reports arrive in bursts; the decay over a shorter interval would not change a decision.
    constexpr auto minDecayInterval = std::chrono::milliseconds(50);
    auto elapsed = now - m_decayedAt;
    if (elapsed < minDecayInterval)
        return;
    m_decayedAt = now;
    auto factor = std::exp(-static_cast<double>(elapsed.count()) / static_cast<double>(m_options.timeConstant.count()));
    for (auto& it : m_rates)
        it.second *= factor;
    std::erase_if(m_rates, [this](const auto& it) { return it.second < m_options.minRate; });
}

void KeyLoad::add(const KeyCounts& counts, TimePoint now)
{
    decay(now);
    auto seconds = std::chrono::duration<double>(m_options.timeConstant).count();
    for (const auto& it : counts)
        m_rates[it.first] += static_cast<double>(it.second) / seconds;
}

double KeyLoad::rate(const KeyRange& range) const
{
    double sum = 0;
    for (auto it = m_rates.lower_bound(range.from); it != m_rates.end() && it->first <= range.to; ++it)
        sum += it->second;
    return sum;
}

} // namespace acaciagauge
