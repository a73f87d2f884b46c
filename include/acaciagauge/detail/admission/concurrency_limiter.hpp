#pragma once

#include "acaciagauge/detail/common/result.hpp"
#include "acaciagauge/detail/common/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace acaciagauge {

/// @brief Decides how much work this instance sends to one server that other instances send to as well.
///
/// It answers overload of single servers. A window, opened by answers and halved by refusals, bounds this instance's
/// share; the load that the server states bounds the sum. What does not fit waits here, or is refused at once if it
/// could not be served in time. A server that ends nothing gets no more work than a probe.
class ConcurrencyLimiter {
public:
    struct Options {
        unsigned slots = 1; ///< Requests that the server works on at once.
        unsigned ahead = 2; ///< Requests that may wait at the server, from all instances.
        std::size_t maxWaiting = 64; ///< Requests that may wait here.
        Duration loadLifetime
            = std::chrono::milliseconds(400); ///< A stated load gives way to the usual one within this.
        Duration usualLifetime = std::chrono::seconds(10); ///< The usual load falls to a third without news.
        Duration initialServiceTime = std::chrono::milliseconds(200); ///< Taken until one was measured.
        Duration shedPause
            = std::chrono::milliseconds(100); ///< Nothing is sent this long after a refusal for lack of room.
        double waitShare
            = 0.5; ///< Longest wait here, as a part of the time to the target: later work would be late anyway.
        Duration leastWait = std::chrono::milliseconds(150); ///< Lower bound of the longest wait.
        Duration stuckAfter = std::chrono::milliseconds(700); ///< Least time without an end that makes a server stuck.
    };

    /// @brief What a caller's request asks for.
    struct Work {
        unsigned priority = 0; ///< 0 goes first.
        TimePoint target; ///< An answer by then earns its full worth.
        TimePoint deadline; ///< No answer counts after this.
    };

    enum class Verdict {
        send,
        wait,
        refuse,
    };

    /// @brief How sent work ended.
    struct Completion {
        bool ran = false; ///< Took part of the server's time.
        bool shed = false; ///< The server had no room.
        Duration responseTime { 0 }; ///< From sending to the answer.
        std::optional<unsigned> reportedLoad; ///< Requests running and waiting there, as the server states.
    };

    /// @brief Waiting work that next() decided on.
    struct Left {
        std::uint64_t id = 0;
        bool isSent = false; ///< false: refused.
    };

    static ConcurrencyLimiter create(Options options) { return ConcurrencyLimiter(options); }

    /// @brief Offers work.
    /// @complexity O(log n) for n waiting or in flight
    Verdict offer(std::uint64_t id, const Work& work, TimePoint now);

    /// @brief Takes back waiting work; false if it is not waiting.
    bool withdraw(std::uint64_t id) { return m_waiting.erase(id) > 0; }

    /// @brief Notes that sent work ended.
    /// @return its time in a slot, without what it waited at the server; nothing if it took none
    std::optional<Duration> finished(std::uint64_t id, const Completion& ended, TimePoint now);

    /// @brief Returns waiting work that is sent now, and work that can no longer be served in time.
    /// @complexity O(n) for n waiting, for each that is sent
    std::vector<Left> dequeue(TimePoint now);

    /// @brief Returns when next() should be asked again although nothing ended; nothing if not at all.
    [[nodiscard]] std::optional<TimePoint> nextDue(TimePoint now) const;

    /// @brief Returns the expected time until work that is offered now would be answered.
    [[nodiscard]] Duration expectedResponseTime(TimePoint now) const;

    /// @brief Returns true if the server has work and has ended none for long.
    [[nodiscard]] bool isStuck(TimePoint now) const;

    [[nodiscard]] std::size_t inFlight() const { return m_sent.size(); }
    [[nodiscard]] std::size_t waiting() const { return m_waiting.size(); }

    /// @brief Returns the work that other instances are taken to have there.
    [[nodiscard]] double othersInFlight(TimePoint now) const;
    [[nodiscard]] Duration serviceTime() const;

private:
    explicit ConcurrencyLimiter(Options options)
        : m_options(options)
        , m_window(options.slots)
    {
    }
    [[nodiscard]] bool hasRoom(TimePoint now) const;
    struct Waiting {
        Work work;
        TimePoint until; ///< It is refused rather than wait longer.
    };

    [[nodiscard]] Duration longestWait(const Work& work, TimePoint now) const;
    [[nodiscard]] bool mayWaitOn(const Waiting& waiting, TimePoint now) const;
    Duration measure(const Completion& ended, TimePoint now);

    using Queue = std::map<std::uint64_t, Waiting>;
    Queue::iterator best(TimePoint now);

    Options m_options;
    Queue m_waiting; ///< By id, that is, in order of arrival.
    std::map<std::uint64_t, TimePoint> m_sent; ///< Work in flight and when it was sent.
    double m_window; ///< Work that this instance may have there.
    double m_others = 0; ///< Of other instances, when m_statedAt.
    double m_usualOthers = 0; ///< Moving average of m_others.
    TimePoint m_statedAt;
    TimePoint m_pausedUntil;
    TimePoint m_lastEnd; ///< When the server last ended work.
    double m_serviceMicros = 0; ///< Moving average of the time of one request in a slot.
};

} // namespace acaciagauge
