#pragma once

#include "acaciagauge/detail/common/ids.hpp"
#include "acaciagauge/detail/common/result.hpp"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace acaciagauge {

/// @brief One incarnation of an instance. A restarted instance is a new member.
struct Member {
    InstanceId id;
    Incarnation incarnation = 0;

    auto operator<=>(const Member&) const = default;
};

/// @brief The instances that may renew grants under one epoch.
struct RenewerSet {
    Epoch epoch = 0;
    std::vector<Member> members; ///< Includes the domain's controller.

    bool operator==(const RenewerSet&) const = default;
};

/// @brief Returns true if the set contains this incarnation of the instance.
bool contains(const RenewerSet& set, const Member& member);

/// @brief The server that owns an item (a partition or a hot key) and the fence of its grant.
struct ItemOwner {
    ServerId server;
    Fence fence;

    bool operator==(const ItemOwner&) const = default;
};

/// @brief The state of one failure domain in the platform's store, replaced as a whole by compare-and-swap.
struct DomainRecord {
    DomainId domain;
    Member controller;
    RenewerSet renewers; ///< `renewers.epoch` is the controller's epoch.
    std::vector<RenewerSet> former; ///< Sets of earlier epochs with members that may still renew grants.
    std::uint64_t version = 0; ///< Increases with each write, also across epochs.
    std::string writer; ///< Unique token of the write; shows whether a write with a lost response took effect.
    std::map<Item, ItemOwner> items;

    [[nodiscard]] Epoch epoch() const { return renewers.epoch; }
    bool operator==(const DomainRecord&) const = default;
};

/// @brief Returns the JSON form of a record; partitions with the same server and fence form one list.
nlohmann::json toJson(const DomainRecord& record);

/// @brief Reads a record written by toJson.
Result<DomainRecord> domainRecordFromJson(const nlohmann::json& document);

} // namespace acaciagauge
