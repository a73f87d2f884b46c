#include <acaciagauge/acaciagauge.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace acaciagauge;

namespace {

StoreChange put(std::string key, std::string value, Revision revision)
{
    return { { std::move(key), std::move(value), revision }, false };
}

StoreChange removal(std::string key, Revision revision)
{
    return { { std::move(key), {}, revision }, true };
}

StoreDelta delta(Revision at, std::vector<StoreChange> changes, bool isSnapshot = false)
{
    return { at, isSnapshot, std::move(changes) };
}

} // namespace

TEST_CASE("a mirror ignores changes older than its state")
{
    auto mirror = StoreMirror::create({});
    mirror.apply(delta(5, { put("a", "new", 5) }));
    CHECK(mirror.apply(delta(4, { put("a", "old", 4) })).empty());
    CHECK(mirror.find("a")->value == "new");
    mirror.apply(delta(6, { removal("a", 6) }));
    CHECK(mirror.apply(delta(5, { put("a", "new", 5) })).empty());
    CHECK(mirror.find("a") == nullptr);
    CHECK(mirror.revision() == 6);
}

TEST_CASE("a snapshot removes items that it does not list, unless they were written after it")
{
    auto mirror = StoreMirror::create({});
    mirror.apply(delta(3, { put("a", "1", 1), put("b", "2", 3) }));
    auto changes = mirror.apply(delta(4, { put("c", "3", 4) }, true));
    CHECK(changes.size() == 3);
    CHECK(mirror.items().size() == 1);
    CHECK(mirror.apply(delta(2, {}, true)).empty());
    CHECK(mirror.find("c") != nullptr);
}

TEST_CASE("a mirror that follows another by deltas equals it")
{
    bool holds = rc::check("follow", [] {
        StoreMirror::Options options;
        options.maxTombstones = 3;
        auto leader = StoreMirror::create(options);
        auto follower = StoreMirror::create(options);
        Revision revision = 0;
        auto steps = *rc::gen::container<std::vector<std::tuple<int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange(0, 6)));
        for (const auto& it : steps) {
            auto key = std::string(1, static_cast<char>('a' + std::get<1>(it)));
            ++revision;
            switch (std::get<0>(it)) {
            case 0:
            case 1:
                leader.apply(delta(revision, { put(key, std::to_string(revision), revision) }));
                break;
            case 2:
                leader.apply(delta(revision, { removal(key, revision) }));
                break;
            default:
                follower.apply(leader.changesSince(0, follower.revision()));
            }
        }
        follower.apply(leader.changesSince(0, follower.revision()));
        RC_ASSERT(follower.revision() == leader.revision());
        RC_ASSERT(follower.items().size() == leader.items().size());
        for (const auto& it : leader.items())
            RC_ASSERT(follower.find(it.first) && follower.find(it.first)->value == it.second.value);
    });
    CHECK(holds);
}

TEST_CASE("mirrors that restart and follow each other in any order equal the store, or differ in their checksums")
{
    bool holds = rc::check("follow in any order", [] {
        constexpr unsigned mirrorCount = 4;
        StoreMirror::Options options;
        options.maxTombstones = 3;
        std::vector<StoreMirror> mirrors(mirrorCount, StoreMirror::create(options));
        std::map<Revision, std::map<std::string, StoreItem>> states { { 1, {} } };
        Revision revision = 1;
        auto steps = *rc::gen::container<std::vector<std::tuple<int, unsigned, unsigned>>>(rc::gen::tuple(
            rc::gen::inRange(0, 7), rc::gen::inRange(0U, mirrorCount), rc::gen::inRange(0U, mirrorCount)));
        for (const auto& [what, first, second] : steps) {
            auto& mirror = mirrors[first];
            auto key = std::string(1, static_cast<char>('a' + second));
            auto state = states.at(revision);
            switch (what) {
            case 0:
            case 1:
                ++revision;
                state[key] = { key, "value", revision };
                states[revision] = state;
                break;
            case 2:
                ++revision;
                state.erase(key);
                states[revision] = state;
                break;
            case 3:
                mirror = StoreMirror::create(options);
                break;
            case 4: {
                StoreDelta snapshot { revision, true, {}, {} };
                for (const auto& it : state)
                    snapshot.changes.push_back({ it.second, false });
                mirror.apply(snapshot);
                break;
            }
            default: {
                const auto& source = mirrors[second];
                if (source.revision() < mirror.revision() || source.revision() == 0)
                    break;
                auto delta = source.changesSince(0, mirror.revision());
                mirror.apply(delta);
                if (!mirror.matchesChecksum(delta.revision, delta.checksum))
                    mirror.apply(source.changesSince(0, 0));
                RC_ASSERT(mirror.matchesChecksum(delta.revision, delta.checksum));
                const auto& expected = states.at(mirror.revision());
                RC_ASSERT(mirror.items().size() == expected.size());
                for (const auto& it : expected)
                    RC_ASSERT(mirror.find(it.first) && mirror.find(it.first)->revision == it.second.revision);
            }
            }
        }
    });
    CHECK(holds);
}

TEST_CASE("a snapshot of a later era replaces the mirror, and changes of an earlier one are ignored")
{
    auto mirror = StoreMirror::create({});
    mirror.apply({ 9, true, { { { "kept", "new", 9 }, false }, { { "lost", "x", 5 }, false } }, {}, 1 });
    CHECK(mirror.apply({ 12, false, { { { "kept", "newer", 12 }, false } }, {}, 2 }).empty());
    auto applied = mirror.apply({ 4, true, { { { "kept", "old", 3 }, false } }, {}, 2 });
    REQUIRE(applied.size() == 2);
    CHECK(applied[1].item.key == "lost");
    CHECK(applied[1].removed);
    CHECK(mirror.era() == 2);
    CHECK(mirror.revision() == 4);
    CHECK(mirror.find("kept")->value == "old");
    CHECK(mirror.apply({ 20, false, { { { "kept", "new", 20 }, false } }, {}, 1 }).empty());
    CHECK(mirror.apply({ 5, false, { { { "kept", "rewritten", 5 }, false } }, {}, 2 }).size() == 1);
    CHECK(mirror.changesSince(1, 9).isSnapshot);
    CHECK(mirror.changesSince(3, 1).changes.empty());
}
