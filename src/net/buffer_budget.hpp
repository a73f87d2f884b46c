#pragma once

#include "acaciagauge/acaciagauge.hpp"

#include <functional>
#include <memory>

namespace acaciagauge::net {

/// @brief Applies a MemoryBudget to the messages that a process buffers. Not thread-safe.
class BufferBudget : public std::enable_shared_from_this<BufferBudget> {
public:
    using Phase = MemoryBudget::Phase;

    struct Hooks {
        std::function<void(std::uint64_t bytes)> onRefused; ///< Bytes that a message was denied.
        std::function<void()> onEnded; ///< A stalled transfer was ended to make room.
    };

    /// @brief The bytes that one message holds; the destructor returns them. A default-constructed lease has no bound.
    class Lease {
    public:
        Lease() = default;
        Lease(Lease&& other) noexcept;
        Lease& operator=(Lease&& other) noexcept;
        ~Lease() { release(); }

        /// @brief Requests that the message may hold `bytes` in total.
        /// @return false if the budget has no room, or the message has been ended
        bool resize(std::uint64_t bytes);

        /// @brief Records bytes that the message holds already.
        void record(std::uint64_t bytes);

        /// @brief Notes that the peer has sent or read bytes.
        void noteProgress(std::uint64_t bytes);

        void setPhase(Phase phase);

    private:
        friend class BufferBudget;
        void release();

        std::shared_ptr<BufferBudget> m_budget;
        MemoryBudget::HolderId m_id = 0;
    };

    static std::shared_ptr<BufferBudget> create(MemoryBudget::Options options, Hooks hooks);

    void setHooks(Hooks hooks) { m_hooks = std::move(hooks); }

    /// @brief Adds a message that holds no bytes yet.
    /// @param end ends the message if it is stalled and the budget is used up; must not destroy its lease at once
    Lease add(Phase phase, std::function<void()> end);

    /// @brief Returns the number of bytes that all messages hold.
    [[nodiscard]] std::uint64_t used() const { return m_budget.used(); }

    [[nodiscard]] std::uint64_t capacity() const { return m_budget.options().bytes; }

private:
    BufferBudget(MemoryBudget::Options options, Hooks hooks);

    MemoryBudget m_budget;
    Hooks m_hooks;
    std::map<MemoryBudget::HolderId, std::function<void()>> m_ends;
};

} // namespace acaciagauge::net
