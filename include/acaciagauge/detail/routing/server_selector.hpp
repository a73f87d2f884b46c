#pragma once

#include "acaciagauge/detail/common/time.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace acaciagauge {

/// @brief Selects the server for a request that any server of a service may serve.
///
/// Addresses uneven load under stale knowledge: instances that know the same old reports and all take the best server
/// overload it while others idle. A chooser that shares its candidates with others therefore draws a few candidates in
/// proportion to their speed and takes the least loaded of them; the only chooser of its candidates knows what is in
/// flight and takes the best of all.
class ServerSelector {
public:
    using RandomSource = std::function<std::uint64_t()>;

    /// @brief Where the reported loads come from.
    enum class Knowledge {
        ownResponses, ///< From responses to this chooser; other choosers know other reports.
        sharedReports, ///< Other choosers know the same reports and tend to select the same servers.
        onlyChooser, ///< No other instance chooses among these candidates.
    };

    struct Options {
        unsigned choices = 8; ///< Candidates drawn with knowledge from own responses.
        unsigned sharedChoices = 2; ///< The same with shared reports: with more, choosers collide.
        /// Weight of the wait for a slot against the time in it: a request that waits at a fast server also delays
        /// those behind it. With 1, a third of requests find a free slot at 90% utilisation, with 20 nine tenths.
        double waitWeight = 20;
        Duration loadLifetime = std::chrono::milliseconds(400); ///< A reported load fades to the mean load by 1/e.
        Duration slowdownLifetime = std::chrono::milliseconds(400); ///< A reported slowdown fades to none by 1/e.
        double coldFactor = 2; ///< A cold server takes longer by this factor.
        double crossDomainFactor = 1.35; ///< Weight of the time at a server of another domain.
        double largeResponseFactor = 2.5; ///< The same for routes with large responses.
        double spillFraction = 0.5; ///< The local domain may use this part of the time to the target.
        double largeResponseSpillFraction = 0.8; ///< The same for routes with large responses.
    };

    /// @brief What the chooser knows about a server.
    struct Candidate {
        unsigned slots = 1; ///< Requests that the server processes concurrently.
        Duration serviceTime { 0 }; ///< Measured time of a request in a slot, without slowdown.
        double ownInFlight = 0; ///< Requests that this chooser has in flight or waiting for the server.
        double reportedOthers = 0; ///< Requests of others, by the last report.
        Duration reportAge { 0 };
        double slowdown = 1; ///< Reported: how much longer than usual work takes on the server's machine.
        Duration slowdownAge { 0 };
        Duration permitWait { 0 }; ///< Time until a server with a rate limit takes the next request.
        bool isLocal = true; ///< In the chooser's failure domain.
        bool isCold = false;
        bool isAvoided = false; ///< Unreachable, stuck or already tried: taken only if all others are avoided too.
    };

    /// @brief What matters for the choice.
    struct Request {
        Duration timeToTarget { 0 }; ///< A later response is late.
        bool hasLargeResponses = false;
        Knowledge knowledge = Knowledge::ownResponses;
    };

    static ServerSelector create(Options options, RandomSource random) { return { options, std::move(random) }; }

    /// @brief Returns the index of the server for the next request; nothing if there are no candidates.
    /// @complexity O(candidates); memory for one number per candidate is kept between calls
    std::optional<std::size_t> select(std::span<const Candidate> candidates, const Request& request);

    /// @brief Returns the memory that is kept between calls.
    [[nodiscard]] std::size_t stateBytes() const { return m_cumulated.capacity() * sizeof(double); }

private:
    ServerSelector(Options options, RandomSource random)
        : m_options(options)
        , m_random(std::move(random))
    {
    }
    template <typename Filter>
    std::optional<std::size_t> best(std::span<const Candidate> candidates, const Request& request, Filter filter);
    [[nodiscard]] double serviceMicros(const Candidate& candidate) const;
    [[nodiscard]] double load(const Candidate& candidate) const;
    [[nodiscard]] double waitMicros(const Candidate& candidate) const;
    [[nodiscard]] double cost(const Candidate& candidate, const Request& request) const;

    Options m_options;
    RandomSource m_random;
    std::vector<double> m_cumulated; ///< Sums of the candidates' speeds, for draws in proportion to them.
    double m_localMean = 0; ///< Requests of others per slot, mean of the local candidates by freshness.
    double m_remoteMean = 0; ///< The same for the other domains.
};

} // namespace acaciagauge
