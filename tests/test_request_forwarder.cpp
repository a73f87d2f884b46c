/// @file
/// @brief The forwarder of callers' requests against scripted servers on raw sockets.

#include "entry/request_forwarder.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace acaciagauge;
using namespace acaciagauge::entry;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::awaitable;
using asio::ip::tcp;

namespace {

constexpr auto routeTimeout = 1500ms;

/// A request as a server received it.
struct Received {
    unsigned connection = 0; ///< Number of the connection, from 0.
    unsigned number = 0; ///< Number of the request on its connection, from 0.
    std::string id;
    int deadlineMs = 0; ///< Time that the server has for it.
};

std::string headerIn(const std::string& head, const std::string& name)
{
    auto at = head.find("\r\n" + name + ": ") + name.size() + 4;
    return head.substr(at, head.find("\r\n", at) - at);
}

std::string responseTo(const Received& request, const std::string& status, const std::string& headers = {})
{
    return "HTTP/1.1 " + status + "\r\nX-Id: " + request.id + "\r\n" + headers + "Content-Length: 2\r\n\r\nok";
}

std::string success(const Received& request, const std::string& headers = {})
{
    return responseTo(request, "200 OK", "X-Signature: s\r\n" + headers);
}

std::string refusal(const Received& request, const std::string& headers = {})
{
    return responseTo(request, "503 Service Unavailable", "X-Not-Executed: 1\r\n" + headers);
}

/// An instance's forwarder, and one server that answers by a script.
struct Fixture {
    /// Returns the bytes that the server writes.
    using Script = std::function<std::string(const Received&)>;

    explicit Fixture(Script answer)
        : script(std::move(answer))
    {
        RequestForwarder::Hooks hooks;
        hooks.countKey = [](const ServiceName&, KeyNumber) {};
        hooks.acquirePermit = [this](PermitRequest request, DomainId) -> awaitable<PermitReply> {
            permitRequests.push_back(request);
            co_return permitReply;
        };
        hooks.coldPermits = [](const ServerId&) { return std::optional(ColdPermits { 2.7, 2 }); };
        hooks.metrics = metrics.get();
        RequestForwarder::Options options;
        options.evacuationWindow = evacuationWindow;
        forwarder = std::make_unique<RequestForwarder>(context, options, dialect(), catalog, std::move(hooks));
        listServer(1);
        asio::co_spawn(context, acceptLoop(), asio::detached);
    }

    static constexpr auto evacuationWindow = 500ms;

    static ports::RequestDialect dialect()
    {
        ports::RequestDialect dialect;
        dialect.requestId = "X-Id";
        dialect.deadlineMs = "X-Deadline-Ms";
        dialect.signature = "X-Signature";
        dialect.targetServer = "X-Target";
        dialect.serverId = "X-Server";
        dialect.load = "X-Load";
        dialect.rateLimit = "X-Limit";
        dialect.notExecuted = "X-Not-Executed";
        dialect.keyNumber = "X-Key";
        dialect.parseLoad = [](std::string_view) { return std::optional<ports::ReportedLoad>(); };
        dialect.leaving = "X-Leaving";
        dialect.warmupMs = "X-Warmup-Ms";
        dialect.retryAfter = "Retry-After";
        dialect.parseDecimal = [](std::string_view text) {
            return text.empty() ? std::optional<double>() : std::stod(std::string(text));
        };
        return dialect;
    }

    ports::DocumentsPort documents()
    {
        ports::DocumentsPort documents;
        documents.configurationKey = "configuration";
        documents.serversPrefix = "servers/";
        documents.evacuationsPrefix = "evacuate/";
        documents.decodeDesiredState = [](std::string_view) -> Result<std::shared_ptr<const DesiredState>> {
            RouteConfig safe;
            safe.name = "safe";
            safe.host = "a";
            safe.prefix = "/safe/";
            safe.idempotent = true;
            safe.timeout = routeTimeout;
            safe.targetLatency = 1000ms;
            safe.maxAttempts = 2;
            safe.services = { { "service", 1 } };
            auto unsafe = safe;
            unsafe.name = "unsafe";
            unsafe.prefix = "/unsafe/";
            unsafe.idempotent = false;
            auto keyed = unsafe;
            keyed.name = "keyed";
            keyed.prefix = "/keyed/";
            keyed.services = { { "sharded", 1 } };
            return DesiredState::create(1, { safe, unsafe, keyed },
                { { "service", { "service", {}, 0, false, 0ms } }, { "sharded", { "sharded", {}, 0, true, 0ms } } },
                {});
        };
        documents.decodeServer = [this](const ServerId& id, std::string_view text) -> Result<ServerEntry> {
            ServerEntry entry;
            entry.run = { id, std::stoll(std::string(text)) };
            entry.service = "service";
            entry.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
            entry.slots = 4;
            entry.domain = "d1";
            entry.warmupRemaining = warmupRemaining;
            return entry;
        };
        return documents;
    }

    /// Lists a run of the server in the store.
    void listServer(int startedMs)
    {
        ++revision;
        StoreDelta delta { revision, false, {}, std::nullopt, era };
        delta.changes.push_back({ { "configuration", "1", revision }, false });
        delta.changes.push_back({ { "servers/s", std::to_string(startedMs), revision }, false });
        catalog.apply(std::move(delta), "watch", monotonicNow());
    }

    /// Records the server as the owner of all keys of the first chunk.
    void listOwner()
    {
        ++revision;
        StoreDelta delta { revision, false, {}, std::nullopt, era };
        auto owners = encodeOwnerChunk({ 1, { { { 0, keysPerChunk - 1 }, { "s", 1 } } } });
        delta.changes.push_back({ { ownersKey({ "sharded", 0 }), owners, revision }, false });
        catalog.apply(std::move(delta), "watch", monotonicNow());
    }

    /// Writes or removes the key of an evacuated domain, or replaces the mirror by a restored store without it.
    void setEvacuated(bool evacuated, bool isRestore = false)
    {
        ++revision;
        era += isRestore;
        StoreDelta delta { revision, isRestore, {}, std::nullopt, era };
        delta.changes.push_back({ { "evacuate/d1", "", revision }, !evacuated });
        if (isRestore) {
            delta.changes.clear();
            delta.changes.push_back({ { "configuration", "1", revision }, false });
            delta.changes.push_back({ { "servers/s", "1", revision }, false });
        }
        catalog.apply(std::move(delta), "watch", monotonicNow());
    }

    awaitable<void> acceptLoop()
    {
        for (unsigned n = 0; true; ++n) {
            auto socket = co_await acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(context, serve(std::move(socket), n), asio::detached);
        }
    }

    awaitable<void> serve(tcp::socket socket, unsigned connection)
    {
        std::string buffer;
        boost::system::error_code ec;
        for (unsigned n = 0; true; ++n) {
            auto length = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(buffer), "\r\n\r\n", asio::redirect_error(asio::use_awaitable, ec));
            if (ec)
                co_return;
            Received request { connection, n, headerIn(buffer, "X-Id"), std::stoi(headerIn(buffer, "X-Deadline-Ms")) };
            buffer.erase(0, length);
            received.push_back(request);
            auto bytes = script(request);
            co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
            if (closesAfterResponse)
                co_return;
        }
    }

    /// Starts to forward a request; the result holds the response to its caller once there is one.
    std::shared_ptr<std::optional<net::Response>> start(const std::string& path, const std::string& id)
    {
        auto response = std::make_shared<std::optional<net::Response>>();
        auto run = [this, response](std::string target, std::string requestId) -> awaitable<void> {
            auto request = net::makeRequest(net::http::verb::get, target);
            request.set(net::http::field::host, "a");
            request.set("X-Id", requestId);
            request.set("X-Key", "1");
            *response = co_await forwarder->handle(std::move(request), net::Cancellation::create());
        };
        asio::co_spawn(
            context, [run, path, id] { return run(path, id); }, asio::detached);
        return response;
    }

    /// Forwards a request and returns the response to its caller.
    net::Response forward(const std::string& path, const std::string& id)
    {
        auto response = start(path, id);
        for (int n = 0; n < 400 && !*response; ++n)
            context.run_for(10ms);
        REQUIRE(*response);
        return **response;
    }

    std::size_t arrivals(const std::string& id) const
    {
        return static_cast<std::size_t>(
            std::count_if(received.begin(), received.end(), [&](const auto& it) { return it.id == id; }));
    }

    asio::io_context context;
    tcp::acceptor acceptor { context, { asio::ip::make_address("127.0.0.1"), 0 } };
    Script script;
    bool closesAfterResponse = false;
    std::vector<Received> received;
    std::vector<PermitRequest> permitRequests;
    PermitReply permitReply { true, 0ms };
    std::chrono::milliseconds warmupRemaining { 0 }; ///< In the server's entry.
    Revision revision = 0;
    StoreEra era = 0;
    Catalog catalog { context, documents() };
    std::unique_ptr<daemon::Metrics> metrics = daemon::Metrics::create();
    std::unique_ptr<RequestForwarder> forwarder;
};

} // namespace

TEST_CASE("a refusal that a server repeats on a kept connection is not taken for the answer to the retry")
{
    auto path = GENERATE(as<std::string> {}, "/safe/1", "/unsafe/1");
    std::size_t runs = 0;
    Fixture fixture([&](const Received& request) {
        if (request.connection == 0 && request.number == 0)
            return refusal(request);
        ++runs;
        return request.connection == 0 ? refusal(request) : success(request);
    });
    auto response = fixture.forward(path, "1");
    CHECK(response.result_int() == 200);
    CHECK(runs == 1);
}

TEST_CASE("a response that ends within its head is no success, wherever it ends")
{
    auto whole = responseTo({ 0, 0, "1" }, "200 OK", "X-Signature: s\r\n");
    auto headLength = whole.find("\r\n\r\n") + 4;
    for (std::size_t length = 1; length < headLength; ++length) {
        CAPTURE(length);
        Fixture fixture([&](const Received&) { return whole.substr(0, length); });
        fixture.closesAfterResponse = true;
        auto response = fixture.forward("/unsafe/1", "1");
        CHECK(response.result_int() == 502);
        CHECK(fixture.arrivals("1") == 1);
    }
}

// Statuses below 100 were taken for interim responses, so that the caller got nothing until the route's timeout; those
// above 599 were relayed.
TEST_CASE("a response whose status HTTP does not define is no response, and its connection is not used again")
{
    auto status = GENERATE(as<std::string> {}, "000", "099", "101", "600", "999", "20", "2000");
    CAPTURE(status);
    Fixture fixture([&](const Received& request) {
        return request.id == "1" ? responseTo(request, status + " X", "X-Signature: s\r\n") : success(request);
    });
    auto response = fixture.forward("/unsafe/1", "1");
    CHECK(response.result_int() == 502);
    CHECK(response.find("X-Signature") == response.end());
    CHECK(fixture.arrivals("1") == 1);
    CHECK(fixture.forward("/unsafe/1", "2").result_int() == 200);
    CHECK(fixture.received.back().connection == 1);
}

TEST_CASE("a request that arrives late in a shutdown and could be cut is refused, and does not reach a server")
{
    Fixture fixture([](const Received& request) { return success(request); });
    auto now = monotonicNow();
    fixture.forwarder->startShutdown({ now + 1s, now + routeTimeout - 500ms });
    CHECK(fixture.forward("/unsafe/1", "early").result_int() == 200);
    fixture.forwarder->startShutdown({ now, now + routeTimeout * 2 });
    CHECK(fixture.forward("/unsafe/1", "answered in time").result_int() == 200);
    fixture.forwarder->startShutdown({ now, now + routeTimeout - 500ms });
    auto response = fixture.forward("/unsafe/1", "late");
    CHECK(response.result_int() == 503);
    CHECK(response.find(net::http::field::retry_after) != response.end());
    CHECK(fixture.arrivals("late") == 0);
}

TEST_CASE("a server gets no more time for a request than a shutdown leaves, so it can refuse in time what it queues")
{
    Fixture fixture([](const Received& request) { return success(request); });
    auto now = monotonicNow();
    fixture.forwarder->startShutdown({ now + 1s, now + 500ms, now + 600ms, now + 700ms });
    CHECK(fixture.forward("/unsafe/1", "1").result_int() == 200);
    REQUIRE(fixture.received.size() == 1);
    CHECK(fixture.received[0].deadlineMs <= 500);
    CHECK(fixture.received[0].deadlineMs > 100);
}

TEST_CASE("requests that have no response when a shutdown ends are answered then, whether they were sent or not")
{
    constexpr unsigned count = 12; // More than the server is sent at once.
    Fixture fixture([](const Received&) { return std::string(); });
    std::vector<std::shared_ptr<std::optional<net::Response>>> responses;
    for (unsigned n = 0; n < count; ++n)
        responses.push_back(fixture.start(n % 2 == 0 ? "/unsafe/1" : "/safe/1", std::to_string(n)));
    fixture.context.run_for(100ms);
    auto now = monotonicNow();
    fixture.forwarder->startShutdown({ now, now, now, now });
    fixture.forwarder->endShutdown();
    fixture.context.run_for(100ms);
    CHECK(fixture.forwarder->inFlight() == 0);
    std::size_t refused = 0;
    for (unsigned n = 0; n < count; ++n) {
        CAPTURE(n);
        REQUIRE(*responses[n]);
        auto& response = **responses[n];
        bool wasSent = fixture.arrivals(std::to_string(n)) > 0;
        CHECK(response.result_int() == (wasSent ? 502 : 503));
        if (!wasSent)
            CHECK(response[net::http::field::retry_after] == "0.00");
        refused += !wasSent;
    }
    CHECK(refused > 0);
    CHECK(refused < count);
}

TEST_CASE("a server that says in a response that it is leaving gets no request after the drain window")
{
    Fixture fixture([](const Received& request) { return success(request, "X-Leaving: 1\r\n"); });
    CHECK(fixture.forward("/unsafe/1", "first").result_int() == 200);
    fixture.listServer(1);
    fixture.context.run_for(RequestForwarder::Options().drainWindow + 100ms);
    CHECK(fixture.forward("/unsafe/1", "later").result_int() == 503);
    CHECK(fixture.arrivals("later") == 0);
    // Another run of the server is used again.
    fixture.listServer(2);
    CHECK(fixture.forward("/unsafe/1", "restarted").result_int() == 200);
}

TEST_CASE("a server that refuses with a time to retry gets no request before, not even after a restart")
{
    Fixture fixture([](const Received& request) {
        return request.id == "first" ? refusal(request, "Retry-After: 1.5\r\n") : success(request);
    });
    CHECK(fixture.forward("/unsafe/1", "first").result_int() == 503);
    fixture.listServer(2);
    auto response = fixture.forward("/safe/1", "early");
    CHECK(response.result_int() == 503);
    CHECK(std::stod(std::string(response[net::http::field::retry_after])) > 1.0);
    CHECK(fixture.arrivals("first") == 1);
    CHECK(fixture.arrivals("early") == 0);
    fixture.context.run_for(1600ms);
    CHECK(fixture.forward("/safe/1", "in time").result_int() == 200);
}

TEST_CASE("a rate limit that a server names holds over its restart until an answer names none")
{
    Fixture fixture([](const Received& request) {
        return request.id == "none" ? success(request) : success(request, "X-Limit: 2.5\r\n");
    });
    fixture.forward("/safe/1", "first");
    CHECK(fixture.permitRequests.empty());
    fixture.listServer(2);
    fixture.forward("/safe/1", "second");
    REQUIRE(fixture.permitRequests.size() == 1);
    CHECK(fixture.permitRequests[0].perSecond == 2.5);
    fixture.forward("/safe/1", "none");
    CHECK(fixture.permitRequests.size() == 2);
    fixture.forward("/safe/1", "last");
    CHECK(fixture.permitRequests.size() == 2);
}

TEST_CASE("a service whose servers are all in evacuated domains refuses until an evacuation ends, even if the store is "
          "restored meanwhile")
{
    Fixture fixture([](const Received& request) { return success(request); });
    fixture.setEvacuated(true);
    auto response = fixture.forward("/unsafe/1", "first");
    CHECK(response.result_int() == 503);
    CHECK(response.find(net::http::field::retry_after) != response.end());
    fixture.setEvacuated(true, true);
    CHECK(fixture.forward("/unsafe/1", "restored").result_int() == 503);
    REQUIRE(fixture.catalog.nextRemoval());
    fixture.setEvacuated(true);
    CHECK_FALSE(fixture.catalog.nextRemoval());
    fixture.setEvacuated(false);
    CHECK(fixture.forward("/unsafe/1", "ended").result_int() == 200);
    CHECK(fixture.received.size() == 1);
}

TEST_CASE("an owner in an evacuated domain gets requests only until the window ends")
{
    Fixture fixture([](const Received& request) { return success(request); });
    fixture.listOwner();
    fixture.setEvacuated(true);
    CHECK(fixture.forward("/keyed/1", "in the window").result_int() == 200);
    fixture.context.run_for(Fixture::evacuationWindow);
    auto response = fixture.forward("/keyed/1", "late");
    CHECK(response.result_int() == 503);
    CHECK(response.find(net::http::field::retry_after) != response.end());
    CHECK(fixture.arrivals("late") == 0);
    fixture.setEvacuated(false);
    CHECK(fixture.forward("/keyed/1", "ended").result_int() == 200);
}

TEST_CASE("requests to a cold server need permits, also if it names no limit, until its cold period ends")
{
    Fixture fixture([](const Received& request) {
        return success(request, request.id == "cold again" ? "X-Warmup-Ms: 60000\r\n" : "");
    });
    fixture.forward("/safe/1", "warm");
    CHECK(fixture.permitRequests.empty());
    fixture.warmupRemaining = 300ms;
    fixture.listServer(1);
    fixture.forward("/safe/1", "cold");
    REQUIRE(fixture.permitRequests.size() == 1);
    CHECK(fixture.permitRequests[0].perSecond == 2.7);
    fixture.context.run_for(400ms);
    fixture.forward("/safe/1", "cold again");
    CHECK(fixture.permitRequests.size() == 1);
    fixture.forward("/safe/1", "last");
    CHECK(fixture.permitRequests.size() == 2);
}

TEST_CASE("a request without a permit for a cold server is refused with the time of the next one if it has a key, and "
          "tries a limited number of servers otherwise")
{
    Fixture fixture([](const Received& request) { return success(request); });
    fixture.warmupRemaining = 60s;
    fixture.listServer(1);
    fixture.listOwner();
    fixture.permitReply = { false, 1500ms };
    auto keyed = fixture.forward("/keyed/1", "keyed");
    CHECK(keyed.result_int() == 503);
    CHECK(keyed[net::http::field::retry_after] == "1.50");
    CHECK(fixture.permitRequests.size() == 1);
    CHECK(fixture.forward("/unsafe/1", "any").result_int() == 503);
    REQUIRE(fixture.permitRequests.size() == 5);
    CHECK(fixture.permitRequests[1].maxWait == 0ms);
    CHECK(fixture.permitRequests[4].maxWait > 0ms);
    CHECK(fixture.received.empty());
}
