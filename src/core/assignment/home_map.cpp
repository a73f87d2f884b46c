#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace acaciagauge {

namespace {

    /// Returns the index of a domain, which is appended if it is missing.
    std::uint16_t indexOf(std::vector<DomainId>& domains, const DomainId& domain)
    {
        auto it = std::find(domains.begin(), domains.end(), domain);
        if (it == domains.end())
            it = domains.insert(domains.end(), domain);
        return static_cast<std::uint16_t>(it - domains.begin());
    }

    /// Describes each usable domain to the planner as one server with the domain's total slots.
    std::vector<ServerInfo> domainsAsServers(const ServiceSpec& service, const std::set<DomainId>& lostDomains)
    {
        std::map<DomainId, double> capacities;
        for (const auto& it : service.servers) {
            if (!it.leaving && !lostDomains.contains(it.domain))
                capacities[it.domain] += it.slots;
        }
        std::vector<ServerInfo> servers;
        servers.reserve(capacities.size());
        for (const auto& it : capacities)
            servers.push_back({ it.first, service.name, it.second, true, false });
        return servers;
    }

} // namespace

HomeMap planHomes(const ServiceSpec& service, const HomeMap* current, const std::set<DomainId>& lostDomains)
{
    PlanInput input;
    input.servers = domainsAsServers(service, lostDomains);
    for (std::uint32_t n = 0; n < service.partitions; ++n) {
        Item item { service.name, n, "" };
        input.items.insert(item);
        if (current)
            input.owners[item] = current->homeOf(n);
    }
    HomeMap desired;
    desired.service = service.name;
    if (current)
        desired = *current;
    if (input.servers.empty())
        return desired;
    desired.homes.assign(service.partitions, 0);
    for (const auto& it : planIncremental(input, [](const ServiceName&) { return 0.0; }))
        desired.homes[it.first.partition] = indexOf(desired.domains, it.second);
    return desired;
}

nlohmann::json toJson(const HomeMap& map)
{
    return { { "service", map.service }, { "version", map.version }, { "domains", map.domains }, { "homes", map.homes },
        { "epochs", map.epochs } };
}

Result<HomeMap> homeMapFromJson(const nlohmann::json& document)
{
    try {
        HomeMap map;
        map.service = document.at("service").get<ServiceName>();
        map.version = readWholeField<std::uint64_t>(document, "version");
        map.domains = document.at("domains").get<std::vector<DomainId>>();
        for (const auto& it : document.at("homes").get_ref<const nlohmann::json::array_t&>())
            map.homes.push_back(readWhole<std::uint16_t>(it));
        for (const auto& it : document.at("epochs").get_ref<const nlohmann::json::object_t&>())
            map.epochs[it.first] = readWhole<Epoch>(it.second);
        for (auto it : map.homes) {
            if (it >= map.domains.size())
                return failure(ResultCode::malformedRequest, "home index " + std::to_string(it) + " is out of range");
        }
        return map;
    } catch (const nlohmann::json::exception& error) {
        return failure(ResultCode::malformedRequest, error.what());
    }
}

} // namespace acaciagauge
