#include <acaciagauge/acaciagauge.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace acaciagauge;

namespace {

Ticket makeTicket(TicketNumber number, const std::string& writer, const std::string& service = "lots")
{
    Ticket ticket;
    ticket.number = number;
    ticket.writer = writer;
    ServiceSpec spec;
    spec.name = service;
    spec.servers.push_back({ "s1", "north", "127.0.0.1:9001" });
    ticket.services[service] = spec;
    return ticket;
}

/// A model of the store's ticket head and log, with delayed writes.
struct ModelStore {
    std::uint64_t revision = 0;
    TicketHead head;
    std::map<TicketNumber, Ticket> log;
    std::map<TicketNumber, std::string> winners; ///< Writer of every head ever written, by ticket number.
    struct LateWrite {
        std::uint64_t expected;
        TicketHead head;
    };
    std::vector<LateWrite> late;

    bool write(std::uint64_t expected, const TicketHead& next)
    {
        if (expected != revision)
            return false;
        ++revision;
        head = next;
        auto inserted = winners.emplace(next.configuration.number, next.configuration.writer).second;
        RC_ASSERT(inserted);
        return true;
    }

    void applyLateWrites()
    {
        for (const auto& it : late)
            write(it.expected, it.head);
        late.clear();
    }
};

enum class StoreFault {
    none,
    unavailable,
    responseLost,
    lateWrite,
    count,
};

/// One operator's call; advance() makes one store call of it.
struct Operator {
    Filing filing;
    Filing::Step step;
    std::string writer;
    TicketNumber number;

    [[nodiscard]] bool isDone() const
    {
        return std::holds_alternative<Filing::Accepted>(step) || std::holds_alternative<Filing::Refused>(step);
    }

    void advance(ModelStore& store, StoreFault fault)
    {
        bool isDown = fault == StoreFault::unavailable;
        if (std::holds_alternative<Filing::ReadHead>(step)) {
            step = filing.headRead(isDown ? StoreOutcome::unavailable : StoreOutcome::ok, store.revision, store.head);
        } else if (const auto* entry = std::get_if<Filing::ReadLog>(&step)) {
            auto found = store.log.find(entry->number);
            auto logged = found == store.log.end() ? std::nullopt : std::optional(found->second);
            step = filing.logRead(isDown ? StoreOutcome::unavailable : StoreOutcome::ok, logged);
        } else if (const auto* log = std::get_if<Filing::WriteLog>(&step)) {
            if (!isDown)
                store.log.emplace(log->ticket.number, log->ticket);
            step = filing.logWritten(isDown ? StoreOutcome::unavailable : StoreOutcome::ok);
        } else if (const auto* write = std::get_if<Filing::WriteHead>(&step)) {
            step = filing.headWritten(writeHead(store, *write, fault));
        }
    }

    static StoreOutcome writeHead(ModelStore& store, const Filing::WriteHead& write, StoreFault fault)
    {
        if (fault == StoreFault::unavailable)
            return StoreOutcome::unavailable;
        if (fault == StoreFault::lateWrite) {
            store.late.push_back({ write.expectedRevision, write.head });
            return StoreOutcome::unknown;
        }
        bool done = store.write(write.expectedRevision, write.head);
        if (fault == StoreFault::responseLost)
            return StoreOutcome::unknown;
        return done ? StoreOutcome::ok : StoreOutcome::conflict;
    }
};

Operator makeOperator(TicketNumber number, const std::string& writer)
{
    auto filing = Filing::create(makeTicket(number, writer)).value();
    return { filing, filing.start(), writer, number };
}

} // namespace

TEST_CASE("a malformed ticket is refused whole, with its field")
{
    auto refusal = [](const char* text) {
        auto ticket = parseTicket(text);
        REQUIRE_FALSE(ticket);
        CHECK(ticket.error().code == ResultCode::malformedTicket);
        return ticket.error().message;
    };
    CHECK(refusal(R"({"number":1,"services":{"lots":{"partitions":0,"servers":[]}}})").find("services.lots.partitions")
        == 0);
    CHECK(refusal(R"({"number":0,"services":{}})").find("ticket.number") == 0);
    CHECK(refusal(R"({"number":1})") == "the ticket changes no subject");
    CHECK(refusal(R"({"number":1,"colour":2,"services":{}})").find("\"colour\"") != std::string::npos);
    CHECK(refusal("{").find("not valid JSON") != std::string::npos);
    CHECK(refusal(R"({"number":1,"services":{"a b":{"servers":[]}}})").find("a b") != std::string::npos);
}

TEST_CASE("a ticket that touches several subjects is in force for all of them or none")
{
    auto good = makeTicket(1, "a");
    good.domains["north"] = { "north", false };
    auto first = applyTicket({}, good);
    REQUIRE(first);
    auto bad = makeTicket(2, "b", "fees");
    bad.removedServices.push_back("unheard-of");
    auto second = applyTicket(*first, bad);
    REQUIRE_FALSE(second);
    CHECK(second.error().code == ResultCode::unknownSubject);
    CHECK(first->services.size() == 1);
}

TEST_CASE("of two operators that file the same number, one succeeds and the other is told who did")
{
    ModelStore store;
    auto a = makeOperator(1, "anna");
    auto b = makeOperator(1, "bento");
    a.advance(store, StoreFault::none);
    b.advance(store, StoreFault::none);
    while (!a.isDone())
        a.advance(store, StoreFault::none);
    while (!b.isDone())
        b.advance(store, StoreFault::none);
    REQUIRE(std::holds_alternative<Filing::Accepted>(a.step));
    const auto& error = std::get<Filing::Refused>(b.step).error;
    CHECK(error.code == ResultCode::ticketNumberTaken);
    CHECK(error.message.find("anna") != std::string::npos);
}

TEST_CASE("configurations and tickets survive their JSON form")
{
    bool holds = rc::check("round trip", [] {
        auto number = *rc::gen::inRange<TicketNumber>(1, 1000);
        auto ticket = makeTicket(number, "w" + std::to_string(number));
        ticket.services["lots"].partitions = *rc::gen::inRange<std::uint32_t>(1, maxPartitions);
        ticket.services["lots"].servers[0].leaving = *rc::gen::arbitrary<bool>();
        auto back = ticketFromJson(toJson(ticket));
        RC_ASSERT(back.has_value());
        RC_ASSERT(back->services == ticket.services);
    });
    CHECK(holds);
}

TEST_CASE("an accepted ticket is stored once and never lost, whatever the store does")
{
    bool holds = rc::check("operators race under store faults", [] {
        ModelStore store;
        std::vector<Operator> operators;
        TicketNumber next = 1;
        auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, static_cast<int>(StoreFault::count))));
        for (const auto& it : steps) {
            if (it.first == 0 || operators.empty())
                operators.push_back(makeOperator(next, "w" + std::to_string(operators.size())));
            else if (it.first == 1)
                store.applyLateWrites();
            else
                operators[static_cast<std::size_t>(it.first) % operators.size()].advance(store, StoreFault(it.second));
            next = store.head.configuration.number + 1;
        }
        store.applyLateWrites();
        for (auto& it : operators) {
            while (!it.isDone())
                it.advance(store, StoreFault::none);
        }
        for (const auto& it : operators) {
            bool won = store.winners.contains(it.number) && store.winners[it.number] == it.writer;
            bool isAccepted = std::holds_alternative<Filing::Accepted>(it.step);
            RC_ASSERT(!isAccepted || won);
            bool saysUnknown
                = !isAccepted && std::get<Filing::Refused>(it.step).error.code == ResultCode::storeOutcomeUnknown;
            RC_ASSERT(isAccepted || saysUnknown || !won);
        }
        // Every ticket before the head's is in the log.
        for (TicketNumber n = 1; n < store.head.configuration.number; ++n)
            RC_ASSERT(store.log.contains(n) && store.log[n].writer == store.winners[n]);
    });
    CHECK(holds);
}

TEST_CASE("what is in force never reverts, whatever arrives late, twice or out of order")
{
    bool holds = rc::check("news in any order", [] {
        std::vector<News> history;
        Configuration configuration;
        for (TicketNumber n = 1; n <= 5; ++n) {
            configuration = applyTicket(configuration, makeTicket(n, "w")).value();
            DomainRecord record;
            record.domain = "north";
            record.renewers.epoch = 1 + n / 3;
            record.version = n;
            HomeMap homes;
            homes.service = "lots";
            homes.version = n;
            News news;
            news.configuration = configuration;
            news.records.push_back(record);
            news.homes.push_back(homes);
            history.push_back(news);
        }
        Knowledge knowledge;
        auto order = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, 5));
        std::size_t highest = 0;
        for (auto it : order) {
            knowledge.adopt(history[it]);
            highest = std::max(highest, it + 1);
            RC_ASSERT(knowledge.configuration().number == highest);
            RC_ASSERT(knowledge.records().at("north").version == highest);
            RC_ASSERT(knowledge.homes().at("lots").version == highest);
            RC_ASSERT(knowledge.newsFor(knowledge.digest()).isEmpty());
        }
    });
    CHECK(holds);
}
