#include "daemon/log.hpp"
#include "daemon/node.hpp"
#include "daemon/settings.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <CLI/CLI.hpp>
#include <iostream>

namespace {

using namespace acaciagauge;
using namespace acaciagauge::daemon;

constexpr int exitInvalidSettings = 2;
constexpr int exitUnfinished = 3;

int run(const Settings& settings)
{
    boost::asio::io_context context(1);
    auto node = Node::create(context, settings);
    if (!node) {
        logEvent(LogLevel::error, LogEvent::settingsRefused, { { "message", node.error().message } });
        return exitInvalidSettings;
    }
    std::size_t left = 0;
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](boost::system::error_code ec, int) {
        if (ec)
            return;
        boost::asio::co_spawn(context, (*node)->leave(), [&](std::exception_ptr, std::size_t unfinished) {
            left = unfinished;
            context.stop();
        });
    });
    context.run();
    logEvent(LogLevel::info, LogEvent::stopped, { { "unfinished", std::to_string(left) } });
    return left == 0 ? 0 : exitUnfinished;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "acaciagauged: entry instance of the acaciagauge router" };
    std::string path;
    bool checkOnly = false;
    app.add_option("--settings", path, "INI file with the settings")->required();
    app.add_flag("--check", checkOnly, "Check the settings and exit");
    CLI11_PARSE(app, argc, argv);
    auto settings = loadSettings(path);
    if (!settings) {
        std::cerr << "acaciagauged: " << settings.error().message << '\n';
        return exitInvalidSettings;
    }
    if (checkOnly) {
        std::cout << path << ": the settings are valid\n";
        return 0;
    }
    startLog(settings->instance, settings->logLevel);
    return run(*settings);
}
