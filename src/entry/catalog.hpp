#pragma once

#include "entry/async_condition.hpp"
#include "entry/store_keys.hpp"
#include "ports/ports.hpp"

#include <random>

namespace acaciagauge::entry {

/// @brief What this instance believes: the copy of the store, read into the product's types.
class Catalog {
public:
    Catalog(boost::asio::io_context& context, ports::DocumentsPort documents);

    /// @brief Takes changes of the store in.
    /// @param source of the changes, for the log
    /// @param changedAfter when the copy was last known to be up to date: the changes are later than this
    void apply(StoreDelta delta, std::string_view source, TimePoint changedAfter);

    /// @brief Notes whether the store answers.
    void noteStore(StoreFreshness::Change change);

    /// @brief Lets time pass for entries that may have lapsed.
    void settle();

    [[nodiscard]] const StoreMirror& mirror() const { return m_mirror; }
    [[nodiscard]] const ServerDirectory& servers() const { return m_servers; }
    [[nodiscard]] const KeyMap& keys() const { return m_keys; }
    [[nodiscard]] const std::map<InstanceId, MemberRecord>& members() const { return m_members; }

    /// @brief Returns how often the members changed so far.
    [[nodiscard]] std::uint64_t memberChanges() const { return m_memberChanges; }

    [[nodiscard]] const std::optional<ControllerRecord>& controller() const { return m_controller; }

    /// @brief Returns the desired state in force; null before the first one is known.
    [[nodiscard]] const std::shared_ptr<const DesiredState>& desiredState() const { return m_desiredState; }

    /// @brief Returns true once the whole store was read.
    [[nodiscard]] bool isLoaded() const { return m_mirror.at() > 0; }

    /// @brief Returns true if the store answered the last calls.
    [[nodiscard]] bool isStoreAvailable() const { return m_isStoreAvailable; }

    /// @brief Raised after every change.
    [[nodiscard]] AsyncCondition& changed() { return m_changed; }

    /// @brief Returns the ready servers of a service.
    [[nodiscard]] std::vector<const KnownServer*> readyServers(const ServiceName& service) const;

private:
    void read(const StoreChange& change);
    void readDesiredState(const StoreChange& change);
    void readServer(const StoreChange& change, TimePoint now);
    void readMember(const StoreChange& change);
    void readController(const StoreChange& change);
    void readOwners(const ChunkId& id, const StoreChange& change);
    void skip(const StoreChange& change, const std::string& reason);

    ports::DocumentsPort m_documents;
    StoreMirror m_mirror;
    ServerDirectory m_servers;
    KeyMap m_keys;
    std::map<InstanceId, MemberRecord> m_members;
    std::uint64_t m_memberChanges = 0;
    std::optional<ControllerRecord> m_controller;
    std::shared_ptr<const DesiredState> m_desiredState;
    bool m_isStoreAvailable = false;
    std::string m_source; ///< Of the changes that are being applied.
    TimePoint m_changedAfter; ///< Of the changes that are being applied.
    std::string m_heardAge; ///< Time since m_changedAfter in ms, for the log; empty if it is not known.
    AsyncCondition m_changed;
};

} // namespace acaciagauge::entry
