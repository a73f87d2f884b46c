/// @file
/// @brief Randomized soak test: daemon processes on the stand-in platform under load, with random faults in processes,
/// links and the stand-in. Afterwards the results that callers saw are compared with what the servers executed.
/// Example: `acaciagauge_soak --seeds 1-50 --seconds 20`

#include "soak/callers.hpp"

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <random>

using namespace acaciagauge;
using namespace acaciagauge::e2e;
using namespace acaciagauge::soak;
using namespace std::chrono_literals;

namespace {

constexpr auto shutdownLimit = 6s; ///< Default of the setting leaving.grace_s.
constexpr auto pollInterval = 50ms;
constexpr unsigned maxActiveFaults = 4; ///< At the same time.

struct Options {
    unsigned basePort
        = 28000; ///< Below Linux's default range of ephemeral ports, so that no outgoing connection uses one.
    unsigned daemons = 5;
    unsigned servers = 6;
    unsigned callers = 12;
    std::chrono::seconds faultDuration { 20 };
};

/// Every other seed runs with coordinated admission, which the stand-in's configuration does not call for by itself.
std::string settingsOf(unsigned seed)
{
    return std::string("[balancing]\ncoordination = ") + (seed % 2 == 0 ? "on" : "off") + "\n";
}

/// The test run of one seed.
class SoakRun {
public:
    SoakRun(const Options& options, unsigned seed)
        : m_options(options)
        , m_random(seed)
        , m_cluster({ options.basePort, options.daemons, options.servers, "a", true, settingsOf(seed) })
        , m_faultyDaemons(options.daemons)
        , m_faultyServers(options.servers)
        , m_daemonVersions(options.daemons)
    {
    }

    /// @return a message for each violated guarantee
    std::vector<std::string> run()
    {
        if (!m_cluster.waitUntilServing())
            return { "the cluster does not serve all keys at the start" };
        std::vector<std::string> addresses;
        for (unsigned n = 0; n < m_options.daemons; ++n)
            addresses.push_back(m_cluster.callersAddress(n));
        Callers callers(addresses, m_options.callers, m_random());
        auto end = Clock::now() + m_options.faultDuration;
        auto nextFault = Clock::now();
        while (Clock::now() < end) {
            if (Clock::now() >= nextFault) {
                if (m_activeFaults < maxActiveFaults)
                    injectRandomFault();
                nextFault = Clock::now() + randomDuration(100, 900);
            }
            advance();
        }
        while (m_activeFaults > 0)
            advance();
        checkRecovery();
        auto results = callers.stop();
        m_requestCount = results.size();
        m_servedCount = static_cast<std::size_t>(
            std::count_if(results.begin(), results.end(), [](const auto& it) { return it.status == 200; }));
        for (const auto& it : findViolations(results, m_cluster.fetchRecord()))
            m_violations.push_back(it);
        return m_violations;
    }

    void printSummary(std::ostream& out) const
    {
        out << m_requestCount << " requests, " << m_servedCount << " served, " << m_faultLog.size() << " faults, "
            << m_violations.size() << " violations\n";
        if (m_violations.empty())
            return;
        for (const auto& it : m_faultLog)
            out << "  " << it << '\n';
    }

private:
    struct PendingAction {
        Clock::time_point due;
        std::function<void()> action;
    };

    std::chrono::milliseconds randomDuration(int low, int high)
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<int>(low, high)(m_random));
    }

    std::size_t randomIndex(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_random); }

    void logFault(const std::string& what)
    {
        auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_started).count();
        m_faultLog.push_back(std::to_string(ms) + " ms: " + what);
    }

    /// Logs a fault that has begun, and schedules its end.
    void addTimedFault(std::chrono::milliseconds time, const std::string& what, std::function<void()> end)
    {
        logFault(what + " for " + std::to_string(time.count()) + " ms");
        ++m_activeFaults;
        m_pendingActions.push_back({ Clock::now() + time, [this, end = std::move(end)] {
                                        end();
                                        --m_activeFaults;
                                    } });
    }

    /// Waits one poll interval, runs the actions that are due and checks the daemons.
    void advance()
    {
        std::this_thread::sleep_for(pollInterval);
        std::vector<PendingAction> due;
        for (auto it = m_pendingActions.begin(); it != m_pendingActions.end();) {
            bool isDue = it->due <= Clock::now();
            if (isDue)
                due.push_back(std::move(*it));
            it = isDue ? m_pendingActions.erase(it) : it + 1;
        }
        for (const auto& it : due)
            it.action();
        checkDaemons();
    }

    // Daemons with a fault in progress are skipped. The others must run, and the version of the desired state that a
    // daemon reports must not decrease while it runs.
    void checkDaemons()
    {
        for (unsigned n = 0; n < m_options.daemons; ++n) {
            if (m_faultyDaemons[n])
                continue;
            if (auto code = m_cluster.processes().poll(PlatformCluster::nameOf(n))) {
                m_violations.push_back(
                    "d" + std::to_string(n) + " exited unexpectedly with code " + std::to_string(*code));
                startDaemon(n);
            }
        }
        auto n = static_cast<unsigned>(randomIndex(m_options.daemons));
        if (m_faultyDaemons[n])
            return;
        auto version = m_cluster.status(n).value("version", nlohmann::json());
        if (!version.is_number())
            return;
        if (version.get<unsigned>() < m_daemonVersions[n])
            m_violations.push_back("d" + std::to_string(n) + "'s desired-state version decreased from "
                + std::to_string(m_daemonVersions[n]));
        m_daemonVersions[n] = version.get<unsigned>();
    }

    void startDaemon(unsigned n)
    {
        m_daemonVersions[n] = 0;
        m_cluster.startDaemon(n);
    }

    void injectRandomFault()
    {
        using Fault = void (SoakRun::*)();
        // Daemon faults are listed twice, so that they are twice as likely as each of the others.
        static constexpr std::array<Fault, 9> faults { &SoakRun::injectDaemonFault, &SoakRun::injectDaemonFault,
            &SoakRun::injectStoreLinkFault, &SoakRun::injectStoreFault, &SoakRun::injectDeliveryFault,
            &SoakRun::injectServerLinkFault, &SoakRun::injectServerFault, &SoakRun::publishDesiredState,
            &SoakRun::stopDaemonGracefully };
        (this->*faults[randomIndex(faults.size())])();
    }

    std::optional<unsigned> pickFaultlessDaemon()
    {
        auto n = static_cast<unsigned>(randomIndex(m_options.daemons));
        return m_faultyDaemons[n] ? std::nullopt : std::optional(n);
    }

    void injectDaemonFault()
    {
        auto daemon = pickFaultlessDaemon();
        if (!daemon)
            return;
        auto n = *daemon;
        auto name = PlatformCluster::nameOf(n);
        auto& processes = m_cluster.processes();
        switch (randomIndex(3)) {
        case 0:
            m_faultyDaemons[n] = true;
            processes.signal(name, SIGSTOP);
            addTimedFault(randomDuration(200, 5000), name + " is paused", [this, n, name] {
                m_cluster.processes().signal(name, SIGCONT);
                m_faultyDaemons[n] = false;
            });
            break;
        case 1:
            m_faultyDaemons[n] = true;
            processes.signal(name, SIGKILL);
            processes.wait(name);
            addTimedFault(randomDuration(50, 3000), name + " is killed", [this, n] {
                startDaemon(n);
                m_faultyDaemons[n] = false;
            });
            break;
        default:
            logFault(name + " reloads its settings");
            processes.signal(name, SIGHUP);
        }
    }

    void stopDaemonGracefully()
    {
        auto daemon = pickFaultlessDaemon();
        if (!daemon)
            return;
        m_faultyDaemons[*daemon] = true;
        m_cluster.processes().signal(PlatformCluster::nameOf(*daemon), SIGTERM);
        logFault(PlatformCluster::nameOf(*daemon) + " gets SIGTERM");
        ++m_activeFaults;
        awaitExit(*daemon, Clock::now() + shutdownLimit);
    }

    /// Polls a stopping daemon until it exits or the limit passes, then starts it again.
    void awaitExit(unsigned n, Clock::time_point limit)
    {
        auto name = PlatformCluster::nameOf(n);
        m_pendingActions.push_back({ Clock::now() + pollInterval, [this, n, name, limit] {
                                        auto code = m_cluster.processes().poll(name);
                                        if (!code && Clock::now() < limit)
                                            return awaitExit(n, limit);
                                        if (!code) {
                                            m_violations.push_back(name + " still runs after its shutdown time limit");
                                            m_cluster.processes().signal(name, SIGKILL);
                                            m_cluster.processes().wait(name);
                                        } else if (*code != 0) {
                                            m_violations.push_back(
                                                name + " exited after SIGTERM with code " + std::to_string(*code));
                                        }
                                        startDaemon(n);
                                        m_faultyDaemons[n] = false;
                                        --m_activeFaults;
                                    } });
    }

    void injectLinkFault(FaultRelay& relay, const std::string& what)
    {
        auto unblock = [&relay] { relay.unblock(); };
        switch (randomIndex(4)) {
        case 0:
            relay.block();
            return addTimedFault(randomDuration(300, 6000), what + " is blocked", unblock);
        case 1:
            relay.blockResponses();
            return addTimedFault(randomDuration(300, 4000), what + " forwards no responses", unblock);
        case 2: {
            auto delay = randomDuration(20, 400);
            relay.setDelay(delay);
            return addTimedFault(
                randomDuration(500, 4000), what + " is delayed by " + std::to_string(delay.count()) + " ms", unblock);
        }
        default:
            logFault(what + " is reset");
            relay.resetConnections();
        }
    }

    void injectStoreLinkFault()
    {
        auto n = static_cast<unsigned>(randomIndex(m_options.daemons));
        injectLinkFault(m_cluster.storeRelay(n), "the store link of d" + std::to_string(n));
    }

    void injectServerLinkFault()
    {
        auto n = static_cast<unsigned>(randomIndex(m_options.servers));
        injectLinkFault(m_cluster.serverRelay(n), "the link of server " + std::to_string(n));
    }

    void injectStoreFault()
    {
        if (randomIndex(3) == 0) {
            logFault("the store compacts its history");
            return m_cluster.setFaults({ { "compact", true } });
        }
        m_cluster.setFaults({ { "storeDown", true } });
        addTimedFault(randomDuration(300, 7000), "the store is down", [this] {
            m_cluster.setFaults({ { "storeDown", false } });
        });
    }

    /// Delays some responses and grants, see standin_users_platform.
    void injectDeliveryFault()
    {
        static const std::array<std::string, 3> kinds { "lostAnswers", "lostRuns", "lateGrants" };
        auto kind = kinds[randomIndex(kinds.size())];
        m_cluster.setFaults({ { kind, 0.3 } });
        addTimedFault(randomDuration(500, 4000), kind, [this, kind] { m_cluster.setFaults({ { kind, 0.0 } }); });
    }

    void injectServerFault()
    {
        auto n = randomIndex(m_options.servers);
        if (m_faultyServers[n])
            return;
        m_faultyServers[n] = true;
        static const std::array<std::string, 3> kinds { "drain", "silence", "restart" };
        auto kind = kinds[randomIndex(kinds.size())];
        m_cluster.setFaults({ { kind, n } });
        addTimedFault(randomDuration(500, 6000), "server " + std::to_string(n) + ": " + kind, [this, n] {
            m_cluster.setFaults({ { "restart", n } });
            m_faultyServers[n] = false;
        });
    }

    void publishDesiredState()
    {
        logFault("desired-state version " + std::to_string(++m_publishedVersion));
        m_cluster.setFaults({ { "configure", m_publishedVersion } });
    }

    /// Clears the links' faults, publishes a last desired state, and checks that every daemon adopts it and that all
    /// keys are served.
    void checkRecovery()
    {
        for (unsigned n = 0; n < m_options.daemons; ++n)
            m_cluster.storeRelay(n).unblock();
        for (unsigned n = 0; n < m_options.servers; ++n)
            m_cluster.serverRelay(n).unblock();
        publishDesiredState();
        for (unsigned n = 0; n < m_options.daemons; ++n) {
            bool isInForce = PlatformCluster::waitUntil([&] {
                return m_cluster.status(n).value("version", nlohmann::json()) == nlohmann::json(m_publishedVersion);
            });
            if (!isInForce)
                m_violations.push_back("the last desired-state version is not in force at d" + std::to_string(n));
        }
        if (!m_cluster.waitUntilServing())
            m_violations.emplace_back("the cluster does not serve all keys after the faults");
    }

    Options m_options;
    std::mt19937_64 m_random;
    Clock::time_point m_started = Clock::now();
    PlatformCluster m_cluster;
    std::vector<PendingAction> m_pendingActions;
    unsigned m_activeFaults = 0;
    std::vector<bool> m_faultyDaemons;
    std::vector<bool> m_faultyServers;
    std::vector<unsigned> m_daemonVersions; ///< Last version reported by each daemon since its start.
    unsigned m_publishedVersion = 1;
    std::size_t m_requestCount = 0;
    std::size_t m_servedCount = 0;
    std::vector<std::string> m_faultLog;
    std::vector<std::string> m_violations;
};

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "acaciagauge_soak: daemon processes under random faults" };
    Options options;
    std::string seeds = "1-1";
    long seconds = 20;
    app.add_option("--seeds", seeds, "Range of seeds, FIRST-LAST");
    app.add_option("--seconds", seconds, "Duration of the fault injection per seed, in seconds");
    app.add_option("--base", options.basePort, "First of 200 ports");
    app.add_option("--daemons", options.daemons, "Number of daemons, at most 20");
    app.add_option("--servers", options.servers, "Number of servers, at most 38");
    app.add_option("--callers", options.callers, "Number of callers, each with one request at a time");
    CLI11_PARSE(app, argc, argv);
    options.faultDuration = std::chrono::seconds(seconds);
    auto first = static_cast<unsigned>(std::stoul(seeds));
    auto dash = seeds.find('-');
    auto last = dash == std::string::npos ? first : static_cast<unsigned>(std::stoul(seeds.substr(dash + 1)));
    bool allPassed = true;
    for (auto seed = first; seed <= last; ++seed) {
        SoakRun soak(options, seed);
        auto violations = soak.run();
        std::cout << "seed " << seed << ": ";
        soak.printSummary(std::cout);
        for (const auto& it : violations)
            std::cout << "  VIOLATION " << it << '\n';
        std::cout << std::flush;
        allPassed = allPassed && violations.empty();
        if (!violations.empty())
            PlatformCluster::preserveFolder(options.basePort, "seed-" + std::to_string(seed));
    }
    return allPassed ? 0 : 1;
}
