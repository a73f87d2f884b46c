#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace acaciagauge {

/// @brief Result of an operation. The codes are described in docs/RESULT-CODES.md.
enum class ResultCode : int {
    ok = 0,
    malformedTicket = 101,
    ticketNumberTaken = 102,
    ticketNumberGap = 103,
    unknownSubject = 104,
    storeUnavailable = 201,
    storeConflict = 202,
    storeOutcomeUnknown = 203,
    unknownService = 301,
    noOwner = 302,
    ownerUnreachable = 303,
    refusedByServer = 304,
    deadlineExceeded = 305,
    queueFull = 306,
    retryBudgetEmpty = 307,
    answerTruncated = 308,
    outcomeUnknown = 309,
    peerUnreachable = 310,
    instanceLeaving = 311,
    staleFence = 401,
    lateOrder = 402,
    wrongIncarnation = 403,
    notHeld = 404,
    malformedRequest = 501,
    unauthorized = 502,
    notFound = 503,
    invalidSetting = 601,
    invalidChart = 701,
};

/// @brief Returns the name of a code, as listed in docs/RESULT-CODES.md.
std::string_view nameOf(ResultCode code);

/// @brief A failure: its code and a human-readable message.
struct Error {
    ResultCode code;
    std::string message;
};

/// @brief A value or an Error.
template <typename T> using Result = tl::expected<T, Error>;

/// @brief Creates the error of a Result.
inline tl::unexpected<Error> failure(ResultCode code, std::string message)
{
    return tl::make_unexpected(Error { code, std::move(message) });
}

} // namespace acaciagauge
