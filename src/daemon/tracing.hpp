#pragma once

#include "acaciagauge/acaciagauge.hpp"

#include <deque>
#include <random>
#include <string>

namespace acaciagauge::daemon {

/// @brief Identity of a span, as carried by the W3C header "traceparent".
struct TraceContext {
    std::string traceId; ///< 32 hexadecimal digits.
    std::string spanId; ///< 16 hexadecimal digits.
    bool sampled = false;

    /// @brief Returns the header's value.
    [[nodiscard]] std::string header() const;
};

/// @brief Reads a traceparent header; an invalid one gives an empty context.
TraceContext parseTraceparent(const std::string& header);

/// @brief A finished hop.
struct Span {
    TraceContext context;
    std::string parentSpanId;
    std::string name; ///< "ingress", "egress" or "server".
    std::chrono::system_clock::time_point start;
    std::chrono::system_clock::time_point end;
    std::string requestId;
    ResultCode code = ResultCode::ok;
};

/// @brief Keeps the newest spans and writes them as OTLP/JSON. For one thread.
class Tracer {
public:
    /// @param percent share of requests that are sampled
    static Tracer create(std::string instance, std::size_t percent);

    /// @brief Starts a span below a parent; an empty parent starts a trace.
    TraceContext startSpan(const TraceContext& parent);

    /// @brief Keeps a span if it is sampled.
    void finishSpan(Span span);

    /// @brief Returns the kept spans as an OTLP/JSON document.
    [[nodiscard]] std::string toOtlp() const;

private:
    Tracer(std::string instance, std::size_t percent);
    std::string hexDigits(std::size_t n);

    std::string m_instance;
    std::size_t m_percent;
    std::mt19937_64 m_random;
    std::deque<Span> m_spans;
};

} // namespace acaciagauge::daemon
