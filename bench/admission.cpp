#include "bench.hpp"

#include <acaciagauge/acaciagauge.hpp>
#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <queue>
#include <random>

namespace acaciagauge::bench {

using namespace std::chrono_literals;

namespace {

    constexpr Duration meanService = 5ms;
    constexpr Duration deadline = 100ms;
    constexpr Duration hop = 200us;
    constexpr Duration runTime = 60s;

    struct Tally {
        std::vector<double> latencies;
        std::size_t refused = 0;
        std::size_t unknown = 0;
        std::size_t offered = 0;
    };

    /// One server with slots and a queue of its own, behind one or several admission queues.
    class Model {
    public:
        Model(std::size_t queues, std::uint32_t slots, double load, bool isShared, std::uint64_t seed)
            : m_slots(slots)
            , m_isShared(isShared)
            , m_random(seed)
            , m_interval(static_cast<double>(meanService.count()) / slots / load)
        {
            ServerQueue::Options options;
            options.slots = slots;
            options.maxWaiting = 256;
            options.coldStart = Duration::zero();
            for (std::size_t n = 0; n < (isShared ? 1 : queues); ++n)
                m_queues.push_back(ServerQueue::create(options, m_now));
        }

        Tally run()
        {
            at(m_now, [this] { arrive(); });
            while (!m_events.empty()) {
                auto event = m_events.top();
                m_events.pop();
                m_now = event.due;
                event.work();
            }
            return std::move(m_tally);
        }

    private:
        struct Event {
            TimePoint due;
            std::uint64_t order;
            std::function<void()> work;
            bool operator>(const Event& other) const { return std::tie(due, order) > std::tie(other.due, other.order); }
        };
        struct Job {
            std::size_t queue;
            TimePoint arrival;
            TimePoint sent {};
        };

        void at(TimePoint due, std::function<void()> work) { m_events.push({ due, ++m_order, std::move(work) }); }

        Duration draw(double mean)
        {
            return Duration(static_cast<Duration::rep>(std::exponential_distribution<double>(1.0 / mean)(m_random)));
        }

        void arrive()
        {
            if (m_now > TimePoint {} + runTime)
                return;
            at(m_now + draw(m_interval), [this] { arrive(); });
            auto id = ++m_lastId;
            auto queue = id % m_queues.size();
            m_jobs[id] = { queue, m_now };
            ++m_tally.offered;
            auto wait = m_isShared ? hop : Duration::zero();
            at(m_now + wait, [this, id] { offer(id); });
        }

        void offer(std::uint64_t id)
        {
            auto& job = m_jobs[id];
            auto verdict = m_queues[job.queue].offer(id, Priority::idempotent, job.arrival + deadline, m_now);
            if (verdict == ServerQueue::Verdict::start)
                send(id);
            else if (verdict == ServerQueue::Verdict::refuse)
                ++m_tally.refused;
        }

        void send(std::uint64_t id)
        {
            m_jobs[id].sent = m_now;
            m_atServer.push_back(id);
            startAtServer();
        }

        void startAtServer()
        {
            while (m_running < m_slots && !m_atServer.empty()) {
                auto id = m_atServer.front();
                m_atServer.pop_front();
                ++m_running;
                at(m_now + draw(static_cast<double>(meanService.count())), [this, id] { finish(id); });
            }
        }

        void finish(std::uint64_t id)
        {
            --m_running;
            auto& job = m_jobs[id];
            auto latency = m_now + (m_isShared ? hop : Duration::zero()) - job.arrival;
            if (latency > deadline)
                ++m_tally.unknown;
            else
                m_tally.latencies.push_back(std::chrono::duration<double, std::milli>(latency).count());
            auto& queue = m_queues[job.queue];
            queue.finished(m_now - job.sent, false, m_now);
            for (const auto& it : queue.dequeue(m_now)) {
                if (it.code == ResultCode::ok)
                    send(it.id);
                else
                    ++m_tally.refused;
            }
            startAtServer();
        }

        TimePoint m_now {};
        std::uint32_t m_slots;
        bool m_isShared;
        std::mt19937_64 m_random;
        double m_interval;
        std::vector<ServerQueue> m_queues;
        std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
        std::uint64_t m_order = 0;
        std::map<std::uint64_t, Job> m_jobs;
        std::deque<std::uint64_t> m_atServer;
        std::uint32_t m_running = 0;
        std::uint64_t m_lastId = 0;
        Tally m_tally;
    };

    void report(std::size_t instances, std::uint32_t slots, double load, bool isShared)
    {
        auto tally = Model(instances, slots, load, isShared, 7).run();
        auto& sorted = tally.latencies;
        std::sort(sorted.begin(), sorted.end());
        auto at = [&](double share) {
            return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
        };
        auto capacity = static_cast<double>(slots) * static_cast<double>(runTime.count())
            / static_cast<double>(meanService.count());
        auto offered = static_cast<double>(tally.offered);
        std::printf("| %zu | %u | %.2f | %s | %.3f | %.1f | %.1f | %.1f | %.3f | %.4f |\n", instances, slots, load,
            isShared ? "one egress" : "direct", static_cast<double>(sorted.size()) / capacity, at(0.5), at(0.99),
            at(0.999), static_cast<double>(tally.refused) / offered, static_cast<double>(tally.unknown) / offered);
    }

} // namespace

void admission()
{
    std::printf("| instances | slots | load | way | goodput/capacity | p50, ms | p99, ms | p99.9, ms | refused | "
                "unknown |\n|---|---|---|---|---|---|---|---|---|---|\n");
    for (std::size_t instances : { 8, 11 }) {
        for (std::uint32_t slots : { 2U, 4U }) {
            for (double load : { 0.7, 0.95, 1.5 }) {
                report(instances, slots, load, false);
                report(instances, slots, load, true);
            }
        }
    }
}

} // namespace acaciagauge::bench
