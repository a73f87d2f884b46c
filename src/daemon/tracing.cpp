#include "daemon/tracing.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace acaciagauge::daemon {

namespace {

    constexpr std::size_t maxSpans = 4096;

    // Lengths in the traceparent header: 00-TRACE ID-SPAN ID-FLAGS.
    constexpr std::size_t traceIdDigits = 32;
    constexpr std::size_t spanIdDigits = 16;
    constexpr std::size_t headerLength = 55;

    bool isHex(const std::string& text)
    {
        return std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isxdigit(c) != 0; });
    }

    std::string unixNanoseconds(std::chrono::system_clock::time_point time)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
    }

} // namespace

std::string TraceContext::header() const
{
    return "00-" + traceId + "-" + spanId + (sampled ? "-01" : "-00");
}

TraceContext parseTraceparent(const std::string& header)
{
    bool isWellFormed = header.size() == headerLength && header[2] == '-' && header[35] == '-' && header[52] == '-';
    if (!isWellFormed || header.substr(0, 2) != "00")
        return {};
    TraceContext context { header.substr(3, traceIdDigits), header.substr(36, spanIdDigits),
        header.substr(53) == "01" };
    return isHex(context.traceId) && isHex(context.spanId) ? context : TraceContext {};
}

Tracer::Tracer(std::string instance, std::size_t percent)
    : m_instance(std::move(instance))
    , m_percent(percent)
    , m_random(std::random_device {}())
{
}

Tracer Tracer::create(std::string instance, std::size_t percent)
{
    return Tracer(std::move(instance), percent);
}

std::string Tracer::randomHex(std::size_t n)
{
    static const char digits[] = "0123456789abcdef";
    std::string text(n, '0');
    std::uint64_t bits = 0;
    for (std::size_t it = 0; it < n; ++it) {
        if (it % 16 == 0)
            bits = m_random();
        text[it] = digits[bits & 15U];
        bits >>= 4U;
    }
    return text;
}

TraceContext Tracer::startSpan(const TraceContext& parent)
{
    TraceContext context;
    bool isRoot = parent.traceId.empty();
    context.traceId = isRoot ? randomHex(traceIdDigits) : parent.traceId;
    context.spanId = randomHex(spanIdDigits);
    context.sampled = parent.sampled || (isRoot && m_random() % 100 < m_percent);
    return context;
}

void Tracer::finishSpan(Span span)
{
    if (!span.context.sampled)
        return;
    m_spans.push_back(std::move(span));
    if (m_spans.size() > maxSpans)
        m_spans.pop_front();
}

std::string Tracer::toOtlp() const
{
    using Json = nlohmann::json;
    Json spans = Json::array();
    for (const auto& it : m_spans) {
        Json attributes = Json::array();
        attributes.push_back({ { "key", "request.id" }, { "value", { { "stringValue", it.requestId } } } });
        attributes.push_back({ { "key", "result.code" }, { "value", { { "intValue", static_cast<int>(it.code) } } } });
        // Kind 2 is SPAN_KIND_SERVER.
        spans.push_back(
            { { "traceId", it.context.traceId }, { "spanId", it.context.spanId }, { "parentSpanId", it.parentSpanId },
                { "name", it.name }, { "kind", 2 }, { "startTimeUnixNano", unixNanoseconds(it.start) },
                { "endTimeUnixNano", unixNanoseconds(it.end) }, { "attributes", attributes } });
    }
    Json resource { { "attributes",
        Json::array({ { { "key", "service.name" }, { "value", { { "stringValue", "acaciagauged" } } } },
            { { "key", "service.instance.id" }, { "value", { { "stringValue", m_instance } } } } }) } };
    Json scope { { "scope", { { "name", "acaciagauge" } } }, { "spans", spans } };
    Json resourceSpans { { "resource", resource }, { "scopeSpans", Json::array({ scope }) } };
    return Json { { "resourceSpans", Json::array({ resourceSpans }) } }.dump();
}

} // namespace acaciagauge::daemon
