#pragma once

#include "daemon/metrics.hpp"
#include "daemon/rpc_types.hpp"
#include "daemon/settings.hpp"
#include "entry/catalog.hpp"
#include "net/cancellation.hpp"

#include <boost/asio/steady_timer.hpp>

namespace acaciagauge::entry {

/// @brief Admission control shared by all instances: coordinates some servers, and asks other instances for admission
/// to the others.
class Admission {
public:
    struct Options {
        InstanceId self;
        daemon::Coordination coordination = daemon::Coordination::automatic;
    };

    struct Hooks {
        /// Asks a peer; calls `done` with nullopt if it does not answer. May call it on any thread.
        std::function<void(const std::string& address, daemon::AdmissionCall call,
            std::function<void(std::optional<daemon::AdmissionReply>)> done)>
            ask;
        std::function<void(const std::string& address, daemon::AdmissionNotice notice)> notify;
        std::function<bool(const ServerRun&)> isReachable;
        daemon::Metrics* metrics = nullptr;
    };

    /// @brief An admission of one request to one server.
    struct Grant {
        ServerId server;
        std::uint64_t workId = 0;
        InstanceId coordinator;
    };

    struct Reply {
        std::optional<Grant> grant; ///< Nothing: refused.
        Duration retryAfter { 0 };
    };

    Admission(boost::asio::io_context& context, Options options, Catalog& catalog, Hooks hooks);

    /// @brief Returns true if requests are admitted by coordinators, by the setting or by the desired state.
    [[nodiscard]] bool isActive();

    /// @brief Asks the coordinator to admit a request.
    /// @param domain failure domain of the servers
    /// @return nothing if the coordinator does not answer, so that this instance has to decide on its own
    boost::asio::awaitable<std::optional<Reply>> acquire(
        daemon::AdmissionCall call, DomainId domain, std::shared_ptr<net::Cancellation> cancellation);

    /// @brief Tells the coordinator how an admitted request ended.
    void end(const Grant& grant, const AdmissionResult& result);

    /// @brief Answers an instance that regards this one as the coordinator; `done` is called when the request is
    /// admitted or refused.
    void answer(const daemon::AdmissionCall& call, std::function<void(daemon::AdmissionReply)> done);

    /// @brief Records the end of a request that this instance has admitted.
    void noteEnded(const daemon::AdmissionNotice& notice);

    /// @brief Refuses all requests that wait for an admission, of this instance and of others.
    void refuseWaiting();

    /// @brief Drops the state of servers that are no longer listed.
    void prune();

private:
    /// A request of this instance that waits for its coordinator's reply.
    struct Pending {
        explicit Pending(boost::asio::io_context& context)
            : timer(context)
        {
        }
        boost::asio::steady_timer timer;
        bool isAnswered = false;
        bool isAbandoned = false; ///< Nobody waits for the reply; an admission ends at once.
        std::optional<daemon::AdmissionReply> reply;
    };

    /// Servers that this instance coordinates together.
    struct Group {
        explicit Group(SharedAdmission created)
            : admission(std::move(created))
        {
        }
        SharedAdmission admission;
        std::map<std::uint64_t, std::function<void(daemon::AdmissionReply)>> waiters;
        TimePoint serversAt; ///< When the servers were last read from the catalog.
        TimePoint usedAt;
        bool isWakeLoopRunning = false;
    };

    using GroupId = std::pair<std::string, DomainId>; ///< As in AdmissionCall: subject and domain.

    static std::string subjectOf(const GroupId& id)
    {
        return id.second.empty() ? id.first : id.first + "/" + id.second;
    }
    Group& groupOf(const GroupId& id);
    void updateServers(const GroupId& id, Group& group);
    void decide(const GroupId& id, Group& group);
    boost::asio::awaitable<void> wakeLoop(GroupId id);
    void updateMembers();
    void updateQueueMetric();
    void ask(const InstanceId& coordinator, const daemon::AdmissionCall& call, std::shared_ptr<Pending> pending);
    void receive(const InstanceId& coordinator, const std::shared_ptr<Pending>& pending,
        std::optional<daemon::AdmissionReply> reply);

    boost::asio::io_context& m_context;
    Options m_options;
    Catalog& m_catalog;
    Hooks m_hooks;
    AdmissionCoordinators m_coordinators;
    std::uint64_t m_knownMemberChanges = 0; ///< Value of Catalog::memberChanges() that m_coordinators reflects.
    std::map<GroupId, Group> m_groups;
    std::set<std::shared_ptr<Pending>> m_pending;
    std::uint64_t m_lastWorkId;
    bool m_wasActive = false;
};

} // namespace acaciagauge::entry
