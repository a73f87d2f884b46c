/// @file
/// @brief Requests and responses whose framing can be read in several ways, on raw sockets.

#include "net/net.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace acaciagauge;
using namespace acaciagauge::net;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

const std::string innerRequest = "POST /inner HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";

/// A server that keeps the requests that it handles.
struct Fixture {
    Fixture()
    {
        HttpServer::Options options;
        options.address = "127.0.0.1:0";
        options.handler = [this](Request request) -> asio::awaitable<Response> {
            handled.push_back(std::move(request));
            co_return makeResponse(200, "done", "text/plain");
        };
        options.onMalformed = [this](const std::string&) { ++malformed; };
        server = HttpServer::create(context, options).value();
        server->start();
    }

    /// Sends bytes on a new connection; returns what comes back until the server is done with them.
    std::string exchange(const std::string& bytes)
    {
        asio::io_context callerContext;
        tcp::socket caller(callerContext);
        caller.connect({ asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(server->port()) });
        asio::write(caller, asio::buffer(bytes));
        caller.shutdown(tcp::socket::shutdown_send);
        caller.non_blocking(true);
        std::string received;
        boost::system::error_code ec = asio::error::would_block;
        for (int n = 0; n < 200 && ec == asio::error::would_block; ++n) {
            context.restart();
            context.run_for(2ms);
            char buffer[4096];
            while (auto length = caller.read_some(asio::buffer(buffer), ec))
                received.append(buffer, length);
        }
        return received;
    }

    asio::io_context context;
    std::shared_ptr<HttpServer> server;
    std::vector<Request> handled;
    unsigned malformed = 0;
};

std::string chunked(const std::string& body)
{
    char size[16];
    std::snprintf(size, sizeof(size), "%zx", body.size());
    return std::string(size) + "\r\n" + body + "\r\n0\r\n\r\n";
}

std::string outerRequest(const std::string& framing, const std::string& body, const std::string& method = "POST")
{
    return method + " /outer HTTP/1.1\r\nHost: a\r\n" + framing + "\r\n\r\n" + body;
}

} // namespace

TEST_CASE("a body under another framing than one length or chunks is refused, and none of its bytes run as a request")
{
    auto length = "Content-Length: " + std::to_string(innerRequest.size());
    auto framing = GENERATE_COPY(as<std::string> {}, //
        "Transfer-Encoding: gzip", "Transfer-Encoding: identity", "Transfer-Encoding: chunked, gzip", //
        "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, chunked", "Transfer-Encoding: chunked;x=1", //
        "Transfer-Encoding: \"chunked\"", "Transfer-Encoding: xchunked", "Transfer-Encoding:", //
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "Transfer-Encoding: gzip\r\n" + length, //
        "Transfer-Encoding: chunked\r\n" + length, "Transfer-Encoding : chunked", "Transfer-Encoding: chunked\x0b", //
        length + "\r\n" + length, length + ", " + std::to_string(innerRequest.size()),
        length + "\r\nContent-Length: 0", //
        "Content-Length: +5", "Content-Length: 0x10", "Content-Length: -1", "Content-Length:", "Content-Length : 5", //
        "Content-Length: 5 5", "Content-Length: 18446744073709551616");
    CAPTURE(framing);
    Fixture fixture;
    for (const auto& body : { innerRequest, chunked(innerRequest) }) {
        auto answer = fixture.exchange(outerRequest(framing, body));
        CHECK(answer.starts_with("HTTP/1.1 4"));
        CHECK(answer.find("Connection: close") != std::string::npos);
    }
    CHECK(fixture.handled.empty());
    CHECK(fixture.malformed == 2);
}

TEST_CASE("a request under a transfer coding of HTTP/1.0 is refused")
{
    Fixture fixture;
    auto request = "POST /outer HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(innerRequest);
    CHECK(fixture.exchange(request).starts_with("HTTP/1.1 400"));
    CHECK(fixture.handled.empty());
}

TEST_CASE("a request with one length or with chunks is handled once, with its whole body")
{
    auto framing = GENERATE_COPY(as<std::string> {}, //
        "Transfer-Encoding: chunked", "transfer-encoding:chunked", "Transfer-Encoding: \t CHUNKED \t",
        "Content-Length: " + std::to_string(innerRequest.size()),
        "content-length:  " + std::to_string(innerRequest.size()) + " ");
    CAPTURE(framing);
    bool isChunked = framing.find("ength") == std::string::npos;
    Fixture fixture;
    auto answer = fixture.exchange(outerRequest(framing, isChunked ? chunked(innerRequest) : innerRequest));
    CHECK(answer.starts_with("HTTP/1.1 200"));
    REQUIRE(fixture.handled.size() == 1);
    CHECK(fixture.handled[0].target() == "/outer");
    CHECK(fixture.handled[0].body() == innerRequest);
}

TEST_CASE("a trailer does not become a header of the request")
{
    Fixture fixture;
    auto body = "2\r\n{}\r\n0\r\nX-Id: trailer\r\nContent-Length: 99\r\n\r\n";
    fixture.exchange(outerRequest("Transfer-Encoding: chunked", body));
    for (const auto& it : fixture.handled) {
        CHECK(headerOf(it, "X-Id").empty());
        CHECK(headerOf(it, "Content-Length").empty());
    }
}

TEST_CASE("a TRACE request with a body is refused, not left without an answer")
{
    Fixture fixture;
    CHECK(fixture.exchange(outerRequest("Content-Length: 2", "{}", "TRACE")).starts_with("HTTP/1.1 400"));
    CHECK(fixture.exchange(outerRequest("Transfer-Encoding: chunked", chunked("{}"), "TRACE"))
              .starts_with("HTTP/1.1 400"));
    CHECK(fixture.handled.empty());
    CHECK(fixture.exchange(outerRequest("Content-Length: 0", "", "TRACE")).starts_with("HTTP/1.1 200"));
}

TEST_CASE("whatever the framing, a request is refused or handled with the body that was sent, never with a part of it")
{
    bool holds = rc::check("for any combination of framings", [] {
        static const std::vector<std::string> names { "Transfer-Encoding", "transfer-encoding", "Transfer-Encoding ",
            "\tTransfer-Encoding", "Content-Length", "CONTENT-LENGTH", "Content-Length\t" };
        static const std::vector<std::string> values { "chunked", "Chunked", "gzip", "identity", "chunked, gzip",
            "gzip, chunked", "chunked,", ",chunked", "chunked;q=1", "", "LENGTH", "+LENGTH", "LENGTH, LENGTH", "0x2",
            "\"chunked\"" };
        static const std::vector<std::string> separators { ":", ": ", ":\t", ": \r\n ", " : " };
        auto bodyIsChunked = *rc::gen::arbitrary<bool>();
        auto body = bodyIsChunked ? chunked(innerRequest) : innerRequest;
        std::string framing;
        auto count = *rc::gen::inRange(1, 4);
        for (int n = 0; n < count; ++n) {
            auto value = *rc::gen::elementOf(values);
            for (auto at = value.find("LENGTH"); at != std::string::npos; at = value.find("LENGTH"))
                value.replace(at, 6, std::to_string(body.size()));
            auto name = *rc::gen::elementOf(names);
            // A folded first line would continue the header `Host`, and the request would have no framing at all.
            if (n == 0 && name.front() == '\t')
                name.erase(0, 1);
            framing += (n > 0 ? "\r\n" : "") + name + *rc::gen::elementOf(separators) + value;
        }
        Fixture fixture;
        auto answer = fixture.exchange(outerRequest(framing, body));
        RC_ASSERT(fixture.handled.size() <= 1);
        RC_ASSERT(answer.starts_with("HTTP/1.1 4") || answer.starts_with("HTTP/1.1 200"));
        if (!fixture.handled.empty()) {
            RC_ASSERT(fixture.handled[0].target() == "/outer");
            RC_ASSERT(fixture.handled[0].body() == innerRequest || fixture.handled[0].body() == body);
        }
    });
    CHECK(holds);
}

TEST_CASE("a response under another framing than one length, chunks or the end of the connection is incomplete")
{
    auto framing = GENERATE(as<std::string> {}, "Transfer-Encoding: gzip", "Transfer-Encoding: identity",
        "Transfer-Encoding: chunked, gzip", "Transfer-Encoding: gzip, chunked",
        "Content-Length: 2\r\nContent-Length: 2", "Transfer-Encoding: chunked\r\nContent-Length: 2");
    CAPTURE(framing);
    asio::io_context context;
    tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    auto serve = [&]() -> asio::awaitable<void> {
        auto socket = co_await acceptor.async_accept(asio::use_awaitable);
        std::string head;
        boost::system::error_code ec;
        co_await asio::async_read_until(
            socket, asio::dynamic_buffer(head), "\r\n\r\n", asio::redirect_error(asio::use_awaitable, ec));
        auto text = "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n2\r\nok\r\n0\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(text), asio::redirect_error(asio::use_awaitable, ec));
    };
    asio::co_spawn(context, serve, asio::detached);
    HttpClient::Options options;
    options.acceptCloseDelimited = true;
    auto client = HttpClient::create(context, options);
    Exchange exchange;
    exchange.state = ExchangeState::answered;
    auto call = [&]() -> asio::awaitable<void> {
        auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        exchange = co_await client->exchange(address, makeRequest(http::verb::get, "/1"), 1s);
    };
    asio::co_spawn(context, call, asio::detached);
    context.run_for(500ms);
    CHECK(exchange.state == ExchangeState::incomplete);
}
