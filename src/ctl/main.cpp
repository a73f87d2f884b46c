#include "ctl/commands.hpp"

#include <CLI/CLI.hpp>

using namespace acaciagauge::ctl;

namespace {

/// Adds the subcommand that sets `command` when it is called.
CLI::App* addCommand(CLI::App& parent, const char* name, const char* help, Command& command, Command value)
{
    auto* sub = parent.add_subcommand(name, help);
    sub->callback([&command, value] { command = value; });
    return sub;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "acaciagaugectl: file change tickets and read back what is in force" };
    Options options;
    Command command = Command::status;
    app.add_option("--admin", options.address, "IP:PORT of any daemon's administration API")
        ->envname("ACACIAGAUGE_ADMIN");
    app.add_option("--token", options.token, "Administration token")->envname("ACACIAGAUGE_TOKEN");
    app.add_flag("--json", options.json, "Print JSON in place of tables");
    app.require_subcommand(1);
    app.fallthrough();
    addCommand(app, "status", "Ticket in force and instances, by failure domain", command, Command::status);
    addCommand(app, "servers", "All servers and what they own", command, Command::servers);
    addCommand(app, "domains", "Failure domains and whether they can be asked", command, Command::domains);
    addCommand(app, "measures", "Imbalance, churn and queues of the asked instance", command, Command::measures);
    auto* owner = addCommand(app, "owner", "Owner of a key", command, Command::owner);
    owner->add_option("service", options.service, "Service")->required();
    owner->add_option("key", options.key, "Key")->required();
    auto* ticket = app.add_subcommand("ticket", "File, check and show tickets");
    ticket->require_subcommand(1);
    auto* file
        = addCommand(*ticket, "file", "File a ticket and wait until it is in force", command, Command::fileTicket);
    file->add_option("path", options.path, "JSON file with the ticket")->required();
    file->add_option("--wait", options.waitSeconds, "Seconds to wait until it is in force everywhere reachable")
        ->check(CLI::Range(0, 3600));
    auto* check = addCommand(*ticket, "check", "Check a ticket without filing it", command, Command::checkTicket);
    check->add_option("path", options.path, "JSON file with the ticket")->required();
    auto* show = addCommand(*ticket, "show", "Show a ticket", command, Command::showTicket);
    show->add_option("number", options.number, "Number of the ticket")->required();
    auto* diff
        = addCommand(*ticket, "diff", "What a ticket changes against the one before it", command, Command::diffTickets);
    diff->add_option("number", options.number, "Number of the ticket")->required();
    addCommand(*ticket, "list", "All tickets", command, Command::listTickets);
    CLI11_PARSE(app, argc, argv);
    return run(command, options);
}
