#include "selection_simulation.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>
#include <random>

namespace acaciagauge::test {

namespace {

    constexpr unsigned slots = 2;
    constexpr double workMs = 165;
    constexpr double targetMs = 600;
    constexpr double slowFactor = 3;
    constexpr double slowMs = 400;
    constexpr double slowShare = 0.2;
    constexpr double sampleMs = 50;
    constexpr double startMs = 1000; ///< Measurements begin then.
    constexpr std::size_t coordinators = 3;

    struct Work {
        double arrivedMs = 0;
        double remainingMs = 0; ///< At nominal speed.
        std::size_t chooser = 0;
        bool startedAtOnce = false;
    };

    struct Server {
        double speed = 1;
        std::size_t domain = 0;
        double slowdown = 1;
        double updatedMs = 0;
        unsigned version = 0; ///< Rises with each change; events of an earlier version are void.
        std::vector<Work> running;
        std::deque<Work> queue;
        double slowdownSeen = 1; ///< By reports of the scenario's age.
        double loadSeen = 0;
        double meanSeen = 0;
        [[nodiscard]] double load() const { return static_cast<double>(running.size() + queue.size()); }
    };

    /// What a chooser knows about a server from its own requests.
    struct Knowledge {
        double ownInFlight = 0;
        double ownSeen = 0; ///< Own requests in flight when the reports were made that are seen now.
        double others = 0;
        double meanOthers = 0;
        double slowdown = 1;
        double heardMs = -1e9;
    };

    enum class EventKind { arrival, completion, slowdown, sample };

    struct Event {
        double atMs = 0;
        EventKind kind = EventKind::arrival;
        std::size_t server = 0;
        unsigned version = 0;
        bool operator<(const Event& other) const { return atMs > other.atMs; }
    };

    /// A change of a server's state, seen by the choosers after the age of the reports.
    struct Report {
        double atMs = 0;
        std::size_t server = 0;
        std::size_t chooser = 0;
        double load = 0;
        double ownChange = 0;
        double slowdown = 1;
    };

    class Simulation {
    public:
        explicit Simulation(const SelectionScenario& scenario)
            : m_scenario(scenario)
            , m_random(scenario.seed)
            , m_servers(scenario.servers)
            , m_choosers(chooserCount())
            , m_knowledge(m_choosers * scenario.servers)
            , m_selector(ServerSelector::create({}, [this] { return m_choiceRandom(); }))
            , m_choiceRandom(scenario.seed + 1)
        {
            double capacity = 0;
            for (std::size_t n = 0; n < m_servers.size(); ++n) {
                m_servers[n].speed = std::uniform_real_distribution<double>(0.5, 1.6)(m_random);
                m_servers[n].domain = n % domainCount();
                capacity += slots * m_servers[n].speed;
                schedule(exponential(slowMs * (1 - slowShare) / slowShare), EventKind::slowdown, n);
            }
            capacity *= 1 - slowShare + slowShare / slowFactor;
            m_meanGapMs = workMs / (capacity * scenario.utilisation);
            for (std::size_t instance = 0; instance < scenario.instances; ++instance)
                m_subsets.push_back(subsetOf(instance));
        }

        SelectionResult run()
        {
            schedule(0, EventKind::arrival, 0);
            schedule(sampleMs, EventKind::sample, 0);
            double endMs = static_cast<double>(m_scenario.duration.count()) / 1000;
            while (m_events.top().atMs < endMs) {
                auto event = m_events.top();
                m_events.pop();
                m_nowMs = event.atMs;
                seeReports();
                switch (event.kind) {
                case EventKind::arrival:
                    onArrival();
                    break;
                case EventKind::completion:
                    onCompletion(event);
                    break;
                case EventKind::slowdown:
                    onSlowdown(event.server);
                    break;
                case EventKind::sample:
                    onSample();
                    break;
                }
            }
            return result();
        }

    private:
        [[nodiscard]] bool isCoordinated() const
        {
            return m_scenario.method == Method::domainCoordinator || m_scenario.method == Method::coordinator;
        }
        [[nodiscard]] std::size_t domainCount() const
        {
            return m_scenario.method == Method::domainCoordinator ? coordinators : m_scenario.domains;
        }
        [[nodiscard]] std::size_t chooserCount() const
        {
            if (m_scenario.method == Method::domainCoordinator)
                return coordinators;
            return m_scenario.method == Method::coordinator ? 1 : m_scenario.instances;
        }
        Knowledge& known(std::size_t chooser, std::size_t server)
        {
            return m_knowledge[chooser * m_servers.size() + server];
        }
        double exponential(double mean) { return std::exponential_distribution<double>(1 / mean)(m_random); }
        void schedule(double inMs, EventKind kind, std::size_t server)
        {
            m_events.push({ m_nowMs + inMs, kind, server, m_servers[server].version });
        }

        // The subsets of successive instances follow each other on shuffled circles, so that all servers are used
        // equally often.
        std::vector<std::size_t> subsetOf(std::size_t instance) const
        {
            std::vector<std::size_t> all(m_servers.size());
            for (std::size_t n = 0; n < all.size(); ++n)
                all[n] = n;
            std::size_t size = all.size();
            if (m_scenario.method == Method::subset)
                size = std::min<std::size_t>(8, size);
            else if (m_scenario.method == Method::selectorOnSubset)
                size = std::min<std::size_t>(16, size);
            else
                return all;
            auto first = instance * size;
            std::mt19937_64 circle(first / all.size());
            std::shuffle(all.begin(), all.end(), circle);
            std::rotate(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(first % all.size()), all.end());
            all.resize(size);
            return all;
        }

        void seeReports()
        {
            if (!m_scenario.reportAge)
                return;
            auto ageMs = static_cast<double>(m_scenario.reportAge->count()) / 1000;
            for (; !m_reports.empty() && m_reports.front().atMs + ageMs <= m_nowMs; m_reports.pop_front()) {
                const auto& it = m_reports.front();
                auto& server = m_servers[it.server];
                server.loadSeen = it.load;
                server.slowdownSeen = it.slowdown;
                server.meanSeen = server.meanSeen * 0.85 + it.load * 0.15;
                known(it.chooser, it.server).ownSeen += it.ownChange;
            }
        }

        void report(std::size_t server, std::size_t chooser, double ownChange)
        {
            if (m_scenario.reportAge)
                m_reports.push_back(
                    { m_nowMs, server, chooser, m_servers[server].load(), ownChange, m_servers[server].slowdown });
        }

        // Brings the remaining work of a server's running requests up to date.
        void progress(Server& server)
        {
            for (auto& it : server.running)
                it.remainingMs -= (m_nowMs - server.updatedMs) * server.speed / server.slowdown;
            server.updatedMs = m_nowMs;
            ++server.version;
        }

        void scheduleCompletion(std::size_t index)
        {
            auto& server = m_servers[index];
            double leastMs = 1e18;
            for (const auto& it : server.running)
                leastMs = std::min(leastMs, it.remainingMs);
            if (!server.running.empty())
                schedule(std::max(0.0, leastMs) * server.slowdown / server.speed, EventKind::completion, index);
        }

        void onArrival()
        {
            schedule(exponential(m_meanGapMs), EventKind::arrival, 0);
            auto instance = m_random() % m_scenario.instances;
            if (m_scenario.localDemand > 1
                && std::uniform_real_distribution<double>(0, m_scenario.localDemand)(m_random) > 1)
                instance -= instance % m_scenario.domains;
            auto work = exponential(workMs);
            auto chooser = m_scenario.method == Method::domainCoordinator ? instance % coordinators
                : m_scenario.method == Method::coordinator                ? 0
                                                                          : instance;
            auto index = choose(instance, chooser);
            auto& server = m_servers[index];
            progress(server);
            bool isFree = server.running.size() < slots;
            Work arrived { m_nowMs, work, chooser, isFree };
            if (isFree)
                server.running.push_back(arrived);
            else
                server.queue.push_back(arrived);
            known(chooser, index).ownInFlight += 1;
            report(index, chooser, 1);
            scheduleCompletion(index);
            ++m_arrived;
            m_free += isFree;
            m_crossDomain += instance % domainCount() != server.domain;
            if (isFree)
                m_waits.push_back(0);
        }

        void onCompletion(const Event& event)
        {
            auto& server = m_servers[event.server];
            if (event.version != server.version)
                return;
            progress(server);
            auto done = std::min_element(server.running.begin(), server.running.end(),
                [](const Work& a, const Work& b) { return a.remainingMs < b.remainingMs; });
            auto work = *done;
            server.running.erase(done);
            if (!server.queue.empty()) {
                server.running.push_back(server.queue.front());
                server.queue.pop_front();
                m_waits.push_back(m_nowMs - server.running.back().arrivedMs);
            }
            m_responseMs += m_nowMs - work.arrivedMs;
            m_late += m_nowMs - work.arrivedMs > targetMs;
            ++m_completed;
            auto& own = known(work.chooser, event.server);
            own.ownInFlight -= 1;
            own.others = std::max(0.0, server.load() - own.ownInFlight);
            own.meanOthers = own.meanOthers * 0.85 + own.others * 0.15;
            own.slowdown = server.slowdown;
            own.heardMs = m_nowMs;
            report(event.server, work.chooser, -1);
            scheduleCompletion(event.server);
        }

        void onSlowdown(std::size_t index)
        {
            auto& server = m_servers[index];
            progress(server);
            server.slowdown = server.slowdown > 1 ? 1 : slowFactor;
            report(index, 0, 0);
            scheduleCompletion(index);
            schedule(server.slowdown > 1 ? slowMs : exponential(slowMs * (1 - slowShare) / slowShare),
                EventKind::slowdown, index);
        }

        // Measurements begin when the servers are about as busy as they stay.
        void startMeasuring()
        {
            m_isMeasuring = true;
            m_waits.clear();
            m_arrived = m_completed = m_free = m_crossDomain = m_late = m_samples = 0;
            m_responseMs = m_spread = m_idle = 0;
        }

        void onSample()
        {
            schedule(sampleMs, EventKind::sample, 0);
            if (!m_isMeasuring && m_nowMs >= startMs)
                startMeasuring();
            double sum = 0;
            double squares = 0;
            double free = 0;
            bool hasQueue = false;
            for (const auto& it : m_servers) {
                sum += it.load();
                squares += it.load() * it.load();
                free += it.running.size() < slots;
                hasQueue |= !it.queue.empty();
            }
            auto n = static_cast<double>(m_servers.size());
            auto mean = sum / n;
            if (mean > 0)
                m_spread += std::sqrt(std::max(0.0, squares / n - mean * mean)) / mean;
            m_idle += hasQueue ? free / n : 0;
            ++m_samples;
        }

        [[nodiscard]] Duration duration(double ms) const { return Duration(static_cast<Duration::rep>(ms * 1000)); }

        ServerSelector::Candidate candidate(std::size_t domain, std::size_t chooser, std::size_t index)
        {
            const auto& server = m_servers[index];
            const auto& own = known(chooser, index);
            ServerSelector::Candidate candidate;
            candidate.slots = slots;
            candidate.serviceTime = duration(workMs / server.speed);
            candidate.ownInFlight = own.ownInFlight;
            if (m_scenario.reportAge) {
                candidate.reportedOthers = std::max(0.0, server.loadSeen - own.ownSeen);
                candidate.slowdown = server.slowdownSeen;
                candidate.reportAge = candidate.slowdownAge = *m_scenario.reportAge;
            } else {
                candidate.reportedOthers = own.others;
                candidate.slowdown = own.slowdown;
                candidate.reportAge = candidate.slowdownAge = duration(std::min(60'000.0, m_nowMs - own.heardMs));
            }
            candidate.isLocal = server.domain == domain;
            return candidate;
        }

        // The cost of Upstreams::choose without coordination.
        double earlierCost(const ServerSelector::Candidate& it, double mean, bool withJitter)
        {
            auto fresh = std::max(0.0, 1 - static_cast<double>(it.reportAge.count()) / 400'000);
            auto others = it.reportedOthers * fresh + mean * (1 - fresh);
            auto load = it.ownInFlight + others;
            auto cost = static_cast<double>(it.serviceTime.count()) * (1 + std::max(0.0, load + 1 - slots) / slots);
            cost *= 1 + 0.1 * load;
            if (!it.isLocal)
                cost *= 1.35;
            return withJitter ? cost * std::uniform_real_distribution<double>(0.9, 1.1)(m_choiceRandom) : cost;
        }

        std::size_t bestOf(const std::vector<std::size_t>& from, const std::function<double(std::size_t)>& cost)
        {
            auto best = from.front();
            double bestCost = 1e300;
            for (auto it : from) {
                auto itsCost = cost(it);
                if (itsCost < bestCost) {
                    best = it;
                    bestCost = itsCost;
                }
            }
            return best;
        }

        std::size_t choose(std::size_t instance, std::size_t& chooser)
        {
            const auto& subset = m_subsets[instance];
            auto domain = instance % domainCount();
            auto randomServer = [&] { return subset[m_choiceRandom() % subset.size()]; };
            auto reported = [&](std::size_t n) {
                auto it = candidate(domain, chooser, n);
                return it.reportedOthers + std::uniform_real_distribution<double>(0, 0.01)(m_choiceRandom);
            };
            auto meanOf = [&](std::size_t n) {
                return m_scenario.reportAge ? m_servers[n].meanSeen : known(chooser, n).meanOthers;
            };
            switch (m_scenario.method) {
            case Method::random:
                return randomServer();
            case Method::leastReported:
                return bestOf(subset, reported);
            case Method::twoChoices:
                return bestOf({ randomServer(), randomServer() }, reported);
            case Method::ownAndAged:
                return bestOf(subset,
                    [&](std::size_t n) { return earlierCost(candidate(domain, chooser, n), meanOf(n), false); });
            case Method::earlier:
            case Method::subset:
                return bestOf(
                    subset, [&](std::size_t n) { return earlierCost(candidate(domain, chooser, n), meanOf(n), true); });
            case Method::completeInformation:
                return bestOf(subset, [&](std::size_t n) {
                    const auto& it = m_servers[n];
                    bool isFree = it.running.size() < slots;
                    auto serviceMs = workMs * it.slowdown / it.speed;
                    return isFree ? serviceMs / 1e6 : serviceMs * (it.load() + 1 - slots) / slots;
                });
            case Method::domainCoordinator:
                return chooseByDomain(chooser);
            case Method::selector:
            case Method::selectorOnSubset:
            case Method::coordinator:
                break;
            }
            return selectAmong(domain, chooser, subset);
        }

        std::size_t selectAmong(std::size_t domain, std::size_t chooser, const std::vector<std::size_t>& from)
        {
            m_candidates.clear();
            for (auto it : from)
                m_candidates.push_back(candidate(domain, chooser, it));
            auto knowledge = isCoordinated()       ? ServerSelector::Knowledge::onlyChooser
                : m_scenario.reportAge.has_value() ? ServerSelector::Knowledge::sharedReports
                                                   : ServerSelector::Knowledge::ownResponses;
            return from[*m_selector.select(
                m_candidates, { duration(targetMs), m_scenario.hasLargeResponses, knowledge })];
        }

        // A coordinator selects among its own servers; without a free slot there, the next coordinator selects.
        std::size_t chooseByDomain(std::size_t& chooser)
        {
            auto first = chooser;
            for (std::size_t n = 0; n < coordinators; ++n) {
                chooser = (first + n) % coordinators;
                auto selected = selectInDomain(chooser);
                if (known(chooser, selected).ownInFlight < slots)
                    return selected;
            }
            chooser = first;
            return selectInDomain(chooser);
        }

        std::size_t selectInDomain(std::size_t domain)
        {
            std::vector<std::size_t> own;
            for (std::size_t it = domain; it < m_servers.size(); it += coordinators)
                own.push_back(it);
            return selectAmong(domain, domain, own);
        }

        SelectionResult result()
        {
            SelectionResult result;
            auto arrived = static_cast<double>(m_arrived);
            auto completed = static_cast<double>(m_completed);
            std::sort(m_waits.begin(), m_waits.end());
            for (auto it : m_waits)
                result.meanWaitMs += it / static_cast<double>(m_waits.size());
            result.p95WaitMs = m_waits[m_waits.size() * 95 / 100];
            result.freeSlotShare = static_cast<double>(m_free) / arrived;
            result.meanResponseMs = m_responseMs / completed;
            result.lateShare = static_cast<double>(m_late) / completed;
            result.spread = m_spread / static_cast<double>(m_samples);
            result.idleShare = m_idle / static_cast<double>(m_samples);
            result.crossDomainShare = static_cast<double>(m_crossDomain) / arrived;
            return result;
        }

        SelectionScenario m_scenario;
        std::mt19937_64 m_random;
        std::vector<Server> m_servers;
        std::size_t m_choosers;
        std::vector<Knowledge> m_knowledge;
        ServerSelector m_selector;
        std::mt19937_64 m_choiceRandom;
        std::vector<std::vector<std::size_t>> m_subsets;
        std::vector<ServerSelector::Candidate> m_candidates;
        std::priority_queue<Event> m_events;
        std::deque<Report> m_reports;
        double m_nowMs = 0;
        double m_meanGapMs = 1;
        std::vector<double> m_waits;
        bool m_isMeasuring = false;
        std::size_t m_arrived = 0;
        std::size_t m_completed = 0;
        std::size_t m_free = 0;
        std::size_t m_crossDomain = 0;
        std::size_t m_late = 0;
        std::size_t m_samples = 0;
        double m_responseMs = 0;
        double m_spread = 0;
        double m_idle = 0;
    };

} // namespace

const char* nameOf(Method method)
{
    static constexpr const char* names[]
        = { "random", "least reported load", "two random choices", "own in flight + aged report", "earlier choice",
              "subset of 8, earlier choice", "selector", "selector on a subset of 16",
              "selector in a coordinator per domain", "selector in one coordinator", "complete information (limit)" };
    return names[static_cast<std::size_t>(method)];
}

SelectionResult simulateSelection(const SelectionScenario& scenario)
{
    return Simulation(scenario).run();
}

} // namespace acaciagauge::test
