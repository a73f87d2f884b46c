#include "daemon/settings.hpp"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <fstream>
#include <ini.h>
#include <map>
#include <numeric>
#include <optional>
#include <sstream>

namespace acaciagauge::daemon {

namespace {

    struct FoundSetting {
        std::string value;
        int line = 0;
    };

    /// State of one pass over an INI text; the reader counts lines for messages.
    struct Pass {
        std::istringstream in;
        int line = 0;
        std::string file;
        std::map<std::pair<std::string, std::string>, FoundSetting> found;
        std::optional<Error> error;
    };

    char* readLine(char* buffer, int size, void* stream)
    {
        auto& pass = *static_cast<Pass*>(stream);
        std::string line;
        if (!std::getline(pass.in, line))
            return nullptr;
        ++pass.line;
        auto n = std::min<std::size_t>(line.size(), static_cast<std::size_t>(size) - 1);
        std::memcpy(buffer, line.data(), n);
        buffer[n] = 0;
        return buffer;
    }

    std::size_t editDistance(const std::string& a, const std::string& b)
    {
        std::vector<std::size_t> row(b.size() + 1);
        std::iota(row.begin(), row.end(), std::size_t { 0 });
        for (std::size_t i = 1; i <= a.size(); ++i) {
            auto diagonal = row[0];
            row[0] = i;
            for (std::size_t j = 1; j <= b.size(); ++j) {
                auto replaced = diagonal + (a[i - 1] != b[j - 1]);
                diagonal = row[j];
                row[j] = std::min({ row[j] + 1, row[j - 1] + 1, replaced });
            }
        }
        return row.back();
    }

    std::string nearestName(const std::string& name)
    {
        std::string nearest;
        auto best = std::string::npos;
        for (const auto& it : settingSpecs()) {
            auto candidate = it.section + "." + it.key;
            auto distance = editDistance(name, candidate);
            if (distance < best) {
                best = distance;
                nearest = candidate;
            }
        }
        return nearest;
    }

    Error settingError(const std::string& file, int line, const std::string& key, const std::string& problem)
    {
        return { ResultCode::invalidSetting, file + ":" + std::to_string(line) + ": " + key + ": " + problem };
    }

    int onSetting(void* user, const char* section, const char* key, const char* value)
    {
        auto& pass = *static_cast<Pass*>(user);
        const auto& specs = settingSpecs();
        bool isKnown = std::any_of(
            specs.begin(), specs.end(), [&](const auto& it) { return it.section == section && it.key == key; });
        auto name = std::string(section) + "." + key;
        if (!isKnown && !pass.error)
            pass.error
                = settingError(pass.file, pass.line, name, "unknown setting; the nearest is " + nearestName(name));
        pass.found[{ section, key }] = { value, pass.line };
        return 1;
    }

    /// Checked values by "section.key".
    class Values {
    public:
        static Result<Values> create(const Pass& pass)
        {
            Values values;
            for (const auto& it : settingSpecs()) {
                auto found = pass.found.find({ it.section, it.key });
                auto name = it.section + "." + it.key;
                if (found == pass.found.end() && it.fallback.empty())
                    return tl::make_unexpected(settingError(pass.file, pass.line, name, "is missing"));
                auto value = found == pass.found.end() ? it.fallback : found->second.value;
                auto line = found == pass.found.end() ? 0 : found->second.line;
                if (it.low < it.high && !isInRange(value, it))
                    return tl::make_unexpected(settingError(pass.file, line, name,
                        "must be a whole number from " + std::to_string(it.low) + " to " + std::to_string(it.high)
                            + ", found \"" + value + "\""));
                if (it.low == it.high && value.empty())
                    return tl::make_unexpected(settingError(pass.file, line, name, "must not be empty"));
                values.m_values[name] = value;
            }
            return values;
        }

        [[nodiscard]] const std::string& text(const std::string& name) const { return m_values.at(name); }
        [[nodiscard]] long long number(const std::string& name) const { return std::stoll(m_values.at(name)); }
        [[nodiscard]] std::chrono::milliseconds duration(const std::string& name) const
        {
            return std::chrono::milliseconds(number(name));
        }

    private:
        static bool isInRange(const std::string& value, const SettingSpec& spec)
        {
            long long n = 0;
            auto parsed = std::from_chars(value.data(), value.data() + value.size(), n);
            bool isNumber = parsed.ec == std::errc {} && parsed.ptr == value.data() + value.size();
            return isNumber && n >= spec.low && n <= spec.high;
        }

        std::map<std::string, std::string> m_values;
    };

    std::vector<std::string> splitList(const std::string& text)
    {
        std::vector<std::string> parts;
        std::istringstream in(text);
        for (std::string part; std::getline(in, part, ',');) {
            if (!part.empty())
                parts.push_back(part);
        }
        return parts;
    }

    /// Returns what is wrong with the values that are not whole numbers.
    std::optional<std::string> problemOf(const Values& values)
    {
        const auto& dialect = values.text("platform.dialect");
        if (dialect != "own" && dialect != "users")
            return "platform.dialect: must be own or users, found \"" + dialect + "\"";
        const auto& ratio = values.text("retry.ratio");
        char* end = nullptr;
        auto number = std::strtod(ratio.c_str(), &end);
        if (*end != 0 || !(number >= 0 && number <= 10))
            return "retry.ratio: must be a number from 0 to 10, found \"" + ratio + "\"";
        return std::nullopt;
    }

    Settings fromValues(const Values& values)
    {
        Settings settings;
        settings.instance = values.text("instance.id");
        settings.domain = values.text("instance.domain");
        settings.callersAddress = values.text("listen.callers");
        settings.adminAddress = values.text("listen.admin");
        settings.rpcAddress = values.text("listen.rpc");
        settings.platformAddress = values.text("platform.address");
        settings.adminToken = values.text("admin.token");
        settings.defaultDeadline = values.duration("limits.default_deadline_ms");
        settings.maxWaiting = static_cast<std::size_t>(values.number("limits.max_waiting"));
        settings.maxConnections = static_cast<std::size_t>(values.number("limits.max_connections"));
        settings.coldStart = values.duration("limits.cold_start_ms");
        settings.leaveGrace = values.duration("limits.leave_grace_ms");
        settings.gossipInterval = values.duration("relay.interval_ms");
        settings.tracePercent = static_cast<std::size_t>(values.number("trace.percent"));
        settings.logLevel = values.text("log.level");
        auto& timing = settings.ownership;
        timing.heartbeat = values.duration("ownership.heartbeat_ms");
        timing.grantDuration = values.duration("ownership.grant_ms");
        timing.orderTimeout = values.duration("ownership.order_timeout_ms");
        timing.controllerSilence = values.duration("ownership.controller_silence_ms");
        timing.shortAuthority = values.duration("ownership.short_authority_ms");
        timing.longAuthority = values.duration("ownership.long_authority_ms");
        timing.maxConcurrentMoves = static_cast<std::size_t>(values.number("ownership.max_moves"));
        settings.onPlatform = values.text("platform.dialect") == "users";
        settings.readinessAddress = values.text("listen.readiness");
        if (values.text("relay.seeds") != "none")
            settings.seeds = splitList(values.text("relay.seeds"));
        settings.hold = values.duration("ownership.hold_ms");
        settings.leavingUse = values.duration("leaving.server_use_ms");
        settings.graceTime = values.duration("leaving.grace_ms");
        settings.retries.ratio = std::strtod(values.text("retry.ratio").c_str(), nullptr);
        settings.retries.allowance = static_cast<double>(values.number("retry.allowance"));
        settings.retries.window = values.duration("retry.window_ms");
        return settings;
    }

} // namespace

const std::vector<SettingSpec>& settingSpecs()
{
    static const std::vector<SettingSpec> specs {
        { "instance", "id", "", 0, 0, "Name of this entry instance, unique in the installation." },
        { "instance", "domain", "", 0, 0, "Failure domain that the instance is in." },
        { "listen", "callers", "", 0, 0, "IP:PORT for callers' HTTP requests." },
        { "listen", "admin", "", 0, 0, "IP:PORT of the administration API, metrics and health." },
        { "listen", "rpc", "", 0, 0, "IP:PORT for the other instances." },
        { "platform", "address", "", 0, 0, "IP:PORT of the platform's key-value service." },
        { "platform", "dialect", "own", 0, 0, "What the service speaks: own, or users for the users' platform." },
        { "listen", "readiness", "none", 0, 0, "IP:PORT where the balancer asks for readiness; dialect users." },
        { "admin", "token", "disabled", 0, 0,
            "Bearer token that orders to the administration API must carry; disabled: all are refused." },
        { "limits", "default_deadline_ms", "2000", 1, 600000, "Deadline of requests that bring none, in ms." },
        { "limits", "max_waiting", "256", 1, 100000, "Requests that may wait for one server." },
        { "limits", "max_connections", "4096", 1, 1000000, "Callers' connections." },
        { "limits", "cold_start_ms", "2000", 0, 600000, "Time in which a cold server reaches all its slots, in ms." },
        { "limits", "leave_grace_ms", "1000", 0, 60000, "Time between announcing to leave and closing, in ms." },
        { "relay", "interval_ms", "200", 10, 10000, "Interval of digest exchanges with a random peer, in ms." },
        { "relay", "seeds", "none", 0, 0, "IP:PORT of other instances, separated by commas; dialect users." },
        { "retry", "ratio", "0.2", 0, 0, "Further sends to a service for each of its requests, of all instances." },
        { "retry", "allowance", "50", 0, 1000000, "Further sends in a window on top, of all instances together." },
        { "retry", "window_ms", "10000", 100, 600000, "Window of the retry budget, in ms." },
        { "leaving", "server_use_ms", "1200", 0, 600000, "A leaving owner gets requests this long, in ms." },
        { "leaving", "grace_ms", "6000", 500, 600000, "Time from SIGTERM to the end of this process, in ms." },
        { "trace", "percent", "1", 0, 100,
            "Share of requests with spans, in percent; a caller's sampled flag counts too." },
        { "log", "level", "info", 0, 0, "Least level of events that are logged: debug, info, warn or error." },
        { "ownership", "heartbeat_ms", "100", 10, 10000, "Interval of renewals and pings, in ms." },
        { "ownership", "grant_ms", "450", 50, 60000, "Duration of a grant from its stamp, in ms." },
        { "ownership", "order_timeout_ms", "200", 10, 10000,
            "A server that has not answered by then is silent, in ms." },
        { "ownership", "controller_silence_ms", "300", 20, 60000,
            "Silence after which a controller is replaced, in ms." },
        { "ownership", "short_authority_ms", "3000", 100, 600000,
            "Renewals by a member that hears none of its set, in ms." },
        { "ownership", "long_authority_ms", "600000", 100, 86400000,
            "Renewals by a member that hears some of its set, in ms." },
        { "ownership", "hold_ms", "10000", 1000, 600000, "Duration of a grant of keys; dialect users; in ms." },
        { "ownership", "max_moves", "64", 1, 100000, "Planned moves in progress at once." },
    };
    return specs;
}

Result<Settings> parseSettings(const std::string& file, const std::string& text)
{
    Pass pass { std::istringstream(text), 0, file, {}, std::nullopt };
    auto badLine = ini_parse_stream(readLine, &pass, onSetting, &pass);
    if (pass.error)
        return tl::make_unexpected(*pass.error);
    if (badLine > 0)
        return tl::make_unexpected(
            settingError(file, badLine, "syntax", "expected [section], key = value or a comment"));
    auto values = Values::create(pass);
    if (!values)
        return tl::make_unexpected(values.error());
    if (auto problem = problemOf(*values))
        return failure(ResultCode::invalidSetting, file + ": " + *problem);
    return fromValues(*values);
}

Result<Settings> loadSettings(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
        return failure(ResultCode::invalidSetting, "cannot read settings file " + path);
    std::stringstream text;
    text << in.rdbuf();
    return parseSettings(path, text.str());
}

} // namespace acaciagauge::daemon
