#include "bench.hpp"
#include "net/server_codec.hpp"

#include <acaciagauge/acaciagauge.hpp>
#include <cstdio>
#include <malloc.h>
#include <nlohmann/json.hpp>

namespace acaciagauge::bench {

using namespace std::chrono_literals;

namespace {

    std::size_t allocatedHeapBytes()
    {
        auto info = ::mallinfo2();
        return info.uordblks + info.hblkhd;
    }

    double elapsedMicroseconds(const std::function<void()>& work)
    {
        auto start = std::chrono::steady_clock::now();
        work();
        return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count();
    }

    /// Configuration and ownership record of a domain with `partitions` partitions of one service.
    News createNews(std::uint32_t partitions, std::size_t servers)
    {
        Ticket ticket;
        ticket.number = 1;
        ticket.writer = "w";
        ServiceSpec service;
        service.name = "lots";
        service.partitions = partitions;
        for (std::size_t n = 0; n < servers; ++n)
            service.servers.push_back({ "s" + std::to_string(n), "north", "127.0.0.1:9001", 2 });
        ticket.services["lots"] = service;
        News news;
        news.configuration = applyTicket({}, ticket).value();
        DomainRecord record;
        record.domain = "north";
        record.renewers = { 1, { { "e1", 1 }, { "e2", 2 }, { "e3", 3 } } };
        for (std::uint32_t n = 0; n < partitions; ++n)
            record.items[{ "lots", n, "" }] = { "lots/s" + std::to_string(n % servers), { 1, 1 } };
        news.records.push_back(record);
        return news;
    }

    void measureRouteTable(std::uint32_t partitions)
    {
        constexpr std::size_t servers = 700;
        auto news = createNews(partitions, servers);
        auto heapBefore = allocatedHeapBytes();
        auto knowledge = std::make_unique<Knowledge>();
        knowledge->adopt(news);
        auto heapWithKnowledge = allocatedHeapBytes();
        std::shared_ptr<const RouteTable> table;
        auto build = elapsedMicroseconds([&] { table = RouteTable::create(*knowledge); });
        auto heapWithTable = allocatedHeapBytes();
        std::string text;
        auto encode = elapsedMicroseconds([&] { text = toJson(news.records[0]).dump(); });
        std::printf("partitions %u: knowledge %.1f B each, route table %.1f B each, build %.3f us each, record %.2f B "
                    "each, encode %.3f us each\n",
            partitions, static_cast<double>(heapWithKnowledge - heapBefore) / partitions,
            static_cast<double>(heapWithTable - heapWithKnowledge) / partitions, build / partitions,
            static_cast<double>(text.size()) / partitions, encode / partitions);
        constexpr int lookups = 200'000;
        std::size_t found = 0;
        auto lookup = elapsedMicroseconds([&] {
            for (int n = 0; n < lookups; ++n)
                found += table->find("lots", "key-" + std::to_string(n), "GET").has_value();
        });
        std::printf("  lookup %.3f us (%zu found)\n", lookup / lookups, found);
    }

    void measureAgent(std::size_t servers, std::size_t itemsPerServer)
    {
        Agent::Options options;
        options.self = { "e1", 1 };
        options.domain = "north";
        options.planner
            = [](const PlanInput& input) { return planIncremental(input, [](const ServiceName&) { return 0.0; }); };
        TimePoint now { 1s };
        auto heapBefore = allocatedHeapBytes();
        auto agent = Agent::create(options, now).value();
        std::map<ServerId, GrantTable> tables;
        DomainPlan plan;
        for (std::size_t n = 0; n < servers; ++n) {
            auto id = "lots/s" + std::to_string(n);
            plan.servers.push_back({ id, "lots", 2, true, false });
            tables.emplace(id, GrantTable::create({}));
        }
        for (std::uint32_t n = 0; n < servers * itemsPerServer; ++n)
            plan.items.insert({ "lots", n, "" });
        agent.handle(InstancesListed { { "e1" } }, now);
        agent.handle(plan, now);
        double elapsed = 0;
        std::size_t orderCount = 0;
        std::uint64_t revision = 0;
        std::vector<Action> pending;
        auto deliver = [&](const Event& event, bool isMeasured) {
            std::vector<Action> actions;
            auto duration = elapsedMicroseconds([&] { actions = agent.handle(event, now); });
            elapsed += isMeasured ? duration : 0;
            pending.insert(pending.end(), actions.begin(), actions.end());
        };
        auto respondToAll = [&](bool isMeasured) {
            while (!pending.empty()) {
                auto actions = std::move(pending);
                pending.clear();
                for (const auto& it : actions) {
                    if (const auto* order = std::get_if<SendServer>(&it)) {
                        orderCount += isMeasured;
                        deliver(ServerAnswered { order->server, order->sequence,
                                    tables.at(order->server).handle(order->order, now) },
                            isMeasured);
                    } else if (const auto* read = std::get_if<ReadRecord>(&it)) {
                        deliver(StoreAnswered { read->sequence, StoreOutcome::ok, 0, std::nullopt }, isMeasured);
                    } else if (const auto* write = std::get_if<WriteRecord>(&it)) {
                        deliver(
                            StoreAnswered { write->sequence, StoreOutcome::ok, ++revision, std::nullopt }, isMeasured);
                    }
                }
            }
        };
        constexpr int warmupTicks = 200;
        constexpr int ticks = 100;
        for (int n = 0; n < warmupTicks + ticks; ++n) {
            now += 10ms;
            deliver(Tick {}, n >= warmupTicks);
            respondToAll(n >= warmupTicks);
        }
        std::printf(
            "agent, %zu servers, %zu items each: %.2f%% of a core, %.0f orders/s, %.2f us an order, %.0f B an item\n",
            servers, itemsPerServer, elapsed / (ticks * 10'000.0) * 100,
            static_cast<double>(orderCount) / (ticks * 0.01), elapsed / static_cast<double>(orderCount),
            static_cast<double>(allocatedHeapBytes() - heapBefore) / static_cast<double>(servers * itemsPerServer));
    }

    void measureCodec()
    {
        constexpr int rounds = 20'000;
        ServerOrder order;
        order.kind = OrderKind::renew;
        ServerAnswer response;
        auto encodedOrder = net::encodeOrder(order);
        auto encodedResponse = net::encodeAnswer(response);
        auto elapsed = elapsedMicroseconds([&] {
            for (int n = 0; n < rounds; ++n) {
                net::encodeOrder(order);
                net::decodeAnswer(encodedResponse);
            }
        });
        std::printf("renewal: %zu B order, %zu B response (bodies), %.2f us to encode and decode\n",
            encodedOrder.size(), encodedResponse.size(), elapsed / rounds);
    }

} // namespace

void runCostBench()
{
    for (std::uint32_t partitions : { 10'000U, 70'000U, 280'000U, 1'000'000U })
        measureRouteTable(partitions);
    for (std::size_t servers : { 10, 100, 400 })
        measureAgent(servers, 70);
    measureCodec();
}

} // namespace acaciagauge::bench
