#include "daemon/settings.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstring>
#include <fstream>
#include <ini.h>
#include <iomanip>
#include <limits>
#include <map>
#include <numeric>
#include <optional>
#include <sstream>

namespace acaciagauge::daemon {

namespace {

    struct ParsedSetting {
        std::string value;
        int line = 0;
    };

    /// State of parsing an INI text; readLine() counts the lines for error messages.
    struct ParseState {
        std::istringstream in;
        int line = 0;
        std::string file;
        std::map<std::pair<std::string, std::string>, ParsedSetting> found;
        std::optional<Error> error;
    };

    char* readLine(char* buffer, int size, void* stream)
    {
        auto& state = *static_cast<ParseState*>(stream);
        std::string line;
        if (!std::getline(state.in, line))
            return nullptr;
        ++state.line;
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
        auto& state = *static_cast<ParseState*>(user);
        const auto& specs = settingSpecs();
        bool isKnown = std::any_of(
            specs.begin(), specs.end(), [&](const auto& it) { return it.section == section && it.key == key; });
        auto name = std::string(section) + "." + key;
        if (!isKnown && !state.error)
            state.error = settingError(
                state.file, state.line, name, "unknown setting; the most similar name is " + nearestName(name));
        state.found[{ section, key }] = { value, state.line };
        return 1;
    }

    /// Checked values by "section.key".
    class ValidatedValues {
    public:
        static Result<ValidatedValues> create(const ParseState& state)
        {
            ValidatedValues values;
            for (const auto& it : settingSpecs()) {
                auto found = state.found.find({ it.section, it.key });
                auto name = it.section + "." + it.key;
                if (found == state.found.end() && it.defaultValue.empty())
                    return tl::make_unexpected(settingError(state.file, state.line, name, "is required but missing"));
                auto value = found == state.found.end() ? it.defaultValue : found->second.value;
                auto line = found == state.found.end() ? 0 : found->second.line;
                if (!it.defaultValue.empty() && usesDefault(value, it))
                    value = it.defaultValue;
                auto number = it.isNumber() ? parseNumber(value) : std::nullopt;
                bool isInRange = number && *number >= it.min && *number <= it.max;
                if (it.isNumber() && !isInRange)
                    return tl::make_unexpected(settingError(state.file, line, name,
                        "must be a number from " + formatNumber(it.min) + " to " + formatNumber(it.max) + ", found \""
                            + value + "\""));
                if (!it.isNumber() && value.empty())
                    return tl::make_unexpected(settingError(state.file, line, name, "must not be empty"));
                values.m_values[name] = value;
            }
            return values;
        }

        [[nodiscard]] const std::string& text(const std::string& name) const { return m_values.at(name); }
        [[nodiscard]] double number(const std::string& name) const { return *parseNumber(m_values.at(name)); }
        [[nodiscard]] std::size_t count(const std::string& name) const
        {
            return static_cast<std::size_t>(number(name));
        }
        [[nodiscard]] std::chrono::milliseconds milliseconds(const std::string& name) const
        {
            return std::chrono::milliseconds(std::llround(number(name)));
        }
        [[nodiscard]] std::chrono::milliseconds seconds(const std::string& name) const
        {
            return std::chrono::milliseconds(std::llround(number(name) * std::milli::den));
        }

    private:
        // A deployment may leave a field of the settings template undefined or empty, or set a flag in place of a
        // number.
        static bool usesDefault(const std::string& value, const SettingSpec& spec)
        {
            return value.empty() || (spec.isNumber() && (value == "true" || value == "false"));
        }

        static std::optional<double> parseNumber(const std::string& value)
        {
            double number = 0;
            auto parsed = std::from_chars(value.data(), value.data() + value.size(), number);
            bool isNumber = parsed.ec == std::errc {} && parsed.ptr == value.data() + value.size();
            return isNumber ? std::optional(number) : std::nullopt;
        }

        static std::string formatNumber(double number)
        {
            std::ostringstream out;
            out << std::setprecision(std::numeric_limits<double>::digits10) << number;
            return out.str();
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

    /// Checks string settings that have a fixed set of values; returns an error message if one is invalid.
    std::optional<std::string> findProblem(const ValidatedValues& values)
    {
        const auto& dialect = values.text("platform.dialect");
        if (dialect != "own" && dialect != "users")
            return "platform.dialect: must be own or users, found \"" + dialect + "\"";
        const auto& coordination = values.text("balancing.coordination");
        if (coordination != "auto" && coordination != "on" && coordination != "off")
            return "balancing.coordination: must be auto, on or off, found \"" + coordination + "\"";
        return std::nullopt;
    }

    Coordination toCoordination(const std::string& text)
    {
        if (text == "auto")
            return Coordination::automatic;
        return text == "on" ? Coordination::on : Coordination::off;
    }

    Settings toSettings(const ValidatedValues& values)
    {
        Settings settings;
        settings.instance = values.text("instance.id");
        settings.domain = values.text("instance.domain");
        settings.callersAddress = values.text("listen.callers");
        settings.adminAddress = values.text("listen.admin");
        settings.rpcAddress = values.text("listen.rpc");
        settings.platformAddress = values.text("platform.address");
        settings.adminToken = values.text("admin.token");
        settings.defaultDeadline = values.milliseconds("limits.default_deadline_ms");
        settings.maxWaiting = values.count("limits.max_waiting");
        settings.maxConnections = values.count("limits.max_connections");
        settings.maxFileDescriptors = values.count("limits.descriptors");
        settings.memoryMb = values.count("limits.memory_mb");
        settings.cores = values.number("limits.cores");
        settings.coldStart = values.milliseconds("limits.cold_start_ms");
        settings.leaveGrace = values.milliseconds("limits.leave_grace_ms");
        settings.gossipInterval = values.milliseconds("relay.interval_ms");
        settings.tracePercent = values.count("trace.percent");
        settings.logLevel = values.text("log.level");
        auto& timing = settings.ownership;
        timing.heartbeat = values.milliseconds("ownership.heartbeat_ms");
        timing.grantDuration = values.milliseconds("ownership.grant_ms");
        timing.orderTimeout = values.milliseconds("ownership.order_timeout_ms");
        timing.controllerSilence = values.milliseconds("ownership.controller_silence_ms");
        timing.shortAuthority = values.milliseconds("ownership.short_authority_ms");
        timing.longAuthority = values.milliseconds("ownership.long_authority_ms");
        timing.maxConcurrentMoves = values.count("ownership.max_moves");
        settings.isUsersDialect = values.text("platform.dialect") == "users";
        settings.readinessAddress = values.text("listen.readiness");
        if (values.text("relay.seeds") != "none")
            settings.seeds = splitList(values.text("relay.seeds"));
        settings.serverHeartbeat = values.milliseconds("platform.heartbeat_ms");
        settings.keyGrantDuration = values.milliseconds("ownership.hold_ms");
        settings.serverDrainTime = values.milliseconds("leaving.server_drain_ms");
        settings.evacuationLimit = values.milliseconds("evacuation.limit_ms");
        settings.warmupOverage = values.number("warmup.overage");
        settings.warmupSlack = values.number("warmup.slack");
        settings.terminationGracePeriod = values.seconds("leaving.grace_s");
        settings.coordination = toCoordination(values.text("balancing.coordination"));
        settings.retries.ratio = values.number("retry.ratio");
        settings.retries.allowance = values.number("retry.allowance");
        settings.retries.window = values.seconds("retry.window_s");
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
        { "platform", "dialect", "own", 0, 0, "Protocol of the service: own, or users for the users' platform." },
        { "platform", "heartbeat_ms", "870", 1, 600000,
            "Interval in which servers renew their entries, in ms; dialect users." },
        { "listen", "readiness", "none", 0, 0, "IP:PORT where the balancer asks for readiness; dialect users." },
        { "admin", "token", "disabled", 0, 0,
            "Bearer token required for changes through the administration API; disabled: all are refused." },
        { "limits", "default_deadline_ms", "2000", 1, 600000, "Deadline of requests that state none, in ms." },
        { "limits", "max_waiting", "256", 1, 100000, "Requests that may wait for one server." },
        { "limits", "max_connections", "4096", 1, 1000000, "Connections of callers that may be open." },
        { "limits", "descriptors", "4100", 600, 100000000,
            "Files and sockets that the process may have open; dialect users." },
        { "limits", "memory_mb", "0", 0, 1000000,
            "Memory available to the process, in MB; bounds what it buffers for callers; 0: no bound; dialect users." },
        { "limits", "cores", "1", 0, 1024, "CPU time available to the process, in cores; dialect users." },
        { "limits", "cold_start_ms", "2000", 0, 600000, "Time until a cold server gets all its slots, in ms." },
        { "limits", "leave_grace_ms", "1000", 0, 60000, "Time from announcing to leave until closing, in ms." },
        { "relay", "interval_ms", "200", 10, 10000, "Interval of digest exchanges with a random peer, in ms." },
        { "relay", "seeds", "none", 0, 0, "IP:PORT of other instances, separated by commas; dialect users." },
        { "balancing", "coordination", "auto", 0, 0,
            "Whether one instance for each server admits the requests of all: auto, on or off; dialect users." },
        { "retry", "ratio", "0.2", 0, 10, "Retries per request to a service, of all instances together." },
        { "retry", "allowance", "50", 0, 1000000, "Additional retries per window, of all instances together." },
        { "retry", "window_s", "10", 0.1, 600, "Window of the retry budget, in s." },
        { "leaving", "server_drain_ms", "2000", 0, 600000, "A leaving server gets no request later than this, in ms." },
        { "leaving", "grace_s", "6", 0.5, 600, "Time from SIGTERM to the end of this process, in s." },
        { "evacuation", "limit_ms", "5000", 0, 600000,
            "Servers of an evacuated domain get no request later than this, in ms; dialect users." },
        { "warmup", "overage", "1", 1, 1000,
            "Bound of a cold server's requests in one second: this multiple of its limit." },
        { "warmup", "slack", "0", 0, 1000000, "Bound of a cold server's requests in one second: this many beyond it." },
        { "trace", "percent", "1", 0, 100,
            "Share of requests that are traced, in percent; a caller's sampled flag also counts." },
        { "log", "level", "info", 0, 0, "Least severe level that is logged: debug, info, warn or error." },
        { "ownership", "heartbeat_ms", "100", 10, 10000, "Interval of renewals and pings, in ms." },
        { "ownership", "grant_ms", "450", 50, 60000, "Duration of a grant from its stamp, in ms." },
        { "ownership", "order_timeout_ms", "200", 10, 10000,
            "Time after which a server that has not answered an order counts as silent, in ms." },
        { "ownership", "controller_silence_ms", "300", 20, 60000,
            "Silence after which a controller is replaced, in ms." },
        { "ownership", "short_authority_ms", "3000", 100, 600000,
            "How long a member goes on renewing while it hears no other of its set, in ms." },
        { "ownership", "long_authority_ms", "600000", 100, 86400000,
            "How long a member goes on renewing while it hears only some of its set, in ms." },
        { "ownership", "hold_ms", "10000", 1000, 600000, "Duration of a grant of keys; dialect users; in ms." },
        { "ownership", "max_moves", "64", 1, 100000, "Most planned moves in progress at once." },
    };
    return specs;
}

Result<Settings> parseSettings(const std::string& file, const std::string& text)
{
    ParseState state { std::istringstream(text), 0, file, {}, std::nullopt };
    auto badLine = ini_parse_stream(readLine, &state, onSetting, &state);
    if (state.error)
        return tl::make_unexpected(*state.error);
    if (badLine > 0)
        return tl::make_unexpected(
            settingError(file, badLine, "syntax", "expected [section], key = value or a comment"));
    auto values = ValidatedValues::create(state);
    if (!values)
        return tl::make_unexpected(values.error());
    if (auto problem = findProblem(*values))
        return failure(ResultCode::invalidSetting, file + ": " + *problem);
    return toSettings(*values);
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
