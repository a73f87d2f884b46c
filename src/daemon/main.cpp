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
#include <malloc.h>

namespace {

using namespace acaciagauge;
using namespace acaciagauge::daemon;

/// A connection to the store or to a server is closed if sent data stays unacknowledged for this long.
constexpr auto tcpUserTimeout = std::chrono::milliseconds(1000);

/// Largest body of a server's answer to a grant or a release of keys. Only its status and headers are used.
constexpr std::uint64_t maxOrderAnswerBytes = 16 * 1024;

constexpr int exitInvalidSettings = 2;
constexpr int exitUnfinished = 3; // Some requests were still in flight at the end.

entry::Ports platformPorts(boost::asio::io_context& context, const Settings& settings)
{
    auto budget = entry::createBudget(settings);
    net::HttpClient::Options storeClient;
    storeClient.bodyLimit = net::maxAdminBodyBytes;
    storeClient.tcpUserTimeout = tcpUserTimeout;
    storeClient.readBufferBytes = net::maxReadAheadBytes;
    storeClient.budget = budget;
    // Without the store's responses, an instance that is short of memory would not learn what changes.
    storeClient.mayExceedBudget = true;
    auto store = net::HttpClient::create(context, storeClient);
    net::HttpClient::Options orderClient;
    orderClient.tcpUserTimeout = tcpUserTimeout;
    orderClient.bodyLimit = maxOrderAnswerBytes;
    orderClient.budget = budget;
    auto orders = net::HttpClient::create(context, orderClient);
    entry::Ports ports;
    ports.store = platform::storePort(store, settings.platformAddress);
    ports.orders = platform::keyOrdersPort(orders);
    ports.documents = platform::documentsPort();
    ports.dialect = platform::requestDialect();
    ports.budget = budget;
    return ports;
}

/// Operations of an instance, whichever platform dialect it speaks.
struct Instance {
    std::function<boost::asio::awaitable<std::size_t>()> leave;
    std::function<void()> reload;
};

Result<Instance> startInstance(
    boost::asio::io_context& context, const Settings& settings, const std::string& settingsPath)
{
    if (!settings.isUsersDialect) {
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
    boost::asio::io_context& context, boost::asio::signal_set& signals, Instance& instance, std::size_t& unfinished)
{
    signals.async_wait([&](boost::system::error_code ec, int signal) {
        if (ec)
            return;
        if (signal == SIGHUP) {
            instance.reload();
            awaitSignal(context, signals, instance, unfinished);
            return;
        }
        boost::asio::co_spawn(context, instance.leave(), [&](std::exception_ptr, std::size_t count) {
            unfinished = count;
            context.stop();
        });
    });
}

/// Allocations of at least this size are mapped, and unmapped when they are freed. By default, malloc raises the limit
/// to the largest size freed so far (up to 32 MB) and keeps twice as much free memory.
constexpr int mapThresholdBytes = 128 * 1024;

int run(const Settings& settings, const std::string& settingsPath)
{
    if (settings.memoryMb > 0)
        ::mallopt(M_MMAP_THRESHOLD, mapThresholdBytes);
    boost::asio::io_context context(1);
    auto instance = startInstance(context, settings, settingsPath);
    if (!instance) {
        logEvent(LogLevel::error, LogEvent::settingsRefused, { { "message", instance.error().message } });
        return exitInvalidSettings;
    }
    std::size_t unfinished = 0;
    boost::asio::signal_set signals(context, SIGINT, SIGTERM, SIGHUP);
    awaitSignal(context, signals, *instance, unfinished);
    context.run();
    logEvent(LogLevel::info, LogEvent::stopped, { { "unfinished", std::to_string(unfinished) } });
    return unfinished == 0 ? 0 : exitUnfinished;
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
    // No state needs saving, so the process exits without joining threads that an unresponsive peer may block.
    std::_Exit(status);
}
