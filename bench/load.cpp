/// @file
/// @brief Load tool: sends requests at a fixed rate and reports goodput, latency and outcomes.

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
    double hotShare = 0; ///< Share of requests that go to one key.
    double changeShare = 0.2; ///< Share of requests that are non-idempotent.
    std::uint64_t deadlineMs = 2000;
    std::uint64_t seed = 1;
    bool direct = false; ///< The targets are servers, not daemons.
};

struct Tally {
    std::vector<double> latenciesMs;
    std::map<std::string, std::size_t> outcomes;
    std::size_t late = 0; ///< Requests that could not be started in time for lack of a connection.
};

class Load {
public:
    Load(asio::io_context& context, Options options)
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
            asio::co_spawn(m_context, worker(n), asio::detached);
    }

    [[nodiscard]] nlohmann::json report()
    {
        auto& sorted = m_tally.latenciesMs;
        std::sort(sorted.begin(), sorted.end());
        auto at = [&](double share) {
            return sorted.empty() ? 0.0
                                  : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
        };
        auto measured = m_options.seconds - m_options.warmupSeconds;
        return { { "offeredPerSecond", m_options.rate },
            { "goodputPerSecond", static_cast<double>(sorted.size()) / measured }, { "p50Ms", at(0.5) },
            { "p99Ms", at(0.99) }, { "p999Ms", at(0.999) }, { "outcomes", m_tally.outcomes } };
    }

private:
    Request nextRequest()
    {
        auto draw = std::uniform_real_distribution<double>(0, 1);
        bool isHot = draw(m_random) < m_options.hotShare;
        auto key = "key-" + std::to_string(isHot ? 0 : m_random() % m_options.keys);
        bool isChange = draw(m_random) < m_options.changeShare;
        auto method = isChange ? http::verb::post : http::verb::get;
        auto prefix = m_options.direct ? "/keys/" : "/";
        auto request = makeRequest(method, prefix + m_options.service + "/" + key);
        request.set("X-Deadline-Ms", std::to_string(m_options.deadlineMs));
        if (m_options.direct) {
            request.set("X-Request-Id", "load-" + std::to_string(m_next));
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

    // Latency counts from the moment the request was due, so that a slow answer cannot hide the ones behind it.
    asio::awaitable<void> worker(std::size_t n)
    {
        auto end = m_start + std::chrono::duration<double>(m_options.seconds);
        auto warm = m_start + std::chrono::duration<double>(m_options.warmupSeconds);
        asio::steady_timer timer(m_context);
        while (true) {
            auto due = m_start
                + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                    std::chrono::duration<double>(static_cast<double>(m_next++) / m_options.rate));
            if (due >= end)
                co_return;
            timer.expires_at(due);
            co_await timer.async_wait(asio::use_awaitable);
            const auto& target = m_options.targets[n % m_options.targets.size()];
            auto exchange = co_await m_client->exchange(
                target, nextRequest(), std::chrono::milliseconds(m_options.deadlineMs + 1000));
            if (due < warm)
                continue;
            auto outcome = outcomeOf(exchange);
            ++m_tally.outcomes[outcome];
            if (outcome == "ran") {
                auto latency = std::chrono::steady_clock::now() - due;
                m_tally.latenciesMs.push_back(std::chrono::duration<double, std::milli>(latency).count());
            }
        }
    }

    asio::io_context& m_context;
    Options m_options;
    std::shared_ptr<HttpClient> m_client;
    std::mt19937_64 m_random;
    std::chrono::steady_clock::time_point m_start;
    std::uint64_t m_next = 0;
    Tally m_tally;
};

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "Sends requests at a fixed rate and reports latency and outcomes as JSON" };
    Options options;
    app.add_option("--target", options.targets, "IP:PORT; may be repeated");
    app.add_option("--service", options.service, "Service");
    app.add_option("--rate", options.rate, "Requests per second");
    app.add_option("--seconds", options.seconds, "Duration, warm-up included");
    app.add_option("--warmup", options.warmupSeconds, "Seconds that are not counted");
    app.add_option("--connections", options.connections, "Connections, one request at a time each");
    app.add_option("--keys", options.keys, "Number of keys");
    app.add_option("--hot-share", options.hotShare, "Share of requests that go to one key");
    app.add_option("--change-share", options.changeShare, "Share of non-idempotent requests");
    app.add_option("--deadline-ms", options.deadlineMs, "Deadline that each request carries");
    app.add_option("--seed", options.seed, "Seed of the key sequence");
    app.add_flag("--direct", options.direct, "The targets are servers");
    CLI11_PARSE(app, argc, argv);
    asio::io_context context(1);
    Load load(context, options);
    load.start();
    context.run();
    std::cout << load.report().dump() << '\n';
    return 0;
}
