#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace acaciagauge {

using Json = nlohmann::json;

namespace {

    Json membersJson(const std::vector<Member>& members)
    {
        Json list = Json::array();
        for (const auto& it : members)
            list.push_back({ it.id, it.incarnation });
        return list;
    }

    Json setJson(const RenewerSet& set)
    {
        return { { "epoch", set.epoch }, { "members", membersJson(set.members) } };
    }

    RenewerSet readSet(const Json& document)
    {
        RenewerSet set;
        set.epoch = readWholeField<Epoch>(document, "epoch");
        for (const auto& it : document.at("members"))
            set.members.push_back({ it.at(0).get<InstanceId>(), readWhole<Incarnation>(it.at(1)) });
        return set;
    }

} // namespace

bool contains(const RenewerSet& set, const Member& member)
{
    return std::find(set.members.begin(), set.members.end(), member) != set.members.end();
}

Json toJson(const DomainRecord& record)
{
    Json document { { "domain", record.domain },
        { "controller", { record.controller.id, record.controller.incarnation } },
        { "renewers", setJson(record.renewers) }, { "version", record.version }, { "writer", record.writer } };
    document["former"] = Json::array();
    for (const auto& it : record.former)
        document["former"].push_back(setJson(it));
    // Items of a service with the same server and fence share one entry:
    // [service, server, epoch, sequence, partitions, [partition, key] pairs].
    std::map<std::tuple<ServiceName, ServerId, Fence>, std::pair<Json, Json>> groups;
    for (const auto& it : record.items) {
        auto& group = groups[{ it.first.service, it.second.server, it.second.fence }];
        if (it.first.key.empty())
            group.first.push_back(it.first.partition);
        else
            group.second.push_back(Json { it.first.partition, it.first.key });
    }
    document["items"] = Json::array();
    for (auto& it : groups) {
        const auto& [service, server, fence] = it.first;
        document["items"].push_back(
            { service, server, fence.epoch, fence.sequence, it.second.first, it.second.second });
    }
    return document;
}

Result<DomainRecord> domainRecordFromJson(const Json& document)
{
    try {
        DomainRecord record;
        record.domain = document.at("domain").get<DomainId>();
        record.controller.id = document.at("controller").at(0).get<InstanceId>();
        record.controller.incarnation = readWhole<Incarnation>(document.at("controller").at(1));
        record.renewers = readSet(document.at("renewers"));
        for (const auto& it : document.at("former"))
            record.former.push_back(readSet(it));
        record.version = readWholeField<std::uint64_t>(document, "version");
        record.writer = document.at("writer").get<std::string>();
        for (const auto& it : document.at("items")) {
            auto service = it.at(0).get<ServiceName>();
            ItemOwner owner { it.at(1).get<ServerId>(),
                { readWhole<Epoch>(it.at(2)), readWhole<std::uint64_t>(it.at(3)) } };
            for (const auto& partition : it.at(4))
                record.items[{ service, readWhole<std::uint32_t>(partition), "" }] = owner;
            for (const auto& key : it.at(5))
                record.items[{ service, readWhole<std::uint32_t>(key.at(0)), key.at(1).get<std::string>() }] = owner;
        }
        return record;
    } catch (const Json::exception& error) {
        return failure(ResultCode::malformedRequest, error.what());
    }
}

} // namespace acaciagauge
