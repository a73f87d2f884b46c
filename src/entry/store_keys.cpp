#include "entry/store_keys.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace acaciagauge::entry {

using Json = nlohmann::json;

namespace {

    std::optional<std::uint64_t> parseNumber(std::string_view text)
    {
        std::uint64_t number = 0;
        auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
        bool isWhole = parsed.ec == std::errc {} && parsed.ptr == text.data() + text.size();
        return isWhole ? std::optional(number) : std::nullopt;
    }

    /// @throw Json::exception if the value is not a non-negative number
    double readCores(const Json& value)
    {
        auto cores = value.is_number() ? value.get<double>() : -1.0;
        if (!(cores >= 0))
            throw Json::out_of_range::create(401, describeNumber(value) + " is not a number of cores", &value);
        return cores;
    }

} // namespace

std::string encodeMember(const MemberRecord& member)
{
    return Json {
        { "id", member.id }, { "domain", member.domain }, { "rpc", member.rpcAddress }, { "cores", member.cores }
    }.dump();
}

Result<MemberRecord> decodeMember(std::string_view text)
{
    try {
        auto document = Json::parse(text);
        MemberRecord member { document.at("id").get<InstanceId>(), document.at("domain").get<DomainId>(),
            document.at("rpc").get<std::string>(), 0 };
        if (document.contains("cores"))
            member.cores = readCores(document.at("cores"));
        return member;
    } catch (const Json::exception& error) {
        return failure(ResultCode::malformedRequest, error.what());
    }
}

std::string encodeController(const ControllerRecord& controller)
{
    return Json {
        { "id", controller.id }, { "epoch", controller.epoch }, { "rpc", controller.rpcAddress },
        { "lease", controller.lease }, { "token", controller.token }, { "era", controller.era.value_or(0) }
    }.dump();
}

Result<ControllerRecord> decodeController(std::string_view text)
{
    try {
        auto document = Json::parse(text);
        std::optional<StoreEra> era;
        if (document.contains("era"))
            era = readWholeField<StoreEra>(document, "era");
        return ControllerRecord { document.at("id").get<InstanceId>(), readWholeField<Epoch>(document, "epoch"),
            document.at("rpc").get<std::string>(), readWholeField<std::uint64_t>(document, "lease"),
            document.at("token").get<std::string>(), era };
    } catch (const Json::exception& error) {
        return failure(ResultCode::malformedRequest, error.what());
    }
}

std::string encodeEpoch(const EpochRecord& record)
{
    return std::to_string(record.epoch) + " " + std::to_string(record.era);
}

EpochRecord decodeEpoch(std::string_view text)
{
    auto space = text.find(' ');
    auto era = space == std::string_view::npos ? std::nullopt : parseNumber(text.substr(space + 1));
    return { parseNumber(text.substr(0, space)).value_or(0), era.value_or(0) };
}

Epoch nextEpoch(const EpochRecord& recorded, Epoch known, StoreEra era)
{
    // More than a store loses in a restore: an epoch lasts seconds, and the copy is seconds old.
    constexpr Epoch epochsPerEra = 1024;
    auto erasSince = era > recorded.era ? era - recorded.era : 0;
    return std::max(recorded.epoch + erasSince * epochsPerEra, known) + 1;
}

bool isOfEarlierEra(const ControllerRecord& controller, StoreEra era)
{
    return controller.era && *controller.era < era;
}

Revision replaceableRevision(const StoreItem* recorded, StoreEra era)
{
    if (!recorded)
        return 0;
    auto controller = decodeController(recorded->value);
    return controller && isOfEarlierEra(*controller, era) ? recorded->revision : 0;
}

std::string ownersKey(const ChunkId& id)
{
    return ownersPrefix + id.service + "/" + std::to_string(id.number);
}

std::optional<ChunkId> parseOwnersKey(std::string_view key)
{
    if (!key.starts_with(ownersPrefix))
        return std::nullopt;
    key.remove_prefix(std::string_view(ownersPrefix).size());
    auto slash = key.rfind('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    auto number = parseNumber(key.substr(slash + 1));
    if (!number || *number > lastKey / keysPerChunk)
        return std::nullopt;
    return ChunkId { std::string(key.substr(0, slash)), static_cast<std::uint32_t>(*number) };
}

} // namespace acaciagauge::entry
