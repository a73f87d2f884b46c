#pragma once

#include "net/net.hpp"

#include <memory>
#include <nlohmann/json_fwd.hpp>

namespace acaciagauge::daemon {

class Node;

/// @brief The administration API: tickets, what is in force, health, metrics and spans. For one thread.
class Admin {
public:
    Admin(boost::asio::io_context& context, Node& node);

    /// @brief Answers one request of the API described in docs/ADMIN-API.md.
    boost::asio::awaitable<net::Response> handle(net::Request request);

private:
    boost::asio::awaitable<net::Response> fileTicket(net::Request request);
    boost::asio::awaitable<Filing::Step> carryOut(Filing& filing);
    boost::asio::awaitable<net::Response> status();
    boost::asio::awaitable<net::Response> showTicket(std::string path);
    net::Response checkTicket(const std::string& body) const;
    net::Response local() const;
    net::Response owner(const std::string& target) const;
    net::Response servers() const;
    [[nodiscard]] bool isAuthorized(const net::Request& request) const;

    Node& m_node;
    std::shared_ptr<net::HttpClient> m_client;
};

} // namespace acaciagauge::daemon
