#pragma once

#include "acaciagauge/detail/common/result.hpp"
#include "acaciagauge/detail/membership/server_directory.hpp"

#include <string_view>

namespace acaciagauge {

/// @brief Number of a key within its service.
using KeyNumber = std::uint32_t;

/// @brief The largest key number.
inline constexpr KeyNumber lastKey = 65535;

/// @brief Number of neighbouring keys whose owners are recorded together, as a chunk. No range spans two chunks.
inline constexpr KeyNumber keysPerChunk = 4096;

/// @brief A range of consecutive keys, both ends included.
struct KeyRange {
    KeyNumber from = 0;
    KeyNumber to = 0;

    auto operator<=>(const KeyRange&) const = default;
    [[nodiscard]] KeyNumber width() const { return to - from + 1; }
    [[nodiscard]] bool contains(KeyNumber key) const { return from <= key && key <= to; }
};

/// @brief A range of keys and the server that is recorded as its owner.
struct RangeOwner {
    KeyRange range;
    ServerRun owner;

    bool operator==(const RangeOwner&) const = default;
};

/// @brief The recorded owners of one chunk of a service's keys, in ascending key order. Keys in gaps have no owner.
struct OwnerChunk {
    Epoch epoch = 0; ///< Of the controller that wrote it.
    std::vector<RangeOwner> owners;
};

/// @brief Identifies a chunk of a service's keys.
struct ChunkId {
    ServiceName service;
    std::uint32_t number = 0; ///< Key number / keysPerChunk.

    auto operator<=>(const ChunkId&) const = default;
};

/// @brief Encodes a chunk as the JSON text that the store keeps.
std::string encodeOwnerChunk(const OwnerChunk& chunk);

/// @brief Decodes a chunk.
/// @return malformedRequest if the text is not a chunk, or if its ranges overlap or leave the chunk
Result<OwnerChunk> decodeOwnerChunk(std::uint32_t number, std::string_view text);

/// @brief All recorded owners; finds the owner of a key.
class KeyOwnerMap {
public:
    static KeyOwnerMap create() { return {}; }

    /// @brief Replaces a chunk.
    void set(const ChunkId& id, OwnerChunk chunk) { m_chunks[id] = std::move(chunk); }
    void erase(const ChunkId& id) { m_chunks.erase(id); }

    /// @brief Finds the recorded owner of a key; null if it has none.
    /// @complexity O(log chunks + log ranges)
    [[nodiscard]] const RangeOwner* find(const ServiceName& service, KeyNumber key) const;

    [[nodiscard]] const std::map<ChunkId, OwnerChunk>& chunks() const { return m_chunks; }

private:
    KeyOwnerMap() = default;
    std::map<ChunkId, OwnerChunk> m_chunks;
};

} // namespace acaciagauge
