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

using namespace acaciagauge;
using namespace acaciagauge::net;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

/// A server by raw sockets, and a client of it.
struct Fixture {
    using Conversation = std::function<asio::awaitable<void>(tcp::socket&)>;

    /// Talks with every caller as told.
    void serve(Conversation conversation)
    {
        auto loop = [this, conversation]() -> asio::awaitable<void> {
            while (true) {
                auto socket = co_await acceptor.async_accept(asio::use_awaitable);
                co_await conversation(socket);
            }
        };
        asio::co_spawn(context, loop, asio::detached);
    }

    /// Sends requests one after the other, and returns how they ended.
    std::vector<Exchange> ask(std::size_t requests, std::chrono::milliseconds timeout, std::string body = {})
    {
        std::vector<Exchange> ended;
        auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        auto run = [&]() -> asio::awaitable<void> {
            for (std::size_t n = 0; n < requests; ++n) {
                HttpClient::ExchangeOptions options;
                options.timeout = timeout;
                options.idHeader = "X-Id";
                auto request = makeRequest(http::verb::post, "/", body);
                request.set("X-Id", std::to_string(n));
                ended.push_back(co_await client->exchange(address, std::move(request), std::move(options)));
            }
        };
        asio::co_spawn(context, run, asio::detached);
        auto begun = std::chrono::steady_clock::now();
        while (ended.size() < requests && std::chrono::steady_clock::now() - begun < 20s)
            context.run_one_for(100ms);
        return ended;
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

std::string answer(const std::string& id, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Checks that the client gives up an answer that begins as told and then repeats a text without end.
void checkGivenUp(const std::string& begin, const std::string& repeated)
{
    Fixture fixture;
    std::size_t sent = 0;
    boost::system::error_code end;
    fixture.serve([&](tcp::socket& socket) -> asio::awaitable<void> {
        co_await readRequest(socket);
        co_await write(socket, begin);
        while (!end)
            sent += co_await asio::async_write(
                socket, asio::buffer(repeated), asio::redirect_error(asio::use_awaitable, end));
    });
    auto ended = fixture.ask(1, 15s);
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].state == ExchangeState::incomplete);
    for (int n = 0; n < 40 && !end; ++n)
        fixture.context.run_for(50ms);
    CHECK(end);
    // The largest body, and what the sockets' buffers take.
    CHECK(sent < maxBodyBytes + 8 * 1024 * 1024);
}

} // namespace

TEST_CASE("what was sent of a request that is given up does not arrive later")
{
    Fixture fixture;
    std::size_t received = 0;
    boost::system::error_code end;
    bool isRead = false;
    fixture.acceptor.set_option(asio::socket_base::receive_buffer_size(8192));
    fixture.serve([&](tcp::socket& socket) -> asio::awaitable<void> {
        // The server reads only after the client has given up.
        asio::steady_timer timer(fixture.context, 400ms);
        co_await timer.async_wait(asio::use_awaitable);
        std::vector<char> buffer(65536);
        while (!end)
            received += co_await socket.async_read_some(
                asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, end));
        isRead = true;
    });
    constexpr std::size_t bodySize = 256 * 1024;
    auto ended = fixture.ask(1, 200ms, std::string(bodySize, 'x'));
    CHECK(ended.at(0).state == ExchangeState::timedOut);
    for (int n = 0; n < 20 && !isRead; ++n)
        fixture.context.run_for(50ms);
    CHECK(isRead);
    CHECK(received < bodySize);
    CHECK(end == asio::error::connection_reset);
}

TEST_CASE("bytes that are no answer and have no end are given up after a bounded number")
{
    auto begin = GENERATE(as<std::string> {}, //
        "", // Neither a status line nor its end.
        "HTTP/1.1 200 OK\r\nX-Id: 0\r\nX-Long: ", // A header without end.
        "HTTP/1.1 200 OK\r\nX-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n1;name=", // A chunk's head without end.
        "HTTP/1.1 200 OK\r\nX-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: ", // A trailer without end.
        "HTTP/1.1 200 OK\r\nX-Id: 0\r\n\r\n", // A body that ends with the connection, which does not end.
        "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 99999999999\r\n\r\n");
    CAPTURE(begin);
    checkGivenUp(begin, std::string(4096, 'a'));
}

TEST_CASE("chunks without end are given up after a bounded number of bytes")
{
    checkGivenUp("HTTP/1.1 200 OK\r\nX-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n",
        "1000\r\n" + std::string(4096, 'a') + "\r\n");
}

TEST_CASE("interim answers without end are given up")
{
    checkGivenUp("", "HTTP/1.1 102 Processing\r\n\r\n");
}

TEST_CASE("a second copy of an answer, late or early, never reaches the next request")
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
            auto copy = answer(id, "of " + id);
            co_await asio::async_write(socket, asio::buffer(copy), asio::redirect_error(asio::use_awaitable, ec));
            asio::steady_timer timer(fixture.context, delay);
            co_await timer.async_wait(asio::use_awaitable);
            co_await asio::async_write(socket, asio::buffer(copy), asio::redirect_error(asio::use_awaitable, ec));
        }
    });
    auto ended = fixture.ask(6, 2s);
    REQUIRE(ended.size() == 6);
    for (std::size_t n = 0; n < ended.size(); ++n) {
        if (ended[n].state == ExchangeState::answered)
            CHECK(ended[n].response.body() == "of " + std::to_string(n));
    }
    CHECK(ended[0].state == ExchangeState::answered);
}

TEST_CASE("an answer that breaks off halfway is not whole")
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
    auto ended = fixture.ask(1, 2s);
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].state == ExchangeState::incomplete);
}

TEST_CASE("an answer without a length that is reset on the way is not whole")
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
    auto ended = fixture.ask(1, 2s);
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].state == (isReset ? ExchangeState::incomplete : ExchangeState::answered));
}

TEST_CASE("a request whose caller leaves is cut off while it is sent; one that must run goes on once it was sent")
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
            co_await write(socket, answer("0", "done"));
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
