#include "net/net.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <malloc.h>

using namespace acaciagauge;
using namespace acaciagauge::net;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

/// A server that delays its response by the number of milliseconds in the path, and a caller on a raw socket.
struct Fixture {
    Fixture()
    {
        HttpServer::Options options;
        options.address = "127.0.0.1:0";
        options.cancellableHandler
            = [this](Request request, std::shared_ptr<Cancellation> cancellation) -> asio::awaitable<Response> {
            auto path = std::string(request.target());
            cancellation->add([this, path] { cancelledPaths.push_back(path); });
            asio::steady_timer timer(context, std::chrono::milliseconds(std::atoi(path.c_str() + 1)));
            boost::system::error_code ec;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            auto body = path + request.body();
            co_return makeResponse(200, body, "text/plain");
        };
        server = HttpServer::create(context, options).value();
        server->start();
        caller.connect({ asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(server->port()) });
    }

    void send(const std::string& text) { asio::write(caller, asio::buffer(text)); }

    /// Runs the server for a time and returns what the caller received.
    std::string receive(std::chrono::milliseconds time)
    {
        context.run_for(time);
        std::string text;
        caller.non_blocking(true);
        char buffer[4096];
        boost::system::error_code ec;
        while (auto n = caller.read_some(asio::buffer(buffer), ec))
            text.append(buffer, n);
        isClosedByServer = ec == asio::error::eof;
        return text;
    }

    asio::io_context context;
    std::shared_ptr<HttpServer> server;
    asio::io_context callerContext;
    tcp::socket caller { callerContext };
    std::vector<std::string> cancelledPaths;
    bool isClosedByServer = false;
};

std::string getRequest(const std::string& path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

} // namespace

TEST_CASE("pipelined requests run concurrently and are answered in order")
{
    Fixture fixture;
    fixture.send(getRequest("/120") + getRequest("/1") + getRequest("/60"));
    auto text = fixture.receive(250ms);
    auto first = text.find("\r\n\r\n/120");
    auto second = text.find("\r\n\r\n/1H");
    auto third = text.find("\r\n\r\n/60");
    REQUIRE(first != std::string::npos);
    REQUIRE(second != std::string::npos);
    REQUIRE(third != std::string::npos);
    CHECK(first < second);
    CHECK(second < third);
}

// Guards against responses with many fields that wait for a caller, and that the budget does not count.
TEST_CASE("the budget counts the fields of responses that have not been written")
{
    asio::io_context context;
    Response many = makeResponse(200, "", "text/plain");
    for (int n = 0; n < 3000; ++n)
        many.insert("a", "");
    auto budget = BufferBudget::create(MemoryBudget::optionsFor(64'000'000), {});
    HttpServer::Options options;
    options.address = "127.0.0.1:0";
    options.budget = budget;
    options.storedBodyHandler = [&](Request request, std::shared_ptr<StoredBody>,
                                    std::shared_ptr<Cancellation>) -> asio::awaitable<Response> {
        bool isSlow = request.target() == "/slow";
        asio::steady_timer timer(context, isSlow ? 300ms : 0ms);
        co_await timer.async_wait(asio::use_awaitable);
        co_return many;
    };
    auto server = HttpServer::create(context, options).value();
    server->start();
    asio::io_context callerContext;
    tcp::socket caller(callerContext);
    caller.connect({ asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(server->port()) });
    asio::write(caller, asio::buffer(getRequest("/slow") + getRequest("/1") + getRequest("/2")));
    context.run_for(150ms);
    CHECK(budget->used() >= 2 * 3000 * 64);
    context.run_for(500ms);
    CHECK(budget->used() < 16 * 1024);
}

// Guards against memory that a half-received request holds beside its body, and that the budget does not count: a crowd
// of such requests, each within the limits, took the process over its memory.
TEST_CASE("half-received requests hold no more memory than the budget")
{
    const std::string head = "POST /1 HTTP/1.1\r\nHost: a\r\n";
    std::string fields;
    for (int n = 0; n < 3900; ++n)
        fields += "a:\r\n";
    auto request = GENERATE_COPY(as<std::string> {}, //
        head + fields, // Many fields, and no end of the header.
        head + "Content-Length: 10\r\n" + fields + "\r\n", // Many fields, and no body.
        head + "Content-Length: 10\r\nX: " + std::string(16'000, 'a') + "\r\n\r\n", // A long field.
        head + "Transfer-Encoding: chunked\r\n\r\n1;" + std::string(60'000, 'a'), // A chunk extension.
        head + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + fields + fields + fields); // Trailer fields.
    CAPTURE(request.substr(0, 80));
    constexpr std::size_t clients = 300;
    constexpr std::uint64_t budgetBytes = 4'000'000;
    constexpr std::size_t connectionBytes = 20 * 1024; // 12 KiB for a connection and 8 KiB for a request.
    asio::io_context context;
    auto budget = BufferBudget::create(MemoryBudget::optionsFor(2 * budgetBytes), {});
    HttpServer::Options options;
    options.address = "127.0.0.1:0";
    options.budget = budget;
    options.limits = [] {
        HttpServerLimits limits;
        limits.headerBytes = 16 * 1024;
        return limits;
    };
    options.storedBodyHandler
        = [](Request, std::shared_ptr<StoredBody>, std::shared_ptr<Cancellation>) -> asio::awaitable<Response> {
        co_return makeResponse(200, "", "text/plain");
    };
    auto server = HttpServer::create(context, options).value();
    server->start();
    asio::io_context callerContext;
    std::deque<tcp::socket> callers;
    auto allocated = [] {
        auto info = ::mallinfo2();
        return info.uordblks + info.hblkhd;
    };
    auto before = allocated();
    std::size_t most = 0;
    for (std::size_t n = 0; n < clients; ++n) {
        callers.emplace_back(callerContext)
            .connect({ asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(server->port()) });
        boost::system::error_code ec;
        asio::write(callers.back(), asio::buffer(request), ec);
        context.run_for(2ms);
        most = std::max(most, allocated() - before);
        CHECK(budget->used() <= budget->capacity());
    }
    context.run_for(200ms);
    CHECK(std::max(most, allocated() - before) < budgetBytes + clients * connectionBytes);
    callers.clear();
    context.run_for(300ms);
    CHECK(budget->used() == 0);
}

TEST_CASE("a disconnect is detected while the request runs")
{
    Fixture fixture;
    fixture.send(getRequest("/500"));
    fixture.receive(50ms);
    CHECK(fixture.cancelledPaths.empty());
    fixture.caller.close();
    fixture.context.run_for(50ms);
    CHECK(fixture.cancelledPaths == std::vector<std::string> { "/500" });
}

TEST_CASE("a draining server answers all requests that it has read and closes the connection after the last response")
{
    Fixture fixture;
    fixture.send(getRequest("/40") + getRequest("/80"));
    fixture.receive(20ms);
    fixture.server->drain();
    auto text = fixture.receive(200ms);
    CHECK(text.find("/40") != std::string::npos);
    CHECK(text.find("/80") != std::string::npos);
    auto close = text.find("Connection: close");
    REQUIRE(close != std::string::npos);
    CHECK(close > text.find("\r\n\r\n/40"));
    CHECK(fixture.isClosedByServer);
}

TEST_CASE("a chunked request and a request with Expect: 100-continue are read completely")
{
    Fixture fixture;
    fixture.send("POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    CHECK(fixture.receive(50ms).find("/1abcde") != std::string::npos);
    fixture.send("POST /2 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    CHECK(fixture.receive(50ms).find("100 Continue") != std::string::npos);
    fixture.send("hi");
    CHECK(fixture.receive(50ms).find("/2hi") != std::string::npos);
}

TEST_CASE("a malformed request after a valid one is refused after the response to the valid one")
{
    Fixture fixture;
    fixture.send(getRequest("/50") + "NONSENSE\r\n\r\n");
    auto text = fixture.receive(200ms);
    auto validAt = text.find("/50");
    auto malformedAt = text.find("400 Bad Request");
    REQUIRE(validAt != std::string::npos);
    REQUIRE(malformedAt != std::string::npos);
    CHECK(validAt < malformedAt);
    CHECK(fixture.isClosedByServer);
}

TEST_CASE("the client skips a response that belongs to another request")
{
    asio::io_context context;
    tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    auto serve = [&]() -> asio::awaitable<void> {
        auto socket = co_await acceptor.async_accept(asio::use_awaitable);
        char buffer[1024];
        co_await socket.async_read_some(asio::buffer(buffer), asio::use_awaitable);
        std::string answers = "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\nold"
                              "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 4\r\n\r\nmine";
        co_await asio::async_write(socket, asio::buffer(answers), asio::use_awaitable);
    };
    Exchange exchange;
    auto sendRequests = [&]() -> asio::awaitable<void> {
        auto client = HttpClient::create(context, {});
        HttpClient::ExchangeOptions options;
        options.timeout = 2s;
        options.idHeader = "X-Id";
        auto request = makeRequest(http::verb::get, "/");
        request.set("X-Id", "mine");
        auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        exchange = co_await client->exchange(address, std::move(request), std::move(options));
    };
    asio::co_spawn(context, serve(), asio::detached);
    asio::co_spawn(context, sendRequests(), asio::detached);
    context.run_for(500ms);
    CHECK(exchange.state == ExchangeState::answered);
    CHECK(exchange.response.body() == "mine");
}

TEST_CASE("a stopping server answers requests on new connections, whether accepted yet or not")
{
    auto isAccepted = GENERATE(false, true);
    Fixture fixture;
    if (isAccepted)
        fixture.receive(20ms);
    auto isSentBefore = GENERATE(false, true);
    if (isSentBefore)
        fixture.send(getRequest("/10"));
    fixture.server->stop();
    if (!isSentBefore)
        fixture.send(getRequest("/10"));
    auto text = fixture.receive(300ms);
    CHECK(text.find("200 OK") != std::string::npos);
    CHECK(fixture.isClosedByServer);
}

TEST_CASE("a new connection that is reset before the request is sent counts as rejected, not as incomplete")
{
    asio::io_context context;
    tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    HttpClient::Options options;
    options.rejectionWindow = 50ms;
    auto client = HttpClient::create(context, options);
    auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    auto serve = [&]() -> asio::awaitable<void> {
        auto rejected = co_await acceptor.async_accept(asio::use_awaitable);
        rejected.set_option(asio::socket_base::linger(true, 0));
        rejected.close();
        auto accepted = co_await acceptor.async_accept(asio::use_awaitable);
        std::string request;
        co_await asio::async_read_until(accepted, asio::dynamic_buffer(request), "\r\n\r\n", asio::use_awaitable);
        std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        co_await asio::async_write(accepted, asio::buffer(answer), asio::use_awaitable);
    };
    std::vector<ExchangeState> states;
    auto sendRequests = [&]() -> asio::awaitable<void> {
        for (int n = 0; n < 2; ++n) {
            auto request = makeRequest(http::verb::post, "/");
            auto exchange = co_await client->exchange(address, std::move(request), std::chrono::microseconds(2s));
            states.push_back(exchange.state);
        }
    };
    asio::co_spawn(context, serve, asio::detached);
    asio::co_spawn(context, sendRequests, asio::detached);
    context.run_for(3s);
    CHECK(states == std::vector { ExchangeState::connectionRejected, ExchangeState::answered });
}

TEST_CASE("a disconnect is detected while the limit of pipelined requests is reached")
{
    Fixture fixture;
    std::string requests;
    for (int n = 0; n < 40; ++n)
        requests += getRequest("/800");
    fixture.send(requests);
    fixture.receive(50ms);
    CHECK(fixture.cancelledPaths.empty());
    fixture.caller.close();
    fixture.context.run_for(100ms);
    CHECK(fixture.cancelledPaths.size() == 16);
}

TEST_CASE("more requests than the limit of pipelined requests are all answered in order")
{
    Fixture fixture;
    std::string requests;
    for (int n = 0; n < 60; ++n)
        requests += getRequest("/" + std::to_string(n % 7));
    fixture.send(requests);
    auto text = fixture.receive(400ms);
    std::size_t at = 0;
    for (int n = 0; n < 60; ++n) {
        at = text.find("\r\n\r\n/" + std::to_string(n % 7), at);
        REQUIRE(at != std::string::npos);
        ++at;
    }
}

TEST_CASE("an endless malformed or oversized request is refused")
{
    auto begin = GENERATE(as<std::string> {}, //
        "", "GET /1 HTTP/1.1\r\nX-Long: ", //
        "POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;name=",
        "POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: ",
        "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n");
    CAPTURE(begin);
    Fixture fixture;
    fixture.send(begin);
    fixture.caller.non_blocking(true);
    std::string endless(16384, 'a');
    std::size_t sent = 0;
    boost::system::error_code ec;
    for (int n = 0; n < 2000 && (!ec || ec == asio::error::would_block); ++n) {
        sent += fixture.caller.write_some(asio::buffer(endless), ec);
        fixture.context.run_for(1ms);
    }
    // After refusing the request, the server discards input for two seconds, so that the caller can read the refusal;
    // it keeps none of that input.
    std::string answer(4096, 0);
    auto length = fixture.caller.read_some(asio::buffer(answer), ec);
    answer.resize(length);
    CHECK(answer.find("HTTP/1.1 4") == 0);
    CHECK(fixture.cancelledPaths.empty());
}
