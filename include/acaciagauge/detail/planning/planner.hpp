#pragma once

#include "acaciagauge/detail/ownership/agent.hpp"

namespace acaciagauge {

/// @brief Keeps present owners and moves as few items as the balance allows.
/// @param slack how far a server may exceed its fair share before items move off it, as a fraction
/// @complexity O(n log n) for n items
std::map<Item, ServerId> planIncremental(const PlanInput& input, double slack);

/// @brief Picks each item's owner by weighted rendezvous hashing; ignores present owners.
/// @complexity O(n s) for n items and s servers
std::map<Item, ServerId> planRendezvous(const PlanInput& input);

/// @brief Rendezvous hashing in which no server exceeds its fair share by more than `slack`.
/// @complexity O(n s log s)
std::map<Item, ServerId> planBoundedRendezvous(const PlanInput& input, double slack);

} // namespace acaciagauge
