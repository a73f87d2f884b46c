#include "daemon/log.hpp"
#include "daemon/node.hpp"
#include "daemon/settings.hpp"
#include "entry/entry_node.hpp"
#include "platform/platform.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <CLI/CLI.hpp>
#include <iostream>

namespace {

using namespace acaciagauge;
using namespace acaciagauge::daemon;

/// Bytes that the store's or a server's machine does not acknowledge for this long are given up.
constexpr auto tcpUserTimeout = std::chrono::milliseconds(1000);

constexpr int exitInvalidSettings = 2;
constexpr int exitUnfinished = 3;

entry::Ports platformPorts(boost::asio::io_context& context, const Settings& settings)
{
    net::HttpClient::Options storeClient;
    storeClient.bodyLimit = net::maxAdminBodyBytes;
    storeClient.tcpUserTimeout = tcpUserTimeout;
    auto store = net::HttpClient::create(context, storeClient);
    net::HttpClient::Options orderClient;
    orderClient.tcpUserTimeout = tcpUserTimeout;
    auto orders = net::HttpClient::create(context, orderClient);
    entry::Ports ports;
    ports.store = platform::storePort(store, settings.platformAddress);
    ports.orders = platform::keyOrdersPort(orders);
    ports.documents = platform::documentsPort();
    ports.dialect = platform::requestDialect();
    return ports;
}

/// What both kinds of instance have in common.
struct Instance {
    std::function<boost::asio::awaitable<std::size_t>()> leave;
    std::function<void()> reload;
};

Result<Instance> startInstance(
    boost::asio::io_context& context, const Settings& settings, const std::string& settingsPath)
{
    if (!settings.onPlatform) {
        auto node = Node::create(context, settings);
        if (!node)
            return tl::make_unexpected(node.error());
        std::shared_ptr<Node> shared = std::move(*node);
        return Instance { [shared] { return shared->leave(); }, [] {} };
    }
    auto node = entry::EntryNode::create(context, settings, platformPorts(context, settings));
    if (!node)
        return tl::make_unexpected(node.error());
    std::shared_ptr<entry::EntryNode> shared = std::move(*node);
    auto reload = [shared, settingsPath] {
        auto changed = loadSettings(settingsPath);
        if (changed)
            shared->reload(*changed);
        else
            logEvent(LogLevel::error, LogEvent::settingsRefused, { { "message", changed.error().message } });
    };
    return Instance { [shared] { return shared->leave(); }, reload };
}

void awaitSignal(
    boost::asio::io_context& context, boost::asio::signal_set& signals, Instance& instance, std::size_t& left)
{
    signals.async_wait([&](boost::system::error_code ec, int signal) {
        if (ec)
            return;
        if (signal == SIGHUP) {
            instance.reload();
            awaitSignal(context, signals, instance, left);
            return;
        }
        boost::asio::co_spawn(context, instance.leave(), [&](std::exception_ptr, std::size_t unfinished) {
            left = unfinished;
            context.stop();
        });
    });
}

int run(const Settings& settings, const std::string& settingsPath)
{
    boost::asio::io_context context(1);
    auto instance = startInstance(context, settings, settingsPath);
    if (!instance) {
        logEvent(LogLevel::error, LogEvent::settingsRefused, { { "message", instance.error().message } });
        return exitInvalidSettings;
    }
    std::size_t left = 0;
    boost::asio::signal_set signals(context, SIGINT, SIGTERM, SIGHUP);
    awaitSignal(context, signals, *instance, left);
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
    auto status = run(*settings, path);
    stopLog();
    // Nothing is kept: the process ends without waiting for threads that may hang on a silent peer.
    std::_Exit(status);
}
