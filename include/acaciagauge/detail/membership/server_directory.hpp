#pragma once

#include "acaciagauge/detail/common/ids.hpp"
#include "acaciagauge/detail/common/time.hpp"

#include <map>
#include <optional>
#include <vector>

namespace acaciagauge {

/// @brief One run of a server process. A restart under the same id is another run.
struct ServerRun {
    ServerId id;
    std::int64_t startedMs = 0; ///< Unix time of the process's start in ms, as the server states it.

    auto operator<=>(const ServerRun&) const = default;
};

/// @brief What a server says of itself.
struct ServerEntry {
    ServerRun run;
    ServiceName service;
    std::string address; ///< "IP:PORT".
    DomainId domain;
    unsigned slots = 1; ///< Requests that it works on at once.
    bool draining = false;
    std::chrono::milliseconds warmupRemaining { 0 }; ///< How much longer it was slow when it wrote this.
};

/// @brief How a server stands.
enum class ServerStatus {
    ready,
    draining, ///< It announced its leaving.
    gone, ///< Its entry is no longer there; the process may still run.
};

/// @brief A server as the directory knows it.
struct KnownServer {
    ServerEntry entry;
    ServerStatus status = ServerStatus::ready;
    TimePoint since; ///< When the standing was learned.
    TimePoint leavingSince; ///< If it is not ready: the earliest moment at which it may have begun to leave.
    TimePoint listedAt; ///< When this run was first seen.
};

/// @brief Servers of all services.
///
/// An entry that vanishes while the store is away may only have lapsed: its server stays in use until the store has
/// been back for some time.
class ServerDirectory {
public:
    struct Options {
        Duration lapseGrace = std::chrono::milliseconds(2200); ///< Time after the store's return for entries to return.
        Duration forgetAfter = std::chrono::seconds(30); ///< Time that a gone server is remembered.
    };

    static ServerDirectory create(Options options);

    /// @brief Takes an entry in.
    /// @param changedAfter when the directory was last known to be up to date
    void update(const ServerEntry& entry, TimePoint now, TimePoint changedAfter);

    /// @brief Notes that a server's entry is no longer there.
    /// @param changedAfter when the directory was last known to be up to date
    void remove(const ServerId& id, TimePoint now, TimePoint changedAfter);

    /// @brief Notes that the store does not answer.
    void noteStoreUnavailable() { m_storeAway = true; }

    /// @brief Notes that the store answers.
    /// @param mayHaveLapsed entries may have lapsed meanwhile
    void noteStoreAvailable(TimePoint now, bool mayHaveLapsed);

    /// @brief Moves servers whose grace is over to `gone`, and forgets old ones.
    /// @return true if something changed
    bool expireEntries(TimePoint now);

    /// @brief Returns when settle() has work next; nothing if there is none.
    [[nodiscard]] std::optional<TimePoint> nextDue() const;

    /// @brief Finds a server; null if it is unknown.
    [[nodiscard]] const KnownServer* find(const ServerId& id) const;

    [[nodiscard]] const std::map<ServerId, KnownServer>& servers() const { return m_servers; }

private:
    struct Vanished {
        TimePoint graceUntil;
        TimePoint removedAfter; ///< When the entry was last known to be there.
    };

    explicit ServerDirectory(Options options)
        : m_options(options)
    {
    }
    static void setStatus(KnownServer& server, ServerStatus status, TimePoint now, TimePoint changedAfter);

    Options m_options;
    std::map<ServerId, KnownServer> m_servers;
    std::map<ServerId, Vanished> m_vanished; ///< Entries that may have lapsed.
    bool m_storeAway = false;
    TimePoint m_graceUntil;
};

} // namespace acaciagauge
