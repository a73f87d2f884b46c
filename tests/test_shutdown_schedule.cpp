#include <acaciagauge/acaciagauge.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace acaciagauge;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1h };

} // namespace

TEST_CASE("a shutdown gives servers five sixths of any grace period and answers all requests before it is over")
{
    bool holds = rc::check("for any grace period", [] {
        Duration grace = std::chrono::milliseconds(*rc::gen::inRange(500, 600'000));
        auto schedule = ShutdownSchedule::create(start, grace);
        RC_ASSERT(schedule.takeAllUntil <= schedule.end);
        RC_ASSERT(schedule.end >= start + grace * 5 / 6);
        RC_ASSERT(schedule.end < schedule.answerAllAt);
        RC_ASSERT(schedule.answerAllAt < schedule.exitAt);
        RC_ASSERT(schedule.exitAt < start + grace);
    });
    CHECK(holds);
}

TEST_CASE("a request that is taken during a shutdown gets no deadline after its end")
{
    auto schedule = ShutdownSchedule::create(start, 6s);
    auto beforeEnd = schedule.end - 1ms;
    auto afterEnd = schedule.end + 1s;
    CHECK(schedule.mayTake(afterEnd, start + 1s));
    CHECK(schedule.limitDeadline(afterEnd) == schedule.end);
    CHECK(schedule.limitDeadline(beforeEnd) == beforeEnd);
    CHECK(schedule.mayTake(beforeEnd, schedule.takeAllUntil));
    CHECK_FALSE(schedule.mayTake(afterEnd, schedule.takeAllUntil));
}
