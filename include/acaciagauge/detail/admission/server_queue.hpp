#pragma once

#include "acaciagauge/detail/common/result.hpp"
#include "acaciagauge/detail/common/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace acaciagauge {

/// @brief Order in which waiting requests are started.
enum class Priority {
    nonIdempotent = 0,
    idempotent = 1,
};

/// @brief Queue of requests for one server's slots: by priority, then first come, first served, each with a deadline.
class ServerQueue {
public:
    struct Options {
        std::uint32_t slots = 1;
        std::size_t maxWaiting = 256;
        double overcommit = 1.0; ///< Requests in flight for each slot.
        Duration coldStart = std::chrono::seconds(2); ///< The concurrency of a cold server rises to full over this.
    };

    enum class Verdict {
        start,
        wait,
        refuse,
    };

    /// @brief A request that left the queue.
    struct Dequeued {
        std::uint64_t id = 0;
        ResultCode code = ResultCode::ok; ///< ok: start it; otherwise it was refused and did not run.
    };

    /// @brief Creates an empty queue for a server that is cold at `now`.
    static ServerQueue create(Options options, TimePoint now);

    /// @brief Offers a request.
    /// @return start, wait, or refuse if the queue is full or the deadline cannot be met
    /// @complexity O(log n)
    Verdict offer(std::uint64_t id, Priority priority, TimePoint deadline, TimePoint now);

    /// @brief Records the end of a started request.
    /// @param shed the server refused it for lack of capacity
    void finished(Duration serviceTime, bool shed, TimePoint now);

    /// @brief Takes out the requests that start now and, while slots are free, those that would miss their deadline.
    std::vector<Dequeued> dequeue(TimePoint now);

    /// @brief Cancels a waiting request.
    /// @return false if it is not waiting
    bool withdraw(std::uint64_t id);

    [[nodiscard]] std::size_t waiting() const { return m_waiting.size(); }
    [[nodiscard]] std::uint32_t inFlight() const { return m_inFlight; }

    /// @brief Returns how many requests may be in flight at `now`.
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
    double m_serviceMicros = 0; ///< Moving average of the service time.
    double m_shedFactor = 1.0; ///< Reduces the concurrency after refusals by the server; 1.0 without any.
};

} // namespace acaciagauge
