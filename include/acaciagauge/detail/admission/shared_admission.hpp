#pragma once

#include "acaciagauge/detail/common/ids.hpp"
#include "acaciagauge/detail/common/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace acaciagauge {

/// @brief How an admitted request ended.
enum class AdmissionEnd : std::uint8_t {
    ran, ///< The server executed it.
    shed, ///< The server refused it for lack of capacity.
    notSent, ///< It was not sent, for example because its caller has disconnected.
    unreachable, ///< The server could not be reached.
    other, ///< Its outcome is unknown, or the server refused it for another reason.
};

/// @brief Result of an admitted request, which its instance reports to the coordinator.
struct AdmissionResult {
    AdmissionEnd end = AdmissionEnd::notSent;
    Duration responseTime { 0 }; ///< From sending to the response.
    std::optional<unsigned> reportedLoad; ///< Requests running and waiting at the server, as it reports.
    double slowdown = 1; ///< How much longer than usual work takes on the server's machine at present.
    Duration retryAfter { 0 }; ///< Time for which the server wants no more requests.
};

/// @brief Admission control for one server, or for servers any of which may serve a request, by one instance that
/// decides for all instances.
///
/// Addresses overload by many instances, each of which seldom hears of a server: requests in flight are counted
/// exactly, and all wait in one queue. No server gets more requests than it has slots and Options::extraInFlight. The
/// queue's order is: requests of a kind that is served too seldom, requests that can still meet their target, priority,
/// arrival. Requests of one priority are a kind. A request whose expected wait is far above its wait limit is refused
/// at once; one that waits longer than expected is refused at the limit. An admission expires at the request's
/// deadline, so that a lost instance holds no slot. A server that completes nothing gets only probe requests. Requests
/// that this coordinator does not know of (admitted by a former one, or by an instance on its own) are bounded by the
/// load that servers report.
class SharedAdmission {
public:
    /// @brief A server as input of a selection.
    struct FreeServer {
        ServerId id;
        Duration expected { 0 }; ///< Expected time to the response.
        bool isDiscouraged = false; ///< Cold, unreachable, or the request was sent there before.
    };

    /// @brief Selects a server among those with a free slot, of which there is at least one.
    using Select = std::function<std::size_t(const std::vector<FreeServer>&)>;

    struct Options {
        unsigned extraInFlight = 0; ///< Requests beyond a server's slots.
        std::size_t maxWaiting = 256;
        Duration reportLifetime = std::chrono::milliseconds(400); ///< A reported load fades over this time.
        Duration slowdownLifetime
            = std::chrono::milliseconds(300); ///< A reported slowdown is regarded as over after this time.
        Duration maxSlowdownDelay
            = std::chrono::milliseconds(200); ///< Added to the service time at most; slowdowns last about twice this.
        Duration initialServiceTime = std::chrono::milliseconds(200); ///< Assumed until one has been measured.
        Duration shedBackoff = std::chrono::milliseconds(100); ///< Nothing is sent for this time after a shed request.
        Duration unreachableBackoff = std::chrono::milliseconds(250); ///< The same for an unreachable server.
        Duration stuckAfter
            = std::chrono::milliseconds(700); ///< Minimum time without a completion before a server counts as stuck.
        Duration fairnessWindow = std::chrono::seconds(10); ///< Counts of a kind fall to 1/e over this time.
        double minServedShare
            = 0.45; ///< A kind served less than this part of the mean goes first; a quarter would be a fault.
        Select select; ///< Empty: the fastest expected response.
    };

    /// @brief A server that requests may be sent to.
    struct Server {
        ServerId id;
        unsigned slots = 1;
        bool isDiscouraged = false; ///< Selected only if no other has a free slot.
    };

    struct Request {
        unsigned priority = 0; ///< 0 is the highest.
        TimePoint target; ///< A response after this is late.
        TimePoint deadline; ///< A response after this is useless.
        TimePoint waitLimitEnd; ///< The caller's instance waits for the admission no longer than this.
        std::set<ServerId> avoided; ///< Selected only if no other has a free slot.
    };

    /// @brief Decision on a request.
    struct Decision {
        std::uint64_t id = 0;
        bool isAdmitted = false;
        ServerId server; ///< If it is admitted.
        Duration retryAfter { 0 }; ///< If it is refused: when it would be served.
    };

    static SharedAdmission create(Options options) { return SharedAdmission(std::move(options)); }

    /// @brief Replaces the servers. Requests in flight to a removed server are forgotten.
    void setServers(const std::vector<Server>& servers);

    /// @brief Adds a request to the queue; the next call of decide() may admit or refuse it.
    void offer(std::uint64_t id, Request request, TimePoint now);

    /// @brief Removes a waiting request; false if it is not waiting.
    bool withdraw(std::uint64_t id) { return m_waiting.erase(id) > 0; }

    /// @brief Admits and refuses waiting requests.
    /// @complexity O(w log w + a s) for w waiting and s servers, of which a are admitted
    std::vector<Decision> decide(TimePoint now);

    /// @brief Records the end of an admitted request. Its admission may be unknown here, or have expired.
    void ended(const ServerId& server, std::uint64_t id, const AdmissionResult& result, TimePoint now);

    /// @brief Returns when to call decide() again even if no request ends before; nothing if none waits.
    [[nodiscard]] std::optional<TimePoint> nextDue(TimePoint now) const;

    /// @brief Returns the expected time to the response of a request that is admitted now.
    [[nodiscard]] Duration serviceTime(const ServerId& server, TimePoint now) const;

    [[nodiscard]] std::size_t waiting() const { return m_waiting.size(); }
    [[nodiscard]] std::size_t inFlight() const;

private:
    struct Lease {
        TimePoint admittedAt;
        TimePoint expiresAt;
        double slowdown = 1; ///< Of the server's machine when it was admitted.
    };

    struct State {
        Server server;
        std::map<std::uint64_t, Lease> inFlight;
        double unknownInFlight = 0; ///< Reported requests beyond those in flight, at reportedAt.
        TimePoint reportedAt;
        double slowdown = 1; ///< As last reported.
        TimePoint slowdownAt;
        TimePoint pausedUntil;
        TimePoint lastCompletion; ///< When the server last completed or refused a request.
        double serviceMicros = 0; ///< Moving average without slowdowns; 0: not measured.
    };

    /// Requests of one priority, decaying over the fairness window.
    struct Kind {
        double offered = 0;
        double admitted = 0;
        [[nodiscard]] double share() const { return offered > 0 ? admitted / offered : 1; }
    };

    struct Estimate {
        double perMicro = 0; ///< Rate at which slots become free.
        Duration first { 0 }; ///< Time until the first slot is free.
        Duration service { 0 }; ///< Mean service time.
    };

    struct Waiting {
        Request request;
        TimePoint since;
    };

    explicit SharedAdmission(Options options)
        : m_options(std::move(options))
    {
    }
    [[nodiscard]] double slowdownOf(const State& state, TimePoint now) const;
    [[nodiscard]] Duration serviceTime(const State& state, TimePoint now) const;
    [[nodiscard]] double unknownInFlight(const State& state, TimePoint now) const;
    [[nodiscard]] bool isStuck(const State& state, TimePoint now) const;
    [[nodiscard]] bool hasFreeSlot(const State& state, TimePoint now) const;
    [[nodiscard]] Estimate estimate(TimePoint now) const;
    [[nodiscard]] std::optional<ServerId> select(const Request& request, TimePoint now) const;
    [[nodiscard]] TimePoint waitLimitEnd(const Waiting& waiting, Duration service) const;
    [[nodiscard]] std::set<unsigned> underservedKinds() const;
    [[nodiscard]] std::vector<std::uint64_t> queueOrder(const Estimate& estimate, TimePoint now) const;
    void measureServiceTime(State& state, const Lease& lease, const AdmissionResult& result, TimePoint now);
    void decayCounts(TimePoint now);
    void expireLeases(TimePoint now);

    Options m_options;
    std::map<ServerId, State> m_servers;
    std::map<std::uint64_t, Waiting> m_waiting; ///< By id, which is the order of arrival.
    std::map<unsigned, Kind> m_kinds; ///< By priority.
    TimePoint m_countsAt;
};

/// @brief A member that may coordinate admissions.
struct CoordinatorCandidate {
    DomainId domain;
    double weight = 0; ///< Processor time in cores.
};

/// @brief Selects the instance that coordinates the admissions of a server or a group of servers, the same one on all
/// instances that know the same members. An instance coordinates in proportion to its weight.
class AdmissionCoordinators {
public:
    struct Options {
        Duration suspicionTime = std::chrono::seconds(5); ///< An instance that did not answer is skipped for this time.
    };

    static AdmissionCoordinators create(Options options) { return AdmissionCoordinators(options); }

    /// @brief Replaces the candidates.
    void setMembers(std::map<InstanceId, CoordinatorCandidate> members);

    /// @brief Returns the coordinator of a subject: an instance of its failure domain if there is one.
    /// @param subject server, or service and domain
    /// @return nothing if no instance can be asked
    /// @complexity O(n log n) for n instances, once for each subject and change of the members
    [[nodiscard]] std::optional<InstanceId> coordinatorOf(
        const std::string& subject, const DomainId& domain, TimePoint now);

    /// @brief Skips an instance for a while because it did not answer.
    /// @return false if it is being skipped already
    bool suspect(const InstanceId& id, TimePoint now);

private:
    explicit AdmissionCoordinators(Options options)
        : m_options(options)
    {
    }

    Options m_options;
    std::map<InstanceId, CoordinatorCandidate> m_members;
    std::map<std::string, std::vector<InstanceId>> m_orders; ///< Candidates by subject, the coordinator first.
    std::map<InstanceId, TimePoint> m_suspectUntil;
};

} // namespace acaciagauge
