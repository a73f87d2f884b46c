#pragma once

#include "acaciagauge/detail/common/result.hpp"
#include "acaciagauge/detail/common/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace acaciagauge {

/// @brief Order in which waiting work is started.
enum class Priority {
    nonIdempotent = 0, ///< Non-idempotent work.
    idempotent = 1, ///< Idempotent work.
};

/// @brief Admits work to one server's slots: first come, first served within a priority, each with its deadline.
class ServerQueue {
public:
    struct Options {
        std::uint32_t slots = 1;
        std::size_t maxWaiting = 256;
        double overcommit = 1.0; ///< Work in flight for each slot.
        Duration coldStart = std::chrono::seconds(2); ///< A cold server reaches its full concurrency after this.
    };

    /// @brief What becomes of offered work.
    enum class Verdict {
        start,
        wait,
        refuse,
    };

    /// @brief Work that left the queue.
    struct Left {
        std::uint64_t id = 0;
        ResultCode code = ResultCode::ok; ///< ok: start it; otherwise it did not run.
    };

    /// @brief Creates an empty queue for a server that is cold at `now`.
    static ServerQueue create(Options options, TimePoint now);

    /// @brief Offers work.
    /// @return start, wait, or refuse if the queue is full or the deadline cannot be met
    /// @complexity O(log n)
    Verdict offer(std::uint64_t id, Priority priority, TimePoint deadline, TimePoint now);

    /// @brief Notes that started work ended.
    /// @param shed the server refused it for lack of room
    void finished(Duration serviceTime, bool shed, TimePoint now);

    /// @brief Returns work that starts now or whose deadline cannot be met any more.
    std::vector<Left> dequeue(TimePoint now);

    /// @brief Takes back work that still waits.
    /// @return false if it is not waiting
    bool withdraw(std::uint64_t id);

    [[nodiscard]] std::size_t waiting() const { return m_waiting.size(); }
    [[nodiscard]] std::uint32_t inFlight() const { return m_inFlight; }

    /// @brief Returns how much work may be in flight at `now`.
    [[nodiscard]] std::uint32_t concurrency(TimePoint now) const;

private:
    struct Waiting {
        std::uint64_t id;
        TimePoint deadline;
    };

    ServerQueue(Options options, TimePoint now);
    Duration expectedWait(std::size_t ahead, TimePoint now) const;
    Duration marginBeforeDeadline() const;

    Options m_options;
    TimePoint m_coldSince;
    std::map<std::pair<Priority, std::uint64_t>, Waiting> m_waiting; ///< By priority, then arrival.
    std::uint64_t m_arrivals = 0;
    std::uint32_t m_inFlight = 0;
    double m_serviceMicros = 0; ///< Moving average.
    double m_shedFactor = 1.0; ///< Share of the concurrency that the server's refusals leave.
};

} // namespace acaciagauge
