#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>
#include <cmath>

namespace acaciagauge {

namespace {

    /// Weight of the newest measurement in moving averages.
    constexpr double newestWeight = 0.15;

    /// A server is stuck after this many service times without a completion: the longest requests take about as long.
    constexpr int stuckServiceTimes = 4;

    /// A stuck server gets another request while no more than this are in flight, so that its recovery is noticed.
    constexpr std::size_t maxInFlightForProbe = 1;

    Duration scaled(Duration duration, double factor)
    {
        return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
    }

} // namespace

double ConcurrencyLimiter::othersInFlight(TimePoint now) const
{
    auto age = static_cast<double>((now - m_reportedAt).count());
    auto freshness = std::clamp(1.0 - age / static_cast<double>(m_options.reportLifetime.count()), 0.0, 1.0);
    // The average decays as well: an instance that sends nothing receives no reports, and would never learn that the
    // server has capacity again.
    auto average = m_averageOthers * std::exp(-age / static_cast<double>(m_options.averageLifetime.count()));
    return m_reportedOthers * freshness + average * (1.0 - freshness);
}

Duration ConcurrencyLimiter::serviceTime() const
{
    return m_serviceMicros > 0 ? Duration(static_cast<Duration::rep>(m_serviceMicros)) : m_options.initialServiceTime;
}

bool ConcurrencyLimiter::isStuck(TimePoint now) const
{
    if (m_inFlight.empty())
        return false;
    auto since = std::max(m_lastCompletion, m_inFlight.begin()->second);
    return now - since > std::max(m_options.stuckAfter, serviceTime() * stuckServiceTimes);
}

bool ConcurrencyLimiter::hasCapacity(TimePoint now) const
{
    if (now < m_pausedUntil || isStuck(now))
        return false;
    auto own = static_cast<double>(m_inFlight.size());
    return own < std::max(1.0, m_window) && own + othersInFlight(now) < m_options.slots + m_options.maxQueuedAtServer;
}

Duration ConcurrencyLimiter::expectedResponseTime(TimePoint now) const
{
    auto ahead = static_cast<double>(m_inFlight.size() + m_waiting.size()) + othersInFlight(now);
    auto rounds = std::max(0.0, ahead + 1 - m_options.slots) / std::max(1U, m_options.slots);
    return scaled(serviceTime(), 1.0 + rounds) + std::max(Duration::zero(), m_pausedUntil - now);
}

ConcurrencyLimiter::Verdict ConcurrencyLimiter::offer(std::uint64_t id, const Work& work, TimePoint now)
{
    bool isProbe = isStuck(now) && !isPaused(now) && m_inFlight.size() <= maxInFlightForProbe;
    if (isProbe || (m_waiting.empty() && hasCapacity(now))) {
        m_inFlight[id] = now;
        return Verdict::send;
    }
    auto limit = waitLimit(work, now);
    auto expected = expectedResponseTime(now);
    bool mustRefuse = isStuck(now) || now + expected > work.deadline || expected - serviceTime() > limit * 2;
    if (mustRefuse || m_waiting.size() >= m_options.maxWaiting)
        return Verdict::refuse;
    m_waiting[id] = { work, now + limit };
    return Verdict::wait;
}

Duration ConcurrencyLimiter::recordServiceTime(const Completion& completion, TimePoint now)
{
    auto load = static_cast<double>(m_inFlight.size()) + othersInFlight(now) + 1;
    auto rounds = std::max(1.0, load / std::max(1U, m_options.slots));
    auto micros = static_cast<double>(completion.responseTime.count()) / rounds;
    m_serviceMicros = m_serviceMicros > 0 ? m_serviceMicros * (1 - newestWeight) + micros * newestWeight : micros;
    return Duration(static_cast<Duration::rep>(micros));
}

std::optional<Duration> ConcurrencyLimiter::finished(std::uint64_t id, const Completion& completion, TimePoint now)
{
    m_inFlight.erase(id);
    if (completion.reportedLoad) {
        m_reportedOthers
            = std::max(0.0, static_cast<double>(*completion.reportedLoad) - static_cast<double>(m_inFlight.size()));
        m_averageOthers = m_averageOthers * (1 - newestWeight) + m_reportedOthers * newestWeight;
        m_reportedAt = now;
    }
    if (completion.shed) {
        m_window = std::max(1.0, m_window / 2);
        m_pausedUntil = std::max(m_pausedUntil, now + m_options.shedBackoff);
        // A server without capacity has at least as many requests as this instance would allow it.
        m_reportedOthers = std::max<double>(m_reportedOthers, m_options.slots + m_options.maxQueuedAtServer);
        m_reportedAt = now;
    }
    if (completion.retryAfter > Duration::zero()) {
        m_retryAfterEnd = std::max(m_retryAfterEnd, now + completion.retryAfter);
        m_pausedUntil = std::max(m_pausedUntil, m_retryAfterEnd);
    }
    if (completion.ran || completion.shed)
        m_lastCompletion = now;
    if (!completion.ran)
        return std::nullopt;
    m_window
        = std::min<double>(m_options.slots + m_options.maxQueuedAtServer, m_window + 1.0 / std::max(1.0, m_window));
    return recordServiceTime(completion, now);
}

Duration ConcurrencyLimiter::waitLimit(const Work& work, TimePoint now) const
{
    return std::max(m_options.minWaitLimit, scaled(work.target - now, m_options.waitLimitFraction));
}

bool ConcurrencyLimiter::mayKeepWaiting(const Waiting& waiting, TimePoint now) const
{
    bool isPausedTooLong = m_pausedUntil >= waiting.waitLimitEnd;
    return now < waiting.waitLimitEnd && !isPausedTooLong && now + serviceTime() / 2 <= waiting.work.deadline;
}

// Requests that can still meet their target go before those that will be late anyway; then by priority, then arrival.
ConcurrencyLimiter::Queue::iterator ConcurrencyLimiter::mostUrgent(TimePoint now)
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

std::vector<ConcurrencyLimiter::Dequeued> ConcurrencyLimiter::dequeue(TimePoint now)
{
    std::vector<Dequeued> dequeued;
    bool mustRefuse = isStuck(now);
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        if (!mustRefuse && mayKeepWaiting(it->second, now)) {
            ++it;
            continue;
        }
        dequeued.push_back({ it->first, false });
        it = m_waiting.erase(it);
    }
    while (!m_waiting.empty() && hasCapacity(now)) {
        auto it = mostUrgent(now);
        m_inFlight[it->first] = now;
        dequeued.push_back({ it->first, true });
        m_waiting.erase(it);
    }
    return dequeued;
}

std::optional<TimePoint> ConcurrencyLimiter::nextDue(TimePoint now) const
{
    if (m_waiting.empty())
        return std::nullopt;
    // Polls, because capacity can appear without an event here: requests of other instances end unseen, and a reported
    // load fades over its lifetime.
    constexpr auto recheck = std::chrono::milliseconds(20);
    return std::max(m_pausedUntil, now + recheck);
}

} // namespace acaciagauge
