#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>
#include <cmath>

namespace acaciagauge {

namespace {

    constexpr double newestWeight = 0.05; ///< Weight of the newest measurement in the moving average.
    constexpr double shedDecrease = 0.7; ///< Factor after a refusal by the server.
    constexpr double shedIncrease = 0.02; ///< Added after each completion.
    constexpr double minShedFactor = 0.1;
    constexpr double startMargin = 3; ///< Mean service times that must remain to the deadline when a request starts.

} // namespace

ServerQueue::ServerQueue(Options options, TimePoint now)
    : m_options(options)
    , m_coldSince(now)
{
}

ServerQueue ServerQueue::create(Options options, TimePoint now)
{
    return ServerQueue(options, now);
}

std::uint32_t ServerQueue::concurrency(TimePoint now) const
{
    auto full = static_cast<double>(m_options.slots) * m_options.overcommit;
    auto rampUp = 1.0;
    if (m_options.coldStart > Duration::zero() && now < m_coldSince + m_options.coldStart)
        rampUp = static_cast<double>((now - m_coldSince).count()) / static_cast<double>(m_options.coldStart.count());
    auto allowed = std::floor(full * std::max(rampUp, 0.0) * m_shedFactor);
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(allowed));
}

Duration ServerQueue::expectedWait(std::size_t ahead, TimePoint now) const
{
    auto rounds = static_cast<double>(ahead + 1) / concurrency(now);
    return Duration(static_cast<Duration::rep>(rounds * m_serviceMicros));
}

Duration ServerQueue::marginBeforeDeadline() const
{
    return Duration(static_cast<Duration::rep>(startMargin * m_serviceMicros));
}

ServerQueue::Verdict ServerQueue::offer(std::uint64_t id, Priority priority, TimePoint deadline, TimePoint now)
{
    if (m_waiting.empty() && m_inFlight < concurrency(now)) {
        ++m_inFlight;
        return Verdict::start;
    }
    bool isFull = m_waiting.size() >= m_options.maxWaiting;
    auto ahead = m_waiting.size();
    if (priority == Priority::nonIdempotent) {
        auto firstIdempotent = m_waiting.lower_bound({ Priority::idempotent, 0 });
        ahead = static_cast<std::size_t>(std::distance(m_waiting.begin(), firstIdempotent));
    }
    if (isFull || now + expectedWait(ahead, now) + marginBeforeDeadline() > deadline)
        return Verdict::refuse;
    m_waiting[{ priority, ++m_arrivals }] = { id, deadline };
    return Verdict::wait;
}

void ServerQueue::finished(Duration serviceTime, bool shed, TimePoint now)
{
    static_cast<void>(now);
    if (m_inFlight > 0)
        --m_inFlight;
    if (shed) {
        m_shedFactor = std::max(m_shedFactor * shedDecrease, minShedFactor);
        return;
    }
    m_shedFactor = std::min(m_shedFactor + shedIncrease, 1.0);
    auto micros = static_cast<double>(serviceTime.count());
    m_serviceMicros = m_serviceMicros == 0 ? micros : m_serviceMicros * (1 - newestWeight) + micros * newestWeight;
}

std::vector<ServerQueue::Dequeued> ServerQueue::dequeue(TimePoint now)
{
    std::vector<Dequeued> dequeued;
    for (auto it = m_waiting.begin(); it != m_waiting.end() && m_inFlight < concurrency(now);) {
        // A request that starts too late would end with an unknown outcome; if it is refused now, the caller knows that
        // it did not run.
        bool isLate = now + marginBeforeDeadline() >= it->second.deadline;
        dequeued.push_back({ it->second.id, isLate ? ResultCode::deadlineExceeded : ResultCode::ok });
        m_inFlight += !isLate;
        it = m_waiting.erase(it);
    }
    return dequeued;
}

bool ServerQueue::withdraw(std::uint64_t id)
{
    return std::erase_if(m_waiting, [id](const auto& it) { return it.second.id == id; }) > 0;
}

} // namespace acaciagauge
