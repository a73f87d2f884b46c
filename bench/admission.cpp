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

    constexpr Duration meanServiceTime = 5ms;
    constexpr Duration deadline = 100ms;
    constexpr Duration hopLatency = 200us; ///< Between an instance and the shared egress, each way.
    constexpr Duration runTime = 60s;

    struct Results {
        std::vector<double> latencies; ///< In milliseconds, of requests that completed within the deadline.
        std::size_t refused = 0; ///< Rejected by the admission queue.
        std::size_t unknown = 0; ///< Completed after the deadline.
        std::size_t offered = 0;
    };

    /// Simulates one server with a fixed number of slots and a FIFO queue. Requests pass an admission queue first:
    /// one of their instance, or one at an egress that all instances share.
    class Simulation {
    public:
        Simulation(std::size_t instances, std::uint32_t slots, double load, bool hasSharedEgress, std::uint64_t seed)
            : m_slots(slots)
            , m_hasSharedEgress(hasSharedEgress)
            , m_random(seed)
            , m_meanInterval(static_cast<double>(meanServiceTime.count()) / slots / load)
        {
            ServerQueue::Options options;
            options.slots = slots;
            options.maxWaiting = 256;
            options.coldStart = Duration::zero();
            for (std::size_t n = 0; n < (hasSharedEgress ? 1 : instances); ++n)
                m_queues.push_back(ServerQueue::create(options, m_now));
        }

        Results run()
        {
            schedule(m_now, [this] { handleArrival(); });
            while (!m_events.empty()) {
                auto event = m_events.top();
                m_events.pop();
                m_now = event.due;
                event.action();
            }
            return std::move(m_results);
        }

    private:
        struct Event {
            TimePoint due;
            std::uint64_t sequence;
            std::function<void()> action;
            bool operator>(const Event& other) const
            {
                return std::tie(due, sequence) > std::tie(other.due, other.sequence);
            }
        };
        struct PendingRequest {
            std::size_t queue;
            TimePoint arrival;
            TimePoint sent {};
        };

        void schedule(TimePoint due, std::function<void()> action)
        {
            m_events.push({ due, ++m_lastSequence, std::move(action) });
        }

        Duration drawExponential(double mean)
        {
            return Duration(static_cast<Duration::rep>(std::exponential_distribution<double>(1.0 / mean)(m_random)));
        }

        void handleArrival()
        {
            if (m_now > TimePoint {} + runTime)
                return;
            schedule(m_now + drawExponential(m_meanInterval), [this] { handleArrival(); });
            auto id = ++m_lastId;
            auto queue = id % m_queues.size();
            m_requests[id] = { queue, m_now };
            ++m_results.offered;
            auto delay = m_hasSharedEgress ? hopLatency : Duration::zero();
            schedule(m_now + delay, [this, id] { offerToQueue(id); });
        }

        void offerToQueue(std::uint64_t id)
        {
            auto& request = m_requests[id];
            auto verdict = m_queues[request.queue].offer(id, Priority::idempotent, request.arrival + deadline, m_now);
            if (verdict == ServerQueue::Verdict::start)
                sendToServer(id);
            else if (verdict == ServerQueue::Verdict::refuse)
                ++m_results.refused;
        }

        void sendToServer(std::uint64_t id)
        {
            m_requests[id].sent = m_now;
            m_serverQueue.push_back(id);
            startQueuedRequests();
        }

        void startQueuedRequests()
        {
            while (m_busySlots < m_slots && !m_serverQueue.empty()) {
                auto id = m_serverQueue.front();
                m_serverQueue.pop_front();
                ++m_busySlots;
                schedule(m_now + drawExponential(static_cast<double>(meanServiceTime.count())),
                    [this, id] { complete(id); });
            }
        }

        void complete(std::uint64_t id)
        {
            --m_busySlots;
            auto& request = m_requests[id];
            auto latency = m_now + (m_hasSharedEgress ? hopLatency : Duration::zero()) - request.arrival;
            if (latency > deadline)
                ++m_results.unknown;
            else
                m_results.latencies.push_back(std::chrono::duration<double, std::milli>(latency).count());
            auto& queue = m_queues[request.queue];
            queue.finished(m_now - request.sent, false, m_now);
            for (const auto& it : queue.dequeue(m_now)) {
                if (it.code == ResultCode::ok)
                    sendToServer(it.id);
                else
                    ++m_results.refused;
            }
            startQueuedRequests();
        }

        TimePoint m_now {};
        std::uint32_t m_slots;
        bool m_hasSharedEgress;
        std::mt19937_64 m_random;
        double m_meanInterval;
        std::vector<ServerQueue> m_queues;
        std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
        std::uint64_t m_lastSequence = 0;
        std::map<std::uint64_t, PendingRequest> m_requests;
        std::deque<std::uint64_t> m_serverQueue;
        std::uint32_t m_busySlots = 0;
        std::uint64_t m_lastId = 0;
        Results m_results;
    };

    void report(std::size_t instances, std::uint32_t slots, double load, bool hasSharedEgress)
    {
        auto results = Simulation(instances, slots, load, hasSharedEgress, 7).run();
        auto& sorted = results.latencies;
        std::sort(sorted.begin(), sorted.end());
        auto quantile = [&](double share) {
            return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
        };
        auto capacity = static_cast<double>(slots) * static_cast<double>(runTime.count())
            / static_cast<double>(meanServiceTime.count());
        auto offered = static_cast<double>(results.offered);
        std::printf("| %zu | %u | %.2f | %s | %.3f | %.1f | %.1f | %.1f | %.3f | %.4f |\n", instances, slots, load,
            hasSharedEgress ? "one egress" : "direct", static_cast<double>(sorted.size()) / capacity, quantile(0.5),
            quantile(0.99), quantile(0.999), static_cast<double>(results.refused) / offered,
            static_cast<double>(results.unknown) / offered);
    }

} // namespace

void runAdmissionBench()
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
