#include "daemon/directory.hpp"

#include <nlohmann/json.hpp>

namespace acaciagauge::daemon {

namespace {

    constexpr Duration suspicion = std::chrono::seconds(1);

} // namespace

Directory::Directory(InstanceInfo self)
    : m_self(std::move(self))
{
    m_instances[m_self.id] = m_self;
}

Directory Directory::create(InstanceInfo self)
{
    return Directory(std::move(self));
}

void Directory::update(const std::string& instancesJson)
{
    try {
        auto document = nlohmann::json::parse(instancesJson);
        std::map<InstanceId, InstanceInfo> listed;
        for (const auto& it : document.at("instances")) {
            InstanceInfo info;
            info.id = it.at("id").get<std::string>();
            info.domain = it.at("domain").get<std::string>();
            info.callersAddress = it.at("callers").get<std::string>();
            info.adminAddress = it.at("admin").get<std::string>();
            info.rpcAddress = it.at("rpc").get<std::string>();
            info.leaving = it.at("state").get<std::string>() == "leaving";
            listed[info.id] = info;
        }
        // This process is alive, whatever the list says.
        listed[m_self.id] = m_self;
        m_instances = std::move(listed);
    } catch (const nlohmann::json::exception&) {
        // The former list is better than none.
    }
}

void Directory::suspect(const std::string& rpcAddress, TimePoint now)
{
    m_suspectedUntil[rpcAddress] = now + suspicion;
}

std::optional<InstanceInfo> Directory::egressFor(const ServerId& server, const DomainId& domain, TimePoint now) const
{
    const InstanceInfo* best = nullptr;
    std::tuple<bool, bool, std::uint64_t> bestRank;
    for (const auto& it : m_instances) {
        if (it.second.domain != domain)
            continue;
        auto suspected = m_suspectedUntil.find(it.second.rpcAddress);
        bool isUsable = suspected == m_suspectedUntil.end() || suspected->second <= now;
        std::tuple<bool, bool, std::uint64_t> rank { isUsable, !it.second.leaving, hashOf(server, it.first) };
        if (!best || rank > bestRank) {
            best = &it.second;
            bestRank = rank;
        }
    }
    return best ? std::optional(*best) : std::nullopt;
}

std::vector<InstanceId> Directory::liveInDomain(const DomainId& domain) const
{
    std::vector<InstanceId> live;
    for (const auto& it : m_instances) {
        if (it.second.domain == domain && !it.second.leaving)
            live.push_back(it.first);
    }
    return live;
}

const InstanceInfo* Directory::find(const InstanceId& id) const
{
    auto it = m_instances.find(id);
    return it == m_instances.end() ? nullptr : &it->second;
}

} // namespace acaciagauge::daemon
