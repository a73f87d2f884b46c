#include "ctl/commands.hpp"

#include "platform/platform.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace acaciagauge::ctl {

using Json = nlohmann::json;

namespace {

    /// Reads a configuration document. An undecodable document is reported as a finding.
    /// @return the configuration, null if it is undecodable; a failure if the file cannot be read
    Result<std::shared_ptr<const DesiredState>> readConfiguration(
        const std::string& path, std::vector<ConfigurationFinding>& findings)
    {
        std::ifstream in(path);
        // A directory can be opened, but not read.
        if (!in || std::filesystem::is_directory(path))
            return failure(ResultCode::notFound, "cannot read " + path);
        std::stringstream text;
        text << in.rdbuf();
        auto state = platform::documentsPort().decodeDesiredState(text.str());
        if (state)
            return *state;
        findings.push_back({ FindingSeverity::error, path, state.error().message });
        return std::shared_ptr<const DesiredState>();
    }

    void printJson(const ConfigurationComparison& result)
    {
        auto findings = Json::array();
        for (const auto& it : result.findings)
            findings.push_back(
                { { "severity", nameOf(it.severity) }, { "subject", it.subject }, { "message", it.message } });
        auto differences = Json::array();
        for (const auto& it : result.changes) {
            Json difference { { "change", nameOf(it.kind) }, { "subject", it.subject } };
            if (it.kind == ConfigurationChangeKind::changed) {
                difference["field"] = it.field;
                difference["old"] = it.oldValue;
                difference["new"] = it.newValue;
            }
            differences.push_back(std::move(difference));
        }
        Json document { { "findings", std::move(findings) }, { "differences", std::move(differences) } };
        // Names that are not valid UTF-8 must not end the command.
        std::cout << document.dump(-1, ' ', false, Json::error_handler_t::replace) << '\n';
    }

    void printTable(const ConfigurationComparison& result)
    {
        constexpr int typeWidth = 8;
        constexpr int subjectWidth = 28;
        auto printRow = [](std::string_view type, const std::string& subject, const std::string& message) {
            std::cout << std::left << std::setw(typeWidth) << type << ' ' << std::setw(subjectWidth) << subject << ' '
                      << message << '\n';
        };
        for (const auto& it : result.findings)
            printRow(nameOf(it.severity), it.subject, it.message);
        for (const auto& it : result.changes)
            printRow(nameOf(it.kind), it.subject,
                it.field.empty() ? "" : it.field + ": " + it.oldValue + " -> " + it.newValue);
    }

} // namespace

int checkConfigurationFile(const Options& options)
{
    ConfigurationComparison result;
    auto next = readConfiguration(options.configurationPath, result.findings);
    auto inForce = options.versionPath.empty() ? Result<std::shared_ptr<const DesiredState>>(nullptr)
                                               : readConfiguration(options.versionPath, result.findings);
    for (const auto* it : { &next, &inForce }) {
        if (!*it) {
            std::cerr << it->error().message << '\n';
            return exitBadInput;
        }
    }
    if (*next) {
        auto findings = checkConfiguration(**next);
        result.findings.insert(result.findings.end(), findings.begin(), findings.end());
    }
    if (*next && *inForce) {
        auto comparison = compareConfigurations(**inForce, **next);
        result.findings.insert(result.findings.end(), comparison.findings.begin(), comparison.findings.end());
        result.changes = std::move(comparison.changes);
    }
    if (options.json)
        printJson(result);
    else
        printTable(result);
    if (result.findings.empty())
        return exitOk;
    bool hasErrors = std::any_of(result.findings.begin(), result.findings.end(),
        [](const auto& it) { return it.severity == FindingSeverity::error; });
    return hasErrors ? exitConfigurationErrors : exitConfigurationWarnings;
}

} // namespace acaciagauge::ctl
