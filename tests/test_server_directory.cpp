#include <acaciagauge/acaciagauge.hpp>
#include <catch2/catch.hpp>

using namespace acaciagauge;
using namespace std::chrono_literals;

namespace {

ServerEntry entryOf(const ServerId& id, std::int64_t started)
{
    ServerEntry entry;
    entry.run = { id, started };
    entry.service = "auction";
    entry.address = "10.0.0.1:80";
    return entry;
}

constexpr TimePoint start { 1h };

} // namespace

TEST_CASE("a server whose entry is removed while the store is available is gone")
{
    auto directory = ServerDirectory::create({});
    directory.update(entryOf("a", 1), start, start);
    directory.remove("a", start + 1s, start + 1s);
    CHECK(directory.find("a")->status == ServerStatus::gone);
    CHECK(directory.find("a")->statusSince == start + 1s);
}

TEST_CASE("a server whose entry lapsed during a store outage stays in use until the grace period is over")
{
    auto directory = ServerDirectory::create({});
    directory.update(entryOf("a", 1), start, start);
    directory.update(entryOf("b", 1), start, start);
    directory.noteStoreUnavailable();
    directory.noteStoreAvailable(start + 5s, true);
    directory.remove("a", start + 5s, start + 5s);
    directory.remove("b", start + 5s, start + 5s);
    CHECK(directory.find("a")->status == ServerStatus::ready);
    directory.update(entryOf("a", 1), start + 6s, start + 6s);
    directory.expireEntries(start + 7s);
    CHECK(directory.find("b")->status == ServerStatus::ready);
    REQUIRE(directory.nextDue());
    directory.expireEntries(*directory.nextDue());
    CHECK(directory.find("a")->status == ServerStatus::ready);
    CHECK(directory.find("b")->status == ServerStatus::gone);
    CHECK(!directory.nextDue());
}

TEST_CASE("servers of an evacuated domain are not usable, nor are those that start there, until the evacuation ends")
{
    auto directory = ServerDirectory::create({});
    auto entry = entryOf("a", 1);
    entry.domain = "d1";
    directory.update(entry, start, start);
    entry.run.id = "b";
    entry.domain = "d2";
    directory.update(entry, start, start);
    CHECK(directory.startEvacuation("d1", start + 5s, start + 3s));
    CHECK_FALSE(directory.startEvacuation("d1", start + 9s, start + 9s));
    CHECK_FALSE(directory.find("a")->isUsable());
    // The key may have been written as early as the directory was last known to be up to date.
    CHECK(directory.find("a")->evacuatedSince == start + 3s);
    CHECK(directory.find("b")->isUsable());
    entry.run = { "a", 2 };
    entry.domain = "d1";
    directory.update(entry, start + 10s, start + 10s);
    CHECK(directory.find("a")->evacuatedSince == start + 3s);
    CHECK(directory.endEvacuation("d1"));
    CHECK_FALSE(directory.endEvacuation("d1"));
    CHECK(directory.find("a")->isUsable());
}

TEST_CASE("the remaining cold period is counted from each entry or response, also of a server that gets cold again")
{
    auto directory = ServerDirectory::create({});
    auto entry = entryOf("a", 1);
    directory.update(entry, start, start);
    CHECK(directory.find("a")->warmUntil <= start);
    entry.warmupRemaining = 3s;
    directory.update(entry, start + 60s, start + 60s);
    CHECK(directory.find("a")->warmUntil == start + 63s);
    entry.warmupRemaining = 2s;
    directory.update(entry, start + 61s, start + 61s);
    CHECK(directory.find("a")->warmUntil == start + 63s);
    directory.noteWarmup({ "a", 1 }, 5s, start + 62s);
    CHECK(directory.find("a")->warmUntil == start + 67s);
    directory.noteWarmup({ "a", 2 }, 0s, start + 62s);
    CHECK(directory.find("a")->warmUntil == start + 67s);
}

TEST_CASE("a draining server whose entry is removed is gone at once, even during a store outage")
{
    auto directory = ServerDirectory::create({});
    auto entry = entryOf("a", 1);
    entry.draining = true;
    directory.update(entry, start, start);
    directory.noteStoreUnavailable();
    directory.remove("a", start + 1s, start + 1s);
    CHECK(directory.find("a")->status == ServerStatus::gone);
}

TEST_CASE("an entry of an earlier run that arrives late does not replace a newer one")
{
    auto directory = ServerDirectory::create({});
    directory.update(entryOf("a", 7), start, start);
    directory.update(entryOf("a", 3), start + 1s, start + 1s);
    CHECK(directory.find("a")->entry.run.startedMs == 7);
}

TEST_CASE("a server that has been gone for long is erased")
{
    auto directory = ServerDirectory::create({});
    directory.update(entryOf("a", 1), start, start);
    directory.remove("a", start, start);
    CHECK(!directory.expireEntries(start + 10s));
    CHECK(directory.expireEntries(start + 60s));
    CHECK(directory.find("a") == nullptr);
}

TEST_CASE("a drain that is learned late counts from when the directory was last up to date")
{
    auto directory = ServerDirectory::create({});
    directory.update(entryOf("a", 1), start, start);
    auto entry = entryOf("a", 1);
    entry.draining = true;
    directory.update(entry, start + 3s, start + 1s);
    CHECK(directory.find("a")->leavingSince == start + 1s);
    CHECK(directory.find("a")->statusSince == start + 3s);
    // Heartbeats of the draining server, and the removal of its entry, do not change leavingSince.
    directory.update(entry, start + 4s, start + 4s);
    directory.remove("a", start + 5s, start + 5s);
    CHECK(directory.find("a")->status == ServerStatus::gone);
    CHECK(directory.find("a")->leavingSince == start + 1s);
}

TEST_CASE("a server that is draining when the directory is first read has no known start of its drain")
{
    auto directory = ServerDirectory::create({});
    auto entry = entryOf("a", 1);
    entry.draining = true;
    directory.update(entry, start, TimePoint {});
    CHECK(directory.find("a")->leavingSince == TimePoint {});
}

TEST_CASE("a server that becomes ready again and drains anew is leaving since the second drain")
{
    auto directory = ServerDirectory::create({});
    auto entry = entryOf("a", 1);
    entry.draining = true;
    directory.update(entry, start, start);
    directory.update(entryOf("a", 1), start + 2s, start + 2s);
    directory.update(entry, start + 9s, start + 8s);
    CHECK(directory.find("a")->leavingSince == start + 8s);
}

TEST_CASE("a server that says that it is leaving is draining from then on, whatever its entry says, until it restarts")
{
    auto directory = ServerDirectory::create({});
    TimePoint start { 1h };
    ServerEntry entry;
    entry.run = { "a", 1 };
    directory.update(entry, start, start);
    CHECK(directory.noteLeaving(entry.run, start + 1s));
    CHECK_FALSE(directory.noteLeaving(entry.run, start + 2s));
    directory.update(entry, start + 3s, start + 3s);
    CHECK(directory.find("a")->status == ServerStatus::draining);
    entry.draining = true;
    directory.update(entry, start + 4s, start + 4s);
    CHECK(directory.find("a")->leavingSince == start + 1s);
    directory.remove("a", start + 5s, start + 5s);
    CHECK(directory.find("a")->leavingSince == start + 1s);
    entry = {};
    entry.run = { "a", 2 };
    CHECK_FALSE(directory.noteLeaving(entry.run, start + 6s));
    directory.update(entry, start + 6s, start + 6s);
    CHECK(directory.find("a")->status == ServerStatus::ready);
}

TEST_CASE("a server whose expired entry returns as draining has been leaving since it first said so")
{
    auto directory = ServerDirectory::create({});
    auto entry = entryOf("a", 1);
    directory.update(entry, start, start);
    CHECK(directory.noteLeaving(entry.run, start + 1s));
    directory.remove("a", start + 3s, start + 3s);
    entry.draining = true;
    directory.update(entry, start + 4s, start + 4s);
    CHECK(directory.find("a")->status == ServerStatus::draining);
    CHECK(directory.find("a")->leavingSince == start + 1s);
    // The same where only the store told of it.
    directory.update(entryOf("b", 1), start, start);
    directory.remove("b", start + 2s, start + 2s);
    auto other = entryOf("b", 1);
    other.draining = true;
    directory.update(other, start + 4s, start + 4s);
    CHECK(directory.find("b")->leavingSince == start + 2s);
    // A new run of the server has a drain window of its own.
    other.run.startedMs = 2;
    directory.update(other, start + 9s, start + 9s);
    CHECK(directory.find("b")->leavingSince == start + 9s);
}

TEST_CASE("an entry that lapses keeps no server in use that said that it is leaving")
{
    auto directory = ServerDirectory::create({});
    TimePoint start { 1h };
    ServerEntry entry;
    entry.run = { "a", 1 };
    directory.update(entry, start, start);
    directory.noteStoreUnavailable();
    directory.remove("a", start + 1s, start);
    CHECK(directory.noteLeaving(entry.run, start + 2s));
    directory.noteStoreAvailable(start + 3s, true);
    directory.expireEntries(start + 10s);
    CHECK(directory.find("a")->status == ServerStatus::draining);
    CHECK(directory.find("a")->leavingSince == start + 2s);
}

TEST_CASE("a server that says that it is leaving after its entry expired is not ready when the entry returns")
{
    auto directory = ServerDirectory::create({});
    auto entry = entryOf("a", 1);
    directory.update(entry, start, start);
    directory.remove("a", start + 1s, start + 1s);
    CHECK_FALSE(directory.noteLeaving(entry.run, start + 2s));
    directory.update(entry, start + 3s, start + 3s);
    CHECK(directory.find("a")->status == ServerStatus::draining);
    CHECK(directory.find("a")->leavingSince == start + 1s);
}

TEST_CASE("an entry that tells late of a drain shortens the drain window that began with the server's own statement")
{
    auto directory = ServerDirectory::create({});
    auto entry = entryOf("a", 1);
    directory.update(entry, start, start);
    CHECK(directory.noteLeaving(entry.run, start + 4s));
    entry.draining = true;
    directory.update(entry, start + 5s, start + 2s);
    CHECK(directory.find("a")->leavingSince == start + 2s);
}

TEST_CASE("a server that said that it is leaving is not ready when its entry returns after a minute")
{
    auto directory = ServerDirectory::create({});
    auto entry = entryOf("a", 1);
    directory.update(entry, start, start);
    CHECK(directory.noteLeaving(entry.run, start + 1s));
    directory.remove("a", start + 2s, start + 2s);
    directory.expireEntries(start + 60s);
    directory.update(entry, start + 61s, start + 61s);
    CHECK(directory.find("a")->status == ServerStatus::draining);
    CHECK(directory.find("a")->leavingSince == start + 1s);
    // It is erased in the end.
    directory.remove("a", start + 62s, start + 62s);
    directory.expireEntries(start + 1h);
    CHECK(directory.find("a") == nullptr);
}
