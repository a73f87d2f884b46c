#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace acaciagauge {

/// @brief Name of an instance of the daemon, unique in the deployment.
using InstanceId = std::string;

/// @brief Name of a failure domain.
using DomainId = std::string;

/// @brief Name of an upstream server.
using ServerId = std::string;

/// @brief Name of a service.
using ServiceName = std::string;

/// @brief Identifies one run of a process; increases with each restart at the same address.
using Incarnation = std::uint64_t;

/// @brief Term of a failure domain's controller; increases with every takeover.
using Epoch = std::uint64_t;

/// @brief Number of a change ticket. The first ticket has number 1.
using TicketNumber = std::uint64_t;

/// @brief Fencing token: orders all grants of one item by epoch, then sequence.
struct Fence {
    Epoch epoch = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const Fence&) const = default;
};

/// @brief The unit of ownership: a partition of a service, or a single hot key that is owned separately.
struct Item {
    ServiceName service;
    std::uint32_t partition = 0;
    std::string key; ///< Empty for a partition.

    auto operator<=>(const Item&) const = default;
};

} // namespace acaciagauge
