#pragma once

#include "acaciagauge/acaciagauge.hpp"

#include <optional>

/// @brief Keys that the instances write to the platform's store, and the encoding of their values.
namespace acaciagauge::entry {

inline constexpr const char* controllerKey = "acaciagauge/controller"; ///< Attached to the controller's lease.
inline constexpr const char* epochKey = "acaciagauge/epoch";
inline constexpr const char* ownersEraKey
    = "acaciagauge/owners-era"; ///< Era in which the records of all owners were last known to be complete.
inline constexpr const char* membersPrefix = "acaciagauge/members/"; ///< Each key is attached to its instance's lease.
inline constexpr const char* ownersPrefix = "acaciagauge/owners/";

/// @brief Registration of a live instance.
struct MemberRecord {
    InstanceId id;
    DomainId domain;
    std::string rpcAddress;
    double cores = 0; ///< Processor time available to the instance, in cores.

    bool operator==(const MemberRecord&) const = default;
};

/// @brief The elected controller.
struct ControllerRecord {
    InstanceId id;
    Epoch epoch = 0;
    std::string rpcAddress;
    std::uint64_t lease = 0; ///< Lease that the record is attached to.
    std::string token; ///< Random; distinguishes campaigns of one instance.
    std::optional<StoreEra> era; ///< In which the record was written; empty if by a version that did not know of eras.

    bool operator==(const ControllerRecord&) const = default;
};

std::string encodeMember(const MemberRecord& member);
Result<MemberRecord> decodeMember(std::string_view text);
std::string encodeController(const ControllerRecord& controller);
Result<ControllerRecord> decodeController(std::string_view text);

/// @brief The latest epoch of a controller.
struct EpochRecord {
    Epoch epoch = 0;
    StoreEra era = 0; ///< In which it began.
};

std::string encodeEpoch(const EpochRecord& record);

/// @brief Parses the value of epochKey. A plain number, as former versions wrote it, is an epoch of era 0.
EpochRecord decodeEpoch(std::string_view text);

/// @brief Returns the epoch of the next controller.
///
/// A restored store may lack the latest epochs, so an era begins above all epochs that the one before can have reached.
/// @param recorded latest epoch in the store
/// @param known highest epoch that this instance heard of
Epoch nextEpoch(const EpochRecord& recorded, Epoch known, StoreEra era);

/// @brief Returns whether a record was written before the store was restored. Its controller has to be elected again.
bool isOfEarlierEra(const ControllerRecord& controller, StoreEra era);

/// @brief Returns the revision at which a candidate may replace the controller's record: that of a record of an earlier
/// era, otherwise 0, which requires that there is none.
/// @param recorded the record; null if there is none
Revision replaceableRevision(const StoreItem* recorded, StoreEra era);

/// @brief Returns the store key of an owner chunk.
std::string ownersKey(const ChunkId& id);

/// @brief Parses the store key of an owner chunk; nullopt if it is another key.
std::optional<ChunkId> parseOwnersKey(std::string_view key);

} // namespace acaciagauge::entry
