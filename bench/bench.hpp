#pragma once

namespace acaciagauge::bench {

/// @brief Longest unavailable time of an item in each failure case, on simulated time.
void unavailable();

/// @brief Imbalance, churn and planning time of three policies.
void placement();

/// @brief Direct admission against one egress, under load, on simulated time.
void admission();

/// @brief Tree, two parents and gossip: messages, bytes and time to reach all.
void spread();

/// @brief Costs per partition, server and message, from which docs/CAPACITY.md is worked out.
void slopes();

} // namespace acaciagauge::bench
