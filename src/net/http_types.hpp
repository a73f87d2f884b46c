#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http.hpp>
#include <string>

namespace acaciagauge::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

/// @brief Largest header of a request or a response, in bytes.
inline constexpr std::uint32_t maxHeaderBytes = 16U * 1024;

/// @brief Most unparsed bytes that a connection buffers: a message or chunk header with what follows it.
inline constexpr std::size_t maxReadAheadBytes = std::size_t { 64 } * 1024;

/// @brief Largest body from a caller or a server, in bytes.
inline constexpr std::uint64_t maxBodyBytes = 1024ULL * 1024;

/// @brief Largest body of an administration request or a store value, in bytes.
inline constexpr std::uint64_t maxAdminBodyBytes = 8ULL * 1024 * 1024;

/// @brief Builds a response with a body.
Response makeResponse(unsigned status, std::string body, std::string_view contentType = "application/json");

/// @brief Builds a request; the target starts with '/'.
Request makeRequest(http::verb method, std::string_view target, std::string body = {});

/// @brief Returns a header's value, or an empty string.
template <typename Message> std::string headerOf(const Message& message, std::string_view name)
{
    auto it = message.find(beast::string_view(name.data(), name.size()));
    return it == message.end() ? std::string() : std::string(it->value());
}

/// @brief Checks that a header says clearly where the message ends: it has at most one length, or `chunked` as its only
/// transfer coding. Recipients disagree on any other framing, and bytes of a body would pass for another message.
/// @param version 10 for HTTP/1.0, 11 for HTTP/1.1
bool isFramingClear(const http::fields& header, unsigned version);

/// @brief Decodes the %XX sequences of a request target.
std::string percentDecode(std::string_view text);

/// @brief Percent-encodes a path segment or a query value.
std::string percentEncode(std::string_view text);

/// @brief Returns the decoded value of a query parameter, or an empty string.
std::string queryValue(std::string_view target, std::string_view name);

/// @brief Returns a request target without its query.
std::string pathOf(std::string_view target);

} // namespace acaciagauge::net
