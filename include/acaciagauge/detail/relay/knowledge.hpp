#pragma once

#include "acaciagauge/detail/assignment/domain_record.hpp"
#include "acaciagauge/detail/assignment/home_map.hpp"
#include "acaciagauge/detail/tickets/ticket.hpp"

#include <map>
#include <optional>

namespace acaciagauge {

/// @brief Names the versions that an instance has; two digests show what one lacks.
struct Digest {
    TicketNumber ticket = 0;
    std::map<DomainId, std::pair<Epoch, std::uint64_t>> domains; ///< Epoch and version of each domain's record.
    std::map<ServiceName, std::uint64_t> homes;

    bool operator==(const Digest&) const = default;
};

/// @brief Documents that a peer lacks.
struct News {
    std::optional<Configuration> configuration;
    std::vector<DomainRecord> records;
    std::vector<HomeMap> homes;

    [[nodiscard]] bool isEmpty() const { return !configuration && records.empty() && homes.empty(); }
};

/// @brief All that an instance knows of the installation. Each part only ever gets newer.
class Knowledge {
public:
    /// @brief Takes what is newer and leaves the rest.
    /// @return what was taken, for passing on
    News adopt(const News& news);

    /// @brief Returns what a peer with that digest lacks.
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
