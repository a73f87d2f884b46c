#include "platform/platform.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace acaciagauge;
using namespace std::chrono_literals;

namespace {

const std::string configuration = R"({"version":7,
"routes":{"columns":["name","hostname","prefix","route_type","timeout_ms","target_latency_ms","priority","traffic_split","max_attempts","service"],
"rows":[["r1","a.example","/x/","safe",1500,500,2,[{"service":"s1","weight":90},{"service":"s2","weight":10}],2,null],
["r2","a.example","/y/","unsafe",2000,600,1,null,2,"s1"]]},
"services":{"columns":["name","health_check","max_connections","protocol","tls","sharded","warm_s","grants"],
"rows":[["s1","/health",130,"h1",false,true,2.0,"rpc"],["s2","/health",130,"h1",false,null,null,null]]},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},"base_version":5})";

const std::string server = R"({"address":"10.0.0.9:8080","born":1717171717171,
"info":{"service":"s1","version":"v1","zone":"a","concurrency":2},
"status":{"state":"ready","sequence":4,"warmup_left_ms":250}})";

} // namespace

TEST_CASE("a desired state is decoded from the platform's format")
{
    auto state = platform::documentsPort().decodeDesiredState(configuration);
    REQUIRE(state);
    CHECK((*state)->version() == 7);
    const auto* split = (*state)->match("a.example", "/x/1");
    REQUIRE(split);
    CHECK(split->idempotent);
    CHECK(split->services.size() == 2);
    CHECK(split->services[1].weight == 10);
    const auto* plain = (*state)->match("a.example", "/y/1");
    REQUIRE(plain);
    CHECK(!plain->idempotent);
    CHECK(plain->timeout == 2000ms);
    CHECK((*state)->service("s1")->isSharded);
    CHECK((*state)->service("s1")->warmUp == 2000ms);
    CHECK(!(*state)->service("s2")->isSharded);
    CHECK((*state)->limits().idleTimeout == 15000ms);
}

TEST_CASE("the limit for cold servers is decoded; without the column or a value there is none")
{
    auto documents = platform::documentsPort();
    CHECK(documents.evacuationsPrefix == "op/evacuate/");
    CHECK((*documents.decodeDesiredState(configuration))->service("s1")->warmupPerSecond == std::nullopt);
    auto document = nlohmann::json::parse(configuration);
    auto& services = document["services"];
    services["columns"].insert(services["columns"].end(), { "warmup_s", "warmup_per_s" });
    services["rows"][0].insert(services["rows"][0].end(), { 3, 2.7 });
    services["rows"][1].insert(services["rows"][1].end(), { nullptr, nullptr });
    auto state = documents.decodeDesiredState(document.dump());
    REQUIRE(state);
    CHECK((*state)->service("s1")->warmupPerSecond == 2.7);
    CHECK((*state)->service("s2")->warmupPerSecond == std::nullopt);
}

TEST_CASE("a server's entry is decoded from the platform's format")
{
    auto entry = platform::documentsPort().decodeServer("i-1", server);
    REQUIRE(entry);
    CHECK(entry->run == ServerRun { "i-1", 1717171717171 });
    CHECK(entry->slots == 2);
    CHECK(entry->sequence == 4);
    CHECK(entry->warmupRemaining == 250ms);
    CHECK(!entry->draining);
}

TEST_CASE("truncated or corrupted documents are refused with a reason, never decoded in part")
{
    bool holds = rc::check("corrupted", [] {
        auto documents = platform::documentsPort();
        auto text = *rc::gen::element(configuration, server);
        auto n = *rc::gen::inRange<std::size_t>(0, text.size());
        auto corrupted = text.substr(0, n);
        if (*rc::gen::arbitrary<bool>()) {
            corrupted = text;
            corrupted[n] = *rc::gen::element('\0', '\xff', '"', '}', '0', '-', 'x', '[');
        }
        auto state = documents.decodeDesiredState(corrupted);
        auto entry = documents.decodeServer("i-1", corrupted);
        RC_ASSERT(state || !state.error().message.empty());
        RC_ASSERT(entry || !entry.error().message.empty());
        if (text == server)
            RC_ASSERT(!state);
    });
    CHECK(holds);
}

TEST_CASE("entries in other formats are refused")
{
    auto decode = platform::documentsPort().decodeServer;
    for (const auto* text :
        { "", "[]", "null", "7", R"({"address":"10.0.0.9:8080"})", R"({"address":7,"info":{},"status":{}})",
            R"({"address":"nowhere","info":{"service":"s","zone":"a","concurrency":2},"status":{"state":"ready"}})",
            R"({"address":"10.0.0.9:1","info":{"service":"s","zone":"a","concurrency":2},"status":{"state":"odd"}})",
            R"({"address":"10.0.0.9:1","info":{"service":"s","zone":"a","concurrency":"2"},"status":{"state":"ready"}})" })
        CHECK(!decode("i-1", text));
}

TEST_CASE("deeply nested entries and numbers out of range are refused")
{
    auto decode = platform::documentsPort().decodeServer;
    auto withValue = [](const std::string& present, const std::string& odd) {
        std::string text = server;
        return text.replace(text.find(present), present.size(), odd);
    };
    constexpr std::size_t depth = 1'000'000;
    auto nested = std::string(depth, '[') + std::string(depth, ']');
    CHECK_FALSE(decode("i-1", nested));
    CHECK_FALSE(decode("i-1", std::string(depth, '[')));
    CHECK_FALSE(decode("i-1", withValue("\"concurrency\":2", "\"concurrency\":" + nested)));
    CHECK_FALSE(decode("i-1", withValue("\"version\":\"v1\"", "\"version\":" + nested)));
    for (const auto* it : { "1e300", "1e999", "-1", "18446744073709551616", "4294967298", "true" }) {
        CHECK_FALSE(decode("i-1", withValue("\"concurrency\":2", "\"concurrency\":" + std::string(it))));
        CHECK_FALSE(decode("i-1", withValue("\"warmup_left_ms\":250", "\"warmup_left_ms\":" + std::string(it))));
    }
    for (const auto* it : { "1e300", "1e999", "-1", "18446744073709551616", "true" }) {
        CHECK_FALSE(decode("i-1", withValue("1717171717171", it)));
        CHECK_FALSE(decode("i-1", withValue("\"sequence\":4", "\"sequence\":" + std::string(it))));
    }
    for (const auto* it : { "0", "65536", "99999999999", "-1" })
        CHECK_FALSE(decode("i-1", withValue(":8080", ":" + std::string(it))));
}

TEST_CASE("an entry that lacks a field of a server, or has one of another type, names no server")
{
    auto decode = platform::documentsPort().decodeServer;
    auto field = GENERATE(as<std::string> {}, "/address", "/born", "/info", "/info/service", "/info/version",
        "/info/zone", "/info/concurrency", "/status", "/status/state", "/status/sequence", "/status/warmup_left_ms");
    CAPTURE(field);
    auto pointer = nlohmann::json::json_pointer(field);
    auto document = nlohmann::json::parse(server);
    for (const auto* it : { "null", "true", "[]", "{}", "\"\"", "[2]" }) {
        auto changed = document;
        changed[pointer] = nlohmann::json::parse(it);
        CAPTURE(it);
        CHECK_FALSE(decode("i-1", changed.dump()));
    }
    document.at(pointer.parent_pointer()).erase(pointer.back());
    CHECK_FALSE(decode("i-1", document.dump()));
}

// Guards against another writer's entry that passes for a newer process at a live server's address: the server's keys
// were given to others without a release.
TEST_CASE("an entry with a number that is not a whole number names no server")
{
    auto decode = platform::documentsPort().decodeServer;
    auto field
        = GENERATE(as<std::string> {}, "/born", "/info/concurrency", "/status/sequence", "/status/warmup_left_ms");
    auto number
        = GENERATE(as<std::string> {}, "2.5", "5.0", "5e0", "1796610031969.5", "1796610031969.00001", "-0.0", "1e-9");
    CAPTURE(field, number);
    auto document = nlohmann::json::parse(server);
    document[nlohmann::json::json_pointer(field)] = nlohmann::json::parse(number);
    CHECK_FALSE(decode("i-1", document.dump()));
}

// Guards against a weight or a limit that is cut off or wraps around, and is in force then.
TEST_CASE("a desired state with a number that is not a whole number, or out of range, is refused")
{
    auto decode = platform::documentsPort().decodeDesiredState;
    auto field = GENERATE(as<std::string> {}, "/version", "/routes/rows/0/6", "/routes/rows/0/7/0/weight",
        "/routes/rows/0/8", "/services/rows/0/2", "/limits/max_header_bytes", "/limits/max_body_bytes");
    auto number = GENERATE(as<std::string> {}, "2.5", "-1", "1e300", "true", "\"7\"");
    CAPTURE(field, number);
    auto document = nlohmann::json::parse(configuration);
    document[nlohmann::json::json_pointer(field)] = nlohmann::json::parse(number);
    CHECK_FALSE(decode(document.dump()));
}

// Guards against a negative or an endless timeout in force.
TEST_CASE("a desired state with a duration that is negative, endless or no number is refused")
{
    auto decode = platform::documentsPort().decodeDesiredState;
    auto field = GENERATE(as<std::string> {}, "/routes/rows/0/4", "/routes/rows/0/5", "/services/rows/0/6",
        "/limits/header_timeout_ms", "/limits/idle_timeout_ms");
    auto number = GENERATE(as<std::string> {}, "-1", "1e300", "true", "\"7\"", "[2]");
    CAPTURE(field, number);
    auto document = nlohmann::json::parse(configuration);
    document[nlohmann::json::json_pointer(field)] = nlohmann::json::parse(number);
    CHECK_FALSE(decode(document.dump()));
}

TEST_CASE("a reported load is decoded only if it is complete")
{
    auto parse = platform::requestDialect().parseLoad;
    auto load = parse("3,1,8");
    REQUIRE(load);
    CHECK(load->running == 3);
    CHECK(load->waiting == 1);
    CHECK(load->slots == 8);
    CHECK(load->slowdown == 1);
    for (const auto* text :
        { "", "3", "3,1", "3,1,", "3,1,8,", "3;1;8", "-1,0,0", "a,b,c", "3,1,8,0", "3,1,8,x", "3,1,8,100," })
        CHECK(!parse(text));
}

// Responses with a fourth figure were taken for responses without a load.
TEST_CASE("a reported load is decoded with the slowdown of the server's machine")
{
    auto load = platform::requestDialect().parseLoad("2,4,2,290");
    REQUIRE(load);
    CHECK(load->running == 2);
    CHECK(load->waiting == 4);
    CHECK(load->slots == 2);
    CHECK(load->slowdown == Approx(2.9));
}

// Downloads were forwarded as requests that must not be repeated.
TEST_CASE("a download may be repeated, an upload may not")
{
    auto withKind = [](const std::string& kind) {
        auto document = nlohmann::json::parse(configuration);
        document["routes"]["rows"][1][3] = kind;
        return *(*platform::documentsPort().decodeDesiredState(document.dump()))->match("a.example", "/y/1");
    };
    CHECK(withKind("download").idempotent);
    CHECK(withKind("download").hasLargeResponses);
    CHECK_FALSE(withKind("upload").idempotent);
    CHECK_FALSE(withKind("upload").hasLargeResponses);
}

// Fails if a deployment is taken for another kind: coordination applies only where the configuration calls for it.
TEST_CASE("a limit for cold servers or a download route calls for coordinated load balancing")
{
    auto decode
        = [](const nlohmann::json& document) { return *platform::documentsPort().decodeDesiredState(document.dump()); };
    auto document = nlohmann::json::parse(configuration);
    CHECK_FALSE(decode(document)->callsForCoordination());
    auto download = document;
    download["routes"]["rows"][1][3] = "download";
    CHECK(decode(download)->callsForCoordination());
    document["services"]["columns"].push_back("warmup_per_s");
    document["services"]["rows"][0].push_back(nullptr);
    CHECK_FALSE(decode(document)->callsForCoordination());
    document["services"]["rows"][0].back() = 2.7;
    CHECK(decode(document)->callsForCoordination());
    CHECK(decode(document)->service("s1")->warmupPerSecond == 2.7);
    CHECK_FALSE(decode(document)->service("s2")->warmupPerSecond);
}

TEST_CASE("owner records round-trip through their encoding; overlapping ranges are refused")
{
    bool holds = rc::check("owners", [] {
        OwnerChunk chunk;
        chunk.epoch = *rc::gen::inRange<Epoch>(1, 1000);
        KeyNumber next = keysPerChunk;
        while (next < 2 * keysPerChunk && chunk.owners.size() < 20) {
            auto to = std::min(next + *rc::gen::inRange<KeyNumber>(0, 900), 2 * keysPerChunk - 1);
            chunk.owners.push_back({ { next, to }, { "s" + std::to_string(*rc::gen::inRange(0, 9)), 5 } });
            next = to + 1 + *rc::gen::inRange<KeyNumber>(0, 3);
        }
        auto read = decodeOwnerChunk(1, encodeOwnerChunk(chunk));
        RC_ASSERT(read);
        RC_ASSERT(read->owners == chunk.owners);
        RC_ASSERT(!decodeOwnerChunk(2, encodeOwnerChunk(chunk)) || chunk.owners.empty());
    });
    CHECK(holds);
    CHECK(!decodeOwnerChunk(0, R"({"epoch":1,"owners":[[0,10,"a",1],[5,20,"b",1]]})"));
    CHECK(!decodeOwnerChunk(0, R"({"epoch":1,"owners":[[10,5,"a",1]]})"));
    CHECK(!decodeOwnerChunk(0, R"({"epoch":1,"owners":[[0,4096,"a",1]]})"));
}

// Guards against a record whose numbers are cut off or wrap around: other keys would count as owned.
TEST_CASE("an owner record with a number that is not a whole number in range is refused")
{
    auto field = GENERATE(as<std::string> {}, "/epoch", "/owners/0/0", "/owners/0/1", "/owners/0/3");
    auto number = GENERATE(as<std::string> {}, "7.5", "7.0", "-1", "true", "\"7\"", "1e300", "18446744073709551616");
    CAPTURE(field, number);
    auto document = nlohmann::json::parse(R"({"epoch":1,"owners":[[0,10,"a",1]]})");
    REQUIRE(decodeOwnerChunk(0, document.dump()));
    document[nlohmann::json::json_pointer(field)] = nlohmann::json::parse(number);
    CHECK_FALSE(decodeOwnerChunk(0, document.dump()));
}

// Guards against an overloaded owner whose answer passes for that of another process at its address: its keys would be
// given to others.
TEST_CASE("only a status that says nothing of load means that a process refuses an order")
{
    auto [status, expected] = GENERATE(table<unsigned, KeyOrderOutcome>({
        { 200, KeyOrderOutcome::done },
        { 400, KeyOrderOutcome::refused },
        { 404, KeyOrderOutcome::refused },
        { 408, KeyOrderOutcome::unanswered },
        { 409, KeyOrderOutcome::staleFence },
        { 421, KeyOrderOutcome::wrongServer },
        { 429, KeyOrderOutcome::unanswered },
        { 500, KeyOrderOutcome::unanswered },
        { 503, KeyOrderOutcome::unanswered },
    }));
    CAPTURE(status);
    net::asio::io_context context;
    net::HttpServer::Options options;
    options.address = "127.0.0.1:0";
    options.handler = [answer = status](net::Request) -> net::asio::awaitable<net::Response> {
        co_return net::makeResponse(answer, "", "text/plain");
    };
    auto server = net::HttpServer::create(context, options).value();
    server->start();
    auto orders = platform::keyOrdersPort(net::HttpClient::create(context, {}));
    std::vector<KeyOrderOutcome> outcomes;
    auto send = [&]() -> net::asio::awaitable<void> {
        SendKeyGrant grant;
        grant.address = "127.0.0.1:" + std::to_string(server->port());
        SendKeyRelease release;
        release.address = grant.address;
        outcomes.push_back((co_await orders.grant(grant, 2s, nullptr)).outcome);
        outcomes.push_back((co_await orders.release(release, 2s, nullptr)).outcome);
    };
    net::asio::co_spawn(context, send, net::asio::detached);
    context.run_for(300ms);
    CHECK(outcomes == std::vector { expected, expected });
}
