#include "net/server_codec.hpp"

#include <nlohmann/json.hpp>

namespace acaciagauge::net {

using Json = nlohmann::json;

namespace {

    /// JSON names of the kinds, indexed by OrderKind.
    constexpr const char* kindNames[] = { "hello", "inventory", "renew", "grant", "revoke" };

    Json itemJson(const Item& item)
    {
        return Json::array({ item.service, item.partition, item.key });
    }

    Item readItem(const Json& document)
    {
        return { document.at(0).get<std::string>(), readWhole<std::uint32_t>(document.at(1)),
            document.at(2).get<std::string>() };
    }

    Json fenceJson(const Fence& fence)
    {
        return Json::array({ fence.epoch, fence.sequence });
    }

    Fence readFence(const Json& document)
    {
        return { readWhole<Epoch>(document.at(0)), readWhole<std::uint64_t>(document.at(1)) };
    }

    Json stampJson(const Stamp& stamp)
    {
        return Json::array({ stamp.incarnation, stamp.ticks });
    }

    Stamp readStamp(const Json& document)
    {
        return { readWhole<Incarnation>(document.at(0)), readWhole<std::int64_t>(document.at(1)) };
    }

    OrderKind readKind(const std::string& name)
    {
        for (int n = 0; n < 5; ++n) {
            if (name == kindNames[n])
                return static_cast<OrderKind>(n);
        }
        throw Json::other_error::create(501, "unknown order kind " + name, nullptr);
    }

} // namespace

std::string encodeOrder(const ServerOrder& order)
{
    Json document { { "kind", kindNames[static_cast<int>(order.kind)] }, { "epoch", order.epoch },
        { "stamp", stampJson(order.stamp) }, { "durationUs", order.duration.count() } };
    if (!order.items.empty()) {
        document["fence"] = fenceJson(order.fence);
        document["items"] = Json::array();
        for (const auto& it : order.items)
            document["items"].push_back(itemJson(it));
    }
    return document.dump();
}

Result<ServerOrder> decodeOrder(const std::string& text)
{
    try {
        auto document = Json::parse(text);
        ServerOrder order;
        order.kind = readKind(document.at("kind").get<std::string>());
        order.epoch = readWholeField<Epoch>(document, "epoch");
        order.stamp = readStamp(document.at("stamp"));
        order.duration = Duration(readWholeField<Duration::rep>(document, "durationUs"));
        if (document.contains("items")) {
            order.fence = readFence(document.at("fence"));
            for (const auto& it : document.at("items"))
                order.items.push_back(readItem(it));
        }
        return order;
    } catch (const Json::exception& error) {
        return failure(ResultCode::malformedRequest, error.what());
    }
}

std::string encodeAnswer(const ServerAnswer& answer)
{
    Json document { { "code", static_cast<int>(answer.code) }, { "stamp", stampJson(answer.stamp) },
        { "highestEpoch", answer.highestEpoch }, { "heldDigest", answer.heldDigest }, { "released", answer.released },
        { "draining", answer.draining }, { "load", answer.load } };
    document["held"] = Json::array();
    for (const auto& it : answer.held)
        document["held"].push_back(Json::array({ itemJson(it.first), fenceJson(it.second) }));
    document["refused"] = Json::array();
    for (const auto& it : answer.refused)
        document["refused"].push_back(itemJson(it));
    return document.dump();
}

Result<ServerAnswer> decodeAnswer(const std::string& text)
{
    try {
        auto document = Json::parse(text);
        ServerAnswer answer;
        answer.code = static_cast<ResultCode>(readWholeField<int>(document, "code"));
        answer.stamp = readStamp(document.at("stamp"));
        answer.highestEpoch = readWholeField<Epoch>(document, "highestEpoch");
        answer.heldDigest = readWholeField<std::uint64_t>(document, "heldDigest");
        answer.released = document.at("released").get<bool>();
        answer.draining = document.at("draining").get<bool>();
        answer.load = document.at("load").get<double>();
        for (const auto& it : document.at("held"))
            answer.held[readItem(it.at(0))] = readFence(it.at(1));
        for (const auto& it : document.at("refused"))
            answer.refused.push_back(readItem(it));
        return answer;
    } catch (const Json::exception& error) {
        return failure(ResultCode::malformedRequest, error.what());
    }
}

} // namespace acaciagauge::net
