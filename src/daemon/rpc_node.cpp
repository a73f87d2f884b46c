#include "daemon/rpc_node.hpp"

#include "daemon/log.hpp"
#include "daemon/wire.hpp"
#include "net/net.hpp"

#include <atomic>
#include <capnp/rpc-twoparty.h>
#include <future>
#include <kj/async-io.h>
#include <kj/async-unix.h>
#include <mutex>
#include <sys/eventfd.h>
#include <thread>
#include <unistd.h>
#include <unordered_map>

namespace acaciagauge::daemon {

namespace {

    constexpr auto connectTimeout = 500 * kj::MILLISECONDS;
    constexpr auto controlTimeout = 2 * kj::SECONDS;
    /// Added to the wait that a peer is asked for: connecting, a round trip and a busy machine.
    constexpr auto changesSlack = 250 * kj::MILLISECONDS;
    /// Longer than an instance stands still whose processor time for a tenth of a second is used up: a peer that does
    /// not answer in time is not asked again for a while, and two instances then hold a server's permits.
    constexpr auto permitTimeout = 300 * kj::MILLISECONDS;
    /// Added to the longest wait for an admission. The instance that asks gives up earlier; only a connection that
    /// carries nothing any more is closed after this time, as other requests use it.
    constexpr auto admitSlack = 2 * kj::SECONDS;
    constexpr auto forwardSlack = 20 * kj::MILLISECONDS;

    std::string textOf(const kj::Exception& exception)
    {
        return exception.getDescription().cStr();
    }

    bool isRefusal(const kj::Exception& exception)
    {
        return textOf(exception).find("onnection refused") != std::string::npos;
    }

} // namespace

/// The event loop's thread, its work queue and its connections.
struct RpcNode::Loop final : private kj::TaskSet::ErrorHandler {
    using Work = std::function<void()>;

    struct Connection {
        explicit Connection(kj::Own<kj::AsyncIoStream> io)
            : stream(kj::mv(io))
            , client(*stream)
            , peer(client.bootstrap().castAs<wire::Peer>())
        {
        }
        kj::Own<kj::AsyncIoStream> stream;
        capnp::TwoPartyClient client;
        wire::Peer::Client peer;
        bool broken = false;
    };

    class PeerServer final : public wire::Peer::Server {
    public:
        explicit PeerServer(Loop& loop)
            : m_loop(loop)
        {
        }

        kj::Promise<void> control(ControlContext context) override
        {
            m_loop.hooks.onControl(fromWire(context.getParams().getMessage()));
            return kj::READY_NOW;
        }

        kj::Promise<void> forward(ForwardContext context) override
        {
            auto request = fromWire(context.getParams().getRequest());
            auto answer = m_loop.awaitFromOutside<ForwardReply>([&](std::function<void(ForwardReply)> done) {
                m_loop.hooks.onForward(std::move(request), std::move(done));
            });
            return answer.then(
                [context](ForwardReply reply) mutable { toWire(reply, context.getResults().initReply()); });
        }

        kj::Promise<void> exchange(ExchangeContext context) override
        {
            auto digest = fromWire(context.getParams().getDigest());
            auto answer = m_loop.awaitFromOutside<News>(
                [&](std::function<void(News)> done) { m_loop.hooks.onExchange(std::move(digest), std::move(done)); });
            return answer.then([context](News news) mutable { toWire(news, context.getResults().initNews()); });
        }

        kj::Promise<void> announce(AnnounceContext context) override
        {
            m_loop.hooks.onAnnounce(fromWire(context.getParams().getNews()));
            return kj::READY_NOW;
        }

        kj::Promise<void> reportLoad(ReportLoadContext context) override
        {
            m_loop.hooks.onLoad(fromWire(context.getParams().getReport()));
            return kj::READY_NOW;
        }

        kj::Promise<void> changesSince(ChangesSinceContext context) override
        {
            auto era = context.getParams().getEra();
            auto revision = context.getParams().getRevision();
            auto wait = std::chrono::milliseconds(context.getParams().getWaitMillis());
            auto answer = m_loop.awaitFromOutside<StoreUpdate>([&](std::function<void(StoreUpdate)> done) {
                m_loop.hooks.onChangesSince(era, revision, wait, std::move(done));
            });
            return answer.then([context](StoreUpdate news) mutable {
                toWire(news.delta, context.getResults().initDelta());
                context.getResults().setAgeMicros(static_cast<std::uint64_t>(news.age.count()));
                context.getResults().setHeldMicros(static_cast<std::uint64_t>(news.held.count()));
                context.getResults().setSteadyMicros(static_cast<std::uint64_t>(news.availableFor.count()));
                context.getResults().setSource(news.source);
            });
        }

        kj::Promise<void> permit(PermitContext context) override
        {
            auto in = context.getParams().getRequest();
            PermitRequest request { in.getServer(), in.getPerSecond(),
                Duration(static_cast<Duration::rep>(in.getMaxWaitMicros())), {}, {} };
            auto answer = m_loop.awaitFromOutside<PermitReply>([&](std::function<void(PermitReply)> done) {
                m_loop.hooks.onPermit(std::move(request), std::move(done));
            });
            return answer.then([context](PermitReply reply) mutable {
                context.getResults().setIsGranted(reply.isGranted);
                context.getResults().setWaitMicros(static_cast<std::uint64_t>(reply.wait.count()));
            });
        }

        kj::Promise<void> admit(AdmitContext context) override
        {
            // If the peer does not wait any more when the request is admitted, the admission ends at once.
            auto paf = kj::newPromiseAndFulfiller<AdmissionReply>();
            auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<AdmissionReply>>>(kj::mv(paf.fulfiller));
            auto& loop = m_loop;
            loop.hooks.onAdmit(fromWire(context.getParams()), [&loop, fulfiller](AdmissionReply reply) {
                loop.post([&loop, fulfiller, reply = std::move(reply)]() mutable {
                    if ((*fulfiller)->isWaiting())
                        (*fulfiller)->fulfill(std::move(reply));
                    else if (reply.isAdmitted)
                        loop.hooks.onAdmissionEnded({ reply.server, reply.workId, {} });
                });
            });
            context.releaseParams();
            return paf.promise.then([context](AdmissionReply reply) mutable { toWire(reply, context.getResults()); });
        }

        kj::Promise<void> admissionEnded(AdmissionEndedContext context) override
        {
            m_loop.hooks.onAdmissionEnded(fromWire(context.getParams()));
            return kj::READY_NOW;
        }

    private:
        Loop& m_loop;
    };

    /// Lets a hook complete a promise of this loop from another thread.
    template <typename T, typename Start> kj::Promise<T> awaitFromOutside(Start start)
    {
        auto paf = kj::newPromiseAndFulfiller<T>();
        auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<T>>>(kj::mv(paf.fulfiller));
        start([this, fulfiller](T value) {
            auto boxed = std::make_shared<T>(std::move(value));
            post([fulfiller, boxed] { (*fulfiller)->fulfill(std::move(*boxed)); });
        });
        return kj::mv(paf.promise);
    }

    void taskFailed(kj::Exception&& exception) override
    {
        logEvent(LogLevel::warn, LogEvent::rpcFailed, { { "message", textOf(exception) } });
    }

    void post(Work work)
    {
        std::lock_guard lock(mutex);
        bool wasEmpty = queue.empty();
        queue.push_back(std::move(work));
        if (!wasEmpty)
            return;
        std::uint64_t one = 1;
        static_cast<void>(::write(wakeFd, &one, sizeof(one)));
    }

    void drainQueue()
    {
        std::vector<Work> batch;
        {
            std::lock_guard lock(mutex);
            batch.swap(queue);
        }
        for (auto& it : batch)
            it();
    }

    kj::Promise<void> wakeLoop(kj::AsyncInputStream& wake)
    {
        return wake.tryRead(&wakeCount, sizeof(wakeCount), sizeof(wakeCount)).then([this, &wake](size_t) {
            drainQueue();
            return wakeLoop(wake);
        });
    }

    void run(const std::string& address, std::promise<std::string> started)
    {
        auto io = kj::setupAsyncIo();
        this->io = &io;
        kj::TaskSet taskSet(*this);
        tasks = &taskSet;
        bool reported = false;
        try {
            auto wake = io.lowLevelProvider->wrapInputFd(wakeFd);
            taskSet.add(wakeLoop(*wake));
            auto target = io.provider->getNetwork().parseAddress(address).wait(io.waitScope);
            auto listener = target->listen();
            capnp::TwoPartyServer server(kj::heap<PeerServer>(*this));
            taskSet.add(server.listen(*listener));
            auto stop = kj::newPromiseAndFulfiller<void>();
            stopper = kj::mv(stop.fulfiller);
            started.set_value({});
            reported = true;
            stop.promise.wait(io.waitScope);
            connections.clear();
        } catch (const kj::Exception& exception) {
            if (!reported)
                started.set_value(textOf(exception));
        }
        connections.clear();
        tasks = nullptr;
    }

    kj::Promise<std::shared_ptr<Connection>> connect(std::string address)
    {
        auto it = connections.find(address);
        if (it != connections.end() && !it->second->broken)
            return it->second;
        auto parsed = io->provider->getNetwork().parseAddress(address);
        auto connected = parsed.then([](kj::Own<kj::NetworkAddress> target) {
            auto promise = target->connect();
            return promise.attach(kj::mv(target));
        });
        auto timed = io->provider->getTimer().timeoutAfter(connectTimeout, kj::mv(connected));
        return timed.then([this, address](kj::Own<kj::AsyncIoStream> stream) -> std::shared_ptr<Connection> {
            auto known = connections.find(address);
            if (known != connections.end() && !known->second->broken)
                return known->second;
            auto connection = std::make_shared<Connection>(kj::mv(stream));
            connections[address] = connection;
            std::weak_ptr<Connection> weak = connection;
            tasks->add(connection->client.onDisconnect().then([weak] {
                if (auto strong = weak.lock())
                    strong->broken = true;
            }));
            return connection;
        });
    }

    RpcReach reachOf(const std::string& address, const kj::Exception& exception)
    {
        auto reach = isRefusal(exception) ? RpcReach::refused : RpcReach::unreachable;
        logEvent(
            LogLevel::debug, LogEvent::peerUnreachable, { { "address", address }, { "message", textOf(exception) } });
        return reach;
    }

    void breakConnection(const std::shared_ptr<Connection>& connection) { connection->broken = true; }

    /// Sends a call without an answer of its own and tells whether it arrived.
    /// @param fill builds the call from the peer's client
    template <typename Fill> void deliver(const std::string& address, Fill fill, std::function<void(RpcReach)> done)
    {
        auto sent = connect(address).then([this, fill, done](std::shared_ptr<Connection> connection) {
            auto request = fill(connection->peer);
            auto answered = io->provider->getTimer().timeoutAfter(controlTimeout, request.send().ignoreResult());
            return answered
                .then([done] { done(RpcReach::reached); },
                    [this, connection, done](kj::Exception&&) {
                        breakConnection(connection);
                        done(RpcReach::unreachable);
                    })
                .attach(kj::cp(connection));
        });
        tasks->add(
            sent.catch_([this, address, done](kj::Exception&& exception) { done(reachOf(address, exception)); }));
    }

    void sendControl(const std::string& address, const PeerMessage& message, std::function<void(RpcReach)> done)
    {
        auto fill = [message](wire::Peer::Client& peer) {
            auto request = peer.controlRequest();
            toWire(message, request.initMessage());
            return request;
        };
        deliver(address, fill, std::move(done));
    }

    void sendForward(
        const std::string& address, std::shared_ptr<ForwardRequest> request, std::function<void(ForwardReply)> done)
    {
        auto sent = connect(address).then([this, request, done](std::shared_ptr<Connection> connection) {
            auto call = connection->peer.forwardRequest();
            toWire(*request, call.initRequest());
            auto limit = request->remaining.count() * kj::MICROSECONDS + forwardSlack;
            auto answered = io->provider->getTimer().timeoutAfter(limit, call.send());
            return answered
                .then(
                    [done](
                        capnp::Response<wire::Peer::ForwardResults>&& results) { done(fromWire(results.getReply())); },
                    [this, connection, request, done](kj::Exception&& exception) {
                        bool isTimeout = exception.getType() == kj::Exception::Type::OVERLOADED;
                        if (!isTimeout)
                            breakConnection(connection);
                        done(replyWithout(
                            request->requestId, Outcome::unknown, ResultCode::outcomeUnknown, textOf(exception)));
                    })
                .attach(kj::cp(connection));
        });
        tasks->add(sent.catch_([this, address, request, done](kj::Exception&& exception) {
            reachOf(address, exception);
            done(replyWithout(request->requestId, Outcome::notRun, ResultCode::peerUnreachable, textOf(exception)));
        }));
    }

    void sendExchange(const std::string& address, const Digest& digest, std::function<void(News)> done)
    {
        auto sent = connect(address).then([this, digest, done](std::shared_ptr<Connection> connection) {
            auto call = connection->peer.exchangeRequest();
            toWire(digest, call.initDigest());
            return io->provider->getTimer()
                .timeoutAfter(controlTimeout, call.send())
                .then(
                    [done](
                        capnp::Response<wire::Peer::ExchangeResults>&& results) { done(fromWire(results.getNews())); },
                    [this, connection](kj::Exception&&) { breakConnection(connection); })
                .attach(kj::cp(connection));
        });
        tasks->add(sent.catch_([this, address](kj::Exception&& exception) { reachOf(address, exception); }));
    }

    void sendAnnounce(const std::string& address, std::shared_ptr<News> news)
    {
        auto sent = connect(address).then([this, news](std::shared_ptr<Connection> connection) {
            auto call = connection->peer.announceRequest();
            toWire(*news, call.initNews());
            return io->provider->getTimer()
                .timeoutAfter(controlTimeout, call.send().ignoreResult())
                .catch_([this, connection](kj::Exception&&) { breakConnection(connection); })
                .attach(kj::cp(connection));
        });
        tasks->add(sent.catch_([this, address](kj::Exception&& exception) { reachOf(address, exception); }));
    }

    void sendLoad(const std::string& address, const LoadReport& report, std::function<void(RpcReach)> done)
    {
        auto fill = [report](wire::Peer::Client& peer) {
            auto request = peer.reportLoadRequest();
            toWire(report, request.initReport());
            return request;
        };
        deliver(address, fill, std::move(done));
    }

    /// Sends a call and passes on its answer, or nothing if there is none within the timeout, which includes
    /// connecting.
    /// @param send sends the call by the peer's client and returns a promise of the answer
    template <typename T, typename Send>
    void request(
        const std::string& address, kj::Duration timeout, Send send, std::function<void(std::optional<T>)> done)
    {
        auto used = std::make_shared<std::shared_ptr<Connection>>();
        auto answered = connect(address).then([send, used](std::shared_ptr<Connection> connection) {
            *used = connection;
            return send(connection->peer);
        });
        auto timed = io->provider->getTimer().timeoutAfter(timeout, kj::mv(answered));
        tasks->add(timed.then([done](T answer) { done(std::move(answer)); },
            [this, address, used, done](kj::Exception&& exception) {
                reachOf(address, exception);
                if (*used)
                    breakConnection(*used);
                done(std::nullopt);
            }));
    }

    void sendChangesSince(const std::string& address, StoreEra era, Revision revision, std::chrono::milliseconds wait,
        std::function<void(std::optional<StoreUpdate>)> done)
    {
        auto send = [era, revision, wait](wire::Peer::Client& peer) {
            auto call = peer.changesSinceRequest();
            call.setEra(era);
            call.setRevision(revision);
            call.setWaitMillis(static_cast<std::uint32_t>(wait.count()));
            return call.send().then([](capnp::Response<wire::Peer::ChangesSinceResults>&& results) {
                StoreUpdate news;
                news.delta = fromWire(results.getDelta());
                news.age = std::chrono::microseconds(results.getAgeMicros());
                news.held = std::chrono::microseconds(results.getHeldMicros());
                news.availableFor = std::chrono::microseconds(results.getSteadyMicros());
                news.source = results.getSource();
                return news;
            });
        };
        request<StoreUpdate>(address, wait.count() * kj::MILLISECONDS + changesSlack, send, std::move(done));
    }

    void sendPermitRequest(
        const std::string& address, const PermitRequest& permit, std::function<void(std::optional<PermitReply>)> done)
    {
        auto send = [permit](wire::Peer::Client& peer) {
            auto call = peer.permitRequest();
            auto out = call.initRequest();
            out.setServer(permit.server);
            out.setPerSecond(permit.perSecond);
            out.setMaxWaitMicros(static_cast<std::uint64_t>(permit.maxWait.count()));
            return call.send().then([](capnp::Response<wire::Peer::PermitResults>&& results) {
                return PermitReply { results.getIsGranted(), std::chrono::microseconds(results.getWaitMicros()) };
            });
        };
        request<PermitReply>(address, permitTimeout, send, std::move(done));
    }

    void sendAdmit(
        const std::string& address, const AdmissionCall& call, std::function<void(std::optional<AdmissionReply>)> done)
    {
        auto send = [call](wire::Peer::Client& peer) {
            auto out = peer.admitRequest();
            toWire(call, out);
            return out.send().then(
                [](capnp::Response<wire::Peer::AdmitResults>&& results) { return fromWire(results); });
        };
        request<AdmissionReply>(address, call.maxWait.count() * kj::MICROSECONDS + admitSlack, send, std::move(done));
    }

    void sendAdmissionEnded(const std::string& address, const AdmissionNotice& notice)
    {
        auto fill = [notice](wire::Peer::Client& peer) {
            auto call = peer.admissionEndedRequest();
            toWire(notice, call);
            return call;
        };
        deliver(address, fill, [](RpcReach) {});
    }

    Hooks hooks;
    int wakeFd = -1;
    std::uint64_t wakeCount = 0;
    std::mutex mutex;
    std::vector<Work> queue;
    std::thread thread;
    kj::AsyncIoContext* io = nullptr;
    kj::TaskSet* tasks = nullptr;
    kj::Own<kj::PromiseFulfiller<void>> stopper;
    std::unordered_map<std::string, std::shared_ptr<Connection>> connections;
};

RpcNode::RpcNode()
    : m_loop(std::make_unique<Loop>())
{
}

Result<std::unique_ptr<RpcNode>> RpcNode::create(const std::string& address, Hooks hooks)
{
    auto endpoint = net::parseEndpoint(address);
    if (!endpoint)
        return tl::make_unexpected(endpoint.error());
    std::unique_ptr<RpcNode> node(new RpcNode());
    auto& loop = *node->m_loop;
    loop.hooks = std::move(hooks);
    loop.wakeFd = ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    std::promise<std::string> started;
    auto problem = started.get_future();
    loop.thread = std::thread(
        [&loop, address, promise = std::move(started)]() mutable { loop.run(address, std::move(promise)); });
    auto message = problem.get();
    if (!message.empty())
        return failure(ResultCode::invalidSetting, "cannot listen on " + address + ": " + message);
    return node;
}

RpcNode::~RpcNode()
{
    if (m_loop->thread.joinable()) {
        m_loop->post([this] {
            if (m_loop->stopper)
                m_loop->stopper->fulfill();
        });
        m_loop->thread.join();
    }
    ::close(m_loop->wakeFd);
}

void RpcNode::control(const std::string& address, PeerMessage message, std::function<void(RpcReach)> done)
{
    auto& loop = *m_loop;
    loop.post([&loop, address, message = std::move(message), done] { loop.sendControl(address, message, done); });
}

void RpcNode::forward(const std::string& address, ForwardRequest request, std::function<void(ForwardReply)> done)
{
    auto& loop = *m_loop;
    auto shared = std::make_shared<ForwardRequest>(std::move(request));
    loop.post([&loop, address, shared, done] { loop.sendForward(address, shared, done); });
}

void RpcNode::exchange(const std::string& address, Digest digest, std::function<void(News)> done)
{
    auto& loop = *m_loop;
    loop.post([&loop, address, digest = std::move(digest), done] { loop.sendExchange(address, digest, done); });
}

void RpcNode::announce(const std::string& address, News news)
{
    auto& loop = *m_loop;
    auto shared = std::make_shared<News>(std::move(news));
    loop.post([&loop, address, shared] { loop.sendAnnounce(address, shared); });
}

void RpcNode::reportLoad(const std::string& address, LoadReport report, std::function<void(RpcReach)> done)
{
    auto& loop = *m_loop;
    loop.post([&loop, address, report = std::move(report), done] { loop.sendLoad(address, report, done); });
}

void RpcNode::changesSince(const std::string& address, StoreEra era, Revision revision, std::chrono::milliseconds wait,
    std::function<void(std::optional<StoreUpdate>)> done)
{
    auto& loop = *m_loop;
    loop.post(
        [&loop, address, era, revision, wait, done] { loop.sendChangesSince(address, era, revision, wait, done); });
}

void RpcNode::requestPermit(
    const std::string& address, PermitRequest request, std::function<void(std::optional<PermitReply>)> done)
{
    auto& loop = *m_loop;
    loop.post([&loop, address, request = std::move(request), done] { loop.sendPermitRequest(address, request, done); });
}

void RpcNode::admit(
    const std::string& address, AdmissionCall call, std::function<void(std::optional<AdmissionReply>)> done)
{
    auto& loop = *m_loop;
    loop.post([&loop, address, call = std::move(call), done] { loop.sendAdmit(address, call, done); });
}

void RpcNode::admissionEnded(const std::string& address, AdmissionNotice notice)
{
    auto& loop = *m_loop;
    loop.post([&loop, address, notice = std::move(notice)] { loop.sendAdmissionEnded(address, notice); });
}

} // namespace acaciagauge::daemon
