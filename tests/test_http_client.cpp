#include "net/net.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <malloc.h>
#include <thread>

using namespace acaciagauge;
using namespace acaciagauge::net;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

/// A scripted server on raw sockets, and an HttpClient.
struct Fixture {
    using Script = std::function<asio::awaitable<void>(tcp::socket&)>;

    /// Runs the script on each accepted connection, one after the other.
    void serve(Script script)
    {
        auto loop = [this, script]() -> asio::awaitable<void> {
            while (true) {
                auto socket = co_await acceptor.async_accept(asio::use_awaitable);
                co_await script(socket);
            }
        };
        asio::co_spawn(context, loop, asio::detached);
    }

    /// Sends requests one after the other and returns their exchanges.
    std::vector<Exchange> exchangeAll(std::size_t requests, std::chrono::milliseconds timeout, std::string body = {})
    {
        std::vector<Exchange> exchanges;
        auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        auto run = [&]() -> asio::awaitable<void> {
            for (std::size_t n = 0; n < requests; ++n) {
                HttpClient::ExchangeOptions options;
                options.timeout = timeout;
                options.idHeader = "X-Id";
                auto request = makeRequest(http::verb::post, "/", body);
                request.set("X-Id", std::to_string(n));
                exchanges.push_back(co_await client->exchange(address, std::move(request), std::move(options)));
            }
        };
        asio::co_spawn(context, run, asio::detached);
        auto started = std::chrono::steady_clock::now();
        while (exchanges.size() < requests && std::chrono::steady_clock::now() - started < 20s)
            context.run_one_for(100ms);
        return exchanges;
    }

    asio::io_context context;
    tcp::acceptor acceptor { context, { asio::ip::make_address("127.0.0.1"), 0 } };
    std::shared_ptr<HttpClient> client = HttpClient::create(context, {});
};

asio::awaitable<void> readRequest(tcp::socket& socket)
{
    std::string request;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", asio::use_awaitable);
}

asio::awaitable<void> write(tcp::socket& socket, std::string text)
{
    co_await asio::async_write(socket, asio::buffer(text), asio::use_awaitable);
}

std::string makeRawResponse(const std::string& id, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Checks that the client abandons a response that starts with `begin` and then repeats `repeated` endlessly.
void checkAbandoned(const std::string& begin, const std::string& repeated)
{
    Fixture fixture;
    std::size_t sent = 0;
    boost::system::error_code writeError;
    fixture.serve([&](tcp::socket& socket) -> asio::awaitable<void> {
        co_await readRequest(socket);
        co_await write(socket, begin);
        while (!writeError)
            sent += co_await asio::async_write(
                socket, asio::buffer(repeated), asio::redirect_error(asio::use_awaitable, writeError));
    });
    auto exchanges = fixture.exchangeAll(1, 15s);
    REQUIRE(exchanges.size() == 1);
    CHECK(exchanges[0].state == ExchangeState::incomplete);
    for (int n = 0; n < 40 && !writeError; ++n)
        fixture.context.run_for(50ms);
    CHECK(writeError);
    // The largest body and the sockets' buffers.
    CHECK(sent < maxBodyBytes + 8 * 1024 * 1024);
}

/// A server that accepts any number of connections and sends the same bytes on each, and a client with a budget.
struct BudgetFixture {
    explicit BudgetFixture(std::uint64_t budgetBytes, std::string responseBytes)
        : response(std::move(responseBytes))
        , budget(BufferBudget::create(MemoryBudget::optionsFor(2 * budgetBytes), {}))
    {
        HttpClient::Options options;
        options.budget = budget;
        options.acceptCloseDelimited = true;
        client = HttpClient::create(context, options);
        auto accept = [this]() -> asio::awaitable<void> {
            while (true) {
                sockets.push_back(co_await acceptor.async_accept(asio::use_awaitable));
                asio::co_spawn(context, respond(sockets.back()), asio::detached);
            }
        };
        asio::co_spawn(context, accept, asio::detached);
    }

    asio::awaitable<void> respond(tcp::socket& socket)
    {
        co_await readRequest(socket);
        boost::system::error_code ec;
        co_await asio::async_write(socket, asio::buffer(response), asio::redirect_error(asio::use_awaitable, ec));
    }

    void send(std::chrono::milliseconds timeout)
    {
        auto run = [this, timeout]() -> asio::awaitable<void> {
            auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
            auto request = makeRequest(http::verb::get, "/");
            auto exchange = co_await client->exchange(std::move(address), std::move(request), timeout);
            exchanges.push_back(std::move(exchange));
        };
        asio::co_spawn(context, run, asio::detached);
    }

    std::string response;
    std::shared_ptr<BufferBudget> budget;
    asio::io_context context;
    tcp::acceptor acceptor { context, { asio::ip::make_address("127.0.0.1"), 0 } };
    std::deque<tcp::socket> sockets;
    std::shared_ptr<HttpClient> client;
    std::vector<Exchange> exchanges; ///< Those that have ended.
};

std::size_t allocatedBytes()
{
    auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

std::string repeat(const std::string& text, std::size_t bytes)
{
    std::string repeated;
    while (repeated.size() < bytes)
        repeated += text;
    return repeated;
}

/// Keeps an event loop busy: between two handlers of anything else, it runs one that takes some time.
struct BusyLoop {
    explicit BusyLoop(asio::io_context& context)
        : context(context)
    {
        schedule();
    }

    void schedule()
    {
        asio::post(context, [this] {
            std::this_thread::sleep_for(5ms);
            if (!isStopped)
                schedule();
        });
    }

    asio::io_context& context;
    bool isStopped = false;
};

/// Runs a scripted server in a thread of its own, so that a busy client does not slow it down.
struct ServerThread {
    explicit ServerThread(Fixture::Script script)
    {
        server.serve(std::move(script));
        thread = std::thread([this] { server.context.run_for(10s); });
    }

    ~ServerThread()
    {
        server.context.stop();
        thread.join();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(server.acceptor.local_endpoint().port()); }

    Fixture server;
    std::thread thread;
};

/// Sends one request on a busy loop and returns its exchange and how long it took.
std::pair<Exchange, std::chrono::milliseconds> exchangeOnBusyLoop(
    Fixture::Script script, HttpClient::Options clientOptions, std::chrono::milliseconds timeout)
{
    ServerThread server(std::move(script));
    asio::io_context context;
    auto client = HttpClient::create(context, clientOptions);
    BusyLoop busy(context);
    Exchange exchange;
    auto started = std::chrono::steady_clock::now();
    auto run = [&]() -> asio::awaitable<void> {
        exchange = co_await client->exchange(server.address(), makeRequest(http::verb::get, "/"), timeout);
        busy.isStopped = true;
    };
    asio::co_spawn(context, run, asio::detached);
    context.run_for(15s);
    auto duration = std::chrono::steady_clock::now() - started;
    return { std::move(exchange), std::chrono::duration_cast<std::chrono::milliseconds>(duration) };
}

} // namespace

TEST_CASE("a large response is read in a few turns of a busy event loop")
{
    std::string body(400 * 1024, 'x');
    auto script = [&](tcp::socket& socket) -> asio::awaitable<void> {
        co_await readRequest(socket);
        co_await write(socket, makeRawResponse("", body));
    };
    HttpClient::Options options;
    options.bodyLimit = maxAdminBodyBytes;
    options.readBufferBytes = 64 * 1024;
    auto [exchange, duration] = exchangeOnBusyLoop(script, options, 8s);
    CHECK(exchange.state == ExchangeState::answered);
    CHECK(exchange.response.body().size() == body.size());
    // The store's watch has to succeed within 1.2 s.
    CHECK(duration < 1200ms);
}

TEST_CASE("an exchange ends at its timeout although data keeps arriving")
{
    constexpr std::size_t pieces = 2000;
    auto script = [&](tcp::socket& socket) -> asio::awaitable<void> {
        co_await readRequest(socket);
        co_await write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(pieces) + "\r\n\r\n");
        for (std::size_t n = 0; n < pieces; ++n) {
            asio::steady_timer timer(socket.get_executor(), 1ms);
            co_await timer.async_wait(asio::use_awaitable);
            boost::system::error_code ec;
            co_await asio::async_write(socket, asio::buffer("x", 1), asio::redirect_error(asio::use_awaitable, ec));
            if (ec)
                co_return;
        }
    };
    auto [exchange, duration] = exchangeOnBusyLoop(script, {}, 300ms);
    CHECK(exchange.state == ExchangeState::timedOut);
    CHECK(duration < 400ms);
}

TEST_CASE("data of a request that timed out is discarded, not delivered later")
{
    Fixture fixture;
    std::size_t received = 0;
    boost::system::error_code readError;
    bool isRead = false;
    fixture.acceptor.set_option(asio::socket_base::receive_buffer_size(8192));
    fixture.serve([&](tcp::socket& socket) -> asio::awaitable<void> {
        // The server starts reading only after the client's timeout.
        asio::steady_timer timer(fixture.context, 400ms);
        co_await timer.async_wait(asio::use_awaitable);
        std::vector<char> buffer(65536);
        while (!readError)
            received += co_await socket.async_read_some(
                asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, readError));
        isRead = true;
    });
    constexpr std::size_t bodySize = 256 * 1024;
    auto exchanges = fixture.exchangeAll(1, 200ms, std::string(bodySize, 'x'));
    CHECK(exchanges.at(0).state == ExchangeState::timedOut);
    for (int n = 0; n < 20 && !isRead; ++n)
        fixture.context.run_for(50ms);
    CHECK(isRead);
    CHECK(received < bodySize);
    CHECK(readError == asio::error::connection_reset);
}

TEST_CASE("an endless malformed or oversized response is abandoned after a bounded number of bytes")
{
    auto begin = GENERATE(as<std::string> {}, //
        "", // No status line.
        "HTTP/1.1 200 OK\r\nX-Id: 0\r\nX-Long: ", // An endless header field.
        "HTTP/1.1 200 OK\r\nX-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n1;name=", // An endless chunk extension.
        "HTTP/1.1 200 OK\r\nX-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: ", // An endless trailer field.
        "HTTP/1.1 200 OK\r\nX-Id: 0\r\n\r\n", // A body without a length, on a connection that is never closed.
        "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 99999999999\r\n\r\n");
    CAPTURE(begin);
    checkAbandoned(begin, std::string(4096, 'a'));
}

// Guards against memory that a half-received response holds beside its body, and that the budget does not count.
TEST_CASE("half-received responses hold no more memory than the budget")
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    auto response = GENERATE_COPY(as<std::string> {}, //
        head + repeat("a:\r\n", 15'000), // Many fields, and no end of the header.
        head + "Content-Length: 10\r\n" + repeat("a:\r\n", 15'000) + "\r\n", // Many fields, and no body.
        "HTTP/1.1 200 " + std::string(16'000, 'a') + "\r\n", // A long reason.
        head + "Transfer-Encoding: chunked\r\n\r\n1;" + std::string(60'000, 'a'), // A chunk extension.
        head + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + repeat("a:\r\n", 60'000), // Trailer fields.
        head + "Transfer-Encoding: chunked\r\n\r\n80000\r\n" + std::string(500'000, 'a'), // A chunk.
        head + "Transfer-Encoding: chunked\r\n\r\n" + repeat("1\r\na\r\n", 600'000), // Small chunks.
        head + "\r\n" + std::string(500'000, 'a'), // A body without a length.
        head + "Content-Length: 500000\r\n\r\n" + std::string(499'999, 'a'), // All but the last byte.
        repeat("HTTP/1.1 102 Processing\r\n" + repeat("a:\r\n", 15'000) + "\r\n", 16'000)); // Interim responses.
    CAPTURE(response.substr(0, 60));
    constexpr std::size_t requests = 300;
    constexpr std::uint64_t budgetBytes = 4'000'000;
    constexpr std::size_t connectionBytes = 20 * 1024; // 12 KiB for a connection and 8 KiB for a request.
    BudgetFixture fixture(budgetBytes, response);
    auto before = allocatedBytes();
    for (std::size_t n = 0; n < requests; ++n)
        fixture.send(10s);
    std::size_t most = 0;
    for (int n = 0; n < 200; ++n) {
        fixture.context.run_for(10ms);
        most = std::max(most, allocatedBytes() - before);
        CHECK(fixture.budget->used() <= fixture.budget->capacity());
    }
    CHECK(most < budgetBytes + requests * connectionBytes);
    fixture.exchanges.clear();
    fixture.sockets.clear();
    fixture.context.run_for(200ms);
    fixture.exchanges.clear();
    CHECK(fixture.budget->used() == 0);
}

// Guards against stalled responses of a faulty server that keep the budget from the responses of all other servers.
TEST_CASE("a response that makes no progress is ended when its memory is needed")
{
    constexpr std::uint64_t budgetBytes = 1'500'000;
    BudgetFixture fixture(
        budgetBytes, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + std::string(500'000, 'a'));
    fixture.send(20s);
    fixture.context.run_for(1500ms);
    CHECK(fixture.exchanges.empty());
    fixture.response.append(500'000, 'a');
    fixture.send(20s);
    fixture.context.run_for(1s);
    REQUIRE(fixture.exchanges.size() == 2);
    CHECK(fixture.exchanges[0].state != fixture.exchanges[1].state);
    for (const auto& it : fixture.exchanges)
        CHECK(it.response.body().size() == (it.state == ExchangeState::answered ? 1'000'000 : 0));
}

// Guards against idle connections that keep up to 64 KiB each, which no budget counts.
TEST_CASE("an idle connection does not keep the read buffer of a large header")
{
    BudgetFixture fixture(
        64'000'000, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Long: " + std::string(15'000, 'a') + "\r\n\r\n");
    constexpr std::size_t requests = 200;
    for (std::size_t n = 0; n < requests; ++n)
        fixture.send(5s);
    fixture.context.run_for(500ms);
    REQUIRE(fixture.exchanges.size() == requests);
    fixture.exchanges.clear();
    auto withIdleConnections = allocatedBytes();
    fixture.client->closeIdleConnections("127.0.0.1:" + std::to_string(fixture.acceptor.local_endpoint().port()));
    // 16 connections are kept.
    CHECK(withIdleConnections - allocatedBytes() < 16 * 12 * 1024);
}

TEST_CASE("an endless chunked body is abandoned after a bounded number of bytes")
{
    checkAbandoned("HTTP/1.1 200 OK\r\nX-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n",
        "1000\r\n" + std::string(4096, 'a') + "\r\n");
}

TEST_CASE("endless interim responses are abandoned")
{
    checkAbandoned("", "HTTP/1.1 102 Processing\r\n\r\n");
}

TEST_CASE("a duplicate response, early or late, is never taken for the response to the next request")
{
    auto delay = GENERATE(0ms, 5ms, 60ms);
    CAPTURE(delay.count());
    Fixture fixture;
    std::size_t connections = 0;
    fixture.serve([&](tcp::socket& socket) -> asio::awaitable<void> {
        ++connections;
        boost::system::error_code ec;
        for (int n = 0; !ec; ++n) {
            std::string request;
            co_await asio::async_read_until(
                socket, asio::dynamic_buffer(request), "\r\n\r\n", asio::redirect_error(asio::use_awaitable, ec));
            auto at = request.find("X-Id: ");
            if (ec || at == std::string::npos)
                co_return;
            auto id = request.substr(at + 6, request.find("\r\n", at) - at - 6);
            auto copy = makeRawResponse(id, "of " + id);
            co_await asio::async_write(socket, asio::buffer(copy), asio::redirect_error(asio::use_awaitable, ec));
            asio::steady_timer timer(fixture.context, delay);
            co_await timer.async_wait(asio::use_awaitable);
            co_await asio::async_write(socket, asio::buffer(copy), asio::redirect_error(asio::use_awaitable, ec));
        }
    });
    auto exchanges = fixture.exchangeAll(6, 2s);
    REQUIRE(exchanges.size() == 6);
    for (std::size_t n = 0; n < exchanges.size(); ++n) {
        if (exchanges[n].state == ExchangeState::answered)
            CHECK(exchanges[n].response.body() == "of " + std::to_string(n));
    }
    CHECK(exchanges[0].state == ExchangeState::answered);
}

TEST_CASE("a response that is cut off is incomplete")
{
    auto part = GENERATE(as<std::string> {}, "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 10\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nX-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nX-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
        "HTTP/1.1 200 OK\r\nX-Id: 0\r\n");
    CAPTURE(part);
    Fixture fixture;
    fixture.serve([&](tcp::socket& socket) -> asio::awaitable<void> {
        co_await readRequest(socket);
        co_await write(socket, part);
    });
    auto exchanges = fixture.exchangeAll(1, 2s);
    REQUIRE(exchanges.size() == 1);
    CHECK(exchanges[0].state == ExchangeState::incomplete);
}

TEST_CASE("a response without a length is complete after an orderly close, incomplete after a reset")
{
    auto isReset = GENERATE(false, true);
    Fixture fixture;
    HttpClient::Options options;
    options.acceptCloseDelimited = true;
    fixture.client = HttpClient::create(fixture.context, options);
    fixture.serve([&](tcp::socket& socket) -> asio::awaitable<void> {
        co_await readRequest(socket);
        co_await write(socket, "HTTP/1.1 200 OK\r\nX-Id: 0\r\n\r\nhalf");
        asio::steady_timer timer(fixture.context, 50ms);
        co_await timer.async_wait(asio::use_awaitable);
        if (isReset)
            socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
    });
    auto exchanges = fixture.exchangeAll(1, 2s);
    REQUIRE(exchanges.size() == 1);
    CHECK(exchanges[0].state == (isReset ? ExchangeState::incomplete : ExchangeState::answered));
}

TEST_CASE("cancellation aborts a request that is being sent; an uncancellable one completes once it is sent")
{
    auto isSent = GENERATE(false, true);
    Fixture fixture;
    auto cancellation = Cancellation::create();
    fixture.acceptor.set_option(asio::socket_base::receive_buffer_size(8192));
    fixture.serve([&](tcp::socket& socket) -> asio::awaitable<void> {
        asio::steady_timer timer(fixture.context, 200ms);
        co_await timer.async_wait(asio::use_awaitable);
        boost::system::error_code ec;
        std::string request(512, 0);
        co_await socket.async_read_some(asio::buffer(request), asio::redirect_error(asio::use_awaitable, ec));
        if (!ec && isSent)
            co_await write(socket, makeRawResponse("0", "done"));
    });
    Exchange exchange;
    bool hasEnded = false;
    auto run = [&]() -> asio::awaitable<void> {
        HttpClient::ExchangeOptions options;
        options.timeout = 5s;
        options.idHeader = "X-Id";
        options.cancellation = cancellation;
        options.uncancellableOnceSent = true;
        constexpr std::size_t moreThanBuffers = 16 * 1024 * 1024;
        auto request = makeRequest(http::verb::post, "/", std::string(isSent ? 10 : moreThanBuffers, 'x'));
        request.set("X-Id", "0");
        auto address = "127.0.0.1:" + std::to_string(fixture.acceptor.local_endpoint().port());
        exchange = co_await fixture.client->exchange(address, std::move(request), std::move(options));
        hasEnded = true;
    };
    asio::co_spawn(fixture.context, run, asio::detached);
    fixture.context.run_for(100ms);
    cancellation->cancel();
    fixture.context.run_for(20ms);
    CHECK(hasEnded == !isSent);
    fixture.context.run_for(500ms);
    CHECK(exchange.state == (isSent ? ExchangeState::answered : ExchangeState::incomplete));
}

TEST_CASE("a connection is not used again after a response that the caller does not want to reuse it after")
{
    Fixture fixture;
    std::size_t connections = 0;
    fixture.serve([&](tcp::socket& socket) -> asio::awaitable<void> {
        ++connections;
        co_await readRequest(socket);
        // The copy would answer a second request on this connection.
        co_await write(socket, makeRawResponse("0", "refused"));
        asio::steady_timer timer(fixture.context, 20ms);
        co_await timer.async_wait(asio::use_awaitable);
    });
    std::vector<Exchange> exchanges;
    auto run = [&]() -> asio::awaitable<void> {
        for (int n = 0; n < 2; ++n) {
            HttpClient::ExchangeOptions options;
            options.timeout = 2s;
            options.mayReuse = [](const Response& response) { return response.body() != "refused"; };
            auto address = "127.0.0.1:" + std::to_string(fixture.acceptor.local_endpoint().port());
            auto request = makeRequest(http::verb::post, "/");
            exchanges.push_back(co_await fixture.client->exchange(address, std::move(request), std::move(options)));
        }
    };
    asio::co_spawn(fixture.context, run, asio::detached);
    fixture.context.run_for(500ms);
    REQUIRE(exchanges.size() == 2);
    CHECK_FALSE(exchanges[1].wasReused);
    CHECK(connections == 2);
}
