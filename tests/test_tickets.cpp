#include <acaciagauge/acaciagauge.hpp>
#include <catch2/catch.hpp>

using namespace acaciagauge;

TEST_CASE("a malformed ticket is refused with its field")
{
    auto ticket = parseTicket(R"({"number":1,"services":{"lots":{"partitions":0,"servers":[]}}})");
    REQUIRE_FALSE(ticket);
    CHECK(ticket.error().code == ResultCode::malformedTicket);
    CHECK(ticket.error().message.find("services.lots.partitions") != std::string::npos);
}
