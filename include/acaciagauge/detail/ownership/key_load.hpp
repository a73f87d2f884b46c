#pragma once

#include "acaciagauge/detail/common/time.hpp"
#include "acaciagauge/detail/ownership/key_ranges.hpp"

namespace acaciagauge {

/// @brief Requests for keys of one service within some time, as one instance saw them.
using KeyCounts = std::map<KeyNumber, std::uint32_t>;

/// @brief Request rates by key, averaged over the recent past.
class KeyLoad {
public:
    struct Options {
        Duration timeConstant = std::chrono::seconds(2); ///< A rate falls to a third within this time.
        double least = 0.02; ///< Requests a second below which a key is forgotten.
    };

    static KeyLoad create(Options options, TimePoint now);

    /// @brief Adds what one instance counted.
    void add(const KeyCounts& counts, TimePoint now);

    /// @brief Returns the requests a second for the keys of a range.
    /// @complexity O(log n + busy keys of the range)
    [[nodiscard]] double rate(const KeyRange& range) const;

    /// @brief Returns the rates of all busy keys.
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
