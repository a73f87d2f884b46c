#include <acaciagauge/acaciagauge.hpp>
#include <catch2/catch.hpp>

using namespace acaciagauge;

namespace {

std::string parseErrorOf(const char* text)
{
    auto chart = Chart::parse("x.chart", text);
    REQUIRE_FALSE(chart);
    CHECK(chart.error().code == ResultCode::invalidChart);
    return chart.error().message;
}

} // namespace

TEST_CASE("the built-in charts are valid")
{
    auto checked = checkBuiltInCharts();
    INFO((checked ? "" : checked.error().message));
    REQUIRE(checked);
    CHECK(builtInChart("role").states().size() == 5);
    CHECK(builtInChart("server").states() == std::vector<std::string> { "unknown", "up", "silent", "out" });
}

TEST_CASE("an invalid chart is rejected with file and line")
{
    CHECK(parseErrorOf("chart x\nevents go\nstate a\n go -> b\n") == "x.chart:4: unknown state b");
    CHECK(parseErrorOf("chart x\nevents go\nstate a\n") == "x.chart:3: state a does not mention event go");
    CHECK(parseErrorOf("chart x\nevents go\nstate a\n stop -> a\n") == "x.chart:4: unknown event stop");
    CHECK(parseErrorOf("chart x\nevents go\nstate a\n go ignored\nstate b\n go -> a\n")
        == "x.chart:5: state b cannot be reached");
    CHECK(parseErrorOf("chart x\nevents go\nstate a\n go somewhere\n").find("x.chart:4: expected") == 0);
    CHECK(parseErrorOf("chart x\nevents go\nstate a\n go ignored\nstate a\n go ignored\n")
        == "x.chart:5: state a is named twice");
}

TEST_CASE("an event changes the state, is ignored, or is impossible")
{
    auto chart = Chart::parse(
        "x.chart", "chart x\nevents go stop\nstate a\n go -> b\n stop ignored\nstate b\n go impossible\n stop -> a\n")
                     .value();
    enum class State { a, b } state = State::a;
    enum class Event { go, stop };
    CHECK(advance(chart, state, Event::stop));
    CHECK(state == State::a);
    CHECK(advance(chart, state, Event::go));
    CHECK(state == State::b);
    CHECK_FALSE(advance(chart, state, Event::go));
    CHECK(state == State::b);
}
