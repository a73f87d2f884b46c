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

    /// @brief Returns the value of the traceparent header.
    [[nodiscard]] std::string header() const;
};

/// @brief Parses a traceparent header; an invalid one gives an empty context.
TraceContext parseTraceparent(const std::string& header);

/// @brief A finished span: one hop of a request.
struct Span {
    TraceContext context;
    std::string parentSpanId;
    std::string name; ///< "ingress", "egress" or "server".
    std::chrono::system_clock::time_point start;
    std::chrono::system_clock::time_point end;
    std::string requestId;
    ResultCode code = ResultCode::ok;
};

/// @brief Keeps the newest spans and exports them as OTLP/JSON. Not thread-safe.
class Tracer {
public:
    /// @param percent share of new traces that are sampled
    static Tracer create(std::string instance, std::size_t percent);

    /// @brief Returns the context of a new child span; an empty parent starts a new trace.
    TraceContext startSpan(const TraceContext& parent);

    /// @brief Keeps a finished span if it is sampled.
    void finishSpan(Span span);

    /// @brief Returns the kept spans as an OTLP/JSON document.
    [[nodiscard]] std::string toOtlp() const;

private:
    Tracer(std::string instance, std::size_t percent);
    std::string randomHex(std::size_t n);

    std::string m_instance;
    std::size_t m_percent;
    std::mt19937_64 m_random;
    std::deque<Span> m_spans;
};

} // namespace acaciagauge::daemon
