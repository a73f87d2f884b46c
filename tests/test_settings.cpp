#include "daemon/settings.hpp"

#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <sstream>

using namespace acaciagauge;
using namespace acaciagauge::daemon;

namespace {

using Fields = std::map<std::string, std::string>; ///< Values of the deployment by placeholder.

Fields defaultFields()
{
    return { { "node_name", "edge-a-1" }, { "zone", "a" }, { "listen.front", "10.1.0.10:80" },
        { "listen.readiness", "10.1.0.10:81" }, { "listen.control", "10.1.0.10:82" }, { "ip", "10.1.0.10" },
        { "internal_port_range.0", "9000" }, { "platform.address", "10.200.1.7:8169" },
        { "seeds", "10.1.0.11:82,10.1.0.12:82" }, { "bounds.retry_budget_ratio", "0.2" },
        { "bounds.retry_budget_slack", "62" }, { "bounds.budget_window_s", "10" }, { "bounds.grace_s", "6" },
        { "limits.max_fds", "8192" }, { "limits.memory_mb", "512" }, { "limits.cpu_share", "0.1" },
        { "bounds.drain_ms", "2500" }, { "bounds.hold_max_ms", "10000" }, { "bounds.evacuate_ms", "4000" },
        { "bounds.warmup_overage", "1.5" }, { "bounds.warmup_slack", "8" } };
}

/// Fills in the template as the platform does: a placeholder without a value becomes empty.
std::string render(const Fields& fields)
{
    std::ifstream in(TEMPLATE_PATH);
    std::stringstream text;
    text << in.rdbuf();
    auto rendered = text.str();
    for (auto begin = rendered.find("{{"); begin != std::string::npos; begin = rendered.find("{{", begin)) {
        auto end = rendered.find("}}", begin);
        auto found = fields.find(rendered.substr(begin + 2, end - begin - 2));
        rendered.replace(begin, end + 2 - begin, found == fields.end() ? "" : found->second);
    }
    return rendered;
}

Result<Settings> read(const Fields& fields)
{
    return parseSettings("settings.toml", render(fields));
}

Result<Settings> readWith(const std::string& field, const std::string& value)
{
    auto fields = defaultFields();
    fields[field] = value;
    return read(fields);
}

} // namespace

TEST_CASE("the fields of the template are read into the settings")
{
    auto settings = read(defaultFields());
    REQUIRE(settings);
    CHECK(settings->instance == "edge-a-1");
    CHECK(settings->rpcAddress == "10.1.0.10:9000");
    CHECK(settings->seeds.size() == 2);
    CHECK(settings->retries.allowance == 62);
    CHECK(settings->retries.window == std::chrono::seconds(10));
    CHECK(settings->terminationGracePeriod == std::chrono::seconds(6));
    CHECK(settings->maxFileDescriptors == 8192);
    CHECK(settings->memoryMb == 512);
    CHECK(settings->cores == Approx(0.1));
    CHECK(settings->serverDrainTime == std::chrono::milliseconds(2500));
    CHECK(settings->keyGrantDuration == std::chrono::seconds(10));
    CHECK(settings->warmupOverage == 1.5);
    CHECK(settings->warmupSlack == 8);
    CHECK(settings->evacuationLimit == std::chrono::seconds(4));
}

TEST_CASE("bounds of a deployment may be fractional")
{
    CHECK(readWith("bounds.retry_budget_slack", "30.714285714285715")->retries.allowance == Approx(30.714285714));
    CHECK(readWith("bounds.budget_window_s", "2.5")->retries.window == std::chrono::milliseconds(2500));
    CHECK(readWith("bounds.grace_s", "7.25")->terminationGracePeriod == std::chrono::milliseconds(7250));
    CHECK(readWith("bounds.hold_max_ms", "8000.5")->keyGrantDuration == std::chrono::milliseconds(8001));
    CHECK(readWith("bounds.retry_budget_ratio", "1e-1")->retries.ratio == Approx(0.1));
}

TEST_CASE("a bound that is missing, empty or a flag falls back to its default")
{
    auto bound = GENERATE(as<std::string> {}, "bounds.retry_budget_ratio", "bounds.retry_budget_slack",
        "bounds.budget_window_s", "bounds.grace_s", "limits.max_fds", "limits.memory_mb", "limits.cpu_share",
        "bounds.drain_ms", "bounds.hold_max_ms", "bounds.evacuate_ms", "bounds.warmup_overage", "bounds.warmup_slack",
        "seeds");
    auto fields = defaultFields();
    fields.erase(bound);
    CHECK(read(fields));
    CHECK(readWith(bound, ""));
    if (bound == "seeds")
        return;
    CHECK(readWith(bound, "true"));
    CHECK(readWith(bound, "false"));
    CHECK(readWith("bounds.grace_s", "false")->terminationGracePeriod == std::chrono::seconds(6));
}

TEST_CASE("coordination is automatic unless it is set")
{
    auto coordination = [](const std::string& line) {
        return parseSettings("settings.toml", render(defaultFields()) + "\n[balancing]\n" + line);
    };
    CHECK(coordination("")->coordination == Coordination::automatic);
    CHECK(coordination("coordination = auto")->coordination == Coordination::automatic);
    CHECK(coordination("coordination = on")->coordination == Coordination::on);
    CHECK(coordination("coordination = off")->coordination == Coordination::off);
    CHECK_FALSE(coordination("coordination = true"));
}

TEST_CASE("the error for an invalid setting names the file, line, key, allowed range and value found")
{
    auto settings = readWith("bounds.grace_s", "soon");
    REQUIRE_FALSE(settings);
    CHECK(settings.error().message
        == "settings.toml:31: leaving.grace_s: must be a number from 0.5 to 600, found \"soon\"");
    CHECK_FALSE(readWith("bounds.retry_budget_slack", "nan"));
    CHECK_FALSE(readWith("bounds.retry_budget_slack", "-1"));
    CHECK_FALSE(readWith("bounds.hold_max_ms", "10 000"));
    CHECK_FALSE(readWith("node_name", ""));
}
