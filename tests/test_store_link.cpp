#include "entry/store_follower.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

using namespace acaciagauge;
using namespace acaciagauge::entry;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// An in-memory store whose watches can omit changes, and an instance that follows it.
struct Fixture {
    Fixture()
    {
        ports::StorePort store;
        store.readAll = [this]() -> asio::awaitable<ports::StoreReply> {
            ++reads;
            co_return ports::StoreReply { ports::StoreStatus::done, { revision, true, items } };
        };
        store.watch = [this](Revision after, std::chrono::milliseconds) -> asio::awaitable<ports::StoreReply> {
            asio::steady_timer timer(context, 10ms);
            co_await timer.async_wait(asio::use_awaitable);
            ports::StoreReply reply { ports::StoreStatus::done, { revision, false, {} } };
            for (const auto& it : items) {
                if (!hidesChanges && it.item.revision > after)
                    reply.delta.changes.push_back(it);
            }
            co_return reply;
        };
        store.poll = [watch = store.watch](Revision after) { return watch(after, 0ms); };
        follower = std::make_unique<StoreFollower>(
            context, MemberRecord { "a", "domain", "127.0.0.1:1", 1 }, store, catalog, StoreFollower::Hooks {});
        follower->start();
    }

    void put(const std::string& key, const std::string& value = "value")
    {
        ++revision;
        items.push_back({ { key, value, revision }, false });
    }

    /// The value of a server's key is its state.
    static ports::DocumentsPort documents()
    {
        auto decodeServer = [](const ServerId& id, std::string_view text) -> Result<ServerEntry> {
            ServerEntry entry;
            entry.run.id = id;
            entry.draining = text == "draining";
            return entry;
        };
        return { "configuration", "servers/", {}, {}, decodeServer };
    }

    asio::io_context context;
    Revision revision = 1;
    std::vector<StoreChange> items;
    bool hidesChanges = false;
    std::size_t reads = 0;
    Catalog catalog { context, documents() };
    std::unique_ptr<StoreFollower> follower;
};

} // namespace

TEST_CASE("an instance receives a change by its watch")
{
    Fixture fixture;
    fixture.put("first");
    fixture.context.run_for(100ms);
    fixture.put("second");
    fixture.context.run_for(300ms);
    CHECK(fixture.catalog.mirror().find("first"));
    CHECK(fixture.catalog.mirror().find("second"));
    CHECK(fixture.reads == 1);
}

TEST_CASE("after a watch that skips changes the whole store is read")
{
    Fixture fixture;
    fixture.put("first");
    fixture.context.run_for(100ms);
    fixture.hidesChanges = true;
    fixture.put("second");
    fixture.context.run_for(400ms);
    CHECK(fixture.catalog.mirror().find("second"));
    fixture.hidesChanges = false;
    fixture.put("third");
    fixture.context.run_for(300ms);
    CHECK(fixture.catalog.mirror().find("third"));
}

TEST_CASE("a watch that skips changes does not confirm that the mirror was up to date")
{
    Fixture fixture;
    fixture.put("servers/a", "ready");
    fixture.context.run_for(100ms);
    fixture.hidesChanges = true;
    auto leavingAt = monotonicNow();
    fixture.put("servers/a", "draining");
    fixture.context.run_for(400ms);
    const auto* server = fixture.catalog.servers().find("a");
    REQUIRE(server);
    CHECK(server->status == ServerStatus::draining);
    CHECK(server->leavingSince <= leavingAt);
}
