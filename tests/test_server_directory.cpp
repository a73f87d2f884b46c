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

TEST_CASE("an entry that vanishes while the store answers names a server that is gone")
{
    auto directory = ServerDirectory::create({});
    directory.update(entryOf("a", 1), start, start);
    directory.remove("a", start + 1s, start + 1s);
    CHECK(directory.find("a")->status == ServerStatus::gone);
    CHECK(directory.find("a")->since == start + 1s);
}

TEST_CASE("an entry that lapsed while the store was away is in use until two seconds after its return")
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

TEST_CASE("a draining server whose entry vanishes is gone at once, store or not")
{
    auto directory = ServerDirectory::create({});
    auto entry = entryOf("a", 1);
    entry.draining = true;
    directory.update(entry, start, start);
    directory.noteStoreUnavailable();
    directory.remove("a", start + 1s, start + 1s);
    CHECK(directory.find("a")->status == ServerStatus::gone);
}

TEST_CASE("a late entry of an earlier run does not replace a newer one")
{
    auto directory = ServerDirectory::create({});
    directory.update(entryOf("a", 7), start, start);
    directory.update(entryOf("a", 3), start + 1s, start + 1s);
    CHECK(directory.find("a")->entry.run.startedMs == 7);
}

TEST_CASE("a gone server is forgotten in the end")
{
    auto directory = ServerDirectory::create({});
    directory.update(entryOf("a", 1), start, start);
    directory.remove("a", start, start);
    CHECK(!directory.expireEntries(start + 10s));
    CHECK(directory.expireEntries(start + 60s));
    CHECK(directory.find("a") == nullptr);
}

TEST_CASE("a server that is heard of late has been leaving since the directory was last up to date")
{
    auto directory = ServerDirectory::create({});
    directory.update(entryOf("a", 1), start, start);
    auto entry = entryOf("a", 1);
    entry.draining = true;
    directory.update(entry, start + 3s, start + 1s);
    CHECK(directory.find("a")->leavingSince == start + 1s);
    CHECK(directory.find("a")->since == start + 3s);
    // Its heartbeats, and the end of its entry, begin nothing anew.
    directory.update(entry, start + 4s, start + 4s);
    directory.remove("a", start + 5s, start + 5s);
    CHECK(directory.find("a")->status == ServerStatus::gone);
    CHECK(directory.find("a")->leavingSince == start + 1s);
}

TEST_CASE("a server that is leaving when the directory is first read may have been leaving for ever")
{
    auto directory = ServerDirectory::create({});
    auto entry = entryOf("a", 1);
    entry.draining = true;
    directory.update(entry, start, TimePoint {});
    CHECK(directory.find("a")->leavingSince == TimePoint {});
}

TEST_CASE("a server that stays after all, and leaves again, is leaving since then")
{
    auto directory = ServerDirectory::create({});
    auto entry = entryOf("a", 1);
    entry.draining = true;
    directory.update(entry, start, start);
    directory.update(entryOf("a", 1), start + 2s, start + 2s);
    directory.update(entry, start + 9s, start + 8s);
    CHECK(directory.find("a")->leavingSince == start + 8s);
}
