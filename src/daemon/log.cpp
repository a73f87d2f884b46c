#include "daemon/log.hpp"

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <spdlog/async.h>
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
        case LogEvent::settingsReloaded:
            return "settingsReloaded";
        case LogEvent::memberRegistered:
            return "memberRegistered";
        case LogEvent::controllerWon:
            return "controllerWon";
        case LogEvent::controllerLost:
            return "controllerLost";
        case LogEvent::keyDecision:
            return "keyDecision";
        case LogEvent::loadUnreported:
            return "loadUnreported";
        case LogEvent::controllerWorkload:
            return "controllerWorkload";
        case LogEvent::ownersUnknown:
            return "ownersUnknown";
        case LogEvent::ownersRecorded:
            return "ownersRecorded";
        case LogEvent::desiredStateInForce:
            return "desiredStateInForce";
        case LogEvent::documentSkipped:
            return "documentSkipped";
        case LogEvent::serverListed:
            return "serverListed";
        case LogEvent::serverLeaving:
            return "serverLeaving";
        case LogEvent::serverGone:
            return "serverGone";
        case LogEvent::serverLimit:
            return "serverLimit";
        case LogEvent::evacuationStarted:
            return "evacuationStarted";
        case LogEvent::evacuationEnded:
            return "evacuationEnded";
        case LogEvent::permitUnanswered:
            return "permitUnanswered";
        case LogEvent::coordinatorUnanswered:
            return "coordinatorUnanswered";
        case LogEvent::coordinationChanged:
            return "coordinationChanged";
        case LogEvent::storeRelayed:
            return "storeRelayed";
        case LogEvent::storeSource:
            return "storeSource";
        case LogEvent::storeSourceLost:
            return "storeSourceLost";
        case LogEvent::storeCopyDiffers:
            return "storeCopyDiffers";
        case LogEvent::storeCallSlow:
            return "storeCallSlow";
        case LogEvent::storeEra:
            return "storeEra";
        case LogEvent::storeCallFailed:
            return "storeCallFailed";
        case LogEvent::requestDone:
            return "requestDone";
        case LogEvent::requestRefused:
            return "requestRefused";
        case LogEvent::requestFailed:
            return "requestFailed";
        case LogEvent::requestRetried:
            return "requestRetried";
        case LogEvent::requestMalformed:
            return "requestMalformed";
        case LogEvent::messageUnbuffered:
            return "messageUnbuffered";
        case LogEvent::transferEnded:
            return "transferEnded";
        case LogEvent::linesDropped:
            return "linesDropped";
        }
        return "unknown";
    }

    spdlog::level::level_enum toSpdlogLevel(LogLevel level)
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

    /// Capacity of the queue of lines to write.
    constexpr std::size_t queueCapacity = 1024;

    /// Limit of each event: enough for an instance's usual share of requests, yet bounded under load.
    constexpr std::uint32_t maxLinesPerSecond = 100;

    /// Limits the lines per second of each event.
    class LineRateLimiter {
    public:
        /// Returns false if the line is to be dropped. At most once a second, `dropped` receives the number of dropped
        /// lines that is to be logged.
        bool allow(LogEvent event, std::uint32_t& dropped)
        {
            std::lock_guard lock(m_mutex);
            auto second
                = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch());
            if (second != m_second) {
                m_second = second;
                m_lines.clear();
                std::swap(dropped, m_dropped);
            }
            bool isAllowed = ++m_lines[event] <= maxLinesPerSecond;
            m_dropped += isAllowed ? 0 : 1;
            return isAllowed;
        }

    private:
        std::mutex m_mutex;
        std::chrono::seconds m_second { 0 };
        std::map<LogEvent, std::uint32_t> m_lines;
        std::uint32_t m_dropped = 0;
    };

    void write(LogLevel level, LogEvent event, std::initializer_list<LogField> fields)
    {
        std::string line = "\"instance\":" + nlohmann::json(instanceName()).dump() + ",\"event\":"
            + std::to_string(static_cast<int>(event)) + ",\"name\":\"" + std::string(nameOf(event)) + "\"";
        for (const auto& it : fields)
            line += "," + nlohmann::json(it.first).dump() + ":"
                + nlohmann::json(it.second).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        spdlog::default_logger_raw()->log(toSpdlogLevel(level), line);
    }

} // namespace

void startLog(const std::string& instance, const std::string& level)
{
    instanceName() = instance;
    spdlog::init_thread_pool(queueCapacity, 1);
    auto logger = spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("acaciagauge");
    logger->set_pattern("{\"time\":\"%Y-%m-%dT%H:%M:%S.%f%z\",\"level\":\"%l\",%v}");
    logger->set_level(spdlog::level::from_str(level));
    spdlog::set_default_logger(logger);
}

void stopLog()
{
    spdlog::shutdown();
}

void logEvent(LogLevel level, LogEvent event, std::initializer_list<LogField> fields)
{
    auto* logger = spdlog::default_logger_raw();
    if (!logger || !logger->should_log(toSpdlogLevel(level)))
        return;
    static LineRateLimiter limiter;
    std::uint32_t dropped = 0;
    bool isAllowed = limiter.allow(event, dropped);
    if (dropped > 0)
        write(LogLevel::warn, LogEvent::linesDropped, { { "lines", std::to_string(dropped) } });
    if (isAllowed)
        write(level, event, fields);
}

} // namespace acaciagauge::daemon
