#pragma once

#include "acaciagauge/detail/common/result.hpp"
#include "acaciagauge/detail/common/time.hpp"

#include <optional>

namespace acaciagauge {

/// @brief What is known of a request that was tried. The set is closed.
enum class Outcome {
    ran,
    notRun, ///< No byte reached a server, or the server said that it did not run the request.
    unknown,
};

/// @brief Limits retries of requests that a server may have seen to a share of all requests.
class RetryBudget {
public:
    struct Options {
        double share = 0.1; ///< Retries allowed for each request.
        double burst = 100; ///< Largest number of saved-up retries.
    };

    static RetryBudget create(Options options) { return RetryBudget(options); }

    /// @brief Counts a new request.
    void countRequest();

    /// @brief Takes one retry from the budget.
    /// @return false if none is left
    bool take();

private:
    explicit RetryBudget(Options options)
        : m_options(options)
        , m_tokens(options.burst)
    {
    }

    Options m_options;
    double m_tokens;
};

/// @brief One finished try of a request.
struct Attempt {
    Outcome outcome = Outcome::unknown;
    ResultCode code = ResultCode::ok;
    bool idempotent = false;
    unsigned number = 1; ///< 1 for the first try.
    Duration remaining { 0 }; ///< Time until the request's deadline.
};

/// @brief Decides whether and when a request is tried again.
///
/// A request that did not run may be tried again whatever it does. One whose outcome is unknown is tried again only
/// if it is idempotent and the budget allows.
/// @return the wait before the next try, or nothing if the attempt's outcome is the answer
std::optional<Duration> retryDelay(const Attempt& attempt, RetryBudget& budget);

} // namespace acaciagauge
