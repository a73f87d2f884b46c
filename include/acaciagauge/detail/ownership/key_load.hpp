#pragma once

#include "acaciagauge/detail/common/time.hpp"
#include "acaciagauge/detail/ownership/key_ranges.hpp"

namespace acaciagauge {

/// @brief Number of requests by key of one service, as one instance counted them since its last report.
using KeyCounts = std::map<KeyNumber, std::uint32_t>;

/// @brief Request rates by key, as exponentially decaying averages.
class KeyLoad {
public:
    struct Options {
        Duration timeConstant = std::chrono::seconds(2); ///< Without requests, a rate falls to 1/e within this time.
        double minRate = 0.02; ///< Requests per second; a key with a lower rate is dropped.
    };

    static KeyLoad create(Options options, TimePoint now);

    /// @brief Adds the requests that one instance counted.
    void add(const KeyCounts& counts, TimePoint now);

    [[nodiscard]] Duration timeConstant() const { return m_options.timeConstant; }

    /// @brief Returns the requests per second to the keys of a range.
    /// @complexity O(log n + m) for n keys with a rate, m of them in the range
    [[nodiscard]] double rate(const KeyRange& range) const;

    /// @brief Returns the requests per second of all keys that have a rate.
    [[nodiscard]] const std::map<KeyNumber, double>& rates() const { return m_rates; }

private:
    KeyLoad(Options options, TimePoint now)
        : m_options(options)
        , m_decayedAt(now)
    {
    }
    void decay(TimePoint now);

    Options m_options;
    TimePoint m_decayedAt;
    std::map<KeyNumber, double> m_rates;
};

} // namespace acaciagauge
