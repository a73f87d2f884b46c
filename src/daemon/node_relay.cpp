#include "daemon/async.hpp"
#include "daemon/log.hpp"
#include "daemon/node.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

// The node's part in spreading tickets, records and home maps.

namespace acaciagauge::daemon {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

    constexpr auto instancesInterval = std::chrono::milliseconds(500);
    constexpr auto watchDuration = std::chrono::seconds(10);
    constexpr auto watchRetry = std::chrono::milliseconds(200);
    constexpr auto homesInterval = std::chrono::milliseconds(200);
    constexpr std::size_t watchersPerDomain = 2;
    constexpr std::size_t announceFanOut = 4;
    const std::string headKey = "tickets/head";

    std::string homeKey(const ServiceName& service)
    {
        return "homes/" + service;
    }

} // namespace

std::vector<InstanceInfo> Node::randomPeers(std::size_t n)
{
    std::vector<InstanceInfo> peers;
    for (const auto& it : m_directory.instances()) {
        if (it.first != m_settings.instance)
            peers.push_back(it.second);
    }
    std::shuffle(peers.begin(), peers.end(), m_random);
    peers.resize(std::min(peers.size(), n));
    return peers;
}

void Node::announce(const News& news)
{
    for (const auto& it : randomPeers(announceFanOut))
        m_rpc->announce(it.rpcAddress, news);
}

bool Node::isWatcher() const
{
    auto order = rendezvousOrder("watch/" + m_settings.domain, m_directory.liveInDomain(m_settings.domain));
    order.resize(std::min(order.size(), watchersPerDomain));
    return std::find(order.begin(), order.end(), m_settings.instance) != order.end();
}

awaitable<void> Node::pollInstances()
{
    while (true) {
        auto list = co_await m_store.instances();
        if (!list.empty())
            m_directory.update(list);
        m_actor->tell(InstancesListed { m_directory.liveInDomain(m_settings.domain) });
        co_await sleepFor(m_context, instancesInterval);
    }
}

awaitable<void> Node::watchTickets()
{
    while (true) {
        if (!isWatcher()) {
            co_await sleepFor(m_context, watchRetry);
            continue;
        }
        auto stored = co_await m_store.watch(headKey, m_headRevision, watchDuration);
        if (stored.outcome != StoreOutcome::ok || stored.revision <= m_headRevision) {
            co_await sleepFor(m_context, watchRetry);
            continue;
        }
        m_headRevision = stored.revision;
        auto document = nlohmann::json::parse(stored.value, nullptr, false);
        if (!document.is_object() || !document.contains("configuration"))
            continue;
        News news;
        if (auto configuration = configurationFromJson(document.at("configuration")))
            news.configuration = std::move(*configuration);
        adopt(news);
    }
}

awaitable<void> Node::exchangeDigests()
{
    while (true) {
        co_await sleepFor(m_context, m_settings.gossipInterval);
        for (const auto& it : randomPeers(1)) {
            m_rpc->exchange(it.rpcAddress, m_knowledge.digest(),
                [this](News news) { asio::post(m_context, [this, news = std::move(news)] { adopt(news); }); });
        }
    }
}

std::set<DomainId> Node::lostDomains() const
{
    std::set<DomainId> lost;
    for (const auto& it : m_knowledge.configuration().domains) {
        if (it.second.lost)
            lost.insert(it.first);
    }
    return lost;
}

void Node::tellPlan()
{
    DomainPlan plan;
    plan.number = ++m_planNumber;
    plan.confirmedEpoch = 0;
    bool areAllConfirmed = true;
    auto lost = lostDomains();
    for (const auto& it : m_knowledge.configuration().services) {
        auto home = m_knowledge.homes().find(it.first);
        if (home == m_knowledge.homes().end())
            continue;
        areAllConfirmed = areAllConfirmed && m_homes.confirmedEpoch(home->second) == m_view.epoch;
        auto own = m_homes.assignablePartitions(it.second, home->second, lost);
        for (auto n : own)
            plan.items.insert({ it.first, n, "" });
        for (const auto& key : it.second.hotKeys) {
            auto n = partitionOf(it.first, key, it.second.partitions);
            if (own.contains(n))
                plan.items.insert({ it.first, n, key });
        }
        for (const auto& server : it.second.servers) {
            if (server.domain == m_settings.domain)
                plan.servers.push_back({ serverIdOf(it.first, server.id), it.first, static_cast<double>(server.slots),
                    server.checksFences, server.leaving });
        }
    }
    if (areAllConfirmed)
        plan.confirmedEpoch = m_view.epoch;
    m_actor->tell(std::move(plan));
}

awaitable<void> Node::tendHomes()
{
    while (true) {
        co_await sleepFor(m_context, homesInterval);
        if (m_view.role != AgentRole::controller || isLeaving())
            continue;
        auto services = m_knowledge.configuration().services;
        for (const auto& it : services)
            co_await tendHome(it.second);
    }
}

awaitable<void> Node::tendHome(ServiceSpec service)
{
    auto known = m_knowledge.homes().find(service.name);
    bool isKnown = known != m_knowledge.homes().end();
    auto record = m_knowledge.records().find(m_settings.domain);
    HomeAssigner::ControllerState state;
    state.epoch = m_view.epoch;
    state.isSettled = m_view.settled && m_view.planNumber == m_planNumber && record != m_knowledge.records().end()
        && record->second.epoch() == m_view.epoch;
    state.isRecorded = [&](std::uint32_t n) { return record->second.items.contains({ service.name, n, "" }); };
    auto next = m_homes.nextWrite(service, isKnown ? &known->second : nullptr, lostDomains(), state);
    if (!next)
        co_return;
    auto expectedVersion = next->version - 1;
    auto stored = co_await m_store.read(homeKey(service.name));
    if (stored.outcome != StoreOutcome::ok)
        co_return;
    News news;
    if (stored.revision > 0) {
        auto present = homeMapFromJson(nlohmann::json::parse(stored.value, nullptr, false));
        if (!present)
            co_return;
        if (!isKnown || present->version != expectedVersion) {
            news.homes.push_back(*present);
            adopt(news);
            co_return;
        }
    }
    auto written = co_await m_store.write(homeKey(service.name), stored.revision, toJson(*next).dump());
    if (written.outcome != StoreOutcome::ok)
        co_return;
    logEvent(LogLevel::info, LogEvent::homesChanged,
        { { "service", service.name }, { "version", std::to_string(next->version) } });
    news.homes.push_back(*next);
    adopt(news);
}

} // namespace acaciagauge::daemon
