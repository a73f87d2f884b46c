#pragma once

#include "acaciagauge/detail/ownership/agent.hpp"
#include "acaciagauge/detail/tickets/ticket.hpp"

#include <optional>
#include <variant>

namespace acaciagauge {

/// @brief The stored head of the ticket log: the configuration in force and the complete ticket that produced it.
struct TicketHead {
    Configuration configuration;
    std::optional<Ticket> ticket; ///< Empty before the first ticket.
};

/// @brief Returns the JSON form of a head.
nlohmann::json toJson(const TicketHead& head);

/// @brief Reads a head that toJson wrote.
Result<TicketHead> ticketHeadFromJson(const nlohmann::json& document);

/// @brief State machine that files one ticket: derives the next store call from the response to the previous one.
///
/// The current head's ticket is written to the log before the head is replaced, so every accepted ticket is in the log
/// or in the head. After a lost response the head is read again: its writer token shows whether this ticket or another
/// one was written.
class Filing {
public:
    struct ReadHead { };
    struct ReadLog {
        TicketNumber number = 0;
    };
    struct WriteLog {
        Ticket ticket; ///< The ticket of the current head.
    };
    struct WriteHead {
        std::uint64_t expectedRevision = 0;
        TicketHead head;
    };
    struct Accepted {
        Configuration configuration;
    };
    struct Refused {
        Error error;
    };
    using Step = std::variant<ReadHead, ReadLog, WriteLog, WriteHead, Accepted, Refused>;

    /// @brief Creates the state machine for a ticket.
    /// @return malformedTicket if the ticket's writer token is empty
    static Result<Filing> create(Ticket ticket);

    /// @brief Returns the first step.
    [[nodiscard]] Step start() const { return ReadHead {}; }

    /// @brief Handles the result of ReadHead.
    /// @param revision 0 if there is no head yet
    Step headRead(StoreOutcome outcome, std::uint64_t revision, const TicketHead& head);

    /// @brief Handles the result of ReadLog.
    /// @param entry the log entry with this ticket's number; empty if there is none
    Step logRead(StoreOutcome outcome, const std::optional<Ticket>& entry);

    /// @brief Handles the result of WriteLog. A conflict counts as success, since the entry for a number is always the
    /// same.
    Step logWritten(StoreOutcome outcome);

    /// @brief Handles the result of WriteHead.
    Step headWritten(StoreOutcome outcome);

private:
    explicit Filing(Ticket ticket);
    Step retry();

    Ticket m_ticket;
    WriteHead m_write;
    Configuration m_inForce; ///< Configuration of the head read last.
    unsigned m_attempts = 0;
    bool m_outcomeUnknown = false; ///< A write of this ticket may have taken effect.
};

} // namespace acaciagauge
