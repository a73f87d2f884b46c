#include "daemon/log.hpp"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace acaciagauge::daemon {

namespace {

    std::string_view nameOf(LogEvent event)
    {
        switch (event) {
        case LogEvent::started:
            return "started";
        case LogEvent::leaving:
            return "leaving";
        case LogEvent::stopped:
            return "stopped";
        case LogEvent::settingsRefused:
            return "settingsRefused";
        case LogEvent::roleChanged:
            return "roleChanged";
        case LogEvent::recordPublished:
            return "recordPublished";
        case LogEvent::serverStatesChanged:
            return "serverStatesChanged";
        case LogEvent::ticketInForce:
            return "ticketInForce";
        case LogEvent::ticketAccepted:
            return "ticketAccepted";
        case LogEvent::ticketRefused:
            return "ticketRefused";
        case LogEvent::orderUnauthorized:
            return "orderUnauthorized";
        case LogEvent::homesChanged:
            return "homesChanged";
        case LogEvent::storeUnavailable:
            return "storeUnavailable";
        case LogEvent::storeAvailable:
            return "storeAvailable";
        case LogEvent::requestUnknownOutcome:
            return "requestUnknownOutcome";
        case LogEvent::peerUnreachable:
            return "peerUnreachable";
        case LogEvent::rpcFailed:
            return "rpcFailed";
        }
        return "unknown";
    }

    spdlog::level::level_enum levelOf(LogLevel level)
    {
        switch (level) {
        case LogLevel::debug:
            return spdlog::level::debug;
        case LogLevel::info:
            return spdlog::level::info;
        case LogLevel::warn:
            return spdlog::level::warn;
        case LogLevel::error:
            return spdlog::level::err;
        }
        return spdlog::level::info;
    }

    std::string& instanceName()
    {
        static std::string name;
        return name;
    }

} // namespace

void startLog(const std::string& instance, const std::string& level)
{
    instanceName() = instance;
    auto logger = spdlog::stderr_logger_mt("acaciagauge");
    logger->set_pattern("{\"time\":\"%Y-%m-%dT%H:%M:%S.%f%z\",\"level\":\"%l\",%v}");
    logger->set_level(spdlog::level::from_str(level));
    logger->flush_on(spdlog::level::warn);
    spdlog::set_default_logger(logger);
    spdlog::flush_every(std::chrono::seconds(1));
}

void logEvent(LogLevel level, LogEvent event, std::initializer_list<LogField> fields)
{
    auto spdLevel = levelOf(level);
    if (!spdlog::default_logger_raw()->should_log(spdLevel))
        return;
    std::string line = "\"instance\":" + nlohmann::json(instanceName()).dump()
        + ",\"event\":" + std::to_string(static_cast<int>(event)) + ",\"name\":\"" + std::string(nameOf(event)) + "\"";
    for (const auto& it : fields)
        line += "," + nlohmann::json(it.first).dump() + ":"
            + nlohmann::json(it.second).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    spdlog::log(spdLevel, line);
}

} // namespace acaciagauge::daemon
