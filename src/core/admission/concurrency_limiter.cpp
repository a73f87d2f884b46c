#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>
#include <cmath>

namespace acaciagauge {

namespace {

    /// Weight of the newest measurement in moving averages.
    constexpr double newest = 0.15;

    /// A server is stuck after this many service times without an end; the longest work takes about as long.
    constexpr int stuckServiceTimes = 4;

    /// Work that a stuck server still gets, so that its recovery is noticed.
    constexpr std::size_t probes = 1;

    Duration scaled(Duration duration, double factor)
    {
        return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
    }

} // namespace

double ConcurrencyLimiter::othersInFlight(TimePoint now) const
{
    auto age = static_cast<double>((now - m_statedAt).count());
    auto freshness = std::clamp(1.0 - age / static_cast<double>(m_options.loadLifetime.count()), 0.0, 1.0);
    // What is usual is forgotten too, or an instance that sends nothing would never learn that there is room again.
    auto usual = m_usualOthers * std::exp(-age / static_cast<double>(m_options.usualLifetime.count()));
    return m_others * freshness + usual * (1.0 - freshness);
}

Duration ConcurrencyLimiter::serviceTime() const
{
    return m_serviceMicros > 0 ? Duration(static_cast<Duration::rep>(m_serviceMicros)) : m_options.initialServiceTime;
}

bool ConcurrencyLimiter::isStuck(TimePoint now) const
{
    if (m_sent.empty())
        return false;
    auto since = std::max(m_lastEnd, m_sent.begin()->second);
    return now - since > std::max(m_options.stuckAfter, serviceTime() * stuckServiceTimes);
}

bool ConcurrencyLimiter::hasRoom(TimePoint now) const
{
    if (now < m_pausedUntil || isStuck(now))
        return false;
    auto own = static_cast<double>(m_sent.size());
    return own < std::max(1.0, m_window) && own + othersInFlight(now) < m_options.slots + m_options.ahead;
}

Duration ConcurrencyLimiter::expectedResponseTime(TimePoint now) const
{
    auto ahead = static_cast<double>(m_sent.size() + m_waiting.size()) + othersInFlight(now);
    auto rounds = std::max(0.0, ahead + 1 - m_options.slots) / std::max(1U, m_options.slots);
    return scaled(serviceTime(), 1.0 + rounds) + std::max(Duration::zero(), m_pausedUntil - now);
}

ConcurrencyLimiter::Verdict ConcurrencyLimiter::offer(std::uint64_t id, const Work& work, TimePoint now)
{
    bool isProbe = isStuck(now) && m_sent.size() <= probes;
    if (isProbe || (m_waiting.empty() && hasRoom(now))) {
        m_sent[id] = now;
        return Verdict::send;
    }
    auto longest = longestWait(work, now);
    auto expected = expectedResponseTime(now);
    bool isHopeless = isStuck(now) || now + expected > work.deadline || expected - serviceTime() > longest * 2;
    if (isHopeless || m_waiting.size() >= m_options.maxWaiting)
        return Verdict::refuse;
    m_waiting[id] = { work, now + longest };
    return Verdict::wait;
}

Duration ConcurrencyLimiter::measure(const Completion& ended, TimePoint now)
{
    auto load = static_cast<double>(m_sent.size()) + othersInFlight(now) + 1;
    auto rounds = std::max(1.0, load / std::max(1U, m_options.slots));
    auto micros = static_cast<double>(ended.responseTime.count()) / rounds;
    m_serviceMicros = m_serviceMicros > 0 ? m_serviceMicros * (1 - newest) + micros * newest : micros;
    return Duration(static_cast<Duration::rep>(micros));
}

std::optional<Duration> ConcurrencyLimiter::finished(std::uint64_t id, const Completion& ended, TimePoint now)
{
    m_sent.erase(id);
    if (ended.reportedLoad) {
        m_others = std::max(0.0, static_cast<double>(*ended.reportedLoad) - static_cast<double>(m_sent.size()));
        m_usualOthers = m_usualOthers * (1 - newest) + m_others * newest;
        m_statedAt = now;
    }
    if (ended.shed) {
        m_window = std::max(1.0, m_window / 2);
        m_pausedUntil = now + m_options.shedPause;
        // A server without room has at least as much work as this instance would let it have.
        m_others = std::max<double>(m_others, m_options.slots + m_options.ahead);
        m_statedAt = now;
    }
    if (ended.ran || ended.shed)
        m_lastEnd = now;
    if (!ended.ran)
        return std::nullopt;
    m_window = std::min<double>(m_options.slots + m_options.ahead, m_window + 1.0 / std::max(1.0, m_window));
    return measure(ended, now);
}

Duration ConcurrencyLimiter::longestWait(const Work& work, TimePoint now) const
{
    return std::max(m_options.leastWait, scaled(work.target - now, m_options.waitShare));
}

bool ConcurrencyLimiter::mayWaitOn(const Waiting& waiting, TimePoint now) const
{
    return now < waiting.until && now + serviceTime() / 2 <= waiting.work.deadline;
}

// Work that can still meet its target goes before work that is late anyway; then priority, then arrival.
ConcurrencyLimiter::Queue::iterator ConcurrencyLimiter::best(TimePoint now)
{
    auto rank = [&](const Work& work) {
        bool isLate = now + serviceTime() > work.target;
        return std::pair(isLate, work.priority);
    };
    auto best = m_waiting.begin();
    for (auto it = m_waiting.begin(); it != m_waiting.end(); ++it) {
        if (rank(it->second.work) < rank(best->second.work))
            best = it;
    }
    return best;
}

std::vector<ConcurrencyLimiter::Left> ConcurrencyLimiter::dequeue(TimePoint now)
{
    std::vector<Left> left;
    bool isHopeless = isStuck(now);
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        if (!isHopeless && mayWaitOn(it->second, now)) {
            ++it;
            continue;
        }
        left.push_back({ it->first, false });
        it = m_waiting.erase(it);
    }
    while (!m_waiting.empty() && hasRoom(now)) {
        auto it = best(now);
        m_sent[it->first] = now;
        left.push_back({ it->first, true });
        m_waiting.erase(it);
    }
    return left;
}

std::optional<TimePoint> ConcurrencyLimiter::nextDue(TimePoint now) const
{
    if (m_waiting.empty())
        return std::nullopt;
    // Other instances' work ends unseen; a stated load fades within its lifetime.
    constexpr auto recheck = std::chrono::milliseconds(20);
    return std::max(m_pausedUntil, now + recheck);
}

} // namespace acaciagauge
