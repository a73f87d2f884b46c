/// @file
/// @brief Baseline for the path benchmark: a minimal HTTP relay that uses the daemon's HTTP client and server, but does
/// no routing, admission control or tracing.

#include "net/net.hpp"

#include <boost/asio/signal_set.hpp>
#include <CLI/CLI.hpp>
#include <iostream>

using namespace acaciagauge::net;

int main(int argc, char** argv)
{
    CLI::App app { "Minimal HTTP relay that forwards requests to the servers in turn" };
    std::string listen = "127.0.0.1:18500";
    std::vector<std::string> servers;
    app.add_option("--listen", listen, "IP:PORT to listen on");
    app.add_option("--server", servers, "IP:PORT of a server; may be repeated")->required();
    CLI11_PARSE(app, argc, argv);
    asio::io_context context(1);
    auto client = HttpClient::create(context, { 256, maxBodyBytes });
    std::uint64_t next = 0;
    HttpServer::Options options;
    options.address = listen;
    options.handler = [&](Request request) -> asio::awaitable<Response> {
        auto number = ++next;
        auto out = makeRequest(request.method(), "/keys" + std::string(request.target()), request.body());
        out.set("X-Request-Id", "relay-" + std::to_string(number));
        out.set("X-Partition", "0");
        auto exchange
            = co_await client->exchange(servers[number % servers.size()], std::move(out), std::chrono::seconds(2));
        if (exchange.state != ExchangeState::answered)
            co_return makeResponse(502, "{}");
        co_return std::move(exchange.response);
    };
    auto server = HttpServer::create(context, options);
    if (!server) {
        std::cerr << server.error().message << '\n';
        return 1;
    }
    (*server)->start();
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](auto, auto) { context.stop(); });
    context.run();
    return 0;
}
