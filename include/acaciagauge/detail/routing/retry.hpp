#pragma once

#include "acaciagauge/detail/common/result.hpp"
#include "acaciagauge/detail/common/time.hpp"

#include <optional>

namespace acaciagauge {

/// @brief Whether an attempt of a request was executed. Every attempt ends in exactly one of these.
enum class Outcome {
    ran,
    notRun, ///< No byte reached a server, or the server said that it did not execute the request.
    unknown,
};

/// @brief Limits retries of requests that a server may have received to a fraction of all requests.
class RetryBudget {
public:
    struct Options {
        double retryRatio = 0.1; ///< Retries allowed for each request.
        double maxSavedRetries = 100; ///< Upper bound of the saved-up retries, and the initial budget.
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
        , m_tokens(options.maxSavedRetries)
    {
    }

    Options m_options;
    double m_tokens;
};

/// @brief One finished attempt of a request.
struct Attempt {
    Outcome outcome = Outcome::unknown;
    ResultCode code = ResultCode::ok;
    bool idempotent = false;
    unsigned number = 1; ///< 1 for the first attempt.
    Duration remaining { 0 }; ///< Time until the request's deadline.
};

/// @brief Decides whether and when a request is retried.
///
/// A request that did not run is retried if the failure is transient, idempotent or not. One whose outcome is unknown
/// is retried only if it is idempotent and the budget allows.
/// @return the backoff before the next attempt; nothing if the request is not retried
std::optional<Duration> retryDelay(const Attempt& attempt, RetryBudget& budget);

} // namespace acaciagauge
