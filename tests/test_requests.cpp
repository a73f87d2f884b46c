#include "net/net.hpp"

#include <acaciagauge/acaciagauge.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <rapidcheck.h>

using namespace acaciagauge;
using namespace std::chrono_literals;

namespace {

Attempt anyAttempt()
{
    static const ResultCode codes[]
        = { ResultCode::noOwner, ResultCode::notHeld, ResultCode::queueFull, ResultCode::deadlineExceeded,
              ResultCode::outcomeUnknown, ResultCode::peerUnreachable, ResultCode::answerTruncated };
    Attempt attempt;
    attempt.outcome = Outcome(*rc::gen::inRange(0, 3));
    attempt.code = codes[*rc::gen::inRange(0, 7)];
    attempt.idempotent = *rc::gen::arbitrary<bool>();
    attempt.number = *rc::gen::inRange(1U, 40U);
    attempt.remaining = Duration(*rc::gen::inRange(-1000, 1'000'000));
    return attempt;
}

} // namespace

TEST_CASE("a non-idempotent request with an unknown outcome is never retried")
{
    bool holds = rc::check("next try", [] {
        auto budget = RetryBudget::create({});
        auto attempt = anyAttempt();
        auto wait = retryDelay(attempt, budget);
        if (!wait)
            return;
        RC_ASSERT(attempt.outcome != Outcome::ran);
        RC_ASSERT(attempt.outcome == Outcome::notRun || attempt.idempotent);
        RC_ASSERT(*wait < attempt.remaining);
    });
    CHECK(holds);
}

TEST_CASE("the retry budget limits retries to a fraction of the requests")
{
    bool holds = rc::check("budget", [] {
        RetryBudget::Options options;
        options.maxSavedRetries = 5;
        auto budget = RetryBudget::create(options);
        auto requests = *rc::gen::inRange(0, 500);
        int retries = 0;
        for (int n = 0; n < requests; ++n) {
            budget.countRequest();
            retries += budget.take();
        }
        RC_ASSERT(retries <= options.maxSavedRetries + options.retryRatio * requests + 1);
    });
    CHECK(holds);
}

TEST_CASE("a server's queue starts each request at most once and never more than its slots")
{
    bool holds = rc::check("queue", [] {
        ServerQueue::Options options;
        options.slots = *rc::gen::inRange(1U, 5U);
        options.maxWaiting = 8;
        options.coldStart = Duration::zero();
        TimePoint now { 1s };
        auto queue = ServerQueue::create(options, now);
        std::map<std::uint64_t, int> started;
        std::set<std::uint64_t> waiting;
        std::uint64_t next = 0;
        auto drain = [&] {
            for (const auto& it : queue.dequeue(now)) {
                RC_ASSERT(waiting.erase(it.id) == 1);
                started[it.id] += it.code == ResultCode::ok;
            }
        };
        for (int it : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4))) {
            now += Duration(*rc::gen::inRange(0, 20'000));
            if (it <= 1) {
                auto id = ++next;
                auto verdict = queue.offer(id, Priority(it), now + 50ms, now);
                started[id] += verdict == ServerQueue::Verdict::start;
                if (verdict == ServerQueue::Verdict::wait)
                    waiting.insert(id);
            } else if (it == 2 && queue.inFlight() > 0) {
                queue.finished(5ms, *rc::gen::arbitrary<bool>(), now);
                drain();
            } else if (it == 3 && !waiting.empty()) {
                RC_ASSERT(queue.withdraw(*waiting.begin()));
                waiting.erase(waiting.begin());
            }
            RC_ASSERT(queue.inFlight() <= options.slots);
            RC_ASSERT(queue.waiting() <= options.maxWaiting);
            RC_ASSERT(queue.waiting() == waiting.size());
        }
        for (const auto& it : started)
            RC_ASSERT(it.second <= 1);
    });
    CHECK(holds);
}

TEST_CASE("waiting non-idempotent requests are started before idempotent ones")
{
    ServerQueue::Options options;
    options.coldStart = Duration::zero();
    TimePoint now { 1s };
    auto queue = ServerQueue::create(options, now);
    REQUIRE(queue.offer(1, Priority::idempotent, now + 1s, now) == ServerQueue::Verdict::start);
    REQUIRE(queue.offer(2, Priority::idempotent, now + 1s, now) == ServerQueue::Verdict::wait);
    REQUIRE(queue.offer(3, Priority::nonIdempotent, now + 1s, now) == ServerQueue::Verdict::wait);
    queue.finished(1ms, false, now);
    auto dequeued = queue.dequeue(now);
    REQUIRE(dequeued.size() == 1);
    CHECK(dequeued[0].id == 3);
}

TEST_CASE("a response that arrives after the timeout is not taken for that of the next request")
{
    net::asio::io_context context(1);
    net::HttpServer::Options options;
    options.address = "127.0.0.1:0";
    options.handler = [&](net::Request request) -> net::asio::awaitable<net::Response> {
        if (request.target() == "/slow") {
            net::asio::steady_timer timer(context, 200ms);
            co_await timer.async_wait(net::asio::use_awaitable);
        }
        co_return net::makeResponse(200, std::string(request.target()));
    };
    auto server = net::HttpServer::create(context, options).value();
    server->start();
    auto address = "127.0.0.1:" + std::to_string(server->port());
    auto client = net::HttpClient::create(context, {});
    std::vector<net::Exchange> exchanges;
    auto calls = [&]() -> net::asio::awaitable<void> {
        exchanges.push_back(co_await client->exchange(address, net::makeRequest(net::http::verb::get, "/slow"), 50ms));
        net::asio::steady_timer timer(context, 300ms);
        co_await timer.async_wait(net::asio::use_awaitable);
        exchanges.push_back(co_await client->exchange(address, net::makeRequest(net::http::verb::get, "/second"), 2s));
        context.stop();
    };
    net::asio::co_spawn(context, calls(), net::asio::detached);
    context.run();
    REQUIRE(exchanges.size() == 2);
    CHECK(exchanges[0].state == net::ExchangeState::timedOut);
    CHECK(exchanges[1].state == net::ExchangeState::answered);
    CHECK(exchanges[1].response.body() == "/second");
}

TEST_CASE("a truncated response is reported as incomplete")
{
    net::asio::io_context context(1);
    net::HttpServer::Options options;
    options.address = "127.0.0.1:0";
    options.handler = [](net::Request) -> net::asio::awaitable<net::Response> {
        auto response = net::makeResponse(200, "half of the answer");
        response.content_length(response.body().size() * 2);
        response.keep_alive(false);
        co_return response;
    };
    auto server = net::HttpServer::create(context, options).value();
    server->start();
    auto client = net::HttpClient::create(context, {});
    net::Exchange exchange;
    auto call = [&]() -> net::asio::awaitable<void> {
        auto address = "127.0.0.1:" + std::to_string(server->port());
        exchange = co_await client->exchange(address, net::makeRequest(net::http::verb::get, "/"), 2s);
        context.stop();
    };
    net::asio::co_spawn(context, call(), net::asio::detached);
    context.run();
    CHECK(exchange.state == net::ExchangeState::incomplete);
}
