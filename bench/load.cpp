/// @file
/// @brief Open-loop load generator: sends requests at a fixed rate and reports goodput, latency and outcomes.

#include "net/net.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <CLI/CLI.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

using namespace acaciagauge;
using namespace acaciagauge::net;

namespace {

struct Options {
    std::vector<std::string> targets { "127.0.0.1:8001" };
    std::string service = "lots";
    double rate = 1000;
    double seconds = 5;
    double warmupSeconds = 1;
    std::size_t connections = 64;
    std::size_t keys = 1000;
    double hotKeyShare = 0; ///< Share of requests that go to one key.
    double nonIdempotentShare = 0.2; ///< Share of requests that are non-idempotent.
    std::uint64_t deadlineMs = 2000;
    std::uint64_t seed = 1;
    bool direct = false; ///< The targets are servers, not daemons.
};

struct Results {
    std::vector<double> latenciesMs;
    std::map<std::string, std::size_t> outcomes;
    std::size_t late = 0; ///< Unused; for requests sent late because no connection was free.
};

class LoadGenerator {
public:
    LoadGenerator(asio::io_context& context, Options options)
        : m_context(context)
        , m_options(std::move(options))
        , m_client(HttpClient::create(context, { 4096, maxBodyBytes }))
        , m_random(m_options.seed)
        , m_start(std::chrono::steady_clock::now())
    {
    }

    void start()
    {
        for (std::size_t n = 0; n < m_options.connections; ++n)
            asio::co_spawn(m_context, runWorker(n), asio::detached);
    }

    [[nodiscard]] nlohmann::json report()
    {
        auto& sorted = m_results.latenciesMs;
        std::sort(sorted.begin(), sorted.end());
        auto quantile = [&](double share) {
            return sorted.empty() ? 0.0
                                  : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
        };
        auto measured = m_options.seconds - m_options.warmupSeconds;
        return { { "offeredPerSecond", m_options.rate },
            { "goodputPerSecond", static_cast<double>(sorted.size()) / measured }, { "p50Ms", quantile(0.5) },
            { "p99Ms", quantile(0.99) }, { "p999Ms", quantile(0.999) }, { "outcomes", m_results.outcomes } };
    }

private:
    Request nextRequest()
    {
        auto uniform = std::uniform_real_distribution<double>(0, 1);
        bool isHot = uniform(m_random) < m_options.hotKeyShare;
        auto key = "key-" + std::to_string(isHot ? 0 : m_random() % m_options.keys);
        bool isNonIdempotent = uniform(m_random) < m_options.nonIdempotentShare;
        auto method = isNonIdempotent ? http::verb::post : http::verb::get;
        auto prefix = m_options.direct ? "/keys/" : "/";
        auto request = makeRequest(method, prefix + m_options.service + "/" + key);
        request.set("X-Deadline-Ms", std::to_string(m_options.deadlineMs));
        if (m_options.direct) {
            request.set("X-Request-Id", "load-" + std::to_string(m_nextRequest));
            request.set("X-Partition", "0");
        }
        return request;
    }

    static std::string outcomeOf(const Exchange& exchange)
    {
        if (exchange.state != ExchangeState::answered)
            return "noAnswer";
        auto outcome = headerOf(exchange.response, "X-Acaciagauge-Outcome");
        return outcome.empty() ? headerOf(exchange.response, "X-Outcome") : outcome;
    }

    // Latency is measured from the time at which a request was due rather than sent, so that a slow response does not
    // hide the delay of the requests queued behind it (coordinated omission).
    asio::awaitable<void> runWorker(std::size_t n)
    {
        auto end = m_start + std::chrono::duration<double>(m_options.seconds);
        auto warmupEnd = m_start + std::chrono::duration<double>(m_options.warmupSeconds);
        asio::steady_timer timer(m_context);
        while (true) {
            auto due = m_start
                + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                    std::chrono::duration<double>(static_cast<double>(m_nextRequest++) / m_options.rate));
            if (due >= end)
                co_return;
            timer.expires_at(due);
            co_await timer.async_wait(asio::use_awaitable);
            const auto& target = m_options.targets[n % m_options.targets.size()];
            auto exchange = co_await m_client->exchange(
                target, nextRequest(), std::chrono::milliseconds(m_options.deadlineMs + 1000));
            if (due < warmupEnd)
                continue;
            auto outcome = outcomeOf(exchange);
            ++m_results.outcomes[outcome];
            if (outcome == "ran") {
                auto latency = std::chrono::steady_clock::now() - due;
                m_results.latenciesMs.push_back(std::chrono::duration<double, std::milli>(latency).count());
            }
        }
    }

    asio::io_context& m_context;
    Options m_options;
    std::shared_ptr<HttpClient> m_client;
    std::mt19937_64 m_random;
    std::chrono::steady_clock::time_point m_start;
    std::uint64_t m_nextRequest = 0;
    Results m_results;
};

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "Sends requests at a fixed rate and reports latency and outcomes as JSON" };
    Options options;
    app.add_option("--target", options.targets, "IP:PORT of a daemon, or of a server with --direct; may be repeated");
    app.add_option("--service", options.service, "Name of the service");
    app.add_option("--rate", options.rate, "Requests per second");
    app.add_option("--seconds", options.seconds, "Duration in seconds, including the warm-up");
    app.add_option("--warmup", options.warmupSeconds, "Seconds at the start that are not counted");
    app.add_option("--connections", options.connections, "Number of connections; each carries one request at a time");
    app.add_option("--keys", options.keys, "Number of distinct keys");
    app.add_option("--hot-share", options.hotKeyShare, "Share of requests that go to one key");
    app.add_option("--change-share", options.nonIdempotentShare, "Share of non-idempotent requests");
    app.add_option("--deadline-ms", options.deadlineMs, "Deadline of each request in milliseconds");
    app.add_option("--seed", options.seed, "Seed of the random keys and methods");
    app.add_flag("--direct", options.direct, "The targets are servers, not daemons");
    CLI11_PARSE(app, argc, argv);
    asio::io_context context(1);
    LoadGenerator generator(context, options);
    generator.start();
    context.run();
    std::cout << generator.report().dump() << '\n';
    return 0;
}
