#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>

namespace acaciagauge {

namespace {

    /// Weight of the newest measurement in moving averages.
    constexpr double newest = 0.15;

} // namespace

double ServerGate::othersInFlight(TimePoint now) const
{
    auto age = now - m_statedAt;
    if (age >= m_options.loadLifetime)
        return 0;
    return m_others * (1.0 - static_cast<double>(age.count()) / static_cast<double>(m_options.loadLifetime.count()));
}

Duration ServerGate::serviceTime() const
{
    return m_serviceMicros > 0 ? Duration(static_cast<Duration::rep>(m_serviceMicros)) : m_options.firstServiceTime;
}

bool ServerGate::hasRoom(TimePoint now) const
{
    if (now < m_pausedUntil)
        return false;
    auto load = static_cast<double>(m_inFlight) + othersInFlight(now);
    return load < static_cast<double>(m_options.slots + m_options.ahead);
}

Duration ServerGate::expectedTime(TimePoint now) const
{
    auto ahead = static_cast<double>(m_inFlight + m_waiting.size()) + othersInFlight(now);
    auto rounds = std::max(0.0, ahead + 1 - m_options.slots) / std::max(1U, m_options.slots);
    auto time = Duration(static_cast<Duration::rep>(static_cast<double>(serviceTime().count()) * (1.0 + rounds)));
    return time + std::max(Duration::zero(), m_pausedUntil - now);
}

ServerGate::Verdict ServerGate::offer(std::uint64_t id, const Work& work, TimePoint now)
{
    if (m_waiting.empty() && hasRoom(now)) {
        ++m_inFlight;
        return Verdict::send;
    }
    bool isHopeless = now + expectedTime(now) > work.deadline;
    if (isHopeless || m_waiting.size() >= m_options.maxWaiting)
        return Verdict::refuse;
    m_waiting[{ work.priority, ++m_arrivals }] = { id, work };
    return Verdict::wait;
}

bool ServerGate::withdraw(std::uint64_t id)
{
    return std::erase_if(m_waiting, [id](const auto& it) { return it.second.first == id; }) > 0;
}

void ServerGate::ended(const Ended& ended, TimePoint now)
{
    if (m_inFlight > 0)
        --m_inFlight;
    if (ended.statedLoad) {
        m_others = std::max(0.0, static_cast<double>(*ended.statedLoad) - static_cast<double>(m_inFlight));
        m_statedAt = now;
    }
    if (ended.shed)
        m_pausedUntil = now + m_options.shedPause;
    if (!ended.ran)
        return;
    // What the request waited at the server is not its time in a slot.
    auto load = static_cast<double>(m_inFlight) + othersInFlight(now) + 1;
    auto rounds = std::max(1.0, load / std::max(1U, m_options.slots));
    auto micros = static_cast<double>(ended.time.count()) / rounds;
    m_serviceMicros = m_serviceMicros > 0 ? m_serviceMicros * (1 - newest) + micros * newest : micros;
}

std::vector<ServerGate::Left> ServerGate::next(TimePoint now)
{
    std::vector<Left> left;
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        bool isHopeless = now + serviceTime() / 2 > it->second.second.deadline;
        if (isHopeless) {
            left.push_back({ it->second.first, false });
        } else if (hasRoom(now)) {
            ++m_inFlight;
            left.push_back({ it->second.first, true });
        } else {
            ++it;
            continue;
        }
        it = m_waiting.erase(it);
    }
    return left;
}

std::optional<TimePoint> ServerGate::nextDue(TimePoint now) const
{
    if (m_waiting.empty())
        return std::nullopt;
    // Other instances' work ends unseen; a stated load fades within its lifetime.
    constexpr auto recheck = std::chrono::milliseconds(20);
    return std::max(m_pausedUntil, now + recheck);
}

} // namespace acaciagauge
