#pragma once

#include "acaciagauge/detail/ownership/orders.hpp"

#include <optional>
#include <set>
#include <variant>

namespace acaciagauge {

/// @brief Asks whether a peer is alive and which epoch it has joined.
struct Ping {
    std::uint64_t sequence = 0;
};

/// @brief Answers a Ping.
struct Pong {
    std::uint64_t sequence = 0;
};

/// @brief A controller asks a member of an earlier or its own set to join its epoch.
struct Join {
    Member controller;
    RenewerSet renewers;
};

/// @brief An ownership change that a member agreed to while the store was unavailable.
struct ProvisionalMove {
    Item item;
    ItemOwner holding;

    bool operator==(const ProvisionalMove&) const = default;
};

/// @brief A member joined the epoch in the envelope; it renews under no earlier one.
struct Joined {
    std::map<ServerId, Duration> stampAges; ///< Age of the newest stamp that it used, for each server.
    std::vector<ProvisionalMove> provisional;
};

/// @brief A controller asks a member to stop renewing one server.
struct StopRenewing {
    ServerId server;
    std::uint64_t sequence = 0;
};

/// @brief A member has stopped renewing.
struct StoppedRenewing {
    ServerId server;
    std::uint64_t sequence = 0;
    Duration stampAge { 0 }; ///< Age of the newest stamp that it used for the server.
};

/// @brief A controller allows a member to renew a server again.
struct ResumeRenewing {
    ServerId server;
    std::uint64_t sequence = 0;
};

/// @brief A controller without the store asks a member to agree to ownership changes.
struct Agree {
    std::uint64_t sequence = 0;
    std::vector<ProvisionalMove> moves;
};

/// @brief A member agrees and will tell the moves to any successor.
struct Agreed {
    std::uint64_t sequence = 0;
};

/// @brief A leaving controller asks a member to take over at once.
struct HandOver { };

using PeerBody
    = std::variant<Ping, Pong, Join, Joined, StopRenewing, StoppedRenewing, ResumeRenewing, Agree, Agreed, HandOver>;

/// @brief A message between two instances of one failure domain.
struct PeerMessage {
    Member from;
    Epoch epoch = 0; ///< Epoch that the sender has joined, or the newest it knows of if it left its set.
    bool joined = false; ///< The sender is a member in good standing of `epoch`.
    PeerBody body;
};

} // namespace acaciagauge
