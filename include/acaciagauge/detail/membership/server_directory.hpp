#pragma once

#include "acaciagauge/detail/common/ids.hpp"
#include "acaciagauge/detail/common/time.hpp"

#include <map>
#include <optional>
#include <vector>

namespace acaciagauge {

/// @brief Identifies one run of a server process. A restart under the same id is another run.
struct ServerRun {
    ServerId id;
    std::int64_t startedMs = 0; ///< Unix time of the process's start in ms, as reported by the server.

    auto operator<=>(const ServerRun&) const = default;
};

/// @brief A server's entry in the store, which the server writes itself.
struct ServerEntry {
    ServerRun run;
    ServiceName service;
    std::string address; ///< "IP:PORT".
    DomainId domain;
    unsigned slots = 1; ///< Requests that it processes concurrently.
    bool draining = false;
    std::uint64_t sequence = 0; ///< Rises with each report of the run.
    std::chrono::milliseconds warmupRemaining { 0 }; ///< For how much longer it was cold when it wrote the entry.
};

/// @brief Whether a server is in service.
enum class ServerStatus {
    ready,
    draining, ///< It has announced its shutdown.
    gone, ///< Its entry has been removed; the process may still run.
};

/// @brief A server and its status.
struct KnownServer {
    ServerEntry entry;
    ServerStatus status = ServerStatus::ready;
    TimePoint statusSince; ///< When this instance learned of the status.
    TimePoint leavingSince; ///< If it is not ready: the earliest time at which it may have begun to shut down.
    TimePoint listedAt; ///< When this instance first saw this run.
    bool hasSaidLeaving = false; ///< This run said in a response that it is leaving.
    TimePoint warmUntil; ///< The server is cold until then, by its latest entry or response.
    std::optional<double> coldRate; ///< Requests per second that it may get while it is cold; nothing: no limit.
    std::optional<TimePoint> evacuatedSince; ///< Earliest time at which its domain's evacuation may have begun.

    /// @brief Returns true if the server may get keys and new requests.
    [[nodiscard]] bool isUsable() const { return status == ServerStatus::ready && !evacuatedSince; }
};

/// @brief Servers of all services, from their entries in the store.
///
/// An entry that disappears during an outage of the store may have expired only because its server could not renew it.
/// Such a server stays in use until a grace period after the store's return is over.
class ServerDirectory {
public:
    struct Options {
        Duration lapseGrace = std::chrono::milliseconds(2200); ///< Time to rewrite lapsed entries after an outage.
        Duration forgetAfter = std::chrono::seconds(30); ///< Time until a gone server is erased.
        /// The same for one that said that it is leaving: its entry may return while the process runs.
        Duration forgetLeavingAfter = std::chrono::minutes(10);
    };

    static ServerDirectory create(Options options);

    /// @brief Adds or updates an entry.
    /// @param changedAfter when the directory was last known to be up to date: the change is later
    void update(const ServerEntry& entry, TimePoint now, TimePoint changedAfter);

    /// @brief Records that a server's entry has been removed.
    /// @param changedAfter when the directory was last known to be up to date: the change is later
    void remove(const ServerId& id, TimePoint now, TimePoint changedAfter);

    /// @brief Records that a server said that it is leaving, which its entry may say later or never.
    /// @return true if the server was regarded as ready
    bool noteLeaving(const ServerRun& run, TimePoint now);

    /// @brief Records for how much longer a server is cold, by a response of the run.
    void noteWarmup(const ServerRun& run, Duration remaining, TimePoint now);

    /// @brief Records that a failure domain is evacuated: its present and future servers are not to be used.
    /// @param changedAfter when the directory was last known to be up to date: the evacuation began later
    /// @return false if it was evacuated already
    bool startEvacuation(const DomainId& domain, TimePoint now, TimePoint changedAfter);

    /// @brief Records that the evacuation of a domain has ended.
    /// @return false if it was not evacuated
    bool endEvacuation(const DomainId& domain);

    /// @brief Returns the evacuated domains, each with the earliest time at which its evacuation may have begun.
    [[nodiscard]] const std::map<DomainId, TimePoint>& evacuations() const { return m_evacuations; }

    /// @brief Records that the store does not respond.
    void noteStoreUnavailable() { m_isStoreUnavailable = true; }

    /// @brief Records that the store responds again.
    /// @param mayHaveLapsed the outage was long enough for entries to expire
    void noteStoreAvailable(TimePoint now, bool mayHaveLapsed);

    /// @brief Records that the store was restored from an older copy: entries that it lacks are written again.
    void noteStoreRestored(TimePoint now) { m_graceEnd = now + m_options.lapseGrace; }

    /// @brief Sets servers whose grace period is over to `gone`, and erases those that have been gone for long.
    /// @return true if something changed
    bool expireEntries(TimePoint now);

    /// @brief Returns when the next grace period ends; nothing if there is none.
    [[nodiscard]] std::optional<TimePoint> nextDue() const;

    /// @brief Finds a server; null if it is unknown.
    [[nodiscard]] const KnownServer* find(const ServerId& id) const;

    [[nodiscard]] const std::map<ServerId, KnownServer>& servers() const { return m_servers; }

private:
    struct MissingEntry {
        TimePoint graceEnd;
        TimePoint removedAfter; ///< When the entry was last known to exist.
    };

    explicit ServerDirectory(Options options)
        : m_options(options)
    {
    }
    static void setStatus(KnownServer& server, ServerStatus status, TimePoint now, TimePoint changedAfter);

    Options m_options;
    std::map<ServerId, KnownServer> m_servers;
    std::map<DomainId, TimePoint> m_evacuations;
    std::map<ServerId, MissingEntry> m_missing; ///< Removed entries that may only have lapsed.
    bool m_isStoreUnavailable = false;
    TimePoint m_graceEnd;
};

} // namespace acaciagauge
