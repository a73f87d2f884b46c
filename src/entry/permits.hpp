#pragma once

#include "entry/catalog.hpp"

namespace acaciagauge::entry {

/// @brief Permits to send requests to servers that limit their rate: holds those of some servers, and asks other
/// instances for those of the others.
class Permits {
public:
    struct Hooks {
        /// Asks a peer; calls `done` with nullopt if it does not answer.
        std::function<void(
            const std::string& address, PermitRequest request, std::function<void(std::optional<PermitReply>)> done)>
            request;
        /// Returns the permits of a server while it is cold; nothing if its service has no limit for cold servers.
        std::function<std::optional<ColdPermits>(const ServerId&)> coldPermits;
    };

    Permits(boost::asio::io_context& context, InstanceId self, Catalog& catalog, Hooks hooks);

    /// @brief Asks the holder of the server's permits. Without a holder, this instance gets an equal part of the rate.
    /// @param domain failure domain of the server
    boost::asio::awaitable<PermitReply> acquire(PermitRequest request, DomainId domain);

    /// @brief Answers an instance that regards this one as the holder.
    PermitReply answer(PermitRequest request);

private:
    boost::asio::awaitable<std::optional<PermitReply>> ask(const InstanceId& holder, PermitRequest request);
    void updateMembers();

    boost::asio::io_context& m_context;
    InstanceId m_self;
    Catalog& m_catalog;
    Hooks m_hooks;
    RatePermits m_held; ///< Of the servers whose holder this instance is.
    RatePermits m_ownShare; ///< Of servers whose holder cannot be reached.
    PermitHolders m_holders;
    std::mt19937_64 m_random { std::random_device {}() };
    std::uint64_t m_knownMemberChanges = 0; ///< Value of Catalog::memberChanges() that m_holders reflects.
};

} // namespace acaciagauge::entry
