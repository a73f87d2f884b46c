#pragma once

#include <functional>
#include <map>
#include <memory>

namespace acaciagauge::net {

/// @brief Tells work in progress that nobody waits for it any more. For one thread.
class Cancellation {
public:
    static std::shared_ptr<Cancellation> create() { return std::shared_ptr<Cancellation>(new Cancellation()); }

    /// @brief Runs all callbacks, once.
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

    /// @brief Registers a callback; it runs at once if the work is cancelled already.
    /// @return a number for remove()
    std::size_t add(std::function<void()> callback)
    {
        if (m_cancelled) {
            callback();
            return 0;
        }
        m_callbacks[++m_last] = std::move(callback);
        return m_last;
    }

    void remove(std::size_t number) { m_callbacks.erase(number); }

private:
    Cancellation() = default;

    bool m_cancelled = false;
    std::size_t m_last = 0;
    std::map<std::size_t, std::function<void()>> m_callbacks;
};

} // namespace acaciagauge::net
