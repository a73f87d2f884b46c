#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>

namespace acaciagauge {

namespace {

    std::string normalizedHost(std::string_view host)
    {
        std::string key(host.substr(0, host.find(':')));
        std::transform(key.begin(), key.end(), key.begin(), [](unsigned char c) { return std::tolower(c); });
        return key;
    }

} // namespace

std::shared_ptr<const DesiredState> DesiredState::create(std::uint64_t version, std::vector<RouteConfig> routes,
    std::map<ServiceName, ServiceConfig> services, CallerLimits limits, std::vector<ServiceName> repeatedServices)
{
    std::shared_ptr<DesiredState> state(new DesiredState());
    state->m_version = version;
    state->m_routeCount = routes.size();
    state->m_callsForCoordination
        = std::any_of(routes.begin(), routes.end(), [](const auto& it) { return it.hasLargeResponses; })
        || std::any_of(
            services.begin(), services.end(), [](const auto& it) { return it.second.warmupPerSecond.has_value(); });
    for (auto& it : routes)
        state->m_routes[normalizedHost(it.host)].push_back(std::move(it));
    for (auto& it : state->m_routes)
        std::stable_sort(it.second.begin(), it.second.end(),
            [](const auto& a, const auto& b) { return a.prefix.size() > b.prefix.size(); });
    state->m_services = std::move(services);
    state->m_limits = limits;
    state->m_repeatedServices = std::move(repeatedServices);
    return state;
}

const RouteConfig* DesiredState::match(std::string_view host, std::string_view path) const
{
    auto routes = m_routes.find(normalizedHost(host));
    if (routes == m_routes.end())
        return nullptr;
    for (const auto& it : routes->second) {
        if (path.starts_with(it.prefix))
            return &it;
    }
    return nullptr;
}

const ServiceConfig* DesiredState::service(const ServiceName& name) const
{
    auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : &it->second;
}

const WeightedService& WeightedRoundRobin::next(const RouteConfig& route)
{
    if (route.services.size() == 1)
        return route.services.front();
    auto& credit = m_credit[route.name];
    long total = 0;
    const WeightedService* selected = nullptr;
    for (const auto& it : route.services) {
        total += it.weight;
        credit[it.service] += it.weight;
        if (it.weight > 0 && (!selected || credit[it.service] > credit[selected->service]))
            selected = &it;
    }
    if (!selected)
        return route.services.front();
    credit[selected->service] -= total;
    return *selected;
}

} // namespace acaciagauge
