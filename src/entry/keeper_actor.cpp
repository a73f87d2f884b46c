#include "entry/keeper_actor.hpp"

#include <caf/all.hpp>

namespace acaciagauge::entry {

/// An event in a form that CAF can send within the process.
struct KeeperMessage {
    std::shared_ptr<const KeyEvent> event;
};

} // namespace acaciagauge::entry

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(acaciagauge::entry::KeeperMessage)

namespace acaciagauge::entry {

namespace {

    using TickAtom = caf::atom_constant<caf::atom("tick")>;

    struct KeeperState {
        std::shared_ptr<KeyAssigner> keeper;
        KeeperActor::Hook hook;
        TimePoint tickAt = TimePoint::max(); ///< Of the earliest tick that is on its way.
    };

    using Self = caf::stateful_actor<KeeperState>;

    // Ticks come when there is work due, not at an interval: an idle controller sleeps.
    void scheduleTick(Self* self)
    {
        auto now = monotonicNow();
        auto due = self->state.keeper->nextDue(now);
        if (self->state.tickAt <= due)
            return;
        self->state.tickAt = due;
        self->delayed_send(self, due - now, TickAtom::value);
    }

    void handle(Self* self, const KeyEvent& event)
    {
        auto actions = self->state.keeper->handle(event, monotonicNow());
        if (!actions.empty())
            self->state.hook(std::move(actions), self->state.keeper->counts());
        scheduleTick(self);
    }

    caf::behavior keeperBehavior(Self* self, std::shared_ptr<KeyAssigner> keeper, KeeperActor::Hook hook)
    {
        self->state.keeper = std::move(keeper);
        self->state.hook = std::move(hook);
        scheduleTick(self);
        return {
            [self](TickAtom) {
                self->state.tickAt = TimePoint::max();
                handle(self, KeyTick {});
            },
            [self](const KeeperMessage& message) { handle(self, *message.event); },
        };
    }

} // namespace

struct KeeperActor::System {
    System()
    {
        // One worker that sleeps on its queue: stealing workers poll.
        config.set("scheduler.policy", caf::atom("sharing"));
        config.set("scheduler.max-threads", 1);
        system = std::make_unique<caf::actor_system>(config);
    }

    caf::actor_system_config config;
    std::unique_ptr<caf::actor_system> system;
    caf::actor actor;
};

KeeperActor::KeeperActor(std::unique_ptr<System> system)
    : m_system(std::move(system))
{
}

std::unique_ptr<KeeperActor> KeeperActor::create(KeyAssigner keeper, Hook hook)
{
    auto system = std::make_unique<System>();
    system->actor
        = system->system->spawn(keeperBehavior, std::make_shared<KeyAssigner>(std::move(keeper)), std::move(hook));
    return std::unique_ptr<KeeperActor>(new KeeperActor(std::move(system)));
}

KeeperActor::~KeeperActor()
{
    caf::anon_send_exit(m_system->actor, caf::exit_reason::user_shutdown);
    m_system->actor = nullptr;
}

void KeeperActor::tell(KeyEvent event)
{
    caf::anon_send(m_system->actor, KeeperMessage { std::make_shared<const KeyEvent>(std::move(event)) });
}

} // namespace acaciagauge::entry
