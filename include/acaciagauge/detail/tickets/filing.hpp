#pragma once

#include "acaciagauge/detail/ownership/agent.hpp"
#include "acaciagauge/detail/tickets/ticket.hpp"

#include <optional>
#include <variant>

namespace acaciagauge {

/// @brief The stored head of the ticket log: the configuration in force and the whole ticket that made it so.
struct TicketHead {
    Configuration configuration;
    std::optional<Ticket> ticket; ///< Empty before the first ticket.
};

/// @brief Returns the JSON form of a head.
nlohmann::json toJson(const TicketHead& head);

/// @brief Reads a head that toJson wrote.
Result<TicketHead> ticketHeadFromJson(const nlohmann::json& document);

/// @brief Files one ticket: decides the next store call from the answer to the one before.
///
/// The former head's ticket is written to the log before the head moves on, so that no accepted ticket is ever missing
/// from both. A lost answer is settled by reading the head again: the writer's token tells this ticket from another.
class Filing {
public:
    struct ReadHead { };
    struct ReadLog {
        TicketNumber number = 0;
    };
    struct WriteLog {
        Ticket ticket; ///< The ticket of the present head.
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

    /// @brief Prepares to file a ticket; its writer token must not be empty.
    static Result<Filing> create(Ticket ticket);

    /// @brief Returns the first step.
    [[nodiscard]] Step start() const { return ReadHead {}; }

    /// @brief Goes on after the head was read.
    /// @param revision 0 if there is no head yet
    Step headRead(StoreOutcome outcome, std::uint64_t revision, const TicketHead& head);

    /// @brief Goes on after the log entry of this ticket's number was read; empty if there is none.
    Step logRead(StoreOutcome outcome, const std::optional<Ticket>& entry);

    /// @brief Goes on after the log was written; any outcome but unavailable will do, since the entry is always the
    /// same.
    Step logWritten(StoreOutcome outcome);

    /// @brief Goes on after the head was written.
    Step headWritten(StoreOutcome outcome);

private:
    explicit Filing(Ticket ticket);
    Step tryAgain();

    Ticket m_ticket;
    WriteHead m_write;
    Configuration m_inForce; ///< Of the head read last.
    unsigned m_tries = 0;
    bool m_outcomeUnknown = false; ///< Some write of this ticket may have taken effect.
};

} // namespace acaciagauge
