#include <acaciagauge/acaciagauge.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace acaciagauge;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1h };

} // namespace

TEST_CASE("a request that may have run is retried only if it is idempotent, and at no more servers than allowed")
{
    bool holds = rc::check("after a send", [] {
        SendHistory history;
        history.last = static_cast<SendOutcome>(*rc::gen::inRange(0, 7));
        history.idempotent = *rc::gen::arbitrary<bool>();
        history.hasKey = *rc::gen::arbitrary<bool>();
        history.mayHaveRun = *rc::gen::inRange(0U, 4U);
        history.arrivals = *rc::gen::inRange(0U, 20U);
        history.maxAttempts = *rc::gen::inRange(1U, 4U);
        history.remaining = Duration(*rc::gen::inRange(-100, 3'000'000));
        history.serviceTime = 200ms;
        auto next = decideRetry(history);
        bool isRetried = next == RetryDecision::retry || next == RetryDecision::waitForOwner;
        bool mayHaveRun = history.last == SendOutcome::unknown || history.last == SendOutcome::failed;
        if (isRetried && mayHaveRun)
            RC_ASSERT(history.idempotent && history.mayHaveRun < history.maxAttempts);
        if (isRetried)
            RC_ASSERT(history.remaining > Duration::zero());
        if (history.last == SendOutcome::answered)
            RC_ASSERT(next == RetryDecision::answer);
    });
    CHECK(holds);
}

TEST_CASE("a request is given up after a few misdirected attempts")
{
    SendHistory history;
    history.last = SendOutcome::misdirected;
    history.remaining = 10s;
    history.arrivals = 1;
    CHECK(decideRetry(history) == RetryDecision::waitForOwner);
    history.arrivals = 50;
    CHECK(decideRetry(history) == RetryDecision::giveUp);
}

TEST_CASE("all instances together stay within the retry budget of every window")
{
    bool holds = rc::check("budget", [] {
        constexpr int instances = 4;
        RetryShare::Options options;
        options.allowance = 40;
        std::vector<RetryShare> shares(instances, RetryShare::create(options));
        std::vector<std::pair<TimePoint, bool>> log; // Time, and whether it was a retry.
        auto now = start;
        for (int n = 0; n < 600; ++n) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 120));
            auto who = static_cast<std::size_t>(*rc::gen::inRange(0, instances));
            shares[who].countRequest("s", now);
            log.emplace_back(now, false);
            for (int k = 0; k < 3; ++k) {
                if (shares[who].take("s", instances, now))
                    log.emplace_back(now, true);
            }
        }
        for (std::size_t first = 0; first < log.size(); first += 25) {
            double retries = 0;
            double requests = 0;
            for (const auto& it : log) {
                if (it.first < log[first].first || it.first >= log[first].first + options.window)
                    continue;
                (it.second ? retries : requests) += 1;
            }
            // Requests just before the window may count towards the budget as well. The last term covers them
            // generously.
            RC_ASSERT(retries
                <= options.ratio * requests + options.allowance + options.ratio * static_cast<double>(log.size()));
        }
    });
    CHECK(holds);
}

TEST_CASE("an instance without requests has its part of the allowance and no more")
{
    RetryShare::Options options;
    options.allowance = 40;
    options.safety = 0.5;
    auto share = RetryShare::create(options);
    int taken = 0;
    while (share.take("s", 4, start))
        ++taken;
    CHECK(taken == 5);
    CHECK(share.take("other", 4, start));
    CHECK(!share.take("s", 4, start + 5s));
    CHECK(share.take("s", 4, start + 11s));
}
