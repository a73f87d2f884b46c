#include <acaciagauge/acaciagauge.hpp>
#include <catch2/catch.hpp>

using namespace acaciagauge;

namespace {

std::string problemOf(const char* text)
{
    auto chart = Chart::parse("x.chart", text);
    REQUIRE_FALSE(chart);
    CHECK(chart.error().code == ResultCode::invalidChart);
    return chart.error().message;
}

} // namespace

TEST_CASE("the charts that the program is built with are sound")
{
    auto checked = checkBuiltInCharts();
    INFO((checked ? "" : checked.error().message));
    REQUIRE(checked);
    CHECK(builtInChart("role").states().size() == 5);
    CHECK(builtInChart("server").states() == std::vector<std::string> { "unknown", "up", "silent", "out" });
}

TEST_CASE("a damaged chart is refused with file and line")
{
    CHECK(problemOf("chart x\nevents go\nstate a\n go -> b\n") == "x.chart:4: unknown state b");
    CHECK(problemOf("chart x\nevents go\nstate a\n") == "x.chart:3: state a does not mention event go");
    CHECK(problemOf("chart x\nevents go\nstate a\n stop -> a\n") == "x.chart:4: unknown event stop");
    CHECK(problemOf("chart x\nevents go\nstate a\n go ignored\nstate b\n go -> a\n")
        == "x.chart:5: state b cannot be reached");
    CHECK(problemOf("chart x\nevents go\nstate a\n go somewhere\n").find("x.chart:4: expected") == 0);
    CHECK(problemOf("chart x\nevents go\nstate a\n go ignored\nstate a\n go ignored\n")
        == "x.chart:5: state a is named twice");
}

TEST_CASE("a chart moves, ignores and forbids")
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
