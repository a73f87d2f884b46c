#pragma once

#include "acaciagauge/detail/assignment/domain_record.hpp"
#include "acaciagauge/detail/common/time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace acaciagauge {

/// @brief A reading of a server's own clock, opaque to everybody else.
struct Stamp {
    Incarnation incarnation = 0;
    std::int64_t ticks = 0; ///< Microseconds of the server's monotonic clock.

    bool operator==(const Stamp&) const = default;
};

/// @brief What an order asks of a server.
enum class OrderKind {
    hello, ///< Asks for a stamp only.
    inventory, ///< Raises the epoch and asks for all grants held.
    renew, ///< Extends all grants held; adds none.
    grant, ///< Adds items and extends all grants held.
    revoke, ///< Takes items away once no work runs on them.
};

/// @brief An order to a server. A grant runs from `stamp`, not from the order's arrival.
struct ServerOrder {
    OrderKind kind = OrderKind::hello;
    Epoch epoch = 0;
    Stamp stamp;
    Duration duration { 0 };
    Fence fence; ///< For grant and revoke.
    std::vector<Item> items; ///< For grant and revoke.
};

/// @brief A server's answer to an order.
struct ServerAnswer {
    ResultCode code = ResultCode::ok;
    Stamp stamp; ///< Present reading; to be used by the next order.
    Epoch highestEpoch = 0;
    std::uint64_t heldDigest = 0; ///< Digest of all items and fences held.
    bool released = true; ///< For revoke: no work runs on the items any more.
    bool draining = false;
    double load = 0; ///< Reported share of busy slots; lags.
    std::map<Item, Fence> held; ///< For inventory.
    std::vector<Item> refused; ///< For grant: items that were seen under a higher fence.
};

/// @brief Returns a digest of items and fences that does not depend on their order.
std::uint64_t digestOf(const std::map<Item, Fence>& held);

} // namespace acaciagauge
