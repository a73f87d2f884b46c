#include "acaciagauge/acaciagauge.hpp"

namespace acaciagauge {

std::string_view nameOf(ResultCode code)
{
    switch (code) {
    case ResultCode::ok:
        return "ok";
    case ResultCode::malformedTicket:
        return "malformedTicket";
    case ResultCode::ticketNumberTaken:
        return "ticketNumberTaken";
    case ResultCode::ticketNumberGap:
        return "ticketNumberGap";
    case ResultCode::unknownSubject:
        return "unknownSubject";
    case ResultCode::storeUnavailable:
        return "storeUnavailable";
    case ResultCode::storeConflict:
        return "storeConflict";
    case ResultCode::storeOutcomeUnknown:
        return "storeOutcomeUnknown";
    case ResultCode::unknownService:
        return "unknownService";
    case ResultCode::noOwner:
        return "noOwner";
    case ResultCode::ownerUnreachable:
        return "ownerUnreachable";
    case ResultCode::refusedByServer:
        return "refusedByServer";
    case ResultCode::deadlineExceeded:
        return "deadlineExceeded";
    case ResultCode::queueFull:
        return "queueFull";
    case ResultCode::retryBudgetEmpty:
        return "retryBudgetEmpty";
    case ResultCode::answerTruncated:
        return "answerTruncated";
    case ResultCode::outcomeUnknown:
        return "outcomeUnknown";
    case ResultCode::peerUnreachable:
        return "peerUnreachable";
    case ResultCode::instanceLeaving:
        return "instanceLeaving";
    case ResultCode::staleFence:
        return "staleFence";
    case ResultCode::lateOrder:
        return "lateOrder";
    case ResultCode::wrongIncarnation:
        return "wrongIncarnation";
    case ResultCode::notHeld:
        return "notHeld";
    case ResultCode::malformedRequest:
        return "malformedRequest";
    case ResultCode::unauthorized:
        return "unauthorized";
    case ResultCode::notFound:
        return "notFound";
    case ResultCode::invalidSetting:
        return "invalidSetting";
    case ResultCode::invalidChart:
        return "invalidChart";
    }
    return "unknown";
}

} // namespace acaciagauge
