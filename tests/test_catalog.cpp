#include "entry/catalog.hpp"
#include "entry/store_keys.hpp"
#include "platform/platform.hpp"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace acaciagauge;
using namespace acaciagauge::entry;

namespace {

/// A catalog that receives changes of the store.
struct Fixture {
    Fixture()
    {
        StoreDelta empty;
        empty.era = 1;
        empty.revision = revision;
        empty.isSnapshot = true;
        catalog.apply(std::move(empty), "read", monotonicNow());
    }

    void put(const std::string& key, const std::string& value)
    {
        StoreDelta delta;
        delta.era = 1;
        delta.revision = ++revision;
        delta.changes.push_back({ { key, value, revision }, false });
        catalog.apply(std::move(delta), "watch", monotonicNow());
    }

    boost::asio::io_context context;
    Catalog catalog { context, platform::documentsPort() };
    Revision revision = 1;
};

std::string serverEntry(const std::string& address, const std::string& born)
{
    return R"({"address":")" + address + R"(","born":)" + born
        + R"(,"info":{"service":"s","version":"v1","zone":"a","concurrency":2},)"
        + R"("status":{"state":"ready","sequence":4,"warmup_left_ms":0}})";
}

} // namespace

// Guards against a record that another writer damages: the instances forgot a live controller or member.
TEST_CASE("a malformed record of a controller or a member changes nothing that stood")
{
    Fixture fixture;
    ControllerRecord controller { "a", 5, "10.0.0.1:7500", 3, "t", 1 };
    MemberRecord member { "e1", "a", "10.0.0.1:80", 0.25 };
    fixture.put(controllerKey, encodeController(controller));
    fixture.put(membersPrefix + std::string("e1"), encodeMember(member));
    for (const auto* it : { "", "[]", "{}", R"({"id":"e1","domain":"a","rpc":7})", R"({"id":"a","epoch":5.5})" }) {
        CAPTURE(it);
        fixture.put(controllerKey, it);
        fixture.put(membersPrefix + std::string("e1"), it);
        CHECK(fixture.catalog.controller() == controller);
        REQUIRE(fixture.catalog.members().contains("e1"));
        CHECK(fixture.catalog.members().at("e1") == member);
    }
}

// Guards against an entry whose key is no server's id: sent as a header, it would end the request that it belongs to.
TEST_CASE("an entry under a key that cannot be a server's id names no server")
{
    Fixture fixture;
    fixture.put("servers/s0", serverEntry("10.0.0.9:8080", "5"));
    auto id = GENERATE(
        as<std::string> {}, "", "x\r\nHost: other", "x\ny", "x y", std::string("x\0y", 3), "x\x7f", "x\xc3\xa4");
    CAPTURE(id);
    fixture.put("servers/" + id, serverEntry("10.0.0.9:8081", "6"));
    CHECK(fixture.catalog.servers().servers().size() == 1);
}

// Guards against an odd entry under a live server's id that moves the server to another address or run.
TEST_CASE("a refused entry changes nothing that stood")
{
    Fixture fixture;
    fixture.put("servers/s0", serverEntry("10.0.0.9:8080", "5"));
    for (const auto* it : { "6.5", "6.0", "true", "\"6\"", "-1" })
        fixture.put("servers/s0", serverEntry("10.0.0.9:8081", it));
    const auto* server = fixture.catalog.servers().find("s0");
    REQUIRE(server);
    CHECK(server->entry.address == "10.0.0.9:8080");
    CHECK(server->entry.run.startedMs == 5);
}
