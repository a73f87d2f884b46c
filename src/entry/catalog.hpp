#pragma once

#include "entry/async_condition.hpp"
#include "entry/store_keys.hpp"
#include "ports/ports.hpp"

#include <random>

namespace acaciagauge::entry {

/// @brief This instance's mirror of the store, and its decoded content: servers, owners, members and desired state.
class Catalog {
public:
    Catalog(boost::asio::io_context& context, ports::DocumentsPort documents);

    /// @brief Applies changes of the store.
    /// @param source where the changes were read from, for the log
    /// @param changedAfter when the mirror was last known to be up to date; the changes were made after this
    void apply(StoreDelta delta, std::string_view source, TimePoint changedAfter);

    /// @brief Records an era that the store or a peer named.
    void noteStoreEra(StoreEra era);

    /// @brief Returns the latest era that was heard of. The mirror's may be an earlier one.
    [[nodiscard]] StoreEra storeEra() const { return m_storeEra; }

    /// @brief Returns when the latest era was first heard of, as a reading of bootNow().
    [[nodiscard]] TimePoint storeEraSince() const { return m_storeEraSince; }

    /// @brief Updates whether the store is available.
    void updateStoreAvailability(StoreFreshness::Change change);

    /// @brief Records that a server said that it is leaving.
    /// @param source who heard it, for the log
    void noteLeaving(const ServerRun& run, std::string_view source);

    /// @brief Records for how much longer a server is cold, as a response said.
    void noteWarmup(const ServerRun& run, std::chrono::duration<double, std::milli> remaining);

    /// @brief Removes servers, members and evacuations whose entries vanished during a store outage, or when the store
    /// was restored, and did not return in time.
    void removeLapsed();

    /// @brief Returns when removeLapsed() has something to do next; nothing if there is nothing to remove.
    [[nodiscard]] std::optional<TimePoint> nextRemoval() const;

    [[nodiscard]] const StoreMirror& mirror() const { return m_mirror; }
    [[nodiscard]] const ServerDirectory& servers() const { return m_servers; }
    [[nodiscard]] const KeyOwnerMap& keys() const { return m_keys; }
    [[nodiscard]] const std::map<InstanceId, MemberRecord>& members() const { return m_members; }

    /// @brief Returns the number of changes of the members so far.
    [[nodiscard]] std::uint64_t memberChanges() const { return m_memberChanges; }

    [[nodiscard]] const std::optional<ControllerRecord>& controller() const { return m_controller; }

    /// @brief Returns the desired state in force; null until one was read.
    [[nodiscard]] const std::shared_ptr<const DesiredState>& desiredState() const { return m_desiredState; }

    /// @brief Returns true once the whole store was read.
    [[nodiscard]] bool isLoaded() const { return m_mirror.revision() > 0; }

    /// @brief Returns true if the store is available, as determined by StoreFreshness.
    [[nodiscard]] bool isStoreAvailable() const { return m_isStoreAvailable; }

    /// @brief Returns the condition that is notified after every change.
    [[nodiscard]] AsyncCondition& changed() { return m_changed; }

    /// @brief Returns how many keys of all services servers of a failure domain own.
    /// @complexity O(ranges)
    [[nodiscard]] std::size_t keysOwnedIn(const DomainId& domain) const;

    /// @brief Returns the servers of a service that are ready and not in an evacuated domain.
    [[nodiscard]] std::vector<const KnownServer*> readyServers(const ServiceName& service) const;

private:
    void applyChange(const StoreChange& change);
    void applyDesiredState(const StoreChange& change);
    void applyServer(const StoreChange& change, TimePoint now);
    void applyEvacuation(const StoreChange& change, TimePoint now);
    void endEvacuation(const DomainId& domain, const std::string& revision);
    void applyMember(const StoreChange& change);
    void applyController(const StoreChange& change);
    void applyOwners(const ChunkId& id, const StoreChange& change);
    void logSkipped(const StoreChange& change, const std::string& reason);

    ports::DocumentsPort m_documents;
    StoreMirror m_mirror;
    ServerDirectory m_servers;
    KeyOwnerMap m_keys;
    std::map<InstanceId, MemberRecord> m_members;
    std::uint64_t m_memberChanges = 0;
    std::optional<ControllerRecord> m_controller;
    std::shared_ptr<const DesiredState> m_desiredState;
    bool m_isStoreAvailable = false;
    StoreEra m_storeEra = 0;
    TimePoint m_storeEraSince;
    bool m_isRestoring = false; ///< The changes that are being applied replace those of an earlier era.
    std::map<InstanceId, TimePoint> m_missingMembers; ///< Until when members that the restored store lacks are kept.
    std::map<DomainId, TimePoint> m_missingEvacuations; ///< The same for evacuations.
    std::string m_source; ///< Source of the changes that are being applied.
    TimePoint m_changedAfter; ///< Lower bound of the time of the changes that are being applied.
    std::string m_changeAgeMs; ///< Time since m_changedAfter in ms, for the log; empty if unknown.
    AsyncCondition m_changed;
};

} // namespace acaciagauge::entry
