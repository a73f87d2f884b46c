#pragma once

#include "acaciagauge/acaciagauge.hpp"

#include <functional>
#include <memory>

namespace acaciagauge::entry {

/// @brief Runs a KeyAssigner in a CAF actor with an actor system, and therefore a thread, of its own.
///
/// Events are sent as messages; the hook receives the resulting actions on the actor's thread.
class KeyAssignerActor {
public:
    /// Receives actions to perform; with them, at most once a second, how much work there is.
    using Hook = std::function<void(std::vector<KeyAction>, std::optional<KeyWorkload>)>;

    static std::unique_ptr<KeyAssignerActor> create(KeyAssigner assigner, Hook hook);
    ~KeyAssignerActor();
    KeyAssignerActor(const KeyAssignerActor&) = delete;
    KeyAssignerActor& operator=(const KeyAssignerActor&) = delete;

    /// @brief Sends an event to the actor. Thread-safe.
    void tell(KeyEvent event);

private:
    struct System;
    explicit KeyAssignerActor(std::unique_ptr<System> system);
    std::unique_ptr<System> m_system;
};

} // namespace acaciagauge::entry
