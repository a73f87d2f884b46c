#include "acaciagauge/acaciagauge.hpp"

#include <nlohmann/json.hpp>

namespace acaciagauge {

namespace {

    constexpr unsigned maxAttempts = 8;

} // namespace

nlohmann::json toJson(const TicketHead& head)
{
    nlohmann::json document { { "configuration", toJson(head.configuration) } };
    if (head.ticket)
        document["ticket"] = toJson(*head.ticket);
    return document;
}

Result<TicketHead> ticketHeadFromJson(const nlohmann::json& document)
{
    if (!document.is_object() || !document.contains("configuration"))
        return failure(ResultCode::storeUnavailable,
            "the ticket head in the store is malformed: it has no field \"configuration\"");
    auto configuration = configurationFromJson(document.at("configuration"));
    if (!configuration)
        return tl::make_unexpected(configuration.error());
    TicketHead head { std::move(*configuration), std::nullopt };
    if (document.contains("ticket")) {
        auto ticket = ticketFromJson(document.at("ticket"));
        if (!ticket)
            return tl::make_unexpected(ticket.error());
        head.ticket = std::move(*ticket);
    }
    return head;
}

Filing::Filing(Ticket ticket)
    : m_ticket(std::move(ticket))
{
}

Result<Filing> Filing::create(Ticket ticket)
{
    if (ticket.writer.empty())
        return failure(ResultCode::malformedTicket,
            "ticket.writer is missing; it distinguishes a retry from another operator's ticket");
    return Filing(std::move(ticket));
}

Filing::Step Filing::retry()
{
    if (++m_attempts < maxAttempts)
        return ReadHead {};
    if (m_outcomeUnknown)
        return Refused { { ResultCode::storeOutcomeUnknown,
            "the store's responses were lost; file the same ticket again to learn whether it was accepted" } };
    return Refused { { ResultCode::storeUnavailable,
        "the platform's store is unavailable; the ticket was not filed" } };
}

Filing::Step Filing::headRead(StoreOutcome outcome, std::uint64_t revision, const TicketHead& head)
{
    if (outcome != StoreOutcome::ok)
        return retry();
    m_inForce = head.configuration;
    // A lower number may be this ticket, accepted by an earlier attempt: the log entry's writer token shows it.
    if (m_ticket.number < head.configuration.number)
        return ReadLog { m_ticket.number };
    auto next = applyTicket(head.configuration, m_ticket);
    if (!next)
        return Refused { next.error() };
    if (next->number == head.configuration.number)
        return Accepted { *next };
    m_write = { revision, { std::move(*next), m_ticket } };
    if (head.ticket)
        return WriteLog { *head.ticket };
    return m_write;
}

Filing::Step Filing::logRead(StoreOutcome outcome, const std::optional<Ticket>& entry)
{
    if (outcome != StoreOutcome::ok || !entry)
        return retry();
    if (entry->writer == m_ticket.writer)
        return Accepted { m_inForce };
    return Refused { { ResultCode::ticketNumberTaken,
        "ticket number " + std::to_string(entry->number) + " is already taken by writer \"" + entry->writer
            + "\"; ticket in force: " + std::to_string(m_inForce.number) } };
}

Filing::Step Filing::logWritten(StoreOutcome outcome)
{
    // A conflict means that the entry exists already. After a lost response the outcome is unknown, so the filing
    // starts over from the head and repeats the write.
    bool isWritten = outcome == StoreOutcome::ok || outcome == StoreOutcome::conflict;
    return isWritten ? Step { m_write } : retry();
}

Filing::Step Filing::headWritten(StoreOutcome outcome)
{
    if (outcome == StoreOutcome::ok)
        return Accepted { m_write.head.configuration };
    m_outcomeUnknown = m_outcomeUnknown || outcome == StoreOutcome::unknown;
    return retry();
}

} // namespace acaciagauge
