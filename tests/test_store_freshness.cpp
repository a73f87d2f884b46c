#include <acaciagauge/acaciagauge.hpp>
#include <catch2/catch.hpp>

using namespace acaciagauge;
using namespace std::chrono_literals;
using Change = StoreFreshness::Change;

namespace {

constexpr TimePoint start { 1h };

/// Confirmed by a peer at `start`; the store has been available for a minute before that.
StoreFreshness availableFreshness()
{
    auto freshness = StoreFreshness::create({});
    freshness.confirmByPeer(start, start - 1min);
    return freshness;
}

} // namespace

TEST_CASE("the first response makes the store available and is not the end of an outage")
{
    auto freshness = StoreFreshness::create({});
    CHECK(freshness.confirmedAt() == TimePoint {});
    CHECK(freshness.confirmByStore(start) == Change::available);
    CHECK(freshness.confirmedAt() == start);
    CHECK(freshness.availableSince() == start);
}

TEST_CASE("a response that was true earlier than the last one does not move the confirmed time back")
{
    auto freshness = availableFreshness();
    CHECK(freshness.confirmByStore(start - 1s) == Change::none);
    CHECK(freshness.confirmedAt() == start);
}

TEST_CASE("a single call without a response does not make the store unavailable")
{
    auto freshness = availableFreshness();
    CHECK(freshness.noteFailure(start + 1s) == Change::none);
    CHECK(freshness.confirmByStore(start + 3s) == Change::none);
    CHECK(freshness.noteFailure(start + 4s) == Change::none);
}

TEST_CASE("failed calls within one heartbeat interval of the servers are not an outage")
{
    auto freshness = availableFreshness();
    CHECK(freshness.noteFailure(start + 1s) == Change::none);
    CHECK(freshness.noteFailure(start + 1100ms) == Change::unavailable);
    CHECK(freshness.confirmByStore(start + 1200ms) == Change::available);
    CHECK(freshness.availableSince() == start - 1min);
}

TEST_CASE("failed calls over more than one heartbeat interval are an outage")
{
    auto freshness = availableFreshness();
    freshness.noteFailure(start + 1s);
    CHECK(freshness.noteFailure(start + 3s) == Change::unavailable);
    CHECK(freshness.availableSince() == TimePoint::max());
    CHECK(freshness.noteFailure(start + 4s) == Change::none);
    CHECK(freshness.confirmByStore(start + 5s) == Change::availableAfterOutage);
    CHECK(freshness.availableSince() == start + 5s);
}

TEST_CASE("if the store was available to a peer throughout, the failed calls were not an outage of the store")
{
    auto freshness = availableFreshness();
    freshness.noteFailure(start + 1s);
    freshness.noteFailure(start + 3s);
    CHECK(freshness.confirmByPeer(start + 5s, start - 10s) == Change::available);
    CHECK(freshness.availableSince() == start - 10s);
}

TEST_CASE("a peer to which the store is available only since the failed calls does not rule out an outage")
{
    auto freshness = availableFreshness();
    freshness.noteFailure(start + 1s);
    freshness.noteFailure(start + 3s);
    CHECK(freshness.confirmByPeer(start + 5s, start + 2s) == Change::availableAfterOutage);
}

TEST_CASE("no wait for changes outlasts the time for which the mirror may be followed")
{
    StoreFreshness::Options options;
    auto freshness = StoreFreshness::create(options);
    TimePoint confirmedAt { 1h };
    freshness.confirmByStore(confirmedAt);
    for (auto age = 0ms; age <= 3000ms; age += 10ms) {
        CAPTURE(age.count());
        auto now = confirmedAt + age;
        for (auto wait : { freshness.peerWait(now), freshness.watchWait(now) }) {
            CHECK(wait >= options.minWait);
            CHECK(wait <= options.maxWait);
            CHECK((wait == options.minWait || age + wait <= options.maxAge));
        }
        CHECK(freshness.isFresh(confirmedAt, now) == (age <= options.maxAge));
    }
}
