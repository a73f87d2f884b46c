#pragma once

#include "acaciagauge/detail/common/ids.hpp"
#include "acaciagauge/detail/common/time.hpp"

#include <array>
#include <map>

namespace acaciagauge {

/// @brief This instance's share of the retry budget of all instances.
///
/// In any window, the retries of a service stay below a fraction of its requests plus a fixed allowance, summed over
/// all instances. Each instance uses that fraction of its own requests and an equal part of the allowance.
class RetryShare {
public:
    struct Options {
        double ratio = 0.2; ///< Retries allowed for each request.
        double allowance = 50; ///< Retries allowed in a window in addition, for all instances together.
        Duration window = std::chrono::seconds(10);
        double safety = 0.6; ///< Fraction of the budget that is used: the number of instances is known with a delay.
    };

    static RetryShare create(Options options) { return RetryShare(options); }

    /// @brief Counts a caller's request for a service.
    void countRequest(const ServiceName& service, TimePoint now);

    /// @brief Takes one retry from the budget.
    /// @param instances how many instances share the allowance
    /// @return false if none is left
    bool take(const ServiceName& service, std::size_t instances, TimePoint now);

    void setOptions(Options options) { m_options = options; }

private:
    /// Slices of the window. The current one is still being filled, so sums cover between 0.9 and 1 window.
    static constexpr std::size_t sliceCount = 10;

    struct Counts {
        std::array<std::uint32_t, sliceCount> requests {};
        std::array<std::uint32_t, sliceCount> retries {};
        std::int64_t slice = 0; ///< Number of the current slice.
    };

    explicit RetryShare(Options options)
        : m_options(options)
    {
    }
    Counts& countsAt(const ServiceName& service, TimePoint now);

    Options m_options;
    std::map<ServiceName, Counts> m_counts;
};

} // namespace acaciagauge
