#include "ctl/commands.hpp"

#include <CLI/CLI.hpp>

using namespace acaciagauge::ctl;

namespace {

/// Adds a subcommand that sets `command` to `value` when it is parsed.
CLI::App* addCommand(CLI::App& parent, const char* name, const char* help, Command& command, Command value)
{
    auto* sub = parent.add_subcommand(name, help);
    sub->callback([&command, value] { command = value; });
    return sub;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "acaciagaugectl: files configuration change tickets and shows the configuration in force" };
    Options options;
    Command command = Command::status;
    app.add_option("--admin", options.adminAddress, "IP:PORT of any daemon's administration API")
        ->envname("ACACIAGAUGE_ADMIN");
    app.add_option("--token", options.token, "Administration token")->envname("ACACIAGAUGE_TOKEN");
    app.add_flag("--json", options.json, "Print JSON instead of tables");
    app.require_subcommand(1);
    app.fallthrough();
    addCommand(
        app, "status", "Show the ticket in force and the instances of each failure domain", command, Command::status);
    addCommand(app, "servers", "List all servers and the number of items that each owns", command, Command::servers);
    addCommand(app, "domains", "List the failure domains, the ticket in force in each and whether it is reachable",
        command, Command::domains);
    addCommand(app, "measures", "Show the metrics of the queried instance: imbalance, owner changes, queues", command,
        Command::metrics);
    auto* owner = addCommand(app, "owner", "Show the owner of a key", command, Command::owner);
    owner->add_option("service", options.service, "Name of the service")->required();
    owner->add_option("key", options.key, "Key")->required();
    auto* configuration
        = addCommand(app, "check", "Check a configuration file without a daemon", command, Command::checkConfiguration);
    configuration->add_option("file", options.configurationPath, "JSON file with the configuration")->required();
    configuration->add_option(
        "--against", options.versionPath, "JSON file with the version in force; lists the differences from it");
    auto* ticket = app.add_subcommand("ticket", "File, check and show change tickets");
    ticket->require_subcommand(1);
    auto* file
        = addCommand(*ticket, "file", "File a ticket and wait until it is in force", command, Command::fileTicket);
    file->add_option("path", options.ticketPath, "JSON file with the ticket")->required();
    file->add_option("--wait", options.waitSeconds,
            "Seconds to wait until it is in force in all reachable domains; 0: do not wait")
        ->check(CLI::Range(0, 3600));
    auto* check = addCommand(*ticket, "check", "Check a ticket without filing it", command, Command::checkTicket);
    check->add_option("path", options.ticketPath, "JSON file with the ticket")->required();
    auto* show = addCommand(*ticket, "show", "Show a ticket", command, Command::showTicket);
    show->add_option("number", options.ticketNumber, "Number of the ticket")->required();
    auto* diff = addCommand(
        *ticket, "diff", "Show what a ticket changes relative to earlier tickets", command, Command::diffTickets);
    diff->add_option("number", options.ticketNumber, "Number of the ticket")->required();
    addCommand(*ticket, "list", "List all tickets", command, Command::listTickets);
    CLI11_PARSE(app, argc, argv);
    return runCommand(command, options);
}
