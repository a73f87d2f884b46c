#pragma once

namespace acaciagauge::bench {

/// @brief Prints the longest time that an item had no server that may run it, for each fault, in simulated time.
void runUnavailabilityBench();

/// @brief Compares three placement policies by imbalance, number of moves and planning time.
void runPlacementBench();

/// @brief Compares an admission queue in each instance with one at a shared egress, under load, in simulated time.
void runAdmissionBench();

/// @brief Compares dissemination of an update by tree, tree with two parents and gossip: instances missed, time,
/// messages and bytes.
void runDisseminationBench();

/// @brief Measures the cost of ServerSelector and compares methods of load balancing, in simulated time.
void runSelectionBench();

/// @brief Measures memory and CPU time per partition, server and message: the inputs of docs/CAPACITY.md.
void runCostBench();

} // namespace acaciagauge::bench
