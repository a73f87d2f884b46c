#include <acaciagauge/acaciagauge.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <random>

using namespace acaciagauge;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1h };

ConcurrencyLimiter::Work work(unsigned priority, Duration target = 500ms, Duration deadline = 1500ms)
{
    return { priority, start + target, start + deadline };
}

ConcurrencyLimiter limiterOf(unsigned slots, unsigned maxQueuedAtServer)
{
    ConcurrencyLimiter::Options options;
    options.slots = slots;
    options.maxQueuedAtServer = maxQueuedAtServer;
    return ConcurrencyLimiter::create(options);
}

} // namespace

TEST_CASE("requests beyond a server's capacity wait, and are sent by priority")
{
    auto limiter = limiterOf(1, 0);
    CHECK(limiter.offer(1, work(2), start) == ConcurrencyLimiter::Verdict::send);
    CHECK(limiter.offer(2, work(2), start) == ConcurrencyLimiter::Verdict::wait);
    CHECK(limiter.offer(3, work(1), start) == ConcurrencyLimiter::Verdict::wait);
    limiter.finished(1, { true, false, 100ms, 0 }, start + 100ms);
    auto dequeued = limiter.dequeue(start + 100ms);
    REQUIRE(dequeued.size() == 1);
    CHECK(dequeued[0].id == 3);
    CHECK(dequeued[0].isSent);
}

TEST_CASE("requests that can meet their target go before those that will be late anyway")
{
    auto limiter = limiterOf(1, 0);
    limiter.offer(1, work(2), start);
    limiter.offer(2, work(1, 190ms), start);
    limiter.offer(3, work(2, 900ms), start);
    limiter.finished(1, { true, false, 100ms, 0 }, start + 100ms);
    // 2 has 90 ms left and needs 100 ms.
    auto dequeued = limiter.dequeue(start + 100ms);
    REQUIRE(dequeued.size() == 1);
    CHECK(dequeued[0].id == 3);
}

TEST_CASE("a server that completes nothing gets a probe; other requests are refused at once")
{
    auto limiter = limiterOf(2, 4);
    limiter.offer(1, work(1, 5s, 10s), start);
    limiter.offer(2, work(1, 5s, 10s), start);
    auto later = start + 2s;
    CHECK(limiter.isStuck(later));
    CHECK(limiter.offer(3, work(1, 5s, 10s), later) == ConcurrencyLimiter::Verdict::refuse);
    limiter.finished(1, {}, later);
    CHECK(limiter.offer(4, work(1, 5s, 10s), later) == ConcurrencyLimiter::Verdict::send);
    limiter.finished(2, { true, false, 2s, 0 }, later);
    CHECK(!limiter.isStuck(later));
}

TEST_CASE("a waiting request is refused when its wait limit is over, before its target")
{
    auto limiter = limiterOf(1, 0);
    limiter.offer(1, work(1), start);
    REQUIRE(limiter.offer(2, work(1), start) == ConcurrencyLimiter::Verdict::wait);
    CHECK(limiter.dequeue(start + 200ms).empty());
    auto dequeued = limiter.dequeue(start + 300ms);
    REQUIRE(dequeued.size() == 1);
    CHECK(!dequeued[0].isSent);
}

TEST_CASE("a refusal for lack of capacity halves the window, responses widen it again")
{
    auto limiter = limiterOf(4, 4);
    for (std::uint64_t id = 1; id <= 4; ++id)
        REQUIRE(limiter.offer(id, work(1), start) == ConcurrencyLimiter::Verdict::send);
    limiter.finished(1, { false, true, 1ms, 8 }, start);
    CHECK(limiter.offer(5, work(1), start) == ConcurrencyLimiter::Verdict::wait);
    auto later = start + 150ms;
    CHECK(limiter.dequeue(later).empty()); // Three are in flight, the window is two.
    limiter.finished(2, { true, false, 100ms, 0 }, later);
    limiter.finished(3, { true, false, 100ms, 0 }, later);
    CHECK(limiter.dequeue(later).size() == 1);
}

namespace {

/// Load on one server that several instances use.
struct SharedLoad {
    std::size_t instances = 11;
    unsigned slots = 2;
    std::size_t capacity = 10; ///< Requests at the server, running and queued; the server resets further ones.
    Duration serviceTime = 160ms;
    double perSecond = 25; ///< Requests of all instances together.
    Duration time = 20s; ///< Duration of this load.
    Duration secondPhaseTime { 0 }; ///< Duration of the load that follows.
    double secondPhasePerSecond = 0;
    Duration warmup { 0 }; ///< Only later requests are counted.
};

struct LoadResult {
    std::size_t offered = 0;
    std::size_t sends = 0;
    std::size_t shed = 0;
    std::size_t ran = 0;
    std::size_t inTime = 0; ///< Completed within the target.
    std::size_t refusedAtOnce = 0;
};

class SharedServer {
public:
    explicit SharedServer(SharedLoad load)
        : m_load(load)
        , m_limiters(load.instances, limiterOf(load.slots, 2))
    {
    }

    LoadResult run()
    {
        std::mt19937 random(1);
        std::uniform_int_distribution<std::size_t> anyInstance(0, m_load.instances - 1);
        std::uniform_real_distribution<double> chance(0, 1);
        for (auto now = start; now < start + m_load.time + m_load.secondPhaseTime; now += 1ms) {
            if (now == start + m_load.warmup)
                m_result = {};
            serve(now);
            auto perSecond = now < start + m_load.time ? m_load.perSecond : m_load.secondPhasePerSecond;
            if (chance(random) < perSecond / 1000)
                offer(anyInstance(random), now);
            for (std::size_t n = 0; n < m_load.instances; ++n) {
                for (const auto& it : m_limiters[n].dequeue(now)) {
                    if (it.isSent)
                        arrive(n, it.id, now);
                }
            }
        }
        return m_result;
    }

private:
    struct Job {
        std::size_t instance = 0;
        std::uint64_t id = 0;
        TimePoint sent;
        TimePoint end;
    };

    void offer(std::size_t n, TimePoint now)
    {
        ++m_result.offered;
        m_arrived[++m_lastId] = now;
        ConcurrencyLimiter::Work offered { 1, now + 500ms, now + 1500ms };
        auto verdict = m_limiters[n].offer(m_lastId, offered, now);
        if (verdict == ConcurrencyLimiter::Verdict::send)
            arrive(n, m_lastId, now);
        m_result.refusedAtOnce += verdict == ConcurrencyLimiter::Verdict::refuse;
    }

    void arrive(std::size_t n, std::uint64_t id, TimePoint now)
    {
        ++m_result.sends;
        if (m_running.size() + m_queued.size() >= m_load.capacity) {
            ++m_result.shed;
            m_limiters[n].finished(id, { false, true, 1ms, {} }, now);
            return;
        }
        m_queued.push_back({ n, id, now, {} });
    }

    void serve(TimePoint now)
    {
        for (auto it = m_running.begin(); it != m_running.end();) {
            if (it->end > now) {
                ++it;
                continue;
            }
            auto done = *it;
            it = m_running.erase(it);
            ++m_result.ran;
            m_result.inTime += now - m_arrived[done.id] <= 500ms;
            auto load = static_cast<unsigned>(m_running.size() + m_queued.size());
            m_limiters[done.instance].finished(done.id, { true, false, now - done.sent, load }, now);
        }
        while (m_running.size() < m_load.slots && !m_queued.empty()) {
            m_queued.front().end = now + m_load.serviceTime;
            m_running.push_back(m_queued.front());
            m_queued.pop_front();
        }
    }

    SharedLoad m_load;
    std::vector<ConcurrencyLimiter> m_limiters;
    std::vector<Job> m_running;
    std::deque<Job> m_queued;
    std::map<std::uint64_t, TimePoint> m_arrived;
    std::uint64_t m_lastId = 0;
    LoadResult m_result;
};

std::ostream& operator<<(std::ostream& out, const LoadResult& result)
{
    return out << "offered " << result.offered << " refused at once " << result.refusedAtOnce << " sent "
               << result.sends << " ran " << result.ran << " shed " << result.shed << " in time " << result.inTime;
}

} // namespace

TEST_CASE("instances that share a server keep its queue short and lose few requests under overload")
{
    // 11 instances, one server with 2 slots and a queue of 8, 160 ms of work per request: twice what it can serve.
    auto result = SharedServer({}).run();
    INFO(result);
    CHECK(result.ran >= 225); // At most 250: 20 s with 2 slots and 160 ms per request.
    CHECK(result.shed * 20 <= result.sends);
    CHECK(result.inTime * 2 >= result.ran);
}

TEST_CASE("200 instances with a hot key do not overload its server")
{
    // One key gets 340 requests per second at 200 instances; its server can serve 12.5.
    SharedLoad load;
    load.instances = 200;
    load.perSecond = 340;
    auto result = SharedServer(load).run();
    INFO(result);
    CHECK(result.ran >= 225);
    CHECK(result.shed <= result.ran);
    CHECK(result.inTime * 2 >= result.ran);
}

TEST_CASE("200 instances send almost all requests to a server that has capacity")
{
    // Four fifths of what the server can serve, from many instances, each of which seldom receives its load reports.
    SharedLoad load;
    load.instances = 200;
    load.perSecond = 10;
    auto result = SharedServer(load).run();
    INFO(result);
    CHECK(result.ran * 100 >= result.offered * 93);
    CHECK(result.shed * 50 <= result.sends);
    CHECK(result.inTime * 100 >= result.ran * 85);
}

TEST_CASE("after a burst at 200 instances a server is used again within two seconds")
{
    // 5 s of 340 requests per second for one key, then four fifths of what its server can serve.
    SharedLoad load;
    load.instances = 200;
    load.perSecond = 340;
    load.time = 5s;
    load.secondPhaseTime = 12s;
    load.secondPhasePerSecond = 10;
    load.warmup = 7s;
    auto result = SharedServer(load).run();
    INFO(result);
    CHECK(result.ran * 100 >= result.offered * 85);
}

TEST_CASE("a server that says when to retry gets no request before, and requests that cannot wait are refused at once")
{
    auto limiter = limiterOf(2, 2);
    limiter.offer(1, work(1), start);
    limiter.offer(2, work(1), start);
    limiter.finished(1, { false, true, 5ms, 0, 3s }, start);
    CHECK(limiter.isPaused(start + 2900ms));
    CHECK(limiter.offer(3, work(1), start + 10ms) == ConcurrencyLimiter::Verdict::refuse);
    CHECK(limiter.expectedResponseTime(start + 10ms) >= 2990ms);
    // Not even a probe, although the request in flight makes the server look stuck.
    CHECK(limiter.isStuck(start + 2s));
    CHECK(limiter.offer(4, { 1, start + 5s, start + 9s }, start + 2s) != ConcurrencyLimiter::Verdict::send);
    limiter.finished(2, { true, false, 100ms, 0 }, start + 2s);
    CHECK_FALSE(limiter.isPaused(start + 3s));
    CHECK(limiter.offer(5, { 1, start + 5s, start + 9s }, start + 3s) == ConcurrencyLimiter::Verdict::send);
}

TEST_CASE("requests that wait are refused at once when the server asks for a longer pause than they can wait")
{
    auto limiter = limiterOf(1, 0);
    limiter.offer(1, work(1), start);
    CHECK(limiter.offer(2, work(1), start) == ConcurrencyLimiter::Verdict::wait);
    limiter.finished(1, { false, true, 5ms, 0, 5s }, start + 5ms);
    auto dequeued = limiter.dequeue(start + 5ms);
    REQUIRE(dequeued.size() == 1);
    CHECK_FALSE(dequeued[0].isSent);
}
