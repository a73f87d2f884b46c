#include "net/http_types.hpp"

#include "net/message_parser.hpp"

#include <algorithm>
#include <cstdlib>

namespace acaciagauge::net {

namespace {

    /// HTTP/1.1 in the encoding of Boost.Beast.
    constexpr unsigned httpVersion = 11;

    int hexValue(char c)
    {
        if (c >= '0' && c <= '9')
            return c - '0';
        if (c >= 'a' && c <= 'f')
            return c - 'a' + 10;
        if (c >= 'A' && c <= 'F')
            return c - 'A' + 10;
        return -1;
    }

} // namespace

std::uint64_t fieldMemoryOf(const http::fields& header)
{
    std::uint64_t bytes = 0;
    for (const auto& it : header)
        bytes += fieldMemory(it.name_string().size(), it.value().size());
    return bytes;
}

Response makeResponse(unsigned status, std::string body, std::string_view contentType)
{
    Response response;
    response.version(httpVersion);
    response.result(status);
    response.set(http::field::content_type, beast::string_view(contentType.data(), contentType.size()));
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

Request makeRequest(http::verb method, std::string_view target, std::string body)
{
    Request request;
    request.version(httpVersion);
    request.method(method);
    request.target(beast::string_view(target.data(), target.size()));
    request.set(http::field::host, "acaciagauge");
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

bool isFramingClear(const http::fields& header, unsigned version)
{
    auto lengths = header.count(http::field::content_length);
    auto codings = header.count(http::field::transfer_encoding);
    if (lengths + codings == 0)
        return true;
    if (lengths + codings > 1)
        return false;
    if (codings == 1)
        return version == 11 && beast::iequals(header[http::field::transfer_encoding], "chunked");
    auto length = header[http::field::content_length];
    return !length.empty() && std::all_of(length.begin(), length.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::string percentDecode(std::string_view text)
{
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n) {
        bool isEscape
            = text[n] == '%' && n + 2 < text.size() && hexValue(text[n + 1]) >= 0 && hexValue(text[n + 2]) >= 0;
        if (!isEscape) {
            out += text[n];
            continue;
        }
        out += static_cast<char>(hexValue(text[n + 1]) * 16 + hexValue(text[n + 2]));
        n += 2;
    }
    return out;
}

std::string percentEncode(std::string_view text)
{
    static const char digits[] = "0123456789ABCDEF";
    std::string out;
    for (char c : text) {
        auto byte = static_cast<unsigned char>(c);
        bool isUnreserved = std::isalnum(byte) || c == '-' || c == '_' || c == '.' || c == '~';
        if (isUnreserved) {
            out += c;
            continue;
        }
        out += '%';
        out += digits[byte >> 4U];
        out += digits[byte & 15U];
    }
    return out;
}

std::string queryValue(std::string_view target, std::string_view name)
{
    auto start = target.find('?');
    while (start != std::string_view::npos) {
        auto rest = target.substr(start + 1);
        auto end = rest.find('&');
        auto pair = rest.substr(0, end);
        auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return percentDecode(pair.substr(equals + 1));
        start = end == std::string_view::npos ? end : start + 1 + end;
    }
    return {};
}

std::string pathOf(std::string_view target)
{
    return std::string(target.substr(0, target.find('?')));
}

} // namespace acaciagauge::net
