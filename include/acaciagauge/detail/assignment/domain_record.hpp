#pragma once

#include "acaciagauge/detail/common/ids.hpp"
#include "acaciagauge/detail/common/result.hpp"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace acaciagauge {

/// @brief One run of one instance. A restarted instance is another member.
struct Member {
    InstanceId id;
    Incarnation incarnation = 0;

    auto operator<=>(const Member&) const = default;
};

/// @brief The instances that may renew grants under one epoch.
struct RenewerSet {
    Epoch epoch = 0;
    std::vector<Member> members; ///< Includes the controller.

    bool operator==(const RenewerSet&) const = default;
};

/// @brief Returns true if the set names this run of the instance.
bool contains(const RenewerSet& set, const Member& member);

/// @brief Owner of an item and the fence of its grant.
struct ItemOwner {
    ServerId server;
    Fence fence;

    bool operator==(const ItemOwner&) const = default;
};

/// @brief All that the platform's store keeps for one failure domain, replaced as a whole by compare-and-swap.
struct DomainRecord {
    DomainId domain;
    Member controller;
    RenewerSet renewers; ///< `renewers.epoch` is the controller's epoch.
    std::vector<RenewerSet> former; ///< Earlier sets of which some member may still renew grants.
    std::uint64_t version = 0; ///< Rises with each write of the same or a later epoch.
    std::string writer; ///< Unique token of the write; settles a write whose answer was lost.
    std::map<Item, ItemOwner> items;

    [[nodiscard]] Epoch epoch() const { return renewers.epoch; }
    bool operator==(const DomainRecord&) const = default;
};

/// @brief Returns the JSON form of a record: partitions of one server in one list.
nlohmann::json toJson(const DomainRecord& record);

/// @brief Reads a record that toJson wrote.
Result<DomainRecord> domainRecordFromJson(const nlohmann::json& document);

} // namespace acaciagauge
