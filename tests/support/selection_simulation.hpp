#pragma once

#include <acaciagauge/acaciagauge.hpp>

#include <cstdint>
#include <optional>

namespace acaciagauge::test {

/// @brief How the instances of a simulation choose servers.
enum class Method {
    random,
    leastReported, ///< The least reported load per slot.
    twoChoices, ///< The less loaded of two random servers, by the reports.
    ownAndAged, ///< Least own requests in flight plus aged report, in proportion to speed.
    earlier, ///< Upstreams::choose without coordination.
    subset, ///< The same on eight servers for each instance.
    selector, ///< ServerSelector in each instance.
    selectorOnSubset, ///< ServerSelector on 16 servers for each instance.
    domainCoordinator, ///< ServerSelector in one coordinator for each of three domains, which passes on what would
                       ///< wait.
    coordinator, ///< ServerSelector in one coordinator for all servers.
    completeInformation, ///< The limit: a single chooser that knows the present state of all servers.
};

const char* nameOf(Method method);

struct SelectionScenario {
    Method method = Method::selector;
    std::size_t instances = 73;
    std::size_t servers = 40;
    std::optional<Duration> reportAge = std::chrono::milliseconds(300); ///< Nothing: only own responses report.
    double utilisation = 0.7;
    std::uint64_t seed = 1;
    Duration duration = std::chrono::seconds(10);
    std::size_t domains = 1; ///< Failure domains of instances and servers.
    bool hasLargeResponses = false;
    double localDemand = 1; ///< Demand at instances of the first domain, relative to the others.
};

struct SelectionResult {
    double freeSlotShare = 0; ///< Requests that started to run on arrival.
    double meanWaitMs = 0;
    double p95WaitMs = 0;
    double meanResponseMs = 0;
    double spread = 0; ///< Standard deviation of the load per slot over its mean.
    double idleShare = 0; ///< Servers with a free slot while another one has a queue.
    double crossDomainShare = 0; ///< Requests that left the domain of their instance.
    double lateShare = 0; ///< Requests that took longer than their target.
};

/// @brief Simulates requests to uneven servers: speeds 0.5 to 1.6, a fifth of them three times slower for 0.4 s.
SelectionResult simulateSelection(const SelectionScenario& scenario);

} // namespace acaciagauge::test
