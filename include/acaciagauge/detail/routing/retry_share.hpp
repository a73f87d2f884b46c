#pragma once

#include "acaciagauge/detail/common/ids.hpp"
#include "acaciagauge/detail/common/time.hpp"

#include <array>
#include <map>

namespace acaciagauge {

/// @brief This instance's share of a retry budget that all instances draw on.
///
/// In any window, the further sends of a service stay below a fraction of its requests plus a fixed allowance, summed
/// over all instances. Each instance keeps to its own requests and to its part of the allowance.
class RetryShare {
public:
    struct Options {
        double ratio = 0.2; ///< Further sends for each request.
        double allowance = 50; ///< Further sends in a window on top, of all instances together.
        Duration window = std::chrono::seconds(10);
        double safety = 0.6; ///< Part of the budget that is used; instances come and go unseen for a while.
    };

    static RetryShare create(Options options) { return RetryShare(options); }

    /// @brief Counts a caller's request for a service.
    void countRequest(const ServiceName& service, TimePoint now);

    /// @brief Takes one further send from the budget.
    /// @param instances how many instances share the allowance
    /// @return false if none is left
    bool take(const ServiceName& service, std::size_t instances, TimePoint now);

    void setOptions(Options options) { m_options = options; }

private:
    /// A window in slices; sums cover at least the whole window for sends and at most that for requests.
    static constexpr std::size_t slices = 10;

    struct Counts {
        std::array<std::uint32_t, slices> requests {};
        std::array<std::uint32_t, slices> sends {};
        std::int64_t slice = 0; ///< Number of the slice that is filled at present.
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
