#pragma once

#include "acaciagauge/acaciagauge.hpp"

#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace acaciagauge::daemon {

/// @brief Step of a request's admission by a coordinator, as seen by the instance that asks.
enum class AdmissionStep {
    asked,
    granted,
    refused,
    fallback, ///< The coordinator did not answer.
};

/// @brief The daemon's metrics, served as Prometheus text.
class Metrics {
public:
    static std::unique_ptr<Metrics> create();

    /// @brief Counts a caller's request by outcome and records its duration.
    void countRequest(Outcome outcome, Duration duration);

    /// @brief Counts a retry of a request.
    void countRetry() { m_retries->Increment(); }

    /// @brief Counts a step of a request's admission.
    void countAdmission(AdmissionStep step) { m_admissions.at(step)->Increment(); }

    /// @brief Sets how many requests of all instances wait for an admission by this one.
    void setAdmissionQueue(std::size_t waiting) { m_admissionQueue->Set(static_cast<double>(waiting)); }

    /// @brief Sets how many requests wait for a server and how many are in flight to it.
    void setQueue(const ServerId& server, std::size_t waiting, std::size_t inFlight);

    void setTicket(TicketNumber number) { m_ticket->Set(static_cast<double>(number)); }
    void setEpoch(Epoch epoch) { m_epoch->Set(static_cast<double>(epoch)); }
    void setIsController(bool isController) { m_isController->Set(isController ? 1 : 0); }
    void setStoreAvailable(bool isAvailable) { m_storeAvailable->Set(isAvailable ? 1 : 0); }

    /// @brief Sets the bytes that are buffered for callers and servers, and their bound.
    void setBuffered(std::uint64_t bytes, std::uint64_t budget);

    /// @brief Counts a message that did not fit into the memory budget.
    void countBufferRefusal() { m_bufferRefusals->Increment(); }

    /// @brief Counts a stalled transfer that was ended to make room.
    void countEndedTransfer() { m_endedTransfers->Increment(); }

    /// @brief Sets the number of the domain's servers in a state.
    void setServers(const std::string& state, std::size_t n);

    /// @brief Counts items that changed owner in this domain.
    void countOwnerChanges(std::size_t n) { m_ownerChanges->Increment(static_cast<double>(n)); }

    /// @brief Sets the ratio of the fullest server's items per slot to the mean.
    void setImbalance(double ratio) { m_imbalance->Set(ratio); }

    /// @brief Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    Metrics();

    std::shared_ptr<prometheus::Registry> m_registry;
    std::map<Outcome, prometheus::Counter*> m_requests;
    prometheus::Histogram* m_requestSeconds;
    prometheus::Counter* m_retries;
    std::map<AdmissionStep, prometheus::Counter*> m_admissions;
    prometheus::Gauge* m_admissionQueue;
    prometheus::Family<prometheus::Gauge>* m_waiting;
    prometheus::Family<prometheus::Gauge>* m_inFlight;
    prometheus::Family<prometheus::Gauge>* m_servers;
    prometheus::Gauge* m_ticket;
    prometheus::Gauge* m_epoch;
    prometheus::Gauge* m_isController;
    prometheus::Gauge* m_storeAvailable;
    prometheus::Counter* m_ownerChanges;
    prometheus::Gauge* m_imbalance;
    prometheus::Gauge* m_buffered;
    prometheus::Gauge* m_bufferBudget;
    prometheus::Counter* m_bufferRefusals;
    prometheus::Counter* m_endedTransfers;
    std::map<ServerId, std::pair<prometheus::Gauge*, prometheus::Gauge*>> m_queues;
};

} // namespace acaciagauge::daemon
