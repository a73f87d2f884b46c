#include "daemon/wire.hpp"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace acaciagauge::daemon {

namespace {

    void toWire(const Member& member, wire::Member::Builder out)
    {
        out.setId(member.id);
        out.setIncarnation(member.incarnation);
    }

    Member fromWire(wire::Member::Reader in)
    {
        return { in.getId(), in.getIncarnation() };
    }

    void toWire(const RenewerSet& set, wire::RenewerSet::Builder out)
    {
        out.setEpoch(set.epoch);
        auto members = out.initMembers(static_cast<unsigned>(set.members.size()));
        for (unsigned n = 0; n < set.members.size(); ++n)
            toWire(set.members[n], members[n]);
    }

    RenewerSet fromWire(wire::RenewerSet::Reader in)
    {
        RenewerSet set;
        set.epoch = in.getEpoch();
        for (auto it : in.getMembers())
            set.members.push_back(fromWire(it));
        return set;
    }

    void toWire(const std::vector<ProvisionalMove>& moves, capnp::List<wire::ProvisionalMove>::Builder out)
    {
        for (unsigned n = 0; n < moves.size(); ++n) {
            out[n].setService(moves[n].item.service);
            out[n].setPartition(moves[n].item.partition);
            out[n].setKey(moves[n].item.key);
            out[n].setServer(moves[n].holding.server);
            out[n].setEpoch(moves[n].holding.fence.epoch);
            out[n].setSequence(moves[n].holding.fence.sequence);
        }
    }

    std::vector<ProvisionalMove> fromWire(capnp::List<wire::ProvisionalMove>::Reader in)
    {
        std::vector<ProvisionalMove> moves;
        for (auto it : in) {
            Item item { it.getService(), it.getPartition(), it.getKey() };
            moves.push_back({ item, { it.getServer(), { it.getEpoch(), it.getSequence() } } });
        }
        return moves;
    }

    /// Writes each body into the message's union.
    struct BodyWriter {
        wire::ControlMessage::Builder out;

        void operator()(const Ping& body) { out.setPing(body.sequence); }
        void operator()(const Pong& body) { out.setPong(body.sequence); }
        void operator()(const Join& body)
        {
            auto join = out.initJoin();
            toWire(body.controller, join.initController());
            toWire(body.renewers, join.initRenewers());
        }
        void operator()(const Joined& body)
        {
            auto joined = out.initJoinedEpoch();
            auto ages = joined.initStampAges(static_cast<unsigned>(body.stampAges.size()));
            unsigned n = 0;
            for (const auto& it : body.stampAges) {
                ages[n].setServer(it.first);
                ages[n++].setAgeMicros(static_cast<std::uint64_t>(it.second.count()));
            }
            toWire(body.provisional, joined.initProvisional(static_cast<unsigned>(body.provisional.size())));
        }
        void operator()(const StopRenewing& body) { write(out.initStopRenewing(), body.server, body.sequence); }
        void operator()(const StoppedRenewing& body)
        {
            auto stopped = out.initStoppedRenewing();
            write(stopped, body.server, body.sequence);
            stopped.setAgeMicros(static_cast<std::uint64_t>(body.stampAge.count()));
        }
        void operator()(const ResumeRenewing& body) { write(out.initResumeRenewing(), body.server, body.sequence); }
        void operator()(const Agree& body)
        {
            auto agree = out.initAgree();
            agree.setSequence(body.sequence);
            toWire(body.moves, agree.initMoves(static_cast<unsigned>(body.moves.size())));
        }
        void operator()(const Agreed& body) { out.setAgreed(body.sequence); }
        void operator()(const HandOver&) { out.setHandOver(); }

        static void write(wire::ServerSequence::Builder to, const ServerId& server, std::uint64_t sequence)
        {
            to.setServer(server);
            to.setSequence(sequence);
        }
    };

    Joined readJoined(wire::ControlMessage::JoinedEpoch::Reader in)
    {
        Joined joined;
        for (auto it : in.getStampAges())
            joined.stampAges[it.getServer()] = Duration(static_cast<Duration::rep>(it.getAgeMicros()));
        joined.provisional = fromWire(in.getProvisional());
        return joined;
    }

    PeerBody readBody(wire::ControlMessage::Reader in)
    {
        switch (in.which()) {
        case wire::ControlMessage::PING:
            return Ping { in.getPing() };
        case wire::ControlMessage::PONG:
            return Pong { in.getPong() };
        case wire::ControlMessage::JOIN:
            return Join { fromWire(in.getJoin().getController()), fromWire(in.getJoin().getRenewers()) };
        case wire::ControlMessage::JOINED_EPOCH:
            return readJoined(in.getJoinedEpoch());
        case wire::ControlMessage::STOP_RENEWING:
            return StopRenewing { in.getStopRenewing().getServer(), in.getStopRenewing().getSequence() };
        case wire::ControlMessage::STOPPED_RENEWING: {
            auto stopped = in.getStoppedRenewing();
            auto age = Duration(static_cast<Duration::rep>(stopped.getAgeMicros()));
            return StoppedRenewing { stopped.getServer(), stopped.getSequence(), age };
        }
        case wire::ControlMessage::RESUME_RENEWING:
            return ResumeRenewing { in.getResumeRenewing().getServer(), in.getResumeRenewing().getSequence() };
        case wire::ControlMessage::AGREE:
            return Agree { in.getAgree().getSequence(), fromWire(in.getAgree().getMoves()) };
        case wire::ControlMessage::AGREED:
            return Agreed { in.getAgreed() };
        case wire::ControlMessage::HAND_OVER:
            return HandOver {};
        }
        return Ping {};
    }

    std::string textOf(capnp::Data::Reader data)
    {
        return { reinterpret_cast<const char*>(data.begin()), data.size() };
    }

    capnp::Data::Reader dataOf(const std::string& text)
    {
        return { reinterpret_cast<const unsigned char*>(text.data()), text.size() };
    }

    std::uint32_t toMillis(Duration duration)
    {
        auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
        return static_cast<std::uint32_t>(
            std::clamp<std::int64_t>(millis, 0, std::numeric_limits<std::uint32_t>::max()));
    }

    template <typename List, typename Read> void readDocuments(List list, Read read)
    {
        for (auto it : list) {
            auto document = nlohmann::json::parse(std::string(it.cStr()), nullptr, false);
            if (!document.is_discarded())
                read(document);
        }
    }

} // namespace

void toWire(const PeerMessage& message, wire::ControlMessage::Builder out)
{
    toWire(message.from, out.initFrom());
    out.setEpoch(message.epoch);
    out.setJoined(message.joined);
    std::visit(BodyWriter { out }, message.body);
}

PeerMessage fromWire(wire::ControlMessage::Reader in)
{
    return { fromWire(in.getFrom()), in.getEpoch(), in.getJoined(), readBody(in) };
}

void toWire(const ForwardRequest& request, wire::ForwardRequest::Builder out)
{
    out.setRequestId(request.requestId);
    out.setService(request.service);
    out.setKey(request.key);
    out.setServer(request.server);
    out.setMethod(request.method);
    out.setBody(dataOf(request.body));
    out.setContentType(request.contentType);
    out.setIdempotencyKey(request.idempotencyKey);
    out.setTraceparent(request.traceparent);
    out.setRemainingMicros(static_cast<std::uint64_t>(std::max<Duration::rep>(request.remaining.count(), 0)));
    out.setIdempotent(request.idempotent);
}

ForwardRequest fromWire(wire::ForwardRequest::Reader in)
{
    ForwardRequest request;
    request.requestId = in.getRequestId();
    request.service = in.getService();
    request.key = in.getKey();
    request.server = in.getServer();
    request.method = in.getMethod();
    request.body = textOf(in.getBody());
    request.contentType = in.getContentType();
    request.idempotencyKey = in.getIdempotencyKey();
    request.traceparent = in.getTraceparent();
    request.remaining = Duration(static_cast<Duration::rep>(in.getRemainingMicros()));
    request.idempotent = in.getIdempotent();
    return request;
}

void toWire(const ForwardReply& reply, wire::ForwardReply::Builder out)
{
    out.setRequestId(reply.requestId);
    out.setOutcome(static_cast<wire::Outcome>(reply.outcome));
    out.setCode(static_cast<unsigned>(reply.code));
    out.setStatus(reply.status);
    out.setBody(dataOf(reply.body));
    out.setContentType(reply.contentType);
    out.setMessage(reply.message);
}

ForwardReply fromWire(wire::ForwardReply::Reader in)
{
    ForwardReply reply;
    reply.requestId = in.getRequestId();
    reply.outcome = static_cast<Outcome>(in.getOutcome());
    reply.code = static_cast<ResultCode>(in.getCode());
    reply.status = in.getStatus();
    reply.body = textOf(in.getBody());
    reply.contentType = in.getContentType();
    reply.message = in.getMessage();
    return reply;
}

void toWire(const Digest& digest, wire::Digest::Builder out)
{
    out.setTicket(digest.ticket);
    auto domains = out.initDomains(static_cast<unsigned>(digest.domains.size()));
    unsigned n = 0;
    for (const auto& it : digest.domains) {
        domains[n].setDomain(it.first);
        domains[n].setEpoch(it.second.first);
        domains[n++].setVersion(it.second.second);
    }
    auto homes = out.initHomes(static_cast<unsigned>(digest.homes.size()));
    n = 0;
    for (const auto& it : digest.homes) {
        homes[n].setService(it.first);
        homes[n++].setVersion(it.second);
    }
}

Digest fromWire(wire::Digest::Reader in)
{
    Digest digest;
    digest.ticket = in.getTicket();
    for (auto it : in.getDomains())
        digest.domains[it.getDomain()] = { it.getEpoch(), it.getVersion() };
    for (auto it : in.getHomes())
        digest.homes[it.getService()] = it.getVersion();
    return digest;
}

void toWire(const News& news, wire::News::Builder out)
{
    if (news.configuration) {
        out.setTicket(news.configuration->number);
        out.setConfiguration(toJson(*news.configuration).dump());
    }
    auto records = out.initRecords(static_cast<unsigned>(news.records.size()));
    for (unsigned n = 0; n < news.records.size(); ++n)
        records.set(n, toJson(news.records[n]).dump());
    auto homes = out.initHomes(static_cast<unsigned>(news.homes.size()));
    for (unsigned n = 0; n < news.homes.size(); ++n)
        homes.set(n, toJson(news.homes[n]).dump());
}

News fromWire(wire::News::Reader in)
{
    News news;
    if (in.getTicket() > 0) {
        auto document = nlohmann::json::parse(std::string(in.getConfiguration().cStr()), nullptr, false);
        auto configuration = configurationFromJson(document);
        if (configuration)
            news.configuration = std::move(*configuration);
    }
    readDocuments(in.getRecords(), [&](const nlohmann::json& document) {
        if (auto record = domainRecordFromJson(document))
            news.records.push_back(std::move(*record));
    });
    readDocuments(in.getHomes(), [&](const nlohmann::json& document) {
        if (auto map = homeMapFromJson(document))
            news.homes.push_back(std::move(*map));
    });
    return news;
}

void toWire(const LoadReport& report, wire::LoadReport::Builder out)
{
    auto times = out.initTimes(static_cast<unsigned>(report.times.size()));
    unsigned n = 0;
    for (const auto& it : report.times) {
        times[n].setServer(it.first);
        times[n].setRequests(it.second.requests);
        times[n++].setTotalMicros(static_cast<std::uint64_t>(it.second.total.count()));
    }
    auto limits = out.initRateLimits(static_cast<unsigned>(report.rateLimits.size()));
    n = 0;
    for (const auto& it : report.rateLimits) {
        limits[n].setServer(it.first);
        limits[n++].setPerSecond(it.second);
    }
    auto leaving = out.initLeaving(static_cast<unsigned>(report.leaving.size()));
    n = 0;
    for (const auto& it : report.leaving) {
        leaving[n].setServer(it.id);
        leaving[n++].setStartedMs(it.startedMs);
    }
    auto loads = out.initKeys(static_cast<unsigned>(report.keys.size()));
    n = 0;
    for (const auto& it : report.keys) {
        auto load = loads[n++];
        load.setService(it.first);
        auto counts = load.initCounts(static_cast<unsigned>(it.second.size()));
        unsigned k = 0;
        for (const auto& count : it.second) {
            counts[k].setKey(count.first);
            counts[k++].setRequests(count.second);
        }
    }
}

LoadReport fromWire(wire::LoadReport::Reader in)
{
    LoadReport report;
    for (auto it : in.getTimes())
        report.times[it.getServer()] = { it.getRequests(), Duration(static_cast<Duration::rep>(it.getTotalMicros())) };
    for (auto it : in.getLeaving())
        report.leaving.push_back({ it.getServer(), it.getStartedMs() });
    for (auto it : in.getRateLimits())
        report.rateLimits[it.getServer()] = it.getPerSecond();
    for (auto it : in.getKeys()) {
        auto& counts = report.keys[it.getService()];
        for (auto count : it.getCounts()) {
            if (count.getKey() <= lastKey)
                counts[count.getKey()] += count.getRequests();
        }
    }
    return report;
}

void toWire(const StoreDelta& delta, wire::StoreDelta::Builder out)
{
    out.setAt(delta.revision);
    out.setIsSnapshot(delta.isSnapshot);
    out.setChecksum(delta.checksum.value_or(0));
    out.setEra(delta.era);
    auto changes = out.initChanges(static_cast<unsigned>(delta.changes.size()));
    unsigned n = 0;
    for (const auto& it : delta.changes) {
        auto change = changes[n++];
        change.setKey(it.item.key);
        change.setValue(kj::arrayPtr(reinterpret_cast<const kj::byte*>(it.item.value.data()), it.item.value.size()));
        change.setRevision(it.item.revision);
        change.setRemoved(it.removed);
    }
}

StoreDelta fromWire(wire::StoreDelta::Reader in)
{
    StoreDelta delta;
    delta.revision = in.getAt();
    delta.isSnapshot = in.getIsSnapshot();
    delta.checksum = in.getChecksum();
    delta.era = in.getEra();
    for (auto it : in.getChanges()) {
        auto value = it.getValue();
        StoreItem item { it.getKey(), std::string(reinterpret_cast<const char*>(value.begin()), value.size()),
            it.getRevision() };
        delta.changes.push_back({ std::move(item), it.getRemoved() });
    }
    return delta;
}

void toWire(const AdmissionCall& call, wire::Peer::AdmitParams::Builder out)
{
    out.setSubject(call.subject);
    out.setDomain(call.domain);
    out.setPriority(static_cast<std::uint8_t>(std::min(call.priority, 255U)));
    out.setTargetMillis(toMillis(call.untilTarget));
    out.setDeadlineMillis(toMillis(call.untilDeadline));
    out.setWaitMillis(toMillis(call.maxWait));
    if (call.avoided.empty())
        return;
    auto avoided = out.initAvoided(static_cast<unsigned>(call.avoided.size()));
    unsigned n = 0;
    for (const auto& it : call.avoided)
        avoided.set(n++, it);
}

AdmissionCall fromWire(wire::Peer::AdmitParams::Reader in)
{
    AdmissionCall call;
    call.subject = in.getSubject();
    call.domain = in.getDomain();
    call.priority = in.getPriority();
    call.untilTarget = std::chrono::milliseconds(in.getTargetMillis());
    call.untilDeadline = std::chrono::milliseconds(in.getDeadlineMillis());
    call.maxWait = std::chrono::milliseconds(in.getWaitMillis());
    for (auto it : in.getAvoided())
        call.avoided.insert(it);
    return call;
}

void toWire(const AdmissionReply& reply, wire::Peer::AdmitResults::Builder out)
{
    out.setIsAdmitted(reply.isAdmitted);
    out.setServer(reply.server);
    out.setWorkId(reply.workId);
    out.setRetryAfterMillis(toMillis(reply.retryAfter));
}

AdmissionReply fromWire(wire::Peer::AdmitResults::Reader in)
{
    return { in.getIsAdmitted(), in.getServer(), in.getWorkId(), std::chrono::milliseconds(in.getRetryAfterMillis()) };
}

void toWire(const AdmissionNotice& notice, wire::Peer::AdmissionEndedParams::Builder out)
{
    const auto& result = notice.result;
    out.setServer(notice.server);
    out.setWorkId(notice.workId);
    out.setEnd(static_cast<wire::AdmissionEnd>(result.end));
    out.setResponseMicros(static_cast<std::uint32_t>(
        std::clamp<Duration::rep>(result.responseTime.count(), 0, std::numeric_limits<std::uint32_t>::max())));
    out.setRetryAfterMillis(toMillis(result.retryAfter));
    if (!result.reportedLoad)
        return;
    constexpr unsigned maxLoad = std::numeric_limits<std::uint16_t>::max() - 1;
    constexpr double maxPercent = std::numeric_limits<std::uint16_t>::max();
    out.setLoad(static_cast<std::uint16_t>(std::min(*result.reportedLoad, maxLoad) + 1));
    out.setSlowdownPercent(static_cast<std::uint16_t>(std::clamp(result.slowdown * 100, 1.0, maxPercent)));
}

AdmissionNotice fromWire(wire::Peer::AdmissionEndedParams::Reader in)
{
    AdmissionNotice notice;
    notice.server = in.getServer();
    notice.workId = in.getWorkId();
    notice.result.end = static_cast<AdmissionEnd>(in.getEnd());
    notice.result.responseTime = Duration(in.getResponseMicros());
    notice.result.retryAfter = std::chrono::milliseconds(in.getRetryAfterMillis());
    if (in.getLoad() > 0)
        notice.result.reportedLoad = in.getLoad() - 1U;
    if (in.getSlowdownPercent() > 0)
        notice.result.slowdown = in.getSlowdownPercent() / 100.0;
    return notice;
}

} // namespace acaciagauge::daemon
