#pragma once

#include "acaciagauge/detail/ownership/key_load.hpp"

namespace acaciagauge {

/// @brief Decides which server gets which keys, and which keys move when the load is uneven. Pure functions.
class KeyPlacement {
public:
    struct Options {
        double overloadRatio = 1.2; ///< A server above this multiple of the mean load is overloaded: keys move off it.
        double noiseMargin = 0; ///< Excess over the mean, in standard deviations of the measured rate, up to which no
                                ///< keys move.
        double minExcess = 0.6; ///< Excess over the mean, in requests per second and slot, up to which no keys move.
        double maxTargetLoadRatio
            = 0.85; ///< Target's load after a move over source's load before it; a move that exceeds this is not made.
        std::size_t maxMoves = 4; ///< Limit of the moves of one service in progress at once.
        std::size_t rangesPerServer = 8; ///< With more ranges than this on average, ranges with little load are merged.
        std::size_t maxMerges = 4; ///< Limit of the moves that merge ranges, beyond maxMoves.
        KeyNumber maxWidth = 1024; ///< Keys that a move takes at most; wider moves would change owners needlessly.
    };

    struct Server {
        ServerId id;
        double capacity = 1; ///< Relative; slots times speed.
        bool isUsable = false;
        bool isNew = false; ///< It owns no keys yet.
        std::optional<double> maxRate; ///< No keys are moved to it beyond this rate, in requests per second.
    };

    struct Range {
        KeyRange keys;
        ServerId owner; ///< Current or planned owner.
        bool isMovable = false;
    };

    struct Input {
        std::vector<Server> servers;
        std::vector<Range> ranges;
        const KeyLoad* load = nullptr; ///< Its rates are averages over about twice its time constant.
        std::size_t movesInProgress = 0;
    };

    struct Move {
        KeyRange keys; ///< Part of one range of the input.
        ServerId to;
    };

    /// @brief Divides all keys over the usable servers in proportion to their capacity.
    /// @return the ranges in ascending key order; none spans two chunks
    static std::vector<Range> divide(std::vector<Server> servers);

    /// @brief Picks the server that would be least loaded with a range that has no owner, within the servers' `maxRate`
    /// if one can take the range.
    /// @return nothing if no server is usable
    /// @complexity O(r log n + n + s) for r ranges, n keys with a rate and s servers
    static std::optional<ServerId> pick(const Input& input, const KeyRange& keys);

    /// @brief Plans moves off overloaded servers, to servers that own no keys, and moves that merge ranges.
    ///
    /// Each range is renewed by an order of its own, and most moves split one. Without merging, the number of orders
    /// would grow for as long as the load shifts between keys.
    static std::vector<Move> plan(const Options& options, Input input);

    /// @brief Splits a range into at most `parts` pieces of about equal load and width.
    static std::vector<KeyRange> split(const KeyLoad& load, const KeyRange& keys, std::size_t parts);
};

} // namespace acaciagauge
