#pragma once

#include "acaciagauge/detail/ownership/key_load.hpp"

namespace acaciagauge {

/// @brief Decides which server gets which keys. Pure; answers uneven load on key ranges.
class KeyPlacement {
public:
    struct Options {
        double overload = 1.2; ///< A server above this multiple of the mean load gives keys away.
        double leastExcess = 0.6; ///< Requests a second for each slot above the mean that make a move worth while.
        double leastEffect = 0.85; ///< After a move the taker must stay below this part of the giver's load.
        std::size_t maxMoves = 4; ///< Planned moves of one service in progress at once.
        KeyNumber maxWidth = 1024; ///< Widest range that is moved for load; wide moves are churn.
    };

    struct Server {
        ServerId id;
        double capacity = 1; ///< Relative; slots times speed.
        bool isUsable = false;
        bool isNew = false; ///< It owns no keys yet.
    };

    struct Range {
        KeyRange keys;
        ServerId owner; ///< Present or planned owner.
        bool isMovable = false;
    };

    struct Input {
        std::vector<Server> servers;
        std::vector<Range> ranges;
        const KeyLoad* load = nullptr;
        std::size_t movesInProgress = 0;
    };

    struct Move {
        KeyRange keys; ///< Part of one range of the input.
        ServerId to;
    };

    /// @brief Divides all keys evenly over servers.
    /// @return ranges in order of keys, none across two chunks
    static std::vector<Range> divide(std::vector<Server> servers);

    /// @brief Picks the server that is best for a range without an owner.
    /// @return nothing if no server is usable
    /// @complexity O(ranges log busy keys + servers)
    static std::optional<ServerId> pick(const Input& input, const KeyRange& keys);

    /// @brief Plans moves from overloaded servers, and to servers that own nothing.
    static std::vector<Move> plan(const Options& options, Input input);

    /// @brief Cuts a range into at most `parts` of about equal load and width.
    static std::vector<KeyRange> split(const KeyLoad& load, const KeyRange& keys, std::size_t parts);
};

} // namespace acaciagauge
