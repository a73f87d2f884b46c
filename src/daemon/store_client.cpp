#include "daemon/store_client.hpp"

#include "daemon/log.hpp"

#include <nlohmann/json.hpp>

namespace acaciagauge::daemon {

using boost::asio::awaitable;
using Json = nlohmann::json;

namespace {

    constexpr auto callTimeout = std::chrono::milliseconds(500);

    /// Returns an empty value with its default outcome if the body is malformed.
    StoredValue decode(const std::string& body)
    {
        StoredValue value;
        try {
            auto document = Json::parse(body);
            if (document.contains("revision"))
                value.revision = readWholeField<std::uint64_t>(document, "revision");
            value.value = document.value("value", std::string());
            value.outcome = StoreOutcome::ok;
            return value;
        } catch (const Json::exception& error) {
            logEvent(LogLevel::warn, LogEvent::documentSkipped, { { "reason", error.what() } });
            return {};
        }
    }

} // namespace

StoreClient::StoreClient(boost::asio::io_context& context, std::string address)
    : m_address(std::move(address))
    , m_client(net::HttpClient::create(context, { 16, net::maxAdminBodyBytes }))
{
}

void StoreClient::note(bool isAnswered)
{
    enum class StoreEvent {
        answered,
        failed,
    };
    auto before = m_link;
    advance(builtInChart("store"), m_link, isAnswered ? StoreEvent::answered : StoreEvent::failed);
    if (m_link == before)
        return;
    if (isAvailable())
        logEvent(LogLevel::info, LogEvent::storeAvailable);
    else
        logEvent(LogLevel::warn, LogEvent::storeUnavailable, { { "address", m_address } });
}

awaitable<StoredValue> StoreClient::get(std::string target, std::chrono::milliseconds timeout)
{
    auto exchange = co_await m_client->exchange(m_address, net::makeRequest(net::http::verb::get, target), timeout);
    auto status = exchange.response.result_int();
    bool isAnswer = exchange.state == net::ExchangeState::answered && (status == 200 || status == 404);
    note(isAnswer);
    if (!isAnswer)
        co_return StoredValue {};
    co_return decode(exchange.response.body());
}

awaitable<StoredValue> StoreClient::read(std::string key)
{
    co_return co_await get("/kv/" + net::percentEncode(key), callTimeout);
}

awaitable<StoredValue> StoreClient::watch(std::string key, std::uint64_t after, std::chrono::milliseconds wait)
{
    auto target = "/kv/" + net::percentEncode(key) + "?after=" + std::to_string(after)
        + "&wait_ms=" + std::to_string(wait.count());
    co_return co_await get(target, wait + callTimeout);
}

awaitable<StoredValue> StoreClient::write(std::string key, std::uint64_t expected, std::string value)
{
    auto target = "/kv/" + net::percentEncode(key) + "?expect=" + std::to_string(expected);
    auto request = net::makeRequest(net::http::verb::put, target, std::move(value));
    auto exchange = co_await m_client->exchange(m_address, std::move(request), callTimeout);
    bool isAnswered = exchange.state == net::ExchangeState::answered;
    auto status = isAnswered ? exchange.response.result_int() : 0;
    note(isAnswered && (status == 200 || status == 409));
    StoredValue result;
    if (status == 200 || status == 409) {
        result = decode(exchange.response.body());
        if (result.outcome != StoreOutcome::ok)
            result.outcome = StoreOutcome::unknown;
        else if (status != 200)
            result.outcome = StoreOutcome::conflict;
        co_return result;
    }
    bool isNotWritten = exchange.state == net::ExchangeState::connectionRefused
        || exchange.state == net::ExchangeState::notSent || status == 503 || status == 429 || status == 413;
    result.outcome = isNotWritten ? StoreOutcome::unavailable : StoreOutcome::unknown;
    co_return result;
}

awaitable<std::string> StoreClient::instances()
{
    auto request = net::makeRequest(net::http::verb::get, "/instances");
    auto exchange = co_await m_client->exchange(m_address, std::move(request), callTimeout);
    bool isAnswer = exchange.state == net::ExchangeState::answered && exchange.response.result_int() == 200;
    co_return isAnswer ? exchange.response.body() : std::string();
}

} // namespace acaciagauge::daemon
