#pragma once

#include "acaciagauge/acaciagauge.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace acaciagauge::daemon {

/// @brief What others may see of an agent.
struct AgentView {
    AgentRole role = AgentRole::follower;
    Epoch epoch = 0;
    bool committed = true;
    bool settled = false;
    std::uint64_t planNumber = 0;
    std::map<std::string, std::size_t> serverStates;
};

/// @brief Runs an Agent in a CAF actor, on a thread group of its own.
///
/// Events go in as messages; actions and the view after each event come out through the hook, on the actor's thread.
class DomainActor {
public:
    using Hook = std::function<void(std::vector<Action>, AgentView)>;

    /// @brief Starts the actor and its ticks.
    /// @return invalidSetting if the agent's options are refused
    static Result<std::unique_ptr<DomainActor>> create(Agent::Options options, Hook hook);
    ~DomainActor();
    DomainActor(const DomainActor&) = delete;
    DomainActor& operator=(const DomainActor&) = delete;

    /// @brief Sends an event to the actor. Thread-safe.
    void tell(Event event);

private:
    struct System;
    explicit DomainActor(std::unique_ptr<System> system);
    std::unique_ptr<System> m_system;
};

} // namespace acaciagauge::daemon
