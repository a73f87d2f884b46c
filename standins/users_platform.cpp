/// @file
/// @brief Stand-in (test double) for the users' platform (setting `platform.dialect = users`): its store, and servers
/// that own keys, in one process. POST /faults injects faults.

#include "net/net.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <CLI/CLI.hpp>
#include <iostream>
#include <kj/encoding.h>
#include <nlohmann/json.hpp>
#include <random>

using namespace acaciagauge;
using namespace acaciagauge::net;
using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::size_t maxKeptEvents = 2000; ///< Length of the history from which a watch can resume.
constexpr std::size_t maxPageItems = 50;
constexpr std::uint64_t maxServerBodyBytes = 64ULL * 1024 * 1024; ///< Largest body that a server accepts.

/// Faults that a test switches on. Fractions are between 0 and 1.
struct Faults {
    bool isStoreDown = false; ///< The store responds 503 to every call.
    double lostAnswers = 0; ///< Fraction of the store's writes that take effect but get their response 5 s late.
    double lostRuns = 0; ///< Fraction of executed requests whose response comes 10 s late.
    std::chrono::milliseconds executionTime { 10 }; ///< Time that a server takes for a request.
    double lateGrants = 0; ///< Fraction of grants that take effect 2 s late and get their response another 2 s later.
};

Response jsonResponse(unsigned status, const Json& body)
{
    return makeResponse(status, body.dump());
}

asio::awaitable<void> sleepFor(asio::io_context& context, std::chrono::milliseconds time)
{
    asio::steady_timer timer(context, time);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

/// The store: keys with revisions and leases, range reads, watches and conditional transactions.
class Store {
public:
    explicit Store(asio::io_context& context)
        : m_context(context)
    {
    }

    void put(const std::string& key, const std::string& value)
    {
        ++m_revision;
        set(key, value, 0);
    }

    void remove(const std::string& key)
    {
        ++m_revision;
        erase(key);
    }

    void compact()
    {
        m_events.clear();
        m_compactedRevision = m_revision;
    }

    /// Postpones the expiry of all leases by the length of an outage, since their time does not run during it.
    void postponeLeaseExpiry(Clock::duration time)
    {
        for (auto& it : m_leases)
            it.second.second += time;
    }

    [[nodiscard]] unsigned endedLeases() const { return m_endedLeases; }
    [[nodiscard]] StoreEra era() const { return m_era; }

    /// Keeps a copy of the present content, for restore().
    void keepCopy() { m_copy = { m_items, m_leases, m_revision, m_lastLease }; }

    /// Replaces the content by the copy. Revisions and leases are given out again, and the history begins anew.
    void restore()
    {
        m_items = m_copy.items;
        m_leases = m_copy.leases;
        m_revision = m_copy.revision;
        m_lastLease = m_copy.lastLease;
        m_events.clear();
        m_compactedRevision = m_revision;
        ++m_era;
    }

    void expireLeases()
    {
        auto now = Clock::now();
        for (auto it = m_leases.begin(); it != m_leases.end();) {
            if (it->second.second > now) {
                ++it;
                continue;
            }
            auto lease = it->first;
            it = m_leases.erase(it);
            removeKeysOfLease(lease);
        }
    }

    asio::awaitable<Response> handle(Request request)
    {
        auto target = std::string(request.target());
        auto path = pathOf(target);
        if (path == "/-/kv-range")
            co_return range(target);
        if (path == "/-/kv-watch")
            co_return co_await watch(target);
        if (path == "/-/kv-key")
            co_return read(queryValue(target, "key"));
        if (path == "/-/kv-txn")
            co_return commit(Json::parse(request.body()));
        if (path == "/-/kv-lease")
            co_return createLease(Json::parse(request.body()));
        if (path.starts_with("/-/kv-keep/"))
            co_return renewLease(std::stoull(path.substr(11)));
        if (path.starts_with("/-/kv-lease-end/"))
            co_return revokeLease(std::stoull(path.substr(16)));
        co_return jsonResponse(400, { { "error", "unknown call" } });
    }

private:
    struct Item {
        std::string value;
        Revision revision = 0;
        Revision created = 0;
        std::uint64_t lease = 0;
    };

    // The callers increment m_revision: a transaction has a single revision, however many keys it writes.
    void set(const std::string& key, const std::string& value, std::uint64_t lease)
    {
        auto& item = m_items[key];
        item.revision = m_revision;
        item.created = item.created ? item.created : m_revision;
        item.lease = lease;
        item.value = value;
        appendEvent(itemJson(key, item));
    }

    void erase(const std::string& key)
    {
        if (m_items.erase(key) > 0)
            appendEvent({ { "key", key }, { "revision", m_revision }, { "removed", true } });
    }

    static std::string encode(const std::string& value)
    {
        return kj::encodeBase64(kj::arrayPtr(reinterpret_cast<const kj::byte*>(value.data()), value.size())).cStr();
    }

    static Json itemJson(const std::string& key, const Item& item)
    {
        return { { "key", key }, { "value", encode(item.value) }, { "revision", item.revision },
            { "created", item.created }, { "lease", item.lease } };
    }

    void appendEvent(Json event)
    {
        m_events.emplace_back(m_revision, std::move(event));
        while (m_events.size() > maxKeptEvents) {
            m_compactedRevision = m_events.front().first;
            m_events.pop_front();
        }
    }

    Response range(const std::string& target) const
    {
        auto after = queryValue(target, "after");
        Json items = Json::array();
        auto it = after.empty() ? m_items.begin() : m_items.upper_bound(after);
        for (; it != m_items.end() && items.size() < maxPageItems; ++it)
            items.push_back(itemJson(it->first, it->second));
        return jsonResponse(
            200, { { "items", items }, { "has_more", it != m_items.end() }, { "store_revision", m_revision } });
    }

    asio::awaitable<Response> watch(std::string target)
    {
        auto after = std::stoull(queryValue(target, "after"));
        auto until = Clock::now() + std::chrono::milliseconds(std::stoll(queryValue(target, "wait_ms")));
        auto era = m_era;
        while (after >= m_revision && era == m_era && Clock::now() < until)
            co_await sleepFor(m_context, std::chrono::milliseconds(5));
        if (after < m_compactedRevision || after > m_revision)
            co_return jsonResponse(410, Json::object());
        Json events = Json::array();
        for (const auto& it : m_events) {
            if (it.first > after)
                events.push_back(it.second);
        }
        co_return jsonResponse(200, { { "events", events }, { "store_revision", m_revision } });
    }

    Response read(const std::string& key) const
    {
        auto it = m_items.find(key);
        if (it == m_items.end())
            return jsonResponse(404, Json::object());
        auto body = itemJson(key, it->second);
        body["store_revision"] = m_revision;
        return jsonResponse(200, body);
    }

    Response commit(const Json& body)
    {
        Json found = Json::array();
        bool preconditionsHold = true;
        for (const auto& it : body.at("expect")) {
            auto key = it.at("key").get<std::string>();
            auto item = m_items.find(key);
            auto revision = item == m_items.end() ? 0 : item->second.revision;
            preconditionsHold = preconditionsHold && revision == it.at("revision").get<Revision>();
            if (item != m_items.end())
                found.push_back(itemJson(key, item->second));
        }
        if (!preconditionsHold)
            return jsonResponse(412, { { "items", found } });
        for (const auto& it : body.at("puts")) {
            auto lease = it.value("lease", std::uint64_t { 0 });
            if (lease != 0 && !m_leases.contains(lease))
                return jsonResponse(404, Json::object());
        }
        ++m_revision;
        for (const auto& it : body.at("puts")) {
            auto text = it.at("value").get<std::string>();
            auto bytes = kj::decodeBase64(kj::arrayPtr(text.data(), text.size()));
            set(it.at("key").get<std::string>(),
                std::string(reinterpret_cast<const char*>(bytes.begin()), bytes.size()),
                it.value("lease", std::uint64_t { 0 }));
        }
        for (const auto& it : body.at("remove"))
            erase(it.get<std::string>());
        return jsonResponse(200, { { "revision", m_revision } });
    }

    Response createLease(const Json& body)
    {
        auto time = std::chrono::milliseconds(body.at("ttl_ms").get<std::int64_t>());
        m_leases[++m_lastLease] = { time, Clock::now() + time };
        return jsonResponse(200, { { "lease", m_lastLease }, { "ttl_ms", time.count() } });
    }

    Response renewLease(std::uint64_t lease)
    {
        auto it = m_leases.find(lease);
        if (it == m_leases.end())
            return jsonResponse(404, Json::object());
        it->second.second = Clock::now() + it->second.first;
        return jsonResponse(200, { { "ttl_ms", it->second.first.count() } });
    }

    Response revokeLease(std::uint64_t lease)
    {
        m_leases.erase(lease);
        ++m_endedLeases;
        removeKeysOfLease(lease);
        return jsonResponse(200, Json::object());
    }

    void removeKeysOfLease(std::uint64_t lease)
    {
        std::vector<std::string> keys;
        for (const auto& it : m_items) {
            if (it.second.lease == lease)
                keys.push_back(it.first);
        }
        for (const auto& it : keys)
            remove(it);
    }

    using Leases = std::map<std::uint64_t, std::pair<std::chrono::milliseconds, Clock::time_point>>;

    struct Copy {
        std::map<std::string, Item> items;
        Leases leases;
        Revision revision = 0;
        std::uint64_t lastLease = 0;
    };

    asio::io_context& m_context;
    StoreEra m_era = 1;
    Copy m_copy;
    std::map<std::string, Item> m_items;
    std::deque<std::pair<Revision, Json>> m_events;
    Revision m_revision = 1;
    Revision m_compactedRevision = 0; ///< Revision of the newest event that the history no longer holds.
    std::uint64_t m_lastLease = 0;
    unsigned m_endedLeases = 0; ///< Leases that their holders revoked; expired ones are not counted.
    Leases m_leases; ///< Duration and expiry.
};

/// A server that owns keys: accepts grants and releases, and executes requests.
struct KeyServer {
    struct Hold {
        std::uint64_t fence = 0;
        Clock::time_point expiry;
    };

    std::string id;
    std::string address;
    std::string zone;
    std::int64_t startTimeMs = 0;
    bool isDraining = false;
    bool isSilent = false; ///< Accepts connections but responds to no request.
    std::string rateLimit; ///< Named in all responses, but not enforced; empty: none.
    bool namesLeaving = false; ///< Says in all responses that it is leaving, but goes on serving.
    std::string retryAfter; ///< If set, all requests are refused with this time in seconds.
    unsigned running = 0;
    std::map<std::uint32_t, Hold> held; ///< By key. Expired entries stay; holds() checks the expiry.
    std::map<std::uint32_t, std::uint64_t> highestFences; ///< By key.
    std::shared_ptr<HttpServer> http;

    bool holds(std::uint32_t key) const
    {
        auto it = held.find(key);
        return it != held.end() && it->second.expiry > Clock::now();
    }
};

/// The platform: the store and the servers.
class Platform {
public:
    Platform(asio::io_context& context, unsigned basePort, unsigned servers, unsigned zones, unsigned listedPort)
        : m_context(context)
        , m_store(context)
        , m_basePort(basePort)
        , m_listedPort(listedPort)
        , m_zones(zones)
    {
        m_servers.resize(servers);
    }

    Result<bool> start()
    {
        HttpServer::Options store;
        store.address = addressOf(0);
        store.bodyLimit = maxAdminBodyBytes;
        store.handler = [this](Request request) { return handleStore(std::move(request)); };
        auto storeServer = HttpServer::create(m_context, store);
        if (!storeServer)
            return tl::make_unexpected(storeServer.error());
        m_storeServer = *storeServer;
        m_storeServer->start();
        for (unsigned n = 0; n < m_servers.size(); ++n) {
            auto& server = m_servers[n];
            server.id = "i-" + std::to_string(n);
            server.zone = std::string(1, static_cast<char>('a' + n % m_zones));
            server.address = "127.0.0.1:" + std::to_string(m_listedPort + n);
            server.startTimeMs = 1'700'000'000'000 + n;
            HttpServer::Options options;
            options.address = addressOf(n + 1);
            options.bodyLimit = maxServerBodyBytes;
            options.handler = [this, n](Request request) { return handleServer(n, std::move(request)); };
            auto http = HttpServer::create(m_context, options);
            if (!http)
                return tl::make_unexpected(http.error());
            server.http = *http;
            server.http->start();
            publishServer(server);
        }
        publishDesiredState(1, m_timeoutMs);
        asio::co_spawn(m_context, expireLeasesLoop(), asio::detached);
        return true;
    }

private:
    std::string addressOf(unsigned n) const { return "127.0.0.1:" + std::to_string(m_basePort + n); }

    void publishServer(const KeyServer& server)
    {
        Json entry {
            { "address", server.address }, { "born", server.startTimeMs },
            { "info", { { "service", "floor" }, { "version", "v1" }, { "zone", server.zone }, { "concurrency", 4 } } },
            { "status",
                { { "state", server.isDraining ? "draining" : "ready" }, { "sequence", 1 }, { "warmup_left_ms", 0 } } }
        };
        m_store.put("servers/" + server.id, entry.dump());
    }

    void publishDesiredState(unsigned version, unsigned timeoutMs)
    {
        Json routes { { "columns",
                          { "name", "hostname", "prefix", "route_type", "timeout_ms", "target_latency_ms", "priority",
                              "traffic_split", "max_attempts", "service" } },
            { "rows",
                { { "view", "a.example", "/view/", "safe", timeoutMs, 500, 2, nullptr, 2, "floor" },
                    { "bid", "a.example", "/bid/", "unsafe", timeoutMs, 500, 1, nullptr, 2, "floor" } } } };
        if (version > 1)
            routes["rows"].push_back({ "late", "a.example", "/late/", "safe", timeoutMs, 500, 2, nullptr, 2, "floor" });
        Json services { { "columns", { "name", "health_check", "max_connections", "sharded", "warm_s" } },
            { "rows", { { "floor", "/health", 100, m_isSharded, 0.0 } } } };
        m_version = version;
        m_timeoutMs = timeoutMs;
        m_store.put("op/config",
            Json { { "version", version }, { "routes", routes }, { "services", services }, { "limits", m_limits } }
                .dump());
    }

    asio::awaitable<void> expireLeasesLoop()
    {
        while (true) {
            co_await sleepFor(m_context, std::chrono::milliseconds(50));
            if (!m_faults.isStoreDown)
                m_store.expireLeases();
        }
    }

    bool randomBool(double probability) { return std::uniform_real_distribution<double>(0, 1)(m_random) < probability; }

    asio::awaitable<Response> handleStore(Request request)
    {
        auto path = pathOf(std::string(request.target()));
        if (path == "/faults")
            co_return setFaults(Json::parse(request.body()));
        if (path == "/record")
            co_return jsonResponse(200,
                { { "runs", m_runs }, { "arrivals", m_arrivals }, { "problems", m_problems },
                    { "endedLeases", m_store.endedLeases() }, { "evacuatedAtMs", m_evacuatedAt.count() } });
        if (m_faults.isStoreDown)
            co_return withEra(jsonResponse(503, Json::object()));
        bool isWrite = path == "/-/kv-txn";
        auto response = withEra(co_await m_store.handle(std::move(request)));
        if (isWrite && randomBool(m_faults.lostAnswers))
            co_await sleepFor(m_context, std::chrono::seconds(5));
        co_return response;
    }

    Response withEra(Response response) const
    {
        response.set("Store-Era", std::to_string(m_store.era()));
        return response;
    }

    /// What the operator and the servers wrote is written again.
    void restoreStore()
    {
        m_store.restore();
        for (const auto& it : m_servers)
            publishServer(it);
        publishDesiredState(m_version, m_timeoutMs);
    }

    Response setFaults(const Json& body)
    {
        bool wasDown = m_faults.isStoreDown;
        m_faults.isStoreDown = body.value("storeDown", wasDown);
        if (m_faults.isStoreDown && !wasDown)
            m_downSince = Clock::now();
        if (wasDown && !m_faults.isStoreDown)
            m_store.postponeLeaseExpiry(Clock::now() - m_downSince);
        m_faults.lostAnswers = body.value("lostAnswers", m_faults.lostAnswers);
        m_faults.lostRuns = body.value("lostRuns", m_faults.lostRuns);
        m_faults.executionTime = std::chrono::milliseconds(body.value("executionMs", m_faults.executionTime.count()));
        m_faults.lateGrants = body.value("lateGrants", m_faults.lateGrants);
        m_isSharded = body.value("sharded", m_isSharded);
        m_limits = body.value("limits", m_limits);
        if (body.contains("configure"))
            publishDesiredState(body["configure"].get<unsigned>(), body.value("timeoutMs", m_timeoutMs));
        if (body.contains("compact"))
            m_store.compact();
        if (body.contains("expire"))
            m_store.remove("servers/" + m_servers.at(body["expire"].get<std::size_t>()).id);
        if (body.contains("drain")) {
            auto& server = m_servers.at(body["drain"].get<std::size_t>());
            server.isDraining = true;
            publishServer(server);
        }
        if (body.contains("restart")) {
            auto& server = m_servers.at(body["restart"].get<std::size_t>());
            server.held.clear();
            server.highestFences.clear();
            server.startTimeMs += 1000;
            server.isDraining = false;
            server.isSilent = false;
            server.rateLimit.clear();
            server.namesLeaving = false;
            server.retryAfter.clear();
            publishServer(server);
        }
        if (body.contains("evacuate")) {
            m_store.put("op/evacuate/" + body["evacuate"].get<std::string>(), "1");
            m_evacuatedAt = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_startedAt);
        }
        if (body.contains("endEvacuation"))
            m_store.remove("op/evacuate/" + body["endEvacuation"].get<std::string>());
        if (body.contains("silence"))
            m_servers.at(body["silence"].get<std::size_t>()).isSilent = true;
        if (body.contains("limit"))
            m_servers.at(body["limit"].at("server").get<std::size_t>()).rateLimit
                = body["limit"].at("perSecond").get<std::string>();
        if (body.contains("leaving"))
            m_servers.at(body["leaving"].get<std::size_t>()).namesLeaving = true;
        if (body.contains("retryAfter"))
            m_servers.at(body["retryAfter"].at("server").get<std::size_t>()).retryAfter
                = body["retryAfter"].at("seconds").get<std::string>();
        if (body.contains("garbage"))
            m_store.put("servers/odd", body["garbage"].get<std::string>());
        if (body.contains("entries")) {
            for (const auto& it : body["entries"].items())
                m_store.put("servers/" + it.key(), it.value().get<std::string>());
        }
        if (body.contains("keepCopy"))
            m_store.keepCopy();
        if (body.contains("restore"))
            restoreStore();
        return jsonResponse(200, Json::object());
    }

    void applyGrant(KeyServer& server, const Json& order, Clock::time_point arrived)
    {
        auto fence = order.at("fence").get<std::uint64_t>();
        auto until = arrived + std::chrono::milliseconds(order.at("hold_ms").get<std::int64_t>());
        for (auto key = order.at("from").get<std::uint32_t>(); key <= order.at("to").get<std::uint32_t>(); ++key) {
            server.held[key] = { fence, until };
            server.highestFences[key] = fence;
            for (const auto& it : m_servers) {
                if (&it != &server && it.holds(key) && until > Clock::now())
                    m_problems.push_back("key " + std::to_string(key) + " is held by " + it.id + " and " + server.id);
            }
        }
    }

    /// Returns true if the server has seen a higher fence on one of the order's keys.
    static bool isStale(const KeyServer& server, const Json& order)
    {
        auto end = server.highestFences.upper_bound(order.at("to").get<std::uint32_t>());
        auto fence = order.at("fence").get<std::uint64_t>();
        return std::any_of(server.highestFences.lower_bound(order.at("from").get<std::uint32_t>()), end,
            [fence](const auto& it) { return it.second > fence; });
    }

    asio::awaitable<Response> grant(KeyServer& server, Json order)
    {
        auto arrived = Clock::now();
        if (isStale(server, order))
            co_return jsonResponse(409, Json::object());
        if (randomBool(m_faults.lateGrants)) {
            co_await sleepFor(m_context, std::chrono::seconds(2));
            if (!isStale(server, order))
                applyGrant(server, order, arrived);
            co_await sleepFor(m_context, std::chrono::seconds(2));
            co_return jsonResponse(200, Json::object());
        }
        applyGrant(server, order, arrived);
        co_return jsonResponse(200, Json::object());
    }

    asio::awaitable<Response> release(KeyServer& server, Json order)
    {
        for (auto key = order.at("from").get<std::uint32_t>(); key <= order.at("to").get<std::uint32_t>(); ++key)
            server.held.erase(key);
        while (server.running > 0)
            co_await sleepFor(m_context, std::chrono::milliseconds(2));
        auto response = jsonResponse(200, Json::object());
        response.set("Acaciagauge-Lease-Handover", "handover");
        co_return response;
    }

    asio::awaitable<Response> handleServer(unsigned n, Request request)
    {
        auto& server = m_servers[n];
        auto path = pathOf(std::string(request.target()));
        while (server.isSilent)
            co_await sleepFor(m_context, std::chrono::seconds(1));
        auto target = headerOf(request, "Acaciagauge-Target-Instance");
        Response response;
        if (!target.empty() && target != server.id) {
            response = jsonResponse(421, Json::object());
            response.set("Acaciagauge-Not-Executed", "1");
        } else if (path == "/-/grant") {
            auto order = Json::parse(request.body());
            response = co_await grant(server, order);
        } else if (path == "/-/release") {
            auto order = Json::parse(request.body());
            response = co_await release(server, order);
        } else {
            response = co_await execute(server, std::move(request));
        }
        response.set("Acaciagauge-Instance-Id", server.id);
        if (!server.rateLimit.empty())
            response.set("Server-Limit", server.rateLimit);
        if (server.namesLeaving)
            response.set("Server-Leaving", "1");
        co_return response;
    }

    asio::awaitable<Response> execute(KeyServer& server, Request request)
    {
        auto id = headerOf(request, "Acaciagauge-Request-Id");
        auto key = static_cast<std::uint32_t>(std::stoul(headerOf(request, "Acaciagauge-Shard-Key")));
        auto sinceStart = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_startedAt);
        m_arrivals.push_back({ { "id", id }, { "server", server.id }, { "atMs", sinceStart.count() } });
        if (m_isSharded && !server.holds(key)) {
            auto response = jsonResponse(421, Json::object());
            response.set("Acaciagauge-Not-Executed", "1");
            response.set("Acaciagauge-Request-Id", id);
            co_return response;
        }
        if (!server.retryAfter.empty()) {
            auto response = jsonResponse(503, Json::object());
            response.set("Acaciagauge-Not-Executed", "1");
            response.set("Acaciagauge-Request-Id", id);
            response.set("Retry-After", server.retryAfter);
            co_return response;
        }
        m_runs.push_back({ { "id", id }, { "server", server.id }, { "target", std::string(request.target()) } });
        ++server.running;
        co_await sleepFor(m_context, m_faults.executionTime);
        --server.running;
        if (randomBool(m_faults.lostRuns))
            co_await sleepFor(m_context, std::chrono::seconds(10));
        // A request chooses the size of its response by a parameter of its target.
        auto padding = queryValue(std::string(request.target()), "bytes");
        auto paddingBytes = padding.empty() ? 0 : std::stoul(padding);
        auto response = jsonResponse(
            200, { { "id", id }, { "bytes", request.body().size() }, { "padding", std::string(paddingBytes, 'x') } });
        response.set("Acaciagauge-Request-Id", id);
        response.set("Acaciagauge-Response-Signature", "signed." + id);
        response.set("Acaciagauge-Server-Load", std::to_string(server.running) + ",0,4");
        co_return response;
    }

    asio::io_context& m_context;
    Store m_store;
    unsigned m_basePort;
    unsigned m_listedPort; ///< Port under which the store lists the first server.
    std::shared_ptr<HttpServer> m_storeServer;
    unsigned m_zones; ///< Failure domains that the servers are spread over.
    std::vector<KeyServer> m_servers;
    std::chrono::milliseconds m_evacuatedAt { 0 }; ///< When the last evacuation was written, since the start.
    Faults m_faults;
    bool m_isSharded = true; ///< Whether the service of the desired states that follow is sharded.
    unsigned m_version = 0; ///< Of the newest desired state.
    unsigned m_timeoutMs = 1500; ///< Timeout of its routes.
    Json m_limits = Json::object(); ///< Limits on callers' requests in it.
    Clock::time_point m_downSince;
    std::mt19937 m_random { 1 };
    Clock::time_point m_startedAt = Clock::now();
    Json m_runs = Json::array();
    Json m_arrivals = Json::array(); ///< Requests that reached a server, whether or not it ran them.
    Json m_problems = Json::array(); ///< Keys that two servers held at the same time.
};

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "standin_users_platform: test double of the users' platform" };
    unsigned basePort = 0;
    unsigned servers = 4;
    app.add_option("--port", basePort, "Port of the store; the servers listen on the ports after it")->required();
    app.add_option("--servers", servers, "Number of servers that own keys");
    unsigned zones = 1;
    app.add_option("--zones", zones, "Number of failure domains, a, b and so on, that the servers are spread over")
        ->check(CLI::Range(1, 26));
    unsigned listedPort = 0;
    app.add_option("--listed-from", listedPort,
        "Port that the store lists for the first server, if relays stand before the servers");
    CLI11_PARSE(app, argc, argv);
    asio::io_context context(1);
    Platform platform(context, basePort, servers, zones, listedPort > 0 ? listedPort : basePort + 1);
    auto started = platform.start();
    if (!started) {
        std::cerr << started.error().message << '\n';
        return 1;
    }
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](auto, auto) { context.stop(); });
    context.run();
    return 0;
}
