#pragma once

#include "acaciagauge/acaciagauge.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciagauge::daemon {

/// @brief One entry instance, as the platform lists it.
struct InstanceInfo {
    InstanceId id;
    DomainId domain;
    std::string callersAddress;
    std::string adminAddress;
    std::string rpcAddress;
    bool leaving = false;
};

/// @brief The instances that the platform listed last, less those that were found unreachable a moment ago.
class Directory {
public:
    static Directory create(InstanceInfo self);

    /// @brief Replaces the list; a text that is not one changes nothing.
    void update(const std::string& instancesJson);

    /// @brief Avoids an instance for a while.
    void suspect(const std::string& rpcAddress, TimePoint now);

    /// @brief Picks the egress of a server: rendezvous over the usable instances of the server's domain.
    [[nodiscard]] std::optional<InstanceInfo> egressFor(
        const ServerId& server, const DomainId& domain, TimePoint now) const;

    [[nodiscard]] const std::map<InstanceId, InstanceInfo>& instances() const { return m_instances; }
    [[nodiscard]] std::vector<InstanceId> liveInDomain(const DomainId& domain) const;
    [[nodiscard]] const InstanceInfo* find(const InstanceId& id) const;
    [[nodiscard]] const InstanceInfo& self() const { return m_self; }

private:
    explicit Directory(InstanceInfo self);

    InstanceInfo m_self;
    std::map<InstanceId, InstanceInfo> m_instances;
    std::map<std::string, TimePoint> m_suspectedUntil;
};

} // namespace acaciagauge::daemon
