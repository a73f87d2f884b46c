#include "net/stored_body.hpp"

#include <algorithm>
#include <cstring>

namespace acaciagauge::net {

namespace {

    /// Drawn for every request besides its body, at least: header, buffers and the state of its handler.
    constexpr std::uint64_t minOverhead = 8ULL * 1024;

    /// Blocks of a body of unknown length double it up to the larger size. The larger size stays below that from which
    /// malloc maps pages for each allocation (128 KiB).
    constexpr std::size_t firstBlockBytes = 4ULL * 1024;
    constexpr std::size_t blockBytes = 64ULL * 1024;

} // namespace

StoredBody::StoredBody(BufferBudget::Lease lease)
    : m_lease(std::move(lease))
    , m_overhead(minOverhead)
{
}

std::shared_ptr<StoredBody> StoredBody::create(BufferBudget::Lease lease)
{
    return std::shared_ptr<StoredBody>(new StoredBody(std::move(lease)));
}

bool StoredBody::reserve(std::uint64_t length)
{
    m_announced = length;
    return m_lease.resize(m_overhead + length);
}

bool StoredBody::drawOverhead(std::uint64_t bytes)
{
    auto overhead = std::max(bytes, minOverhead);
    if (overhead != m_overhead && !m_lease.resize(overhead + std::max(m_announced, m_capacity)))
        return false;
    m_overhead = overhead;
    return true;
}

bool StoredBody::addBlock()
{
    auto capacity = std::clamp<std::size_t>(m_capacity, firstBlockBytes, blockBytes);
    if (m_announced > m_capacity)
        capacity = static_cast<std::size_t>(std::min<std::uint64_t>(blockBytes, m_announced - m_capacity));
    bool isDrawn = m_capacity + capacity <= m_announced;
    if (!isDrawn && !m_lease.resize(m_overhead + m_capacity + capacity))
        return false;
    // Not make_unique: it would initialize the bytes, and so make pages resident that are never filled.
    m_blocks.push_back({ std::unique_ptr<char[]>(new char[capacity]), 0, capacity });
    m_capacity += capacity;
    return true;
}

bool StoredBody::append(const char* data, std::size_t length)
{
    m_lease.noteProgress(length);
    while (length > 0) {
        bool isFull = m_blocks.empty() || m_blocks.back().size == m_blocks.back().capacity;
        if (isFull && !addBlock())
            return false;
        auto& block = m_blocks.back();
        auto n = std::min(length, block.capacity - block.size);
        std::memcpy(block.data.get() + block.size, data, n);
        block.size += n;
        m_size += n;
        data += n;
        length -= n;
    }
    return true;
}

void StoredBody::finish()
{
    m_lease.setPhase(BufferBudget::Phase::processing);
}

} // namespace acaciagauge::net
