#include "daemon/metrics.hpp"

#include <prometheus/text_serializer.h>

namespace acaciagauge::daemon {

namespace {

    /// In seconds.
    const prometheus::Histogram::BucketBoundaries latencyBuckets { 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
        0.2, 0.5, 1, 2, 5 };

    prometheus::Gauge& addGauge(prometheus::Registry& registry, const std::string& name, const std::string& help)
    {
        return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
    }

    prometheus::Family<prometheus::Gauge>& addGaugeFamily(
        prometheus::Registry& registry, const std::string& name, const std::string& help)
    {
        return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
    }

    prometheus::Counter& addCounter(prometheus::Registry& registry, const std::string& name, const std::string& help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
    }

} // namespace

Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
{
    auto& registry = *m_registry;
    auto& requests = prometheus::BuildCounter()
                         .Name("acaciagauge_requests_total")
                         .Help("Callers' requests by outcome")
                         .Register(registry);
    m_requests[Outcome::ran] = &requests.Add({ { "outcome", "ran" } });
    m_requests[Outcome::notRun] = &requests.Add({ { "outcome", "notRun" } });
    m_requests[Outcome::unknown] = &requests.Add({ { "outcome", "unknown" } });
    m_requestSeconds = &prometheus::BuildHistogram()
                            .Name("acaciagauge_request_seconds")
                            .Help("Seconds from a caller's request to its response")
                            .Register(registry)
                            .Add({}, latencyBuckets);
    m_retries = &addCounter(registry, "acaciagauge_retries_total", "Retries of requests");
    auto& admissions = prometheus::BuildCounter()
                           .Name("acaciagauge_admissions_total")
                           .Help("Requests for admission by a coordinator, by step")
                           .Register(registry);
    m_admissions[AdmissionStep::asked] = &admissions.Add({ { "step", "asked" } });
    m_admissions[AdmissionStep::granted] = &admissions.Add({ { "step", "granted" } });
    m_admissions[AdmissionStep::refused] = &admissions.Add({ { "step", "refused" } });
    m_admissions[AdmissionStep::fallback] = &admissions.Add({ { "step", "fallback" } });
    m_admissionQueue
        = &addGauge(registry, "acaciagauge_admission_queue", "Requests that wait for an admission by this instance");
    m_waiting = &addGaugeFamily(registry, "acaciagauge_queue_waiting", "Requests waiting for a server");
    m_inFlight = &addGaugeFamily(registry, "acaciagauge_queue_in_flight", "Requests in flight to a server");
    m_servers = &addGaugeFamily(
        registry, "acaciagauge_servers", "Servers of the domain by state, as its controller sees them");
    m_ticket = &addGauge(registry, "acaciagauge_ticket_in_force", "Number of the ticket in force");
    m_epoch = &addGauge(registry, "acaciagauge_epoch", "Epoch of the domain's controller");
    m_isController = &addGauge(registry, "acaciagauge_is_controller", "1 if this instance is its domain's controller");
    m_storeAvailable
        = &addGauge(registry, "acaciagauge_store_available", "1 if the last call to the platform's store was answered");
    m_ownerChanges
        = &addCounter(registry, "acaciagauge_owner_changes_total", "Items that changed owner in this domain");
    m_imbalance
        = &addGauge(registry, "acaciagauge_imbalance", "Ratio of the fullest server's items per slot to the mean");
    m_buffered = &addGauge(registry, "acaciagauge_buffered_bytes", "Bytes buffered for callers and servers");
    m_bufferBudget = &addGauge(registry, "acaciagauge_buffer_budget_bytes", "Bound of the buffered bytes; 0: none");
    m_bufferRefusals
        = &addCounter(registry, "acaciagauge_buffer_refusals_total", "Messages that did not fit into the budget");
    m_endedTransfers
        = &addCounter(registry, "acaciagauge_ended_transfers_total", "Stalled transfers that were ended to make room");
}

std::unique_ptr<Metrics> Metrics::create()
{
    return std::unique_ptr<Metrics>(new Metrics());
}

void Metrics::countRequest(Outcome outcome, Duration duration)
{
    m_requests.at(outcome)->Increment();
    m_requestSeconds->Observe(std::chrono::duration<double>(duration).count());
}

void Metrics::setQueue(const ServerId& server, std::size_t waiting, std::size_t inFlight)
{
    auto& gaugePair = m_queues[server];
    if (!gaugePair.first)
        gaugePair = { &m_waiting->Add({ { "server", server } }), &m_inFlight->Add({ { "server", server } }) };
    gaugePair.first->Set(static_cast<double>(waiting));
    gaugePair.second->Set(static_cast<double>(inFlight));
}

void Metrics::setServers(const std::string& state, std::size_t n)
{
    m_servers->Add({ { "state", state } }).Set(static_cast<double>(n));
}

void Metrics::setBuffered(std::uint64_t bytes, std::uint64_t budget)
{
    m_buffered->Set(static_cast<double>(bytes));
    m_bufferBudget->Set(static_cast<double>(budget));
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace acaciagauge::daemon
