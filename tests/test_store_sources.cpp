/// @file
/// @brief Selection of the sources from which instances receive the store's changes.

#include "acaciagauge/acaciagauge.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace acaciagauge;
using namespace std::chrono_literals;

namespace {

std::vector<StoreSources::Peer> fleet(unsigned domains, unsigned perDomain)
{
    std::vector<StoreSources::Peer> peers;
    for (unsigned domain = 0; domain < domains; ++domain) {
        for (unsigned n = 0; n < perDomain; ++n) {
            auto name = std::to_string(domain) + "-" + std::to_string(n);
            peers.push_back({ "i" + name, "d" + std::to_string(domain), "rpc" + name });
        }
    }
    return peers;
}

std::map<InstanceId, StoreSources> sourcesOf(
    const std::vector<StoreSources::Peer>& peers, const StoreSources::Options& options)
{
    std::map<InstanceId, StoreSources> all;
    for (const auto& it : peers) {
        auto sources = StoreSources::create(options, it.id, it.domain);
        sources.setPeers(peers);
        all.emplace(it.id, std::move(sources));
    }
    return all;
}

std::set<InstanceId> watchersOf(const std::map<InstanceId, StoreSources>& all, TimePoint now)
{
    std::set<InstanceId> watchers;
    for (const auto& it : all) {
        if (!it.second.pick(now))
            watchers.insert(it.first);
    }
    return watchers;
}

} // namespace

TEST_CASE("instances that know the same peers agree on the watchers of each domain")
{
    bool holds = rc::check("for any fleet", [] {
        auto domains = *rc::gen::inRange(1U, 6U);
        auto perDomain = *rc::gen::inRange(1U, 60U);
        StoreSources::Options options;
        options.followersPerWatcher = *rc::gen::inRange<std::size_t>(1, 50);
        auto peers = fleet(domains, perDomain);
        auto all = sourcesOf(peers, options);
        auto now = TimePoint(1s);
        auto watchers = watchersOf(all, now);
        RC_ASSERT(watchers.size() == domains * (1 + (perDomain - 1) / options.followersPerWatcher));
        for (const auto& it : peers) {
            auto source = all.at(it.id).pick(now);
            if (!source)
                continue;
            RC_ASSERT(source->domain == it.domain);
            RC_ASSERT(watchers.contains(source->id));
        }
    });
    CHECK(holds);
}

TEST_CASE("a watcher that all instances suspect is replaced by one successor, and returns after the suspicion time")
{
    bool holds = rc::check("for any fleet", [] {
        auto peers = fleet(3, *rc::gen::inRange(2U, 30U));
        StoreSources::Options options;
        auto all = sourcesOf(peers, options);
        auto now = TimePoint(1s);
        auto before = watchersOf(all, now);
        auto lost = *before.begin();
        for (auto& it : all)
            it.second.suspect(lost, now);
        auto during = watchersOf(all, now);
        RC_ASSERT(during.size() == before.size());
        RC_ASSERT(!during.contains(lost));
        RC_ASSERT(watchersOf(all, now + options.suspicionTime) == before);
    });
    CHECK(holds);
}

TEST_CASE("an instance whose sources all fail watches the store after a bounded number of them")
{
    bool holds = rc::check("for any fleet", [] {
        auto peers = fleet(*rc::gen::inRange(1U, 5U), *rc::gen::inRange(1U, 400U));
        StoreSources::Options options;
        options.followersPerWatcher = 1000;
        auto sources = StoreSources::create(options, peers.front().id, peers.front().domain);
        sources.setPeers(peers);
        auto now = TimePoint(1s);
        std::size_t failed = 0;
        while (auto source = sources.pick(now)) {
            sources.suspect(source->id, now);
            RC_ASSERT(++failed <= 1 + 2 * options.spareCount);
        }
    });
    CHECK(holds);
}

TEST_CASE("an instance that cannot reach the store follows a peer, if necessary one of another domain")
{
    auto peers = fleet(2, 1);
    auto sources = StoreSources::create({}, "i0-0", "d0");
    auto now = TimePoint(1s);
    CHECK(!sources.pick(now));
    sources.setPeers(peers);
    CHECK(!sources.pick(now));
    sources.suspect("i0-0", now);
    REQUIRE(sources.pick(now));
    CHECK(sources.pick(now)->id == "i1-0");
    sources.suspect("i1-0", now);
    CHECK(!sources.pick(now));
}

TEST_CASE("a peer of the same domain that follows another instance is used only by an instance without the store")
{
    auto sources = StoreSources::create({}, "i0-0", "d0");
    sources.setPeers(fleet(2, 3));
    auto now = TimePoint(1s);
    StoreSources::Peer sameDomain { "i0-1", "d0", {} };
    StoreSources::Peer otherDomain { "i1-1", "d1", {} };
    CHECK(sources.isUsable(sameDomain, "", now));
    CHECK_FALSE(sources.isUsable(sameDomain, "i0-2", now));
    CHECK(sources.isUsable(otherDomain, "i1-2", now));
    sources.suspect("i0-0", now);
    CHECK(sources.isUsable(sameDomain, "i0-2", now));
    CHECK_FALSE(sources.isUsable(sameDomain, "i0-0", now));
    CHECK_FALSE(sources.isUsable(otherDomain, "i0-0", now));
}
