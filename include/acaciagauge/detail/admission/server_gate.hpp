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
/// It answers overload of single servers: the server's stated load says how much room there is, and what does not fit
/// waits here, in order of priority, or is refused at once if it could not be served in time.
class ServerGate {
public:
    struct Options {
        unsigned slots = 1; ///< Requests that the server works on at once.
        unsigned ahead = 3; ///< Requests that may wait at the server, from all instances.
        std::size_t maxWaiting = 64; ///< Requests that may wait here.
        Duration loadLifetime = std::chrono::milliseconds(400); ///< A stated load counts for nothing after this time.
        Duration firstServiceTime = std::chrono::milliseconds(200); ///< Taken until one was measured.
        Duration shedPause
            = std::chrono::milliseconds(150); ///< Nothing is sent this long after a refusal for lack of room.
    };

    /// @brief What a caller's request asks for.
    struct Work {
        unsigned priority = 0; ///< 0 goes first.
        TimePoint deadline; ///< No answer counts after this.
    };

    enum class Verdict {
        send,
        wait,
        refuse,
    };

    /// @brief How sent work ended.
    struct Ended {
        bool ran = false; ///< Took part of the server's time.
        bool shed = false; ///< The server had no room.
        Duration time { 0 }; ///< From sending to the answer.
        std::optional<unsigned> statedLoad; ///< Requests running and waiting there, as the server states.
    };

    static ServerGate create(Options options) { return ServerGate(options); }

    /// @brief Offers work.
    /// @complexity O(log n) for n waiting
    Verdict offer(std::uint64_t id, const Work& work, TimePoint now);

    /// @brief Takes back waiting work; false if it is not waiting.
    bool withdraw(std::uint64_t id);

    /// @brief Notes that sent work ended.
    void ended(const Ended& ended, TimePoint now);

    /// @brief Returns waiting work that is sent now, and work that can no longer be served in time.
    struct Left {
        std::uint64_t id = 0;
        bool isSent = false; ///< false: refused.
    };
    std::vector<Left> next(TimePoint now);

    /// @brief Returns when next() should be asked again although nothing ended; nothing if not at all.
    [[nodiscard]] std::optional<TimePoint> nextDue(TimePoint now) const;

    /// @brief Returns the expected time until work that is offered now would be answered.
    [[nodiscard]] Duration expectedTime(TimePoint now) const;

    [[nodiscard]] std::size_t inFlight() const { return m_inFlight; }
    [[nodiscard]] std::size_t waiting() const { return m_waiting.size(); }
    [[nodiscard]] double othersInFlight(TimePoint now) const;
    [[nodiscard]] Duration serviceTime() const;
    void setSlots(unsigned slots) { m_options.slots = slots; }

private:
    explicit ServerGate(Options options)
        : m_options(options)
    {
    }
    [[nodiscard]] bool hasRoom(TimePoint now) const;

    Options m_options;
    std::map<std::pair<unsigned, std::uint64_t>, std::pair<std::uint64_t, Work>>
        m_waiting; ///< By priority, then arrival.
    std::uint64_t m_arrivals = 0;
    std::size_t m_inFlight = 0;
    double m_others = 0; ///< Of other instances, when m_statedAt.
    TimePoint m_statedAt;
    TimePoint m_pausedUntil;
    double m_serviceMicros = 0; ///< Moving average of the time of one request in a slot.
};

} // namespace acaciagauge
