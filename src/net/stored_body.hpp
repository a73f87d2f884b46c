#pragma once

#include "net/buffer_budget.hpp"
#include "net/http_types.hpp"

#include <vector>

namespace acaciagauge::net {

/// @brief A request body in blocks that draw on a BufferBudget.
///
/// Blocks are never moved: a contiguous buffer of unknown final size is copied when it grows, and holds up to three
/// times the body meanwhile. All attempts to send a request share its body.
class StoredBody {
public:
    static std::shared_ptr<StoredBody> create(BufferBudget::Lease lease);

    /// @brief Draws the bytes of a body whose length is known, before any of it is read.
    /// @return false if the budget has no room
    bool reserve(std::uint64_t length);

    /// @brief Draws the memory that the request holds beside its body: its header, and the read buffer of its
    /// connection.
    /// @return false if the budget has no room
    bool drawOverhead(std::uint64_t bytes);

    /// @brief Appends bytes. @return false if the budget has no room
    bool append(const char* data, std::size_t length);

    /// @brief Marks the body as complete: it is no longer ended for lack of progress.
    void finish();

    [[nodiscard]] std::uint64_t size() const { return m_size; }
    [[nodiscard]] std::size_t blockCount() const { return m_blocks.size(); }
    [[nodiscard]] asio::const_buffer block(std::size_t n) const { return { m_blocks[n].data.get(), m_blocks[n].size }; }

private:
    struct Block {
        std::unique_ptr<char[]> data;
        std::size_t size = 0;
        std::size_t capacity = 0;
    };

    explicit StoredBody(BufferBudget::Lease lease);
    bool addBlock();

    BufferBudget::Lease m_lease;
    std::vector<Block> m_blocks;
    std::uint64_t m_size = 0;
    std::uint64_t m_capacity = 0; ///< Of all blocks.
    std::uint64_t m_overhead; ///< Beside the body.
    std::uint64_t m_announced = 0; ///< Length that was drawn in advance.
};

/// @brief Body type for Boost.Beast that reads into and writes from a StoredBody. A message without one has no body.
struct BlockBody {
    using value_type = std::shared_ptr<StoredBody>;

    static std::uint64_t size(const value_type& body) { return body ? body->size() : 0; }

    // NOLINTNEXTLINE(readability-identifier-naming): Boost.Beast requires this name.
    class reader {
    public:
        template <bool isRequest, typename Fields>
        reader(http::header<isRequest, Fields>&, value_type& body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t>&, beast::error_code& ec) { ec = {}; }

        template <typename Buffers> std::size_t put(const Buffers& buffers, beast::error_code& ec)
        {
            ec = {};
            std::size_t length = 0;
            for (auto it : beast::buffers_range_ref(buffers)) {
                if (!m_body->append(static_cast<const char*>(it.data()), it.size())) {
                    ec = make_error_code(boost::system::errc::not_enough_memory);
                    return length;
                }
                length += it.size();
            }
            return length;
        }

        void finish(beast::error_code& ec) { ec = {}; }

    private:
        value_type& m_body;
    };

    // NOLINTNEXTLINE(readability-identifier-naming): Boost.Beast requires this name.
    class writer {
    public:
        using const_buffers_type = asio::const_buffer;

        template <bool isRequest, typename Fields>
        writer(const http::header<isRequest, Fields>&, const value_type& body)
            : m_body(body)
        {
        }

        void init(beast::error_code& ec) { ec = {}; }

        boost::optional<std::pair<const_buffers_type, bool>> get(beast::error_code& ec)
        {
            ec = {};
            if (!m_body || m_next >= m_body->blockCount())
                return boost::none;
            auto block = m_body->block(m_next++);
            return std::pair<const_buffers_type, bool>(block, m_next < m_body->blockCount());
        }

    private:
        const value_type& m_body;
        std::size_t m_next = 0;
    };
};

} // namespace acaciagauge::net
