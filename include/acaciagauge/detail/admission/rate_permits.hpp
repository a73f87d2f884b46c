#pragma once

#include "acaciagauge/detail/common/ids.hpp"
#include "acaciagauge/detail/common/time.hpp"

#include <map>
#include <optional>
#include <vector>

namespace acaciagauge {

/// @brief A request for the permission to send one request to a server that limits its rate.
struct PermitRequest {
    ServerId server;
    double perSecond = 0; ///< Requests per second that the server takes from all instances together.
    Duration maxWait { 0 }; ///< Longest time that the request can wait before it is sent.
    std::optional<unsigned> burstRequests; ///< Unused permits that are saved up at most; nothing: as the options say.
    Duration startDelay { 0 }; ///< Until the first permit of a server that has no state yet.
};

/// @brief Permits of a cold server, which crashes above its rate limit.
///
/// Two instances may regard themselves as the holder of the permits for a while, or one instance may have lost them to
/// another. Each of the two gives out at most `perSecond` + 1 + `burstRequests` permits in any one second, and both
/// together stay under the bound.
struct ColdPermits {
    double perSecond = 0;
    unsigned burstRequests = 0;

    /// @param perSecond requests per second that a cold server takes
    /// @param bound requests that it may get in any one second
    static ColdPermits create(double perSecond, double bound);

    /// @brief Limits a request for a permit to these permits.
    void limit(PermitRequest& request) const;
};

/// @brief Answer to a PermitRequest.
struct PermitReply {
    bool isGranted = false;
    Duration wait { 0 }; ///< When to send the request; if it is not granted, when the next one could be sent.
};

/// @brief Spaces the requests of all instances to each server that limits its rate.
///
/// One instance holds the permits of a server, so that the limit is kept whatever the number of instances and however
/// uneven their traffic is. An unused permit is not saved up for longer than a short burst.
class RatePermits {
public:
    struct Options {
        Duration burst = std::chrono::milliseconds(250); ///< Time for which unused permits are saved up.
        unsigned burstRequests = 2; ///< That many unused permits are saved up at least, for requests at uneven times.
        double minPerSecond = 0.2; ///< Rate to a server that takes no requests: its answers tell when that ends.
        Duration forgetAfter = std::chrono::seconds(30); ///< Time until the state of an unused server is dropped.
    };

    static RatePermits create(Options options) { return RatePermits(options); }

    /// @brief Reserves the next permit of a server if it is due in time.
    /// @complexity O(log s) for s servers; O(s) once in `forgetAfter`
    PermitReply request(const PermitRequest& request, TimePoint now);

private:
    explicit RatePermits(Options options)
        : m_options(options)
    {
    }

    Options m_options;
    std::map<ServerId, TimePoint> m_nextDue; ///< When the next permit of a server would be due without a burst.
    TimePoint m_prunedAt;
};

/// @brief Returns the request for an instance's own part of a rate, when no holder can be reached.
/// @param phase from 0 to 1, random for each request: as all instances may lose the holder at once, their first permits
/// for a cold server are spread over the interval of their parts
PermitRequest ownShare(PermitRequest request, std::size_t instances, double phase);

/// @brief Selects the instance that holds a server's permits, the same one on all instances that know the same members.
class PermitHolders {
public:
    struct Options {
        Duration suspicionTime = std::chrono::seconds(5); ///< An instance that did not answer is skipped for this time.
    };

    static PermitHolders create(Options options) { return PermitHolders(options); }

    /// @brief Replaces the candidates.
    /// @param members the instances and their failure domains
    void setMembers(std::map<InstanceId, DomainId> members);

    /// @brief Returns the holder of a server's permits: an instance of the server's failure domain if there is one.
    /// @return nothing if no instance can be asked
    /// @complexity O(n log n) for n instances, once for each server and change of the members
    [[nodiscard]] std::optional<InstanceId> holderOf(const ServerId& server, const DomainId& domain, TimePoint now);

    /// @brief Skips an instance for a while because it did not answer.
    void suspect(const InstanceId& id, TimePoint now) { m_suspectUntil[id] = now + m_options.suspicionTime; }

private:
    explicit PermitHolders(Options options)
        : m_options(options)
    {
    }
    const std::vector<InstanceId>& orderOf(const ServerId& server, const DomainId& domain);

    Options m_options;
    std::map<InstanceId, DomainId> m_members;
    std::map<ServerId, std::vector<InstanceId>> m_orders; ///< Candidates by server, the holder first.
    std::map<InstanceId, TimePoint> m_suspectUntil;
};

} // namespace acaciagauge
