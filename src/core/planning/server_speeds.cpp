#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>
#include <cmath>

namespace acaciagauge {

namespace {

    /// A server whose decayed number of requests falls below this is dropped.
    constexpr double minRequests = 0.05;

} // namespace

void ServerSpeeds::add(const std::map<ServerId, ServiceTimes>& times, TimePoint now)
{
    auto elapsed = static_cast<double>((now - m_decayedAt).count());
    auto factor = std::exp(-elapsed / static_cast<double>(m_options.timeConstant.count()));
    m_decayedAt = now;
    for (auto& it : m_sums) {
        it.second.requests *= factor;
        it.second.micros *= factor;
    }
    std::erase_if(m_sums, [](const auto& it) { return it.second.requests < minRequests; });
    for (const auto& it : times) {
        m_sums[it.first].requests += it.second.requests;
        m_sums[it.first].micros += static_cast<double>(it.second.total.count());
    }
}

ServerSpeeds::Sum ServerSpeeds::total() const
{
    Sum all;
    for (const auto& it : m_sums) {
        all.requests += it.second.requests;
        all.micros += it.second.micros;
    }
    return all;
}

Duration ServerSpeeds::meanServiceTime() const
{
    auto all = total();
    return all.requests > 0 ? Duration(static_cast<Duration::rep>(all.micros / all.requests)) : Duration::zero();
}

double ServerSpeeds::speed(const ServerId& server) const
{
    auto it = m_sums.find(server);
    if (it == m_sums.end())
        return 1;
    auto all = total();
    auto mean = all.micros / all.requests;
    auto own = (it->second.micros + m_options.priorRequests * mean) / (it->second.requests + m_options.priorRequests);
    return std::clamp(mean / own, m_options.minSpeed, m_options.maxSpeed);
}

} // namespace acaciagauge
