/// @file
/// @brief End-to-end tests of the memory limit: small crowds of clients that keep large messages half sent or unread.
/// Limits are lowered so that a small crowd exceeds the memory of a process that buffers without a bound. The tests
/// check no times and no share of served requests.

#include "e2e/platform_cluster.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

using namespace acaciagauge;
using namespace acaciagauge::e2e;
using namespace std::chrono_literals;
namespace asio = net::asio;

namespace {

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = 1024 * kib;
constexpr std::size_t crowdBodyBytes = 8 * mib; ///< Largest legal body in the tests with crowds.
constexpr std::size_t maxDescriptors = 600;
constexpr auto crowdTime = 15s; ///< Longest time that a crowd gets to send.

/// One daemon and one server.
struct Site {
    Site(unsigned basePort, std::size_t memory, std::size_t maxBodyBytes, std::size_t descriptors = maxDescriptors)
        : memoryMb(memory)
        , descriptorLimit(descriptors)
        , cluster(optionsFor(basePort, memory, descriptors))
    {
        REQUIRE(cluster.waitUntilServing());
        cluster.setFaults(
            { { "limits", { { "max_body_bytes", maxBodyBytes } } }, { "configure", 2 }, { "timeoutMs", 20000 } });
        REQUIRE(PlatformCluster::waitUntil([this] { return cluster.status(0).value("version", 0) == 2; }));
    }

    static PlatformCluster::Options optionsFor(unsigned basePort, std::size_t memory, std::size_t descriptors)
    {
        PlatformCluster::Options options;
        options.basePort = basePort;
        options.daemons = 1;
        options.servers = 1;
        options.settings = "[limits]\nmemory_mb = " + std::to_string(memory)
            + "\ndescriptors = " + std::to_string(descriptors) + "\n";
        return options;
    }

    /// Returns the largest resident memory that the daemon has had, in bytes.
    std::size_t peakMemory()
    {
        std::ifstream in(cluster.processes().procFolder("d0") / "status");
        std::size_t peak = 0;
        for (std::string line; std::getline(in, line);) {
            if (line.starts_with("VmHWM:"))
                std::istringstream(line.substr(6)) >> peak;
        }
        return peak * kib;
    }

    std::size_t openDescriptors()
    {
        std::filesystem::directory_iterator files(cluster.processes().procFolder("d0") / "fd");
        return static_cast<std::size_t>(std::distance(begin(files), end(files)));
    }

    /// Checks the daemon while the crowd keeps its connections.
    void check()
    {
        CHECK(cluster.processes().poll("d0") == std::nullopt);
        REQUIRE(cluster.processes().isTracked("d0"));
        CHECK(openDescriptors() <= descriptorLimit);
        CHECK(PlatformCluster::waitUntil([this] { return cluster.sendRequest(0, true, 100).status == 200; }));
        auto peak = peakMemory();
        WARN("peak memory " << peak / kib << " KiB, limit " << memoryMb * 1'000'000 / kib << " KiB");
        CHECK(peak < memoryMb * 1'000'000);
    }

    std::size_t memoryMb;
    std::size_t descriptorLimit;
    PlatformCluster cluster;
};

/// A server that answers each request with the same bytes, which are no complete response, and keeps its connections.
class FaultyServer {
public:
    FaultyServer(unsigned port, std::string response)
        : m_response(std::move(response))
        , m_acceptor(m_context, { asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(port) })
    {
        asio::co_spawn(m_context, accept(), asio::detached);
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~FaultyServer()
    {
        m_context.stop();
        m_thread.join();
    }

    FaultyServer(const FaultyServer&) = delete;
    FaultyServer& operator=(const FaultyServer&) = delete;

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            m_sockets.push_back(co_await m_acceptor.async_accept(asio::use_awaitable));
            asio::co_spawn(m_context, respond(m_sockets.back()), asio::detached);
        }
    }

    asio::awaitable<void> respond(asio::ip::tcp::socket& socket)
    {
        constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
        std::string request(4 * kib, ' ');
        auto [ec, n] = co_await socket.async_read_some(asio::buffer(request), asTuple);
        if (!ec)
            co_await asio::async_write(socket, asio::buffer(m_response), asTuple);
    }

    std::string m_response;
    asio::io_context m_context { 1 };
    asio::ip::tcp::acceptor m_acceptor;
    std::deque<asio::ip::tcp::socket> m_sockets;
    std::thread m_thread;
};

std::string repeat(const std::string& text, std::size_t count)
{
    std::string repeated;
    for (std::size_t n = 0; n < count; ++n)
        repeated += text;
    return repeated;
}

/// What each client of a crowd sends.
struct Upload {
    std::size_t bytes = 0; ///< Size of the body.
    std::size_t withheld = 0; ///< Bytes of it that are not sent.
    std::size_t piece = 64 * kib; ///< Bytes of a write, or of a chunk.
    bool isChunked = false;
    std::string target = "/bid/1";
    unsigned repeats = 1; ///< Requests without a body that are sent at once, if `bytes` is 0.
};

/// Clients on connections of their own, which stay open until the crowd is destroyed.
class Crowd {
public:
    explicit Crowd(const Site& site)
        : m_endpoint(*net::parseEndpoint(site.cluster.callersAddress(0)))
    {
    }

    void add(unsigned clients, const Upload& upload)
    {
        for (unsigned n = 0; n < clients; ++n) {
            auto& socket = m_sockets.emplace_back(std::make_unique<asio::ip::tcp::socket>(m_context));
            asio::co_spawn(m_context, send(*socket, upload, std::to_string(m_sockets.size())), asio::detached);
        }
    }

    void run()
    {
        m_context.restart();
        m_context.run_for(crowdTime);
    }

private:
    static std::string headOf(const Upload& upload, const std::string& id)
    {
        bool hasBody = upload.bytes > 0;
        auto head = std::string(hasBody ? "POST " : "GET ") + upload.target + " HTTP/1.1\r\nHost: a.example\r\n"
            + "Acaciagauge-Request-Id: crowd" + id + "\r\nAcaciagauge-Shard-Key: 100\r\n"
            + "Acaciagauge-Deadline-Ms: 20000\r\n";
        if (upload.isChunked)
            return head + "Transfer-Encoding: chunked\r\n\r\n";
        return head + (hasBody ? "Content-Length: " + std::to_string(upload.bytes) + "\r\n\r\n" : "\r\n");
    }

    asio::awaitable<void> send(asio::ip::tcp::socket& socket, Upload upload, std::string id)
    {
        constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
        // Without this, the kernel takes several megabytes of responses that the client does not read.
        socket.open(m_endpoint.protocol());
        socket.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(16 * kib)));
        auto [ec] = co_await socket.async_connect(m_endpoint, asTuple);
        std::string head;
        for (unsigned n = 0; n < (upload.bytes > 0 ? 1 : upload.repeats); ++n)
            head += headOf(upload, id + "-" + std::to_string(n));
        if (!ec)
            std::tie(ec, std::ignore) = co_await asio::async_write(socket, asio::buffer(head), asTuple);
        std::ostringstream chunk;
        if (upload.isChunked)
            chunk << std::hex << upload.piece << "\r\n" << std::string(upload.piece, 'x') << "\r\n";
        auto piece = upload.isChunked ? chunk.str() : std::string(upload.piece, 'x');
        // Very small chunks are written many at a time, so that the client is no slower than with large ones.
        auto copies = upload.isChunked ? std::max<std::size_t>(1, 64 * kib / piece.size()) : 1;
        std::string text;
        for (std::size_t n = 0; n < copies; ++n)
            text += piece;
        auto remaining = upload.bytes - upload.withheld;
        while (!ec && remaining > 0) {
            auto n = std::min(remaining, copies * upload.piece);
            auto length = upload.isChunked ? n / upload.piece * piece.size() : n;
            std::tie(ec, std::ignore) = co_await asio::async_write(socket, asio::buffer(text, length), asTuple);
            remaining -= upload.isChunked && n < upload.piece ? remaining : n;
        }
        if (!ec && upload.isChunked && upload.withheld == 0)
            std::tie(ec, std::ignore) = co_await asio::async_write(socket, asio::buffer("0\r\n\r\n", 5), asTuple);
    }

    asio::io_context m_context { 1 };
    asio::ip::tcp::endpoint m_endpoint;
    std::vector<std::unique_ptr<asio::ip::tcp::socket>> m_sockets;
};

} // namespace

TEST_CASE("many large legal bodies do not exceed the memory")
{
    Site site(31600, 64, crowdBodyBytes);
    Crowd crowd(site);
    crowd.add(4, { crowdBodyBytes });
    crowd.add(12, { crowdBodyBytes, 1 });
    crowd.add(12, { crowdBodyBytes, 100, 1000 });
    crowd.run();
    site.check();
}

TEST_CASE("bodies far over the limit do not exceed the memory")
{
    Site site(31600, 64, crowdBodyBytes);
    Crowd crowd(site);
    crowd.add(8, { 100 * crowdBodyBytes });
    crowd.add(8, { 100 * crowdBodyBytes, 0, 64 * kib, true });
    crowd.add(8, { 100 * crowdBodyBytes, 0, 16, true });
    crowd.run();
    site.check();
}

TEST_CASE("many chunked bodies do not exceed the memory")
{
    auto piece = GENERATE(std::size_t { 256 * kib }, std::size_t { 16 });
    Site site(31600, 64, crowdBodyBytes);
    Crowd crowd(site);
    crowd.add(4, { crowdBodyBytes, 0, piece, true });
    crowd.add(20, { crowdBodyBytes, piece, piece, true });
    crowd.run();
    site.check();
}

TEST_CASE("responses to callers that do not read do not exceed the memory")
{
    Site site(31600, 64, crowdBodyBytes);
    Crowd crowd(site);
    Upload requests;
    requests.target = "/view/1?bytes=" + std::to_string(7 * mib);
    requests.repeats = 2;
    // In groups that the server takes without refusals; the pauses let the responses arrive.
    for (unsigned group = 0; group < 12; ++group) {
        crowd.add(2, requests);
        crowd.run();
        std::this_thread::sleep_for(1s);
    }
    site.check();
}

// Guards against what a half-received response holds beside its body: a server that sent it to many callers took the
// process over its memory, and the requests of all other callers with it.
TEST_CASE("endless and unfinished responses of a faulty server do not exceed the memory")
{
    constexpr unsigned clients = 400;
    constexpr unsigned faultyServers = 8;
    const std::string fields = repeat("a:\r\n", 3900);
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    auto response = GENERATE_COPY(as<std::string> {}, //
        ok + "Content-Length: 10\r\n" + fields + "\r\n", // Many fields, and no body.
        ok + "Transfer-Encoding: chunked\r\n\r\n" + repeat("1\r\na\r\n", 1'000'000), // Small chunks.
        repeat("HTTP/1.1 102 Processing\r\n" + fields + "\r\n", 3) + ok + fields); // Interim responses.
    CAPTURE(response.substr(0, 60));
    Site site(31600, 120, crowdBodyBytes, 2000);
    std::vector<std::unique_ptr<FaultyServer>> faulty;
    auto entries = nlohmann::json::object();
    for (unsigned port = 31630; port < 31630 + faultyServers; ++port) {
        faulty.push_back(std::make_unique<FaultyServer>(port, response));
        entries["faulty" + std::to_string(port)] = R"({"address":"127.0.0.1:)" + std::to_string(port)
            + R"(","born":5,"info":{"service":"floor","version":"v1","zone":"a","concurrency":100},)"
            + R"("status":{"state":"ready","sequence":1,"warmup_left_ms":0}})";
    }
    site.cluster.setFaults(
        { { "sharded", false }, { "configure", 3 }, { "timeoutMs", 20000 }, { "entries", entries } });
    REQUIRE(
        PlatformCluster::waitUntil([&] { return site.cluster.status(0).value("servers", 0U) == 1 + faultyServers; }));
    Crowd crowd(site);
    Upload requests;
    requests.target = "/view/1";
    crowd.add(clients, requests);
    crowd.run();
    std::this_thread::sleep_for(5s);
    faulty.clear();
    site.check();
}

TEST_CASE("a body of the maximal size is served in 120 MB")
{
    bool isChunked = GENERATE(false, true);
    constexpr std::size_t bodyBytes = 64 * mib;
    Site site(31600, 120, bodyBytes);
    asio::ip::tcp::iostream caller(*net::parseEndpoint(site.cluster.callersAddress(0)));
    caller
        << "POST /bid/1 HTTP/1.1\r\nHost: a.example\r\nAcaciagauge-Request-Id: large\r\nAcaciagauge-Shard-Key: 100\r\n"
        << "Acaciagauge-Deadline-Ms: 20000\r\n"
        << (isChunked ? "Transfer-Encoding: chunked\r\n\r\n"
                      : "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n");
    const std::string piece(mib, 'x');
    for (std::size_t n = 0; n < bodyBytes / mib; ++n)
        caller << (isChunked ? "100000\r\n" : "") << piece << (isChunked ? "\r\n" : "");
    caller << (isChunked ? "0\r\n\r\n" : "") << std::flush;
    std::string status;
    std::getline(caller, status);
    CHECK(status == "HTTP/1.1 200 OK\r");
    site.check();
}
