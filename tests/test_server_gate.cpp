#include <acaciagauge/acaciagauge.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <random>

using namespace acaciagauge;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1h };

ServerGate::Work work(unsigned priority, Duration target = 500ms, Duration deadline = 1500ms)
{
    return { priority, start + target, start + deadline };
}

ServerGate gateOf(unsigned slots, unsigned ahead)
{
    ServerGate::Options options;
    options.slots = slots;
    options.ahead = ahead;
    return ServerGate::create(options);
}

} // namespace

TEST_CASE("work beyond a server's room waits, more urgent work first")
{
    auto gate = gateOf(1, 0);
    CHECK(gate.offer(1, work(2), start) == ServerGate::Verdict::send);
    CHECK(gate.offer(2, work(2), start) == ServerGate::Verdict::wait);
    CHECK(gate.offer(3, work(1), start) == ServerGate::Verdict::wait);
    gate.ended(1, { true, false, 100ms, 0 }, start + 100ms);
    auto left = gate.next(start + 100ms);
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
    gate.ended(1, { true, false, 100ms, 0 }, start + 100ms);
    // 2 has 90 ms left and needs 100 ms.
    auto left = gate.next(start + 100ms);
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
    CHECK(gate.offer(3, work(1, 5s, 10s), later) == ServerGate::Verdict::refuse);
    gate.ended(1, {}, later);
    CHECK(gate.offer(4, work(1, 5s, 10s), later) == ServerGate::Verdict::send);
    gate.ended(2, { true, false, 2s, 0 }, later);
    CHECK(!gate.isStuck(later));
}

TEST_CASE("waiting work is refused before its target has passed in vain")
{
    auto gate = gateOf(1, 0);
    gate.offer(1, work(1), start);
    REQUIRE(gate.offer(2, work(1), start) == ServerGate::Verdict::wait);
    CHECK(gate.next(start + 200ms).empty());
    auto left = gate.next(start + 300ms);
    REQUIRE(left.size() == 1);
    CHECK(!left[0].isSent);
}

TEST_CASE("a refusal for lack of room halves the window, answers open it again")
{
    auto gate = gateOf(4, 4);
    for (std::uint64_t id = 1; id <= 4; ++id)
        REQUIRE(gate.offer(id, work(1), start) == ServerGate::Verdict::send);
    gate.ended(1, { false, true, 1ms, 8 }, start);
    CHECK(gate.offer(5, work(1), start) == ServerGate::Verdict::wait);
    auto later = start + 150ms;
    CHECK(gate.next(later).empty()); // Three are in flight, the window is two.
    gate.ended(2, { true, false, 100ms, 0 }, later);
    gate.ended(3, { true, false, 100ms, 0 }, later);
    CHECK(gate.next(later).size() == 1);
}

TEST_CASE("instances that share a server keep its queue short and lose little work under overload")
{
    // The load: 11 instances, one server of 2 slots and a queue of 8, 160 ms of work, twice what it can do.
    constexpr std::size_t instances = 11;
    constexpr std::size_t slots = 2;
    constexpr std::size_t room = 10;
    constexpr auto serviceTime = 160ms;
    struct Job {
        std::size_t instance;
        std::uint64_t id;
        TimePoint sent;
        TimePoint end;
    };
    std::vector<ServerGate> gates(instances, gateOf(slots, 2));
    std::vector<Job> running;
    std::deque<Job> queued;
    std::map<std::uint64_t, TimePoint> arrived;
    std::size_t sends = 0;
    std::size_t resets = 0;
    std::size_t inTime = 0;
    std::size_t ran = 0;
    auto arrive = [&](std::size_t n, std::uint64_t id, TimePoint now) {
        ++sends;
        if (running.size() + queued.size() >= room) {
            ++resets;
            gates[n].ended(id, { false, true, 1ms, {} }, now);
            return;
        }
        queued.push_back({ n, id, now, {} });
    };
    auto serve = [&](TimePoint now) {
        for (auto it = running.begin(); it != running.end();) {
            if (it->end > now) {
                ++it;
                continue;
            }
            auto done = *it;
            it = running.erase(it);
            ++ran;
            inTime += now - arrived[done.id] <= 500ms;
            auto load = static_cast<unsigned>(running.size() + queued.size());
            gates[done.instance].ended(done.id, { true, false, now - done.sent, load }, now);
        }
        while (running.size() < slots && !queued.empty()) {
            queued.front().end = now + serviceTime;
            running.push_back(queued.front());
            queued.pop_front();
        }
    };
    std::mt19937 random(1);
    std::uniform_int_distribution<std::size_t> anyInstance(0, instances - 1);
    std::uniform_int_distribution<int> anyMoment(0, 39);
    std::uint64_t lastId = 0;
    for (auto now = start; now < start + 20s; now += 1ms) {
        serve(now);
        if (anyMoment(random) == 0) {
            auto n = anyInstance(random);
            arrived[++lastId] = now;
            ServerGate::Work offered { 1, now + 500ms, now + 1500ms };
            if (gates[n].offer(lastId, offered, now) == ServerGate::Verdict::send)
                arrive(n, lastId, now);
        }
        for (std::size_t n = 0; n < instances; ++n) {
            for (const auto& it : gates[n].next(now)) {
                if (it.isSent)
                    arrive(n, it.id, now);
            }
        }
    }
    INFO("sent " << sends << " ran " << ran << " resets " << resets << " in time " << inTime);
    CHECK(ran >= 225); // 20 s, 2 slots, 160 ms: 250 at most.
    CHECK(resets * 20 <= sends);
    CHECK(inTime * 2 >= ran);
}
