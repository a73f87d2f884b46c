#pragma once

#include "acaciagauge/detail/common/time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace acaciagauge {

/// @brief Decides which messages a process may buffer for others, and which it ends to make room.
///
/// Addresses memory exhaustion by clients that send large bodies and leave them unfinished, or do not read their
/// responses. All buffered bytes draw on one budget; a part of it is reserved for small messages. When the budget is
/// used up, transfers whose peer has made no progress for a while are ended, the slowest first. If that does not make
/// enough room, the new bytes are refused and nothing is ended.
class MemoryBudget {
public:
    struct Options {
        std::uint64_t bytes = 0; ///< For all messages together.
        std::uint64_t reservedBytes = 2ULL * 1024 * 1024; ///< Part that only small messages may use.
        std::uint64_t smallBytes = 64ULL * 1024; ///< Largest small message.
        /// A transfer that has not completed a step for `stallTime` is stalled: it is slower than 16 KiB per second.
        std::uint64_t stepBytes = 16ULL * 1024;
        Duration stallTime = std::chrono::seconds(1);
    };

    using HolderId = std::uint64_t;

    /// @brief Phase of a message. Only messages that wait for their peer to send or to read can be ended.
    enum class Phase {
        processing, ///< A request that is waiting or running, or a response that is being received from a server.
        transfer, ///< A body that a caller is sending, or a response that a caller is reading.
    };

    /// @brief Decision on a message that needs more bytes.
    struct Decision {
        bool isGranted = false;
        std::vector<HolderId> ended; ///< Messages to end. They hold no bytes any more.
    };

    /// @brief Derives the budget from the memory available to the process.
    ///
    /// Half of the memory; but up to three fifths if that makes room for one body of 64 MiB. The rest is for the
    /// process itself: about 20 MB, and about 12 KB for each connection.
    static Options optionsFor(std::uint64_t memoryBytes);

    static MemoryBudget create(Options options) { return MemoryBudget(options); }

    /// @brief Adds a message that holds no bytes yet.
    HolderId add(Phase phase, TimePoint now);

    /// @brief Removes a message and returns its bytes to the budget.
    void remove(HolderId id);

    /// @brief Requests that a message may hold `bytes` in total. Fewer bytes than before are always granted.
    Decision resize(HolderId id, std::uint64_t bytes, TimePoint now);

    /// @brief Records bytes that a message holds already, beyond the budget if necessary.
    void record(HolderId id, std::uint64_t bytes);

    /// @brief Notes that a peer has sent or read bytes of a message.
    void noteProgress(HolderId id, std::uint64_t bytes, TimePoint now);

    void setPhase(HolderId id, Phase phase, TimePoint now);

    /// @brief Returns the number of bytes that all messages hold.
    [[nodiscard]] std::uint64_t used() const { return m_used; }

    [[nodiscard]] const Options& options() const { return m_options; }

private:
    struct Holder {
        Phase phase = Phase::processing;
        std::uint64_t bytes = 0;
        std::uint64_t stepBytes = 0; ///< Progress since the last complete step.
        TimePoint lastStep;
    };

    explicit MemoryBudget(Options options)
        : m_options(options)
    {
    }

    std::vector<HolderId> findStalled(HolderId requester, std::uint64_t shortage, bool isSmall, TimePoint now) const;

    Options m_options;
    std::map<HolderId, Holder> m_holders;
    std::uint64_t m_used = 0;
    HolderId m_lastId = 0;
};

} // namespace acaciagauge
