#pragma once

#include <functional>
#include <map>
#include <memory>

namespace acaciagauge::net {

/// @brief Cancellation signal for work whose result nobody waits for any more. Not thread-safe.
class Cancellation {
public:
    static std::shared_ptr<Cancellation> create() { return std::shared_ptr<Cancellation>(new Cancellation()); }

    /// @brief Invokes all registered callbacks. Further calls do nothing.
    void cancel()
    {
        if (m_cancelled)
            return;
        m_cancelled = true;
        auto callbacks = std::move(m_callbacks);
        m_callbacks.clear();
        for (auto& it : callbacks)
            it.second();
    }

    [[nodiscard]] bool isCancelled() const { return m_cancelled; }

    /// @brief Registers a callback; it is invoked immediately if the work is already cancelled.
    /// @return the callback's identifier for remove()
    std::size_t add(std::function<void()> callback)
    {
        if (m_cancelled) {
            callback();
            return 0;
        }
        m_callbacks[++m_lastId] = std::move(callback);
        return m_lastId;
    }

    void remove(std::size_t id) { m_callbacks.erase(id); }

private:
    Cancellation() = default;

    bool m_cancelled = false;
    std::size_t m_lastId = 0;
    std::map<std::size_t, std::function<void()>> m_callbacks;
};

} // namespace acaciagauge::net
