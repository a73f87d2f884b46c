#pragma once

#include "acaciagauge/detail/common/result.hpp"
#include "acaciagauge/detail/common/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace acaciagauge {

/// @brief Limits the requests that this instance has in flight at one server, which other instances use as well.
///
/// Protects a single server from overload by two limits: a window bounds this instance's requests in flight (responses
/// widen it, a refusal by the server halves it), and the load that the server reports bounds the requests of all
/// instances together. A request above the limits waits here, or is refused at once if it could not be served in time.
/// A server that completes nothing gets only probe requests.
class ConcurrencyLimiter {
public:
    struct Options {
        unsigned slots = 1; ///< Requests that the server processes concurrently.
        unsigned maxQueuedAtServer = 2; ///< Requests of all instances that may wait at the server.
        std::size_t maxWaiting = 64; ///< Requests that may wait here.
        Duration reportLifetime
            = std::chrono::milliseconds(400); ///< A reported load fades to the average load over this time.
        Duration averageLifetime = std::chrono::seconds(10); ///< Without reports, the average load falls to 1/e.
        Duration initialServiceTime = std::chrono::milliseconds(200); ///< Assumed until one has been measured.
        Duration shedBackoff = std::chrono::milliseconds(100); ///< Nothing is sent for this time after a shed request.
        double waitLimitFraction
            = 0.5; ///< Wait limit as a fraction of the time to the target; with a longer wait a request would be late.
        Duration minWaitLimit = std::chrono::milliseconds(150); ///< Lower bound of the wait limit.
        Duration stuckAfter
            = std::chrono::milliseconds(700); ///< Minimum time without a completion before a server counts as stuck.
    };

    /// @brief Scheduling parameters of a request.
    struct Work {
        unsigned priority = 0; ///< 0 is the highest.
        TimePoint target; ///< A response after this is late.
        TimePoint deadline; ///< A response after this is useless.
    };

    enum class Verdict {
        send,
        wait,
        refuse,
    };

    /// @brief How a request that was sent ended.
    struct Completion {
        bool ran = false; ///< The server executed it.
        bool shed = false; ///< The server refused it for lack of capacity.
        Duration responseTime { 0 }; ///< From sending to the response.
        std::optional<unsigned> reportedLoad; ///< Requests running and waiting at the server, as it reports.
        Duration retryAfter { 0 }; ///< Time for which the server wants no more requests from this instance.
    };

    /// @brief A request that dequeue() took out of the queue.
    struct Dequeued {
        std::uint64_t id = 0;
        bool isSent = false; ///< false: refused.
    };

    static ConcurrencyLimiter create(Options options) { return ConcurrencyLimiter(options); }

    /// @brief Offers a request.
    /// @complexity O(log n) for n waiting or in flight
    Verdict offer(std::uint64_t id, const Work& work, TimePoint now);

    /// @brief Cancels a waiting request; false if it is not waiting.
    bool withdraw(std::uint64_t id) { return m_waiting.erase(id) > 0; }

    /// @brief Records the end of a request that was sent.
    /// @return its service time without the time that it waited at the server; nothing if it did not run
    std::optional<Duration> finished(std::uint64_t id, const Completion& completion, TimePoint now);

    /// @brief Takes out the waiting requests that are sent now and those that can no longer be served in time.
    /// @complexity O(n) for n waiting, for each that is sent
    std::vector<Dequeued> dequeue(TimePoint now);

    /// @brief Returns when to call dequeue() again even if no request ends before; nothing if none waits.
    [[nodiscard]] std::optional<TimePoint> nextDue(TimePoint now) const;

    /// @brief Returns the expected time to the response of a request that is offered now.
    [[nodiscard]] Duration expectedResponseTime(TimePoint now) const;

    /// @brief Returns how long a request may wait before it is sent; later its response would be late.
    [[nodiscard]] Duration waitLimit(const Work& work, TimePoint now) const;

    /// @brief Returns true if the server said that it wants no requests from this instance now.
    [[nodiscard]] bool isPaused(TimePoint now) const { return now < m_retryAfterEnd; }

    /// @brief Returns true if requests are in flight and the server has not completed any for too long.
    [[nodiscard]] bool isStuck(TimePoint now) const;

    [[nodiscard]] std::size_t inFlight() const { return m_inFlight.size(); }
    [[nodiscard]] std::size_t waiting() const { return m_waiting.size(); }

    /// @brief Returns the estimated number of requests that other instances have in flight at the server.
    [[nodiscard]] double othersInFlight(TimePoint now) const;
    /// @brief Returns the requests of other instances at the server, as last reported.
    [[nodiscard]] double reportedOthers() const { return m_reportedOthers; }
    [[nodiscard]] Duration reportAge(TimePoint now) const { return now - m_reportedAt; }

    [[nodiscard]] Duration serviceTime() const;

private:
    explicit ConcurrencyLimiter(Options options)
        : m_options(options)
        , m_window(options.slots)
    {
    }
    [[nodiscard]] bool hasCapacity(TimePoint now) const;
    struct Waiting {
        Work work;
        TimePoint waitLimitEnd; ///< It is refused when it still waits at this time.
    };

    [[nodiscard]] bool mayKeepWaiting(const Waiting& waiting, TimePoint now) const;
    Duration recordServiceTime(const Completion& completion, TimePoint now);

    using Queue = std::map<std::uint64_t, Waiting>;
    Queue::iterator mostUrgent(TimePoint now);

    Options m_options;
    Queue m_waiting; ///< By id, which is the order of arrival.
    std::map<std::uint64_t, TimePoint> m_inFlight; ///< Requests in flight and when they were sent.
    double m_window; ///< Requests that this instance may have in flight.
    double m_reportedOthers = 0; ///< Requests of other instances at m_reportedAt.
    double m_averageOthers = 0; ///< Moving average of m_reportedOthers.
    TimePoint m_reportedAt;
    TimePoint m_pausedUntil; ///< Includes the backoff after a shed request.
    TimePoint m_retryAfterEnd; ///< Until then, the server wants no requests.
    TimePoint m_lastCompletion; ///< When the server last completed or refused a request.
    double m_serviceMicros = 0; ///< Moving average of the time that a request occupies a slot.
};

} // namespace acaciagauge
