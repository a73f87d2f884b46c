#include <acaciagauge/acaciagauge.hpp>
#include <catch2/catch.hpp>

using namespace acaciagauge;
using namespace std::chrono_literals;
using Change = StoreFreshness::Change;

namespace {

constexpr TimePoint start { 1h };

/// Heard from the store at the start, which has answered since long before.
StoreFreshness steadyFreshness()
{
    auto freshness = StoreFreshness::create({});
    freshness.confirmByPeer(start, start - 1min);
    return freshness;
}

} // namespace

TEST_CASE("the first answer makes the store a dependency that answers, and is no end of an outage")
{
    auto freshness = StoreFreshness::create({});
    CHECK(freshness.confirmedAt() == TimePoint {});
    CHECK(freshness.confirmByStore(start) == Change::available);
    CHECK(freshness.confirmedAt() == start);
    CHECK(freshness.availableSince() == start);
}

TEST_CASE("an answer that was true earlier than another takes nothing back")
{
    auto freshness = steadyFreshness();
    CHECK(freshness.confirmByStore(start - 1s) == Change::none);
    CHECK(freshness.confirmedAt() == start);
}

TEST_CASE("one call without an answer is no lost store")
{
    auto freshness = steadyFreshness();
    CHECK(freshness.noteFailure(start + 1s) == Change::none);
    CHECK(freshness.confirmByStore(start + 3s) == Change::none);
    CHECK(freshness.noteFailure(start + 4s) == Change::none);
}

TEST_CASE("failed calls within a heartbeat of the servers are no outage")
{
    auto freshness = steadyFreshness();
    CHECK(freshness.noteFailure(start + 1s) == Change::none);
    CHECK(freshness.noteFailure(start + 1100ms) == Change::unavailable);
    CHECK(freshness.confirmByStore(start + 1200ms) == Change::available);
    CHECK(freshness.availableSince() == start - 1min);
}

TEST_CASE("failed calls over more than a heartbeat are an outage from which the store is back")
{
    auto freshness = steadyFreshness();
    freshness.noteFailure(start + 1s);
    CHECK(freshness.noteFailure(start + 3s) == Change::unavailable);
    CHECK(freshness.availableSince() == TimePoint::max());
    CHECK(freshness.noteFailure(start + 4s) == Change::none);
    CHECK(freshness.confirmByStore(start + 5s) == Change::availableAfterOutage);
    CHECK(freshness.availableSince() == start + 5s);
}

TEST_CASE("a peer that heard the store all the while makes failed calls this instance's own")
{
    auto freshness = steadyFreshness();
    freshness.noteFailure(start + 1s);
    freshness.noteFailure(start + 3s);
    CHECK(freshness.confirmByPeer(start + 5s, start - 10s) == Change::available);
    CHECK(freshness.availableSince() == start - 10s);
}

TEST_CASE("a peer that has heard the store only since the failed calls proves nothing of the time before")
{
    auto freshness = steadyFreshness();
    freshness.noteFailure(start + 1s);
    freshness.noteFailure(start + 3s);
    CHECK(freshness.confirmByPeer(start + 5s, start + 2s) == Change::availableAfterOutage);
}
