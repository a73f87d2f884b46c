#pragma once

#include "acaciagauge/detail/ownership/agent.hpp"

#include <functional>
#include <limits>
#include <vector>

namespace acaciagauge {

/// @brief Marks an item without an owner in a dense plan.
inline constexpr std::uint32_t noServer = std::numeric_limits<std::uint32_t>::max();

/// @brief A placement problem in dense form: items and servers by index.
struct PlacementProblem {
    std::vector<std::uint32_t> owners; ///< Present owner of each item, or noServer.
    std::vector<float> weights; ///< Load of each item; empty: all alike.
    std::vector<double> capacities; ///< Of each server; 0 for one that may own nothing.
    double slack = 0; ///< How far a server may exceed its fair share before items move off it, as a fraction.
};

/// @brief Keeps present owners and moves as little as the balance allows.
/// @return the new owner of each item; noServer if no server has capacity
/// @complexity O(n + m log m + m log s) for n items, m of them moving, and s servers
std::vector<std::uint32_t> rebalance(const PlacementProblem& problem);

/// @brief Gives the slack of a service.
using SlackOf = std::function<double(const ServiceName&)>;

/// @brief Largest slack: that of a service whose churn weight is 1.
inline constexpr double maxSlack = 0.08;

/// @brief Rebalances each service by itself.
std::map<Item, ServerId> planIncremental(const PlanInput& input, const SlackOf& slackOf);

/// @brief Picks each item's owner by weighted rendezvous hashing; ignores present owners.
/// @complexity O(n s) for n items and s servers
std::map<Item, ServerId> planRendezvous(const PlanInput& input);

/// @brief Rendezvous hashing in which no server exceeds its fair share by more than `slack`.
/// @complexity O(n s log s)
std::map<Item, ServerId> planBoundedRendezvous(const PlanInput& input, double slack);

} // namespace acaciagauge
