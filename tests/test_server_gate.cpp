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

ConcurrencyLimiter gateOf(unsigned slots, unsigned ahead)
{
    ConcurrencyLimiter::Options options;
    options.slots = slots;
    options.ahead = ahead;
    return ConcurrencyLimiter::create(options);
}

} // namespace

TEST_CASE("work beyond a server's room waits, more urgent work first")
{
    auto gate = gateOf(1, 0);
    CHECK(gate.offer(1, work(2), start) == ConcurrencyLimiter::Verdict::send);
    CHECK(gate.offer(2, work(2), start) == ConcurrencyLimiter::Verdict::wait);
    CHECK(gate.offer(3, work(1), start) == ConcurrencyLimiter::Verdict::wait);
    gate.finished(1, { true, false, 100ms, 0 }, start + 100ms);
    auto left = gate.dequeue(start + 100ms);
    REQUIRE(left.size() == 1);
    CHECK(left[0].id == 3);
    CHECK(left[0].isSent);
}

TEST_CASE("work that can meet its target goes before work that is late anyway")
{
    auto gate = gateOf(1, 0);
    gate.offer(1, work(2), start);
    gate.offer(2, work(1, 190ms), start);
    gate.offer(3, work(2, 900ms), start);
    gate.finished(1, { true, false, 100ms, 0 }, start + 100ms);
    // 2 has 90 ms left and needs 100 ms.
    auto left = gate.dequeue(start + 100ms);
    REQUIRE(left.size() == 1);
    CHECK(left[0].id == 3);
}

TEST_CASE("a server that ends nothing gets a probe; all others are refused at once")
{
    auto gate = gateOf(2, 4);
    gate.offer(1, work(1, 5s, 10s), start);
    gate.offer(2, work(1, 5s, 10s), start);
    auto later = start + 2s;
    CHECK(gate.isStuck(later));
    CHECK(gate.offer(3, work(1, 5s, 10s), later) == ConcurrencyLimiter::Verdict::refuse);
    gate.finished(1, {}, later);
    CHECK(gate.offer(4, work(1, 5s, 10s), later) == ConcurrencyLimiter::Verdict::send);
    gate.finished(2, { true, false, 2s, 0 }, later);
    CHECK(!gate.isStuck(later));
}

TEST_CASE("waiting work is refused before its target has passed in vain")
{
    auto gate = gateOf(1, 0);
    gate.offer(1, work(1), start);
    REQUIRE(gate.offer(2, work(1), start) == ConcurrencyLimiter::Verdict::wait);
    CHECK(gate.dequeue(start + 200ms).empty());
    auto left = gate.dequeue(start + 300ms);
    REQUIRE(left.size() == 1);
    CHECK(!left[0].isSent);
}

TEST_CASE("a refusal for lack of room halves the window, answers open it again")
{
    auto gate = gateOf(4, 4);
    for (std::uint64_t id = 1; id <= 4; ++id)
        REQUIRE(gate.offer(id, work(1), start) == ConcurrencyLimiter::Verdict::send);
    gate.finished(1, { false, true, 1ms, 8 }, start);
    CHECK(gate.offer(5, work(1), start) == ConcurrencyLimiter::Verdict::wait);
    auto later = start + 150ms;
    CHECK(gate.dequeue(later).empty()); // Three are in flight, the window is two.
    gate.finished(2, { true, false, 100ms, 0 }, later);
    gate.finished(3, { true, false, 100ms, 0 }, later);
    CHECK(gate.dequeue(later).size() == 1);
}

namespace {

/// What callers get of one server that several instances share.
struct SharedLoad {
    std::size_t instances = 11;
    unsigned slots = 2;
    std::size_t room = 10; ///< Requests at the server, running and queued; further ones are reset.
    Duration serviceTime = 160ms;
    double perSecond = 25; ///< Requests, at all instances together.
    Duration time = 20s; ///< Of this load.
    Duration calmAfter { 0 }; ///< Time of the load that follows.
    double calmPerSecond = 0;
    Duration countFrom { 0 }; ///< Only requests that come later are counted.
};

struct Served {
    std::size_t offered = 0;
    std::size_t sends = 0;
    std::size_t resets = 0;
    std::size_t ran = 0;
    std::size_t inTime = 0; ///< Answered within the target.
    std::size_t refusedAtOnce = 0;
};

class SharedServer {
public:
    explicit SharedServer(SharedLoad load)
        : m_load(load)
        , m_gates(load.instances, gateOf(load.slots, 2))
    {
    }

    Served play()
    {
        std::mt19937 random(1);
        std::uniform_int_distribution<std::size_t> anyInstance(0, m_load.instances - 1);
        std::uniform_real_distribution<double> chance(0, 1);
        for (auto now = start; now < start + m_load.time + m_load.calmAfter; now += 1ms) {
            if (now == start + m_load.countFrom)
                m_served = {};
            serve(now);
            auto perSecond = now < start + m_load.time ? m_load.perSecond : m_load.calmPerSecond;
            if (chance(random) < perSecond / 1000)
                offer(anyInstance(random), now);
            for (std::size_t n = 0; n < m_load.instances; ++n) {
                for (const auto& it : m_gates[n].dequeue(now)) {
                    if (it.isSent)
                        arrive(n, it.id, now);
                }
            }
        }
        return m_served;
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
        ++m_served.offered;
        m_arrived[++m_lastId] = now;
        ConcurrencyLimiter::Work offered { 1, now + 500ms, now + 1500ms };
        auto verdict = m_gates[n].offer(m_lastId, offered, now);
        if (verdict == ConcurrencyLimiter::Verdict::send)
            arrive(n, m_lastId, now);
        m_served.refusedAtOnce += verdict == ConcurrencyLimiter::Verdict::refuse;
    }

    void arrive(std::size_t n, std::uint64_t id, TimePoint now)
    {
        ++m_served.sends;
        if (m_running.size() + m_queued.size() >= m_load.room) {
            ++m_served.resets;
            m_gates[n].finished(id, { false, true, 1ms, {} }, now);
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
            ++m_served.ran;
            m_served.inTime += now - m_arrived[done.id] <= 500ms;
            auto load = static_cast<unsigned>(m_running.size() + m_queued.size());
            m_gates[done.instance].finished(done.id, { true, false, now - done.sent, load }, now);
        }
        while (m_running.size() < m_load.slots && !m_queued.empty()) {
            m_queued.front().end = now + m_load.serviceTime;
            m_running.push_back(m_queued.front());
            m_queued.pop_front();
        }
    }

    SharedLoad m_load;
    std::vector<ConcurrencyLimiter> m_gates;
    std::vector<Job> m_running;
    std::deque<Job> m_queued;
    std::map<std::uint64_t, TimePoint> m_arrived;
    std::uint64_t m_lastId = 0;
    Served m_served;
};

std::ostream& operator<<(std::ostream& out, const Served& served)
{
    return out << "offered " << served.offered << " refused at once " << served.refusedAtOnce << " sent "
               << served.sends << " ran " << served.ran << " resets " << served.resets << " in time " << served.inTime;
}

} // namespace

TEST_CASE("instances that share a server keep its queue short and lose little work under overload")
{
    // The load: 11 instances, one server of 2 slots and a queue of 8, 160 ms of work, twice what it can do.
    auto served = SharedServer({}).play();
    INFO(served);
    CHECK(served.ran >= 225); // 20 s, 2 slots, 160 ms: 250 at most.
    CHECK(served.resets * 20 <= served.sends);
    CHECK(served.inTime * 2 >= served.ran);
}

TEST_CASE("200 instances with a hot key do not hammer its server")
{
    // The load: one key gets 340 requests a second at 200 instances; its server can do 12.5.
    SharedLoad load;
    load.instances = 200;
    load.perSecond = 340;
    auto served = SharedServer(load).play();
    INFO(served);
    CHECK(served.ran >= 225);
    CHECK(served.resets <= served.ran);
    CHECK(served.inTime * 2 >= served.ran);
}

TEST_CASE("200 instances with a server that has room send it all that comes")
{
    // The load: four fifths of what the server can do, from many instances, each of which hears of it seldom.
    SharedLoad load;
    load.instances = 200;
    load.perSecond = 10;
    auto served = SharedServer(load).play();
    INFO(served);
    CHECK(served.ran * 100 >= served.offered * 93);
    CHECK(served.resets * 50 <= served.sends);
    CHECK(served.inTime * 100 >= served.ran * 85);
}

TEST_CASE("after a burst at 200 instances a server is used again within two seconds")
{
    // The load: 5 s of 340 requests a second for one key, then four fifths of what its server can do.
    SharedLoad load;
    load.instances = 200;
    load.perSecond = 340;
    load.time = 5s;
    load.calmAfter = 12s;
    load.calmPerSecond = 10;
    load.countFrom = 7s;
    auto served = SharedServer(load).play();
    INFO(served);
    CHECK(served.ran * 100 >= served.offered * 85);
}
