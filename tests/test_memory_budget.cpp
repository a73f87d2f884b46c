#include "acaciagauge/acaciagauge.hpp"

#include <catch2/catch.hpp>

using namespace acaciagauge;
using namespace std::chrono_literals;
using Phase = MemoryBudget::Phase;

namespace {

constexpr std::uint64_t mib = 1024 * 1024;
const TimePoint start { 100s };

MemoryBudget budgetOf(std::uint64_t bytes)
{
    MemoryBudget::Options options;
    options.bytes = bytes;
    options.reservedBytes = 2 * mib;
    return MemoryBudget::create(options);
}

} // namespace

TEST_CASE("the budget fits one body of 64 MiB in 120 MB and stays far below larger memories")
{
    auto smallest = MemoryBudget::optionsFor(120'000'000);
    CHECK(smallest.bytes - smallest.reservedBytes > 64 * mib + 64 * smallest.smallBytes / 8);
    CHECK(smallest.bytes <= 72'000'000);
    CHECK(MemoryBudget::optionsFor(512'000'000).bytes == 256'000'000);
}

// Guards against half-sent bodies that hold the budget for good.
TEST_CASE("the slowest stalled transfers are ended when the budget is used up")
{
    auto budget = budgetOf(22 * mib);
    auto stalled = budget.add(Phase::transfer, start);
    auto slower = budget.add(Phase::transfer, start - 5s);
    auto active = budget.add(Phase::transfer, start - 5s);
    auto running = budget.add(Phase::processing, start - 5s);
    for (auto it : { stalled, slower, active, running })
        REQUIRE(budget.resize(it, 5 * mib, start).isGranted);
    budget.noteProgress(active, mib, start + 1900ms);
    // Single bytes do not count as progress.
    budget.noteProgress(slower, 1, start + 1900ms);

    auto next = budget.add(Phase::transfer, start + 2s);
    CHECK_FALSE(budget.resize(next, 11 * mib, start + 2s).isGranted);
    CHECK(budget.used() == 20 * mib);
    auto decision = budget.resize(next, 5 * mib, start + 2s);
    CHECK(decision.isGranted);
    CHECK(decision.ended == std::vector<MemoryBudget::HolderId> { slower });
    CHECK(budget.used() == 20 * mib);
}

// Guards against large bodies that shut out, or end, the requests of ordinary callers.
TEST_CASE("small messages have a reserved part, and are not ended for large ones")
{
    auto budget = budgetOf(22 * mib);
    auto large = budget.add(Phase::processing, start);
    REQUIRE(budget.resize(large, 20 * mib, start).isGranted);
    auto small = budget.add(Phase::transfer, start);
    CHECK(budget.resize(small, 64 * 1024, start).isGranted);
    CHECK_FALSE(budget.resize(small, 64 * 1024 + 1, start).isGranted);
    auto other = budget.add(Phase::transfer, start + 5s);
    CHECK_FALSE(budget.resize(other, mib, start + 5s).isGranted);
    budget.record(large, 22 * mib - 64 * 1024);
    CHECK(budget.resize(other, 8 * 1024, start + 5s).ended == std::vector<MemoryBudget::HolderId> { small });
    budget.remove(large);
    budget.remove(small);
    CHECK(budget.used() == 8 * 1024);
}
