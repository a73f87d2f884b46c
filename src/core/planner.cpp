#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>
#include <cmath>

namespace acaciagauge {

namespace {

    struct Bin {
        ServerId id;
        std::size_t fair = 0; ///< Whole share of the items.
        std::size_t limit = 0; ///< Items above this move off.
        std::size_t used = 0;
    };

    struct ServicePlan {
        std::vector<const Item*> items;
        std::vector<Bin> bins;
        std::map<ServerId, std::size_t> binOf;
    };

    std::map<ServiceName, ServicePlan> splitByService(const PlanInput& input)
    {
        std::map<ServiceName, ServicePlan> plans;
        for (const auto& it : input.items)
            plans[it.service].items.push_back(&it);
        for (const auto& it : input.servers) {
            auto& plan = plans[it.service];
            plan.binOf[it.id] = plan.bins.size();
            plan.bins.push_back({ it.id });
        }
        return plans;
    }

    /// Splits the items by capacity; the largest remainders get the items left over.
    void setShares(ServicePlan& plan, const std::map<ServerId, double>& capacities, double slack)
    {
        double total = 0;
        for (const auto& it : plan.bins)
            total += capacities.at(it.id);
        std::vector<std::pair<double, std::size_t>> remainders;
        std::size_t given = 0;
        for (std::size_t n = 0; n < plan.bins.size(); ++n) {
            auto& bin = plan.bins[n];
            auto share = static_cast<double>(plan.items.size()) * capacities.at(bin.id) / total;
            bin.fair = static_cast<std::size_t>(std::floor(share));
            bin.limit = static_cast<std::size_t>(std::ceil(share * (1.0 + slack)));
            given += bin.fair;
            remainders.emplace_back(share - std::floor(share), n);
        }
        std::sort(remainders.rbegin(), remainders.rend());
        for (std::size_t n = 0; given < plan.items.size(); ++n, ++given)
            ++plan.bins[remainders[n % remainders.size()].second].fair;
        for (auto& it : plan.bins)
            it.limit = std::max(it.limit, it.fair);
    }

    std::map<ServerId, double> capacitiesOf(const PlanInput& input)
    {
        std::map<ServerId, double> capacities;
        for (const auto& it : input.servers)
            capacities[it.id] = std::max(it.capacity, 0.001);
        return capacities;
    }

    double rendezvousScore(const Item& item, const ServerInfo& server)
    {
        auto name = item.service + "/" + std::to_string(item.partition) + "/" + item.key;
        auto hash = hashOf(server.id, name);
        auto unit = (static_cast<double>(hash >> 11U) + 0.5) / 9007199254740992.0;
        return -server.capacity / std::log(unit);
    }

} // namespace

std::map<Item, ServerId> planIncremental(const PlanInput& input, double slack)
{
    std::map<Item, ServerId> desired;
    auto capacities = capacitiesOf(input);
    for (auto& [service, plan] : splitByService(input)) {
        if (plan.bins.empty())
            continue;
        setShares(plan, capacities, slack);
        std::vector<const Item*> homeless;
        for (const auto* item : plan.items) {
            auto owner = input.owners.find(*item);
            auto bin = owner == input.owners.end() ? plan.binOf.end() : plan.binOf.find(owner->second);
            if (bin == plan.binOf.end() || plan.bins[bin->second].used >= plan.bins[bin->second].limit) {
                homeless.push_back(item);
                continue;
            }
            ++plan.bins[bin->second].used;
            desired[*item] = owner->second;
        }
        std::size_t next = 0;
        for (const auto* item : homeless) {
            // Servers below their fair share take items in turn; the rest fill up to their limit.
            std::size_t tried = 0;
            while (plan.bins[next].used >= plan.bins[next].fair && tried++ < plan.bins.size())
                next = (next + 1) % plan.bins.size();
            if (tried > plan.bins.size()) {
                auto least = std::min_element(plan.bins.begin(), plan.bins.end(),
                    [](const Bin& a, const Bin& b) { return a.used * b.fair < b.used * a.fair; });
                next = static_cast<std::size_t>(least - plan.bins.begin());
            }
            ++plan.bins[next].used;
            desired[*item] = plan.bins[next].id;
            next = (next + 1) % plan.bins.size();
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
            auto score = it.service == item.service ? rendezvousScore(item, it) : -1;
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
    auto capacities = capacitiesOf(input);
    for (auto& [service, plan] : splitByService(input)) {
        if (plan.bins.empty())
            continue;
        setShares(plan, capacities, slack);
        std::vector<const ServerInfo*> servers;
        for (const auto& it : input.servers) {
            if (it.service == service)
                servers.push_back(&it);
        }
        for (const auto* item : plan.items) {
            std::vector<std::pair<double, const ServerInfo*>> order;
            order.reserve(servers.size());
            for (const auto* it : servers)
                order.emplace_back(rendezvousScore(*item, *it), it);
            std::sort(order.rbegin(), order.rend());
            for (const auto& it : order) {
                auto& bin = plan.bins[plan.binOf.at(it.second->id)];
                if (bin.used >= bin.limit)
                    continue;
                ++bin.used;
                desired[*item] = bin.id;
                break;
            }
        }
    }
    return desired;
}

} // namespace acaciagauge
