#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace acaciagauge {

namespace {

    /// The items and servers of one service.
    struct ServiceSplit {
        std::vector<const Item*> items;
        std::vector<ServerId> servers;
        std::vector<double> capacities;
        std::map<ServerId, std::uint32_t> indexOf;
    };

    std::map<ServiceName, ServiceSplit> splitByService(const PlanInput& input)
    {
        std::map<ServiceName, ServiceSplit> splits;
        for (const auto& it : input.items)
            splits[it.service].items.push_back(&it);
        for (const auto& it : input.servers) {
            auto& split = splits[it.service];
            split.indexOf[it.id] = static_cast<std::uint32_t>(split.servers.size());
            split.servers.push_back(it.id);
            split.capacities.push_back(it.capacity);
        }
        return splits;
    }

    double rendezvousScore(const Item& item, const ServerId& server, double capacity)
    {
        auto name = item.service + "/" + std::to_string(item.partition) + "/" + item.key;
        auto hash = hashOf(server, name);
        auto unit = (static_cast<double>(hash >> 11U) + 0.5) / 9007199254740992.0;
        return -capacity / std::log(unit);
    }

} // namespace

std::map<Item, ServerId> planIncremental(const PlanInput& input, const SlackOf& slackOf)
{
    std::map<Item, ServerId> desired;
    for (const auto& [service, split] : splitByService(input)) {
        PlacementProblem problem;
        problem.slack = slackOf(service);
        problem.capacities = split.capacities;
        problem.owners.reserve(split.items.size());
        for (const auto* item : split.items) {
            auto owner = input.owners.find(*item);
            auto bin = owner == input.owners.end() ? split.indexOf.end() : split.indexOf.find(owner->second);
            problem.owners.push_back(bin == split.indexOf.end() ? noServer : bin->second);
        }
        auto next = rebalance(problem);
        for (std::size_t n = 0; n < next.size(); ++n) {
            if (next[n] != noServer)
                desired[*split.items[n]] = split.servers[next[n]];
        }
    }
    return desired;
}

std::map<Item, ServerId> planRendezvous(const PlanInput& input)
{
    std::map<Item, ServerId> desired;
    for (const auto& item : input.items) {
        double best = -1;
        for (const auto& it : input.servers) {
            auto score = it.service == item.service ? rendezvousScore(item, it.id, it.capacity) : -1;
            if (score > best) {
                best = score;
                desired[item] = it.id;
            }
        }
    }
    return desired;
}

std::map<Item, ServerId> planBoundedRendezvous(const PlanInput& input, double slack)
{
    std::map<Item, ServerId> desired;
    for (const auto& [service, split] : splitByService(input)) {
        auto capacity = std::accumulate(split.capacities.begin(), split.capacities.end(), 0.0);
        std::vector<double> room;
        room.reserve(split.capacities.size());
        for (auto it : split.capacities)
            room.push_back(std::ceil(static_cast<double>(split.items.size()) * it / capacity * (1 + slack)));
        for (const auto* item : split.items) {
            std::vector<std::pair<double, std::size_t>> order;
            order.reserve(split.servers.size());
            for (std::size_t n = 0; n < split.servers.size(); ++n)
                order.emplace_back(rendezvousScore(*item, split.servers[n], split.capacities[n]), n);
            std::sort(order.rbegin(), order.rend());
            for (const auto& it : order) {
                if (room[it.second] < 1)
                    continue;
                --room[it.second];
                desired[*item] = split.servers[it.second];
                break;
            }
        }
    }
    return desired;
}

} // namespace acaciagauge
