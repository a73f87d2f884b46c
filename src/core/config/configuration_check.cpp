#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>
#include <set>

namespace acaciagauge {

namespace {

    using std::chrono::milliseconds;

    bool isHostCharacter(unsigned char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_';
    }

    /// Returns whether a path of a request can contain a character: the path ends before a query or fragment.
    bool isPathCharacter(unsigned char c)
    {
        return c > ' ' && c != 0x7f && c != '?' && c != '#';
    }

    std::string text(milliseconds duration)
    {
        return std::to_string(duration.count()) + " ms";
    }

    std::string text(bool value)
    {
        return value ? "true" : "false";
    }

    std::string text(const std::vector<WeightedService>& services)
    {
        std::string list;
        for (const auto& it : services)
            list += (list.empty() ? "" : ", ") + it.service + " (weight " + std::to_string(it.weight) + ")";
        return list;
    }

    /// Checks one configuration and collects the findings.
    class ConfigurationChecker {
    public:
        static ConfigurationChecker create(const DesiredState& state) { return ConfigurationChecker(state); }

        std::vector<ConfigurationFinding> check()
        {
            for (const auto& [host, routes] : m_state.routes())
                checkRoutes(host, routes);
            checkServices();
            checkLimits();
            return std::move(m_findings);
        }

    private:
        explicit ConfigurationChecker(const DesiredState& state)
            : m_state(state)
        {
        }

        void error(const std::string& subject, std::string message)
        {
            m_findings.push_back({ FindingSeverity::error, subject, std::move(message) });
        }

        void warning(const std::string& subject, std::string message)
        {
            m_findings.push_back({ FindingSeverity::warning, subject, std::move(message) });
        }

        /// @param host the host without port and in lower case, as requests are matched
        void checkRoutes(const std::string& host, const std::vector<RouteConfig>& routes)
        {
            std::map<std::string_view, std::string_view> nameOfPrefix;
            for (const auto& it : routes) {
                auto subject = "route " + (it.name.empty() ? "without a name (" + it.host + it.prefix + ")" : it.name);
                checkName(it, subject);
                checkHost(host, it, subject);
                checkPrefix(it, subject);
                auto [earlier, isFirst] = nameOfPrefix.emplace(it.prefix, it.name);
                if (!isFirst)
                    warning(subject,
                        "never matches: route " + std::string(earlier->second)
                            + " comes earlier and has the same host and prefix");
                checkParts(it, subject);
                checkTimes(it, subject);
            }
        }

        void checkName(const RouteConfig& route, const std::string& subject)
        {
            if (route.name.empty())
                error(subject, "has no name");
            else if (!m_routeNames.insert(route.name).second)
                error(subject, "the name is used by more than one route");
        }

        void checkHost(const std::string& host, const RouteConfig& route, const std::string& subject)
        {
            if (host.empty())
                error(subject, "has no host");
            else if (route.host.front() == '[')
                warning(subject, "matches all IPv6 addresses: they are not told apart as hosts");
            else if (!std::all_of(host.begin(), host.end(), isHostCharacter))
                warning(subject,
                    "never matches: the host \"" + route.host + "\" is not a host name; wildcards are not supported");
        }

        void checkPrefix(const RouteConfig& route, const std::string& subject)
        {
            const auto& prefix = route.prefix;
            auto quoted = "the prefix \"" + prefix + "\"";
            if (!prefix.starts_with('/') || !prefix.ends_with('/'))
                error(subject, quoted + " does not begin and end with a slash");
            if (!std::all_of(prefix.begin(), prefix.end(), isPathCharacter))
                warning(subject, "never matches: " + quoted + " has a character that no path has");
            auto limit = m_state.limits().maxHeaderBytes;
            if (limit > 0 && prefix.size() >= limit)
                warning(subject, "never matches: the prefix is longer than the limit on headers");
        }

        void checkParts(const RouteConfig& route, const std::string& subject)
        {
            if (route.services.empty()) {
                error(subject, "has no service");
                return;
            }
            bool hasWeight = std::any_of(
                route.services.begin(), route.services.end(), [](const auto& it) { return it.weight > 0; });
            if (!hasWeight)
                error(subject, "the weights of all services are zero");
            for (const auto& it : route.services) {
                m_usedServices.insert(it.service);
                if (!m_state.service(it.service))
                    error(subject, "service \"" + it.service + "\" is not configured");
                if (hasWeight && it.weight == 0)
                    warning(subject, "service " + it.service + " has weight zero and gets no requests");
            }
        }

        void checkTimes(const RouteConfig& route, const std::string& subject)
        {
            if (route.maxAttempts == 0)
                error(subject, "allows no attempts");
            if (route.targetLatency < milliseconds(0))
                error(subject, "the target latency is negative");
            if (route.timeout <= milliseconds(0)) {
                error(subject, "the timeout is not above zero");
                return;
            }
            if (route.targetLatency > route.timeout)
                warning(subject,
                    "the target latency of " + text(route.targetLatency) + " is above the timeout of "
                        + text(route.timeout));
            // A timeout equal to the target rules out what maxAttempts allows: a retry of an attempt that took the
            // target latency.
            else if (route.targetLatency == route.timeout && route.maxAttempts > 1)
                warning(subject,
                    "the timeout of " + text(route.timeout)
                        + " equals the target latency and leaves no time for another attempt");
        }

        void checkServices()
        {
            for (const auto& [name, service] : m_state.services()) {
                auto subject = "service " + (name.empty() ? "without a name" : name);
                if (name.empty())
                    error(subject, "has no name");
                if (!m_usedServices.contains(name))
                    warning(subject, "is not used by any route");
                if (service.warmUp < milliseconds(0))
                    error(subject, "the warm-up time is negative");
            }
            for (const auto& it : m_state.repeatedServices())
                error("service " + it, "the name is used by more than one service; only the last one has an effect");
        }

        void checkLimits()
        {
            const auto& limits = m_state.limits();
            if (limits.maxHeaderBytes == 0)
                error("limits", "the limit on header bytes is zero: every request is refused");
            if (limits.maxBodyBytes == 0)
                error("limits", "the limit on body bytes is zero: every request with a body is refused");
            if (limits.headerTimeout <= milliseconds(0))
                error("limits", "the header timeout is not above zero");
            if (limits.idleTimeout <= milliseconds(0))
                error("limits", "the idle timeout is not above zero");
            else if (limits.headerTimeout > limits.idleTimeout)
                warning("limits",
                    "the header timeout of " + text(limits.headerTimeout) + " is above the idle timeout of "
                        + text(limits.idleTimeout));
        }

        const DesiredState& m_state;
        std::vector<ConfigurationFinding> m_findings;
        std::set<std::string> m_routeNames;
        std::set<ServiceName> m_usedServices;
    };

    struct Field {
        const char* name;
        std::string value;
    };

    std::vector<Field> fieldsOf(const RouteConfig& route)
    {
        return {
            { "host", route.host },
            { "prefix", route.prefix },
            { "idempotent", text(route.idempotent) },
            { "large responses", text(route.hasLargeResponses) },
            { "timeout", text(route.timeout) },
            { "target latency", text(route.targetLatency) },
            { "priority", std::to_string(route.priority) },
            { "attempts", std::to_string(route.maxAttempts) },
            { "services", text(route.services) },
        };
    }

    std::vector<Field> fieldsOf(const ServiceConfig& service)
    {
        return {
            { "health path", service.healthPath },
            { "connections", std::to_string(service.maxConnections) },
            { "sharded", text(service.isSharded) },
            { "warm-up", text(service.warmUp) },
        };
    }

    std::vector<Field> fieldsOf(const CallerLimits& limits)
    {
        return {
            { "header bytes", std::to_string(limits.maxHeaderBytes) },
            { "body bytes", std::to_string(limits.maxBodyBytes) },
            { "header timeout", text(limits.headerTimeout) },
            { "idle timeout", text(limits.idleTimeout) },
        };
    }

    template <typename T>
    void compareFields(
        const std::string& subject, const T& before, const T& after, std::vector<ConfigurationChange>& changes)
    {
        auto oldFields = fieldsOf(before);
        auto newFields = fieldsOf(after);
        for (std::size_t i = 0; i < oldFields.size(); ++i) {
            if (oldFields[i].value != newFields[i].value)
                changes.push_back({ ConfigurationChangeKind::changed, subject, oldFields[i].name, oldFields[i].value,
                    newFields[i].value });
        }
    }

    template <typename T>
    void compareEntries(const std::string& type, const std::map<std::string, T>& before,
        const std::map<std::string, T>& after, std::vector<ConfigurationChange>& changes)
    {
        for (const auto& [name, entry] : before) {
            auto subject = type;
            subject.append(" ").append(name);
            auto it = after.find(name);
            if (it == after.end())
                changes.push_back({ ConfigurationChangeKind::removed, subject, {}, {}, {} });
            else
                compareFields(subject, entry, it->second, changes);
        }
        for (const auto& it : after) {
            if (!before.contains(it.first))
                changes.push_back({ ConfigurationChangeKind::added, type + " " + it.first, {}, {}, {} });
        }
    }

    std::map<std::string, RouteConfig> routesByName(const DesiredState& state)
    {
        std::map<std::string, RouteConfig> routes;
        for (const auto& host : state.routes()) {
            for (const auto& it : host.second)
                routes.emplace(it.name, it);
        }
        return routes;
    }

} // namespace

std::string_view nameOf(FindingSeverity severity)
{
    return severity == FindingSeverity::error ? "error" : "warning";
}

std::string_view nameOf(ConfigurationChangeKind kind)
{
    switch (kind) {
    case ConfigurationChangeKind::added:
        return "added";
    case ConfigurationChangeKind::removed:
        return "removed";
    case ConfigurationChangeKind::changed:
        return "changed";
    }
    return "unknown";
}

std::vector<ConfigurationFinding> checkConfiguration(const DesiredState& state)
{
    return ConfigurationChecker::create(state).check();
}

ConfigurationComparison compareConfigurations(const DesiredState& inForce, const DesiredState& next)
{
    ConfigurationComparison comparison;
    if (next.version() <= inForce.version())
        comparison.findings.push_back({ FindingSeverity::error, "version",
            "version " + std::to_string(next.version()) + " is not higher than version "
                + std::to_string(inForce.version()) + " in force" });
    compareEntries("route", routesByName(inForce), routesByName(next), comparison.changes);
    compareEntries("service", inForce.services(), next.services(), comparison.changes);
    compareFields("limits", inForce.limits(), next.limits(), comparison.changes);
    return comparison;
}

} // namespace acaciagauge
