#pragma once

#include "daemon/rpc_types.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace acaciagauge::daemon {

/// @brief Cap'n Proto RPC with the other instances, on one thread with its own event loop.
///
/// All methods may be called from any thread; hooks and callbacks run on the RPC thread and must not block.
class RpcNode {
public:
    /// @brief What to do with calls from peers.
    struct Hooks {
        std::function<void(PeerMessage)> onControl;
        std::function<void(ForwardRequest, std::function<void(ForwardReply)>)> onForward;
        std::function<void(Digest, std::function<void(News)>)> onExchange;
        std::function<void(News)> onAnnounce;
        std::function<void(LoadReport)> onLoad;
        std::function<void(StoreEra, Revision, std::chrono::milliseconds wait, std::function<void(StoreUpdate)>)>
            onChangesSince;
        std::function<void(PermitRequest, std::function<void(PermitReply)>)> onPermit;
        std::function<void(AdmissionCall, std::function<void(AdmissionReply)>)> onAdmit;
        std::function<void(AdmissionNotice)> onAdmissionEnded;
    };

    /// @brief Starts the thread and listens.
    /// @param address "IP:PORT"
    /// @return invalidSetting if the address cannot be bound
    static Result<std::unique_ptr<RpcNode>> create(const std::string& address, Hooks hooks);
    ~RpcNode();
    RpcNode(const RpcNode&) = delete;
    RpcNode& operator=(const RpcNode&) = delete;

    /// @brief Sends a control message; `done` is told whether the peer was reached.
    void control(const std::string& address, PeerMessage message, std::function<void(RpcReach)> done);

    /// @brief Forwards a request. The reply says notRun if the peer was not reached, unknown if its answer was lost.
    void forward(const std::string& address, ForwardRequest request, std::function<void(ForwardReply)> done);

    /// @brief Asks a peer for what it knows beyond the digest. Not called back on failure.
    void exchange(const std::string& address, Digest digest, std::function<void(News)> done);

    /// @brief Tells a peer news.
    void announce(const std::string& address, News news);

    /// @brief Tells a peer about the load; `done` is told whether the peer was reached.
    void reportLoad(const std::string& address, LoadReport report, std::function<void(RpcReach)> done);

    /// @brief Asks a peer for what its copy of the store has beyond a revision.
    /// @param wait the peer answers after this time if it has nothing new
    /// @param done is told nothing if the peer does not answer
    void changesSince(const std::string& address, StoreEra era, Revision revision, std::chrono::milliseconds wait,
        std::function<void(std::optional<StoreUpdate>)> done);

    /// @brief Asks a peer for a permit; `done` is told nothing if the peer does not answer.
    void requestPermit(
        const std::string& address, PermitRequest request, std::function<void(std::optional<PermitReply>)> done);

    /// @brief Asks a peer to admit a request; `done` is told nothing if the peer does not answer.
    void admit(const std::string& address, AdmissionCall call, std::function<void(std::optional<AdmissionReply>)> done);

    /// @brief Tells a peer that an admission has ended.
    void admissionEnded(const std::string& address, AdmissionNotice notice);

private:
    struct Loop;
    RpcNode();
    std::unique_ptr<Loop> m_loop;
};

} // namespace acaciagauge::daemon
