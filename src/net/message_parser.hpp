#pragma once

#include "net/http_types.hpp"

#include <functional>
#include <utility>

namespace acaciagauge::net {

/// @brief Estimates the memory that a header field takes.
constexpr std::uint64_t fieldMemory(std::size_t nameBytes, std::size_t valueBytes)
{
    constexpr std::uint64_t nodeBytes = 96; // Links, separators, and what the allocator adds.
    return nameBytes + valueBytes + nodeBytes;
}

/// @brief Estimates the memory that the fields of a message take.
std::uint64_t fieldMemoryOf(const http::fields& header);

/// @brief Parser of an HTTP message that bounds its header, trailers included, and counts the header's memory.
///
/// Small fields take many times their length in memory. The limit of http::parser does not apply to trailers.
template <bool isRequest, typename Body> class MessageParser : public http::parser<isRequest, Body> {
public:
    /// @param limit largest header in bytes
    explicit MessageParser(std::uint32_t limit)
        : m_limit(limit)
    {
        this->header_limit(limit);
    }

    /// @brief Sets a function that is called before the header's memory grows; false ends the message with
    /// not_enough_memory.
    void setMayGrow(std::function<bool(std::uint64_t headerMemory)> mayGrow) { m_mayGrow = std::move(mayGrow); }

    /// @brief Returns the estimated memory of the header so far.
    [[nodiscard]] std::uint64_t headerMemory() const { return m_memory; }

private:
    using StringView = beast::string_view;

    void on_field_impl(http::field name, StringView nameText, StringView value, beast::error_code& ec) override
    {
        constexpr std::size_t separatorBytes = 3; // Colon and line end.
        add(nameText.size() + value.size() + separatorBytes, fieldMemory(nameText.size(), value.size()), ec);
        if (!ec)
            this->get().insert(name, nameText, value);
    }

    void on_request_impl(
        http::verb method, StringView methodText, StringView target, int version, beast::error_code& ec) override
    {
        add(methodText.size() + target.size(), methodText.size() + target.size(), ec);
        if constexpr (isRequest) {
            if (ec)
                return;
            this->get().target(target);
            if (method == http::verb::unknown)
                this->get().method_string(methodText);
            else
                this->get().method(method);
            this->get().version(static_cast<unsigned>(version));
        }
    }

    void on_response_impl(int status, StringView reason, int version, beast::error_code& ec) override
    {
        add(reason.size(), reason.size(), ec);
        if constexpr (!isRequest) {
            if (ec)
                return;
            this->get().result(static_cast<unsigned>(status));
            this->get().version(static_cast<unsigned>(version));
            this->get().reason(reason);
        }
    }

    void add(std::size_t bytes, std::uint64_t memory, beast::error_code& ec)
    {
        m_bytes += bytes;
        if (m_bytes > m_limit) {
            ec = make_error_code(http::error::header_limit);
        } else if (m_mayGrow && !m_mayGrow(m_memory + memory)) {
            ec = make_error_code(boost::system::errc::not_enough_memory);
        } else {
            m_memory += memory;
        }
    }

    std::uint32_t m_limit;
    std::uint64_t m_bytes = 0; ///< Of the header so far.
    std::uint64_t m_memory = 0;
    std::function<bool(std::uint64_t)> m_mayGrow;
};

} // namespace acaciagauge::net
