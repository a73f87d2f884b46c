#include "daemon/domain_actor.hpp"

#include <caf/all.hpp>

namespace acaciagauge::daemon {

/// An event in a form that CAF can send within the process.
struct AgentEvent {
    std::shared_ptr<const Event> event;
};

} // namespace acaciagauge::daemon

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(acaciagauge::daemon::AgentEvent)

namespace acaciagauge::daemon {

namespace {

    constexpr auto tickInterval = std::chrono::milliseconds(10);
    using TickAtom = caf::atom_constant<caf::atom("tick")>;

    struct ActorState {
        std::shared_ptr<Agent> agent;
        DomainActor::Hook hook;
    };

    void handle(ActorState& state, const Event& event)
    {
        auto actions = state.agent->handle(event, monotonicNow());
        AgentView view;
        view.role = state.agent->role();
        view.epoch = state.agent->epoch();
        view.committed = state.agent->isCommitted();
        view.settled = state.agent->isSettled();
        view.planNumber = state.agent->planNumber();
        view.serverStates = state.agent->serverStates();
        state.hook(std::move(actions), std::move(view));
    }

    caf::behavior domainBehavior(
        caf::stateful_actor<ActorState>* self, std::shared_ptr<Agent> agent, DomainActor::Hook hook)
    {
        self->state.agent = std::move(agent);
        self->state.hook = std::move(hook);
        self->delayed_send(self, tickInterval, TickAtom::value);
        return {
            [self](TickAtom) {
                self->delayed_send(self, tickInterval, TickAtom::value);
                handle(self->state, Tick {});
            },
            [self](const AgentEvent& event) { handle(self->state, *event.event); },
        };
    }

} // namespace

struct DomainActor::System {
    System()
    {
        config.set("scheduler.max-threads", 1);
        system = std::make_unique<caf::actor_system>(config);
    }

    caf::actor_system_config config;
    std::unique_ptr<caf::actor_system> system;
    caf::actor actor;
};

DomainActor::DomainActor(std::unique_ptr<System> system)
    : m_system(std::move(system))
{
}

Result<std::unique_ptr<DomainActor>> DomainActor::create(Agent::Options options, Hook hook)
{
    auto agent = Agent::create(std::move(options), monotonicNow());
    if (!agent)
        return tl::make_unexpected(agent.error());
    auto system = std::make_unique<System>();
    system->actor = system->system->spawn(domainBehavior, std::make_shared<Agent>(std::move(*agent)), std::move(hook));
    return std::unique_ptr<DomainActor>(new DomainActor(std::move(system)));
}

DomainActor::~DomainActor()
{
    caf::anon_send_exit(m_system->actor, caf::exit_reason::user_shutdown);
    m_system->actor = nullptr;
}

void DomainActor::tell(Event event)
{
    caf::anon_send(m_system->actor, AgentEvent { std::make_shared<const Event>(std::move(event)) });
}

} // namespace acaciagauge::daemon
