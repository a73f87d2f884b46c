#pragma once

#include "acaciagauge/detail/ownership/agent.hpp"

#include <functional>
#include <limits>
#include <vector>

namespace acaciagauge {

/// @brief Server index of an item that has no owner.
inline constexpr std::uint32_t noServer = std::numeric_limits<std::uint32_t>::max();

/// @brief Items to be placed on servers; both are identified by their index.
struct PlacementProblem {
    std::vector<std::uint32_t> owners; ///< Current owner of each item, or noServer.
    std::vector<float> weights; ///< Load of each item; empty if every item has load 1.
    std::vector<double> capacities; ///< Relative capacity of each server; 0 if it must own no items.
    double slack = 0; ///< Fraction by which a server may exceed its fair share before items move off it.
};

/// @brief Balances the load, keeping each item with its current owner unless that server is over its limit.
/// @return the new owner of each item; noServer for all if no server has capacity
/// @complexity O(n + m log m + m log s) for n items, m of them moving, and s servers
std::vector<std::uint32_t> rebalance(const PlacementProblem& problem);

/// @brief Returns the slack of a service.
using SlackOf = std::function<double(const ServiceName&)>;

/// @brief Slack of a service with the maximum churn weight, 1.
inline constexpr double maxSlack = 0.08;

/// @brief Rebalances the items of each service independently; see rebalance().
std::map<Item, ServerId> planIncremental(const PlanInput& input, const SlackOf& slackOf);

/// @brief Chooses each item's owner by weighted rendezvous hashing; ignores current owners.
/// @complexity O(n s) for n items and s servers
std::map<Item, ServerId> planRendezvous(const PlanInput& input);

/// @brief Weighted rendezvous hashing in which no server gets more than (1 + slack) times its fair share, rounded up.
/// @complexity O(n s log s)
std::map<Item, ServerId> planBoundedRendezvous(const PlanInput& input, double slack);

} // namespace acaciagauge
