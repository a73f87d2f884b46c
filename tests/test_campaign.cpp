#include "entry/campaign.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace acaciagauge;
using namespace acaciagauge::entry;

namespace {

std::map<InstanceId, MemberRecord> makeMembers(std::size_t small, std::size_t large)
{
    std::map<InstanceId, MemberRecord> members;
    for (std::size_t n = 0; n < small + large; ++n) {
        auto id = "e" + std::to_string(n);
        members[id] = { id, "a", "10.0.0.1:80", n < small ? 0.1 : 0.5 };
    }
    return members;
}

} // namespace

TEST_CASE("instances with more processor time become controller first")
{
    auto members = makeMembers(180, 15);
    for (std::size_t epoch = 0; epoch < 20; ++epoch) {
        auto order = campaignOrder(members, std::to_string(epoch));
        REQUIRE(order.size() == members.size());
        for (std::size_t n = 0; n < 15; ++n)
            CHECK(members.at(order[n]).cores == 0.5);
    }
}

TEST_CASE("instances with equal processor time take turns")
{
    auto members = makeMembers(8, 0);
    std::map<InstanceId, std::size_t> first;
    for (std::size_t epoch = 0; epoch < 200; ++epoch)
        ++first[campaignOrder(members, std::to_string(epoch)).front()];
    CHECK(first.size() == members.size());
}

TEST_CASE("a member record keeps its processor time, and is decoded without one")
{
    MemberRecord member { "e1", "a", "10.0.0.1:80", 0.25 };
    CHECK(decodeMember(encodeMember(member)) == member);
    CHECK(decodeMember(R"({"id":"e1","domain":"a","rpc":"10.0.0.1:80"})")->cores == 0);
}

TEST_CASE("only a controller of an earlier era of the store is replaced")
{
    ControllerRecord controller { "a", 5, "10.0.0.1:7500", 3, "t", 2 };
    StoreItem item { controllerKey, encodeController(controller), 17 };
    CHECK(replaceableRevision(&item, 3) == 17);
    CHECK(replaceableRevision(&item, 2) == 0);
    CHECK(replaceableRevision(nullptr, 2) == 0);
    item.value = "no record";
    CHECK(replaceableRevision(&item, 3) == 0);
}

TEST_CASE("a controller of a version without eras is not replaced while its record exists")
{
    auto record = decodeController(R"({"id":"a","epoch":5,"rpc":"10.0.0.1:7500","lease":3,"token":"t"})");
    REQUIRE(record);
    CHECK_FALSE(isOfEarlierEra(*record, 1));
    StoreItem item { controllerKey, R"({"id":"a","epoch":5,"rpc":"10.0.0.1:7500","lease":3,"token":"t"})", 17 };
    CHECK(replaceableRevision(&item, 1) == 0);
}

TEST_CASE("epochs of a restored store are above all that it may have forgotten")
{
    CHECK(nextEpoch({ 7, 2 }, 0, 2) == 8);
    CHECK(nextEpoch({ 7, 2 }, 9, 2) == 10);
    CHECK(nextEpoch({ 7, 2 }, 0, 3) > 1000);
    CHECK(nextEpoch({}, 0, 1) < nextEpoch({}, 0, 2));
    CHECK(decodeEpoch(encodeEpoch({ 7, 2 })).epoch == 7);
    CHECK(decodeEpoch(encodeEpoch({ 7, 2 })).era == 2);
    CHECK(decodeEpoch("7").epoch == 7);
}

// Guards against a record whose numbers are cut off or wrap around: a controller would count as one of another epoch.
TEST_CASE("a controller's or a member's record with a number of another kind is refused")
{
    auto controller = nlohmann::json::parse(encodeController({ "a", 5, "10.0.0.1:7500", 3, "t", 2 }));
    REQUIRE(decodeController(controller.dump()));
    auto field = GENERATE(as<std::string> {}, "epoch", "lease", "era");
    for (const auto* it : { "5.5", "5.0", "-1", "true", "null", "\"5\"", "1e300" }) {
        auto changed = controller;
        changed[field] = nlohmann::json::parse(it);
        CAPTURE(field, it);
        CHECK_FALSE(decodeController(changed.dump()));
    }
    auto member = nlohmann::json::parse(encodeMember({ "e1", "a", "10.0.0.1:80", 0.25 }));
    REQUIRE(decodeMember(member.dump()));
    for (const auto* it : { "-1", "true", "null", "\"5\"" }) {
        auto changed = member;
        changed["cores"] = nlohmann::json::parse(it);
        CAPTURE(it);
        CHECK_FALSE(decodeMember(changed.dump()));
    }
}
