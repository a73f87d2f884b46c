#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>

namespace acaciagauge {

std::shared_ptr<const RouteTable> RouteTable::create(const Knowledge& knowledge)
{
    auto table = std::make_shared<RouteTable>();
    for (const auto& it : knowledge.configuration().services) {
        auto& service = table->m_services[it.first];
        service.partitions = it.second.partitions;
        service.idempotentMethods = it.second.idempotentMethods;
        service.owners.assign(service.partitions, nullptr);
        for (const auto& key : it.second.hotKeys)
            service.hotOwners[key] = nullptr;
        for (const auto& server : it.second.servers)
            table->m_servers[serverIdOf(it.first, server.id)] = server;
    }
    // While a partition moves to another home domain, the records of both domains may name the same item: only the
    // record of its home domain counts.
    for (const auto& record : knowledge.records()) {
        for (const auto& it : record.second.items) {
            auto service = table->m_services.find(it.first.service);
            auto server = table->m_servers.find(it.second.server);
            if (service == table->m_services.end() || server == table->m_servers.end())
                continue;
            auto home = knowledge.homes().find(it.first.service);
            bool hasOtherHome = home != knowledge.homes().end() && it.first.partition < home->second.homes.size()
                && home->second.homeOf(it.first.partition) != record.first;
            if (hasOtherHome || it.first.partition >= service->second.partitions)
                continue;
            if (it.first.key.empty())
                service->second.owners[it.first.partition] = &*server;
            else if (service->second.hotOwners.contains(it.first.key))
                service->second.hotOwners[it.first.key] = &*server;
        }
    }
    return table;
}

Result<Route> RouteTable::find(const std::string& service, const std::string& key, std::string_view method) const
{
    auto it = m_services.find(service);
    if (it == m_services.end())
        return failure(ResultCode::unknownService, "service \"" + service + "\" does not exist");
    const auto& entry = it->second;
    Route route;
    route.item = { service, partitionOf(service, key, entry.partitions), "" };
    const auto& methods = entry.idempotentMethods;
    route.isIdempotentMethod = std::find(methods.begin(), methods.end(), method) != methods.end();
    auto owner = entry.owners[route.item.partition];
    auto hot = entry.hotOwners.find(key);
    if (hot != entry.hotOwners.end()) {
        route.item.key = key;
        owner = hot->second;
    }
    if (!owner)
        return failure(
            ResultCode::noOwner, "key \"" + key + "\" of service \"" + service + "\" currently has no owner");
    route.server = owner->first;
    route.spec = &owner->second;
    return route;
}

const ServerSpec* RouteTable::server(const ServerId& id) const
{
    auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : &it->second;
}

} // namespace acaciagauge
