#pragma once

#include "acaciagauge/detail/assignment/domain_record.hpp"
#include "acaciagauge/detail/assignment/home_map.hpp"
#include "acaciagauge/detail/tickets/ticket.hpp"

#include <map>
#include <optional>

namespace acaciagauge {

/// @brief Versions of the documents that an instance has; comparing two digests shows what either instance lacks.
struct Digest {
    TicketNumber ticket = 0;
    std::map<DomainId, std::pair<Epoch, std::uint64_t>> domains; ///< Epoch and version of each domain's record.
    std::map<ServiceName, std::uint64_t> homes; ///< Version of each service's home map.

    bool operator==(const Digest&) const = default;
};

/// @brief Documents that a peer lacks.
struct News {
    std::optional<Configuration> configuration;
    std::vector<DomainRecord> records;
    std::vector<HomeMap> homes;

    [[nodiscard]] bool isEmpty() const { return !configuration && records.empty() && homes.empty(); }
};

/// @brief An instance's replica of the configuration, the domain records and the home maps. A document is replaced
/// only by a newer version.
class Knowledge {
public:
    /// @brief Applies the documents that are newer than the replica's and ignores the rest.
    /// @return the applied documents, to be forwarded to other peers
    News adopt(const News& news);

    /// @brief Returns the documents that a peer with this digest lacks.
    [[nodiscard]] News newsFor(const Digest& digest) const;

    [[nodiscard]] Digest digest() const;
    [[nodiscard]] const Configuration& configuration() const { return m_configuration; }
    [[nodiscard]] const std::map<DomainId, DomainRecord>& records() const { return m_records; }
    [[nodiscard]] const std::map<ServiceName, HomeMap>& homes() const { return m_homes; }

private:
    Configuration m_configuration;
    std::map<DomainId, DomainRecord> m_records;
    std::map<ServiceName, HomeMap> m_homes;
};

} // namespace acaciagauge
