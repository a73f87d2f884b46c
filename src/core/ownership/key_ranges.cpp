#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace acaciagauge {

using Json = nlohmann::json;

std::string encodeOwnerChunk(const OwnerChunk& chunk)
{
    Json owners = Json::array();
    for (const auto& it : chunk.owners)
        owners.push_back({ it.range.from, it.range.to, it.owner.id, it.owner.startedMs });
    return Json { { "epoch", chunk.epoch }, { "owners", std::move(owners) } }.dump();
}

Result<OwnerChunk> decodeOwnerChunk(std::uint32_t number, std::string_view text)
{
    try {
        auto document = Json::parse(text);
        OwnerChunk chunk;
        chunk.epoch = readWholeField<Epoch>(document, "epoch");
        KeyNumber next = number * keysPerChunk;
        auto last = next + keysPerChunk - 1;
        for (const auto& it : document.at("owners").get_ref<const Json::array_t&>()) {
            RangeOwner owner;
            owner.range = { readWhole<KeyNumber>(it.at(0)), readWhole<KeyNumber>(it.at(1)) };
            owner.owner = { it.at(2).get<ServerId>(), readWhole<std::int64_t>(it.at(3), 0) };
            if (owner.range.from < next || owner.range.to < owner.range.from || owner.range.to > last)
                return failure(ResultCode::malformedRequest,
                    "range that starts at key " + std::to_string(owner.range.from)
                        + " is inverted, overlaps the previous one or leaves its chunk");
            next = owner.range.to + 1;
            chunk.owners.push_back(std::move(owner));
        }
        return chunk;
    } catch (const Json::exception& error) {
        return failure(ResultCode::malformedRequest, error.what());
    }
}

const RangeOwner* KeyOwnerMap::find(const ServiceName& service, KeyNumber key) const
{
    auto chunk = m_chunks.find(ChunkId { service, key / keysPerChunk });
    if (chunk == m_chunks.end())
        return nullptr;
    const auto& owners = chunk->second.owners;
    auto it = std::upper_bound(
        owners.begin(), owners.end(), key, [](KeyNumber k, const RangeOwner& owner) { return k < owner.range.from; });
    if (it == owners.begin())
        return nullptr;
    --it;
    return it->range.contains(key) ? &*it : nullptr;
}

} // namespace acaciagauge
