#include "ctl/commands.hpp"
#include "platform/platform.hpp"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <functional>
#include <unistd.h>

using namespace acaciagauge;
using namespace std::chrono_literals;

namespace {

struct Document {
    std::uint64_t version = 7;
    RouteConfig a;
    RouteConfig b;
    std::map<ServiceName, ServiceConfig> services;
    CallerLimits limits;

    static Document create()
    {
        Document document;
        document.a.name = "a";
        document.a.host = "a.example";
        document.a.prefix = "/a/";
        document.a.timeout = 1500ms;
        document.a.targetLatency = 500ms;
        document.a.maxAttempts = 2;
        document.a.services = { { "s1", 90 }, { "s2", 10 } };
        document.b = document.a;
        document.b.name = "b";
        document.b.prefix = "/b/";
        for (const auto* it : { "s1", "s2" })
            document.services[it].name = it;
        return document;
    }

    [[nodiscard]] std::shared_ptr<const DesiredState> state() const
    {
        return DesiredState::create(version, { a, b }, services, limits);
    }
};

struct Fault {
    std::function<void(Document&)> apply;
    FindingSeverity severity;
    std::string subject;
    std::string message; ///< A part of the expected message.
};

const std::vector<Fault> faults {
    { [](auto& d) { d.b.name = ""; }, FindingSeverity::error, "route without a name (a.example/b/)", "no name" },
    { [](auto& d) { d.b.name = "a"; }, FindingSeverity::error, "route a", "more than one route" },
    { [](auto& d) { d.b.host = ":80"; }, FindingSeverity::error, "route b", "no host" },
    { [](auto& d) { d.b.host = "*.example"; }, FindingSeverity::warning, "route b", "not a host name" },
    { [](auto& d) { d.b.host = "[::1]"; }, FindingSeverity::warning, "route b", "all IPv6 addresses" },
    { [](auto& d) { d.b.prefix = "b/"; }, FindingSeverity::error, "route b", "begin and end with a slash" },
    { [](auto& d) { d.b.prefix = "/b"; }, FindingSeverity::error, "route b", "begin and end with a slash" },
    { [](auto& d) { d.b.prefix = "/b?c/"; }, FindingSeverity::warning, "route b", "no path has" },
    { [](auto& d) {
         d.limits.maxHeaderBytes = 3;
         d.a.prefix = "/";
     },
        FindingSeverity::warning, "route b", "longer than" },
    { [](auto& d) {
         d.b.prefix = "/a/";
         d.b.host = "A.example:80";
     },
        FindingSeverity::warning, "route b", "route a comes earlier" },
    { [](auto& d) { d.b.services.clear(); }, FindingSeverity::error, "route b", "no service" },
    { [](auto& d) { d.b.services[1].service = "s3"; }, FindingSeverity::error, "route b", "\"s3\" is not configured" },
    { [](auto& d) {
         d.b.services = { { "s1", 0 }, { "s2", 0 } };
     },
        FindingSeverity::error, "route b", "all services are zero" },
    { [](auto& d) { d.b.services[1].weight = 0; }, FindingSeverity::warning, "route b", "s2 has weight zero" },
    { [](auto& d) { d.b.maxAttempts = 0; }, FindingSeverity::error, "route b", "no attempts" },
    { [](auto& d) { d.b.timeout = 0ms; }, FindingSeverity::error, "route b", "timeout is not above zero" },
    { [](auto& d) { d.b.targetLatency = -1ms; }, FindingSeverity::error, "route b", "target latency is negative" },
    { [](auto& d) { d.b.targetLatency = 1501ms; }, FindingSeverity::warning, "route b", "above the timeout" },
    { [](auto& d) { d.b.targetLatency = 1500ms; }, FindingSeverity::warning, "route b", "no time for another attempt" },
    { [](auto& d) { d.services["s3"].name = "s3"; }, FindingSeverity::warning, "service s3", "not used" },
    { [](auto& d) {
         d.services[""];
         d.b.services[1].service = "";
     },
        FindingSeverity::error, "service without a name", "no name" },
    { [](auto& d) { d.services["s1"].warmUp = -1ms; }, FindingSeverity::error, "service s1", "negative" },
    { [](auto& d) { d.limits.maxHeaderBytes = 0; }, FindingSeverity::error, "limits", "header bytes is zero" },
    { [](auto& d) { d.limits.maxBodyBytes = 0; }, FindingSeverity::error, "limits", "body bytes is zero" },
    { [](auto& d) { d.limits.headerTimeout = 0ms; }, FindingSeverity::error, "limits", "header timeout is not" },
    { [](auto& d) { d.limits.idleTimeout = 0ms; }, FindingSeverity::error, "limits", "idle timeout is not" },
    { [](auto& d) { d.limits.idleTimeout = 2999ms; }, FindingSeverity::warning, "limits", "above the idle timeout" },
};

std::string writeFile(const std::string& name, const std::string& text)
{
    auto path = std::filesystem::temp_directory_path() / ("acaciagauge-check-" + std::to_string(getpid()) + name);
    std::ofstream(path) << text;
    return path;
}

} // namespace

// Guards against faults that would be seen only when the configuration is in force.
TEST_CASE("each kind of fault in a configuration gives exactly its finding")
{
    for (const auto& it : faults) {
        CAPTURE(it.message);
        auto document = Document::create();
        it.apply(document);
        auto findings = checkConfiguration(*document.state());
        REQUIRE(findings.size() == 1);
        CHECK(findings[0].severity == it.severity);
        CHECK(findings[0].subject == it.subject);
        CHECK(findings[0].message.find(it.message) != std::string::npos);
    }
}

// Guards against false findings, which would make scripts refuse correct configurations.
TEST_CASE("a configuration without faults gives no findings")
{
    CHECK(checkConfiguration(*Document::create().state()).empty());
    auto document = Document::create();
    document.a.targetLatency = 1500ms;
    document.a.maxAttempts = 1;
    document.b.prefix = "/a/b/";
    document.b.host = "A.Example:8080";
    document.b.targetLatency = 0ms;
    CHECK(checkConfiguration(*document.state()).empty());
}

// Guards against changes that an operator overlooks, and versions that no instance would put in force.
TEST_CASE("a comparison lists what was added, removed and changed, and refuses a version that is not higher")
{
    auto before = Document::create();
    auto after = Document::create();
    auto same = compareConfigurations(*before.state(), *after.state());
    CHECK(same.changes.empty());
    REQUIRE(same.findings.size() == 1);
    CHECK(same.findings[0].severity == FindingSeverity::error);
    after.version = 8;
    after.a.timeout = 2000ms;
    after.a.services[0].weight = 80;
    after.b.name = "c";
    after.services.erase("s2");
    after.services["s3"].name = "s3";
    after.services["s1"].isSharded = true;
    after.limits.maxBodyBytes = 5;
    auto comparison = compareConfigurations(*before.state(), *after.state());
    CHECK(comparison.findings.empty());
    std::vector<std::string> lines;
    for (const auto& it : comparison.changes)
        lines.push_back(
            std::string(nameOf(it.kind)) + "|" + it.subject + "|" + it.field + "|" + it.oldValue + "|" + it.newValue);
    CHECK(lines
        == std::vector<std::string> { "changed|route a|timeout|1500 ms|2000 ms",
            "changed|route a|services|s1 (weight 90), s2 (weight 10)|s1 (weight 80), s2 (weight 10)",
            "removed|route b|||", "added|route c|||", "changed|service s1|sharded|false|true", "removed|service s2|||",
            "added|service s3|||", "changed|limits|body bytes|1048576|5" });
}

// Guards against scripts that take a faulty or unreadable file for a correct one.
TEST_CASE("the exit code of a check tells clean files, warnings, errors and unreadable files apart")
{
    const std::string services = R"("services":{"columns":["name"],"rows":[["s1"])";
    auto file = [&](const std::string& name, int version, const std::string& moreServices) {
        return writeFile(name,
            R"({"version":)" + std::to_string(version)
                + R"(,"routes":{"columns":["name","hostname","prefix","route_type","timeout_ms","service"],
                "rows":[["r1","a.example","/x/","safe",1500,"s1"]]},)"
                + services + moreServices + "]}}");
    };
    auto clean = file("clean", 7, "");
    auto next = file("next", 8, "");
    auto unused = file("unused", 8, R"(,["s2"])");
    auto repeated = file("repeated", 8, R"(,["s1"])");
    auto truncated = writeFile("truncated", "{");
    auto exitCode = [](const std::string& path, const std::string& against, bool json) {
        ctl::Options options;
        options.configurationPath = path;
        options.versionPath = against;
        options.json = json;
        return ctl::checkConfigurationFile(options);
    };
    for (bool json : { false, true }) {
        CHECK(exitCode(clean, "", json) == ctl::exitOk);
        CHECK(exitCode(next, clean, json) == ctl::exitOk);
        CHECK(exitCode(next, unused, json) == ctl::exitConfigurationErrors);
        CHECK(exitCode(unused, clean, json) == ctl::exitConfigurationWarnings);
        CHECK(exitCode(repeated, "", json) == ctl::exitConfigurationErrors);
        CHECK(exitCode(truncated, "", json) == ctl::exitConfigurationErrors);
        CHECK(exitCode(next, truncated, json) == ctl::exitConfigurationErrors);
        CHECK(exitCode(next, next + "-missing", json) == ctl::exitBadInput);
        CHECK(exitCode(std::filesystem::temp_directory_path(), "", json) == ctl::exitBadInput);
    }
    for (const auto& it : { clean, next, unused, repeated, truncated })
        std::filesystem::remove(it);
}
