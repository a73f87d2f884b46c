#include "entry/key_assigner_actor.hpp"

#include <caf/all.hpp>

namespace acaciagauge::entry {

/// Wraps an event so that CAF can pass it between threads without serialization.
struct KeyEventMessage {
    std::shared_ptr<const KeyEvent> event;
};

} // namespace acaciagauge::entry

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(acaciagauge::entry::KeyEventMessage)

namespace acaciagauge::entry {

namespace {

    constexpr auto workloadInterval = std::chrono::seconds(1);

    using TickAtom = caf::atom_constant<caf::atom("tick")>;

    struct KeyAssignerActorState {
        std::shared_ptr<KeyAssigner> assigner;
        KeyAssignerActor::Hook hook;
        TimePoint tickAt = TimePoint::max(); ///< Time of the earliest scheduled tick; max() if there is none.
        TimePoint workloadAt; ///< When the workload was last passed to the hook.
    };

    using Self = caf::stateful_actor<KeyAssignerActorState>;

    // Ticks are scheduled for when work is due, not at an interval, so that an idle controller uses no processor time.
    void scheduleTick(Self* self)
    {
        auto now = monotonicNow();
        auto due = self->state.assigner->nextDue(now);
        if (self->state.tickAt <= due)
            return;
        self->state.tickAt = due;
        self->delayed_send(self, due - now, TickAtom::value);
    }

    void handle(Self* self, const KeyEvent& event)
    {
        auto now = monotonicNow();
        auto actions = self->state.assigner->handle(event, now);
        if (!actions.empty()) {
            std::optional<KeyWorkload> workload;
            if (now - self->state.workloadAt >= workloadInterval) {
                workload = self->state.assigner->workload(now);
                self->state.workloadAt = now;
            }
            self->state.hook(std::move(actions), std::move(workload));
        }
        scheduleTick(self);
    }

    caf::behavior actorBehavior(Self* self, std::shared_ptr<KeyAssigner> assigner, KeyAssignerActor::Hook hook)
    {
        self->state.assigner = std::move(assigner);
        self->state.hook = std::move(hook);
        scheduleTick(self);
        return {
            [self](TickAtom) {
                self->state.tickAt = TimePoint::max();
                handle(self, KeyTick {});
            },
            [self](const KeyEventMessage& message) { handle(self, *message.event); },
        };
    }

} // namespace

struct KeyAssignerActor::System {
    System()
    {
        // Work sharing with one worker, which blocks on its queue: workers of the work-stealing policy poll.
        config.set("scheduler.policy", caf::atom("sharing"));
        config.set("scheduler.max-threads", 1);
        system = std::make_unique<caf::actor_system>(config);
    }

    caf::actor_system_config config;
    std::unique_ptr<caf::actor_system> system;
    caf::actor actor;
};

KeyAssignerActor::KeyAssignerActor(std::unique_ptr<System> system)
    : m_system(std::move(system))
{
}

std::unique_ptr<KeyAssignerActor> KeyAssignerActor::create(KeyAssigner assigner, Hook hook)
{
    auto system = std::make_unique<System>();
    system->actor
        = system->system->spawn(actorBehavior, std::make_shared<KeyAssigner>(std::move(assigner)), std::move(hook));
    return std::unique_ptr<KeyAssignerActor>(new KeyAssignerActor(std::move(system)));
}

KeyAssignerActor::~KeyAssignerActor()
{
    caf::anon_send_exit(m_system->actor, caf::exit_reason::user_shutdown);
    m_system->actor = nullptr;
}

void KeyAssignerActor::tell(KeyEvent event)
{
    caf::anon_send(m_system->actor, KeyEventMessage { std::make_shared<const KeyEvent>(std::move(event)) });
}

} // namespace acaciagauge::entry
