#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace acaciagauge {

namespace {

    /// The items and servers of one service; `indexOf` maps a server to its position in `servers`.
    struct ServiceGroup {
        std::vector<const Item*> items;
        std::vector<ServerId> servers;
        std::vector<double> capacities;
        std::map<ServerId, std::uint32_t> indexOf;
    };

    std::map<ServiceName, ServiceGroup> groupByService(const PlanInput& input)
    {
        std::map<ServiceName, ServiceGroup> groups;
        for (const auto& it : input.items)
            groups[it.service].items.push_back(&it);
        for (const auto& it : input.servers) {
            auto& group = groups[it.service];
            group.indexOf[it.id] = static_cast<std::uint32_t>(group.servers.size());
            group.servers.push_back(it.id);
            group.capacities.push_back(it.capacity);
        }
        return groups;
    }

    /// Score of weighted rendezvous hashing, -capacity / ln(u): a server gets items in proportion to its capacity.
    double rendezvousScore(const Item& item, const ServerId& server, double capacity)
    {
        auto name = item.service + "/" + std::to_string(item.partition) + "/" + item.key;
        auto hash = hashOf(server, name);
        // Maps the upper 53 bits of the hash to (0, 1]; the divisor is 2^53. Adding 0.5 avoids the logarithm of 0.
        auto uniform = (static_cast<double>(hash >> 11U) + 0.5) / 9007199254740992.0;
        return -capacity / std::log(uniform);
    }

} // namespace

std::map<Item, ServerId> planIncremental(const PlanInput& input, const SlackOf& slackOf)
{
    std::map<Item, ServerId> desired;
    for (const auto& [service, group] : groupByService(input)) {
        PlacementProblem problem;
        problem.slack = slackOf(service);
        problem.capacities = group.capacities;
        problem.owners.reserve(group.items.size());
        for (const auto* item : group.items) {
            auto owner = input.owners.find(*item);
            auto index = owner == input.owners.end() ? group.indexOf.end() : group.indexOf.find(owner->second);
            problem.owners.push_back(index == group.indexOf.end() ? noServer : index->second);
        }
        auto newOwners = rebalance(problem);
        for (std::size_t n = 0; n < newOwners.size(); ++n) {
            if (newOwners[n] != noServer)
                desired[*group.items[n]] = group.servers[newOwners[n]];
        }
    }
    return desired;
}

std::map<Item, ServerId> planRendezvous(const PlanInput& input)
{
    std::map<Item, ServerId> desired;
    for (const auto& item : input.items) {
        double bestScore = -1;
        for (const auto& it : input.servers) {
            auto score = it.service == item.service ? rendezvousScore(item, it.id, it.capacity) : -1;
            if (score > bestScore) {
                bestScore = score;
                desired[item] = it.id;
            }
        }
    }
    return desired;
}

std::map<Item, ServerId> planBoundedRendezvous(const PlanInput& input, double slack)
{
    std::map<Item, ServerId> desired;
    for (const auto& [service, group] : groupByService(input)) {
        auto capacity = std::accumulate(group.capacities.begin(), group.capacities.end(), 0.0);
        std::vector<double> remaining;
        remaining.reserve(group.capacities.size());
        for (auto it : group.capacities)
            remaining.push_back(std::ceil(static_cast<double>(group.items.size()) * it / capacity * (1 + slack)));
        for (const auto* item : group.items) {
            std::vector<std::pair<double, std::size_t>> ranking;
            ranking.reserve(group.servers.size());
            for (std::size_t n = 0; n < group.servers.size(); ++n)
                ranking.emplace_back(rendezvousScore(*item, group.servers[n], group.capacities[n]), n);
            std::sort(ranking.rbegin(), ranking.rend());
            for (const auto& it : ranking) {
                if (remaining[it.second] < 1)
                    continue;
                --remaining[it.second];
                desired[*item] = group.servers[it.second];
                break;
            }
        }
    }
    return desired;
}

} // namespace acaciagauge
