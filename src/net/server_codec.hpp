#pragma once

#include "acaciagauge/acaciagauge.hpp"

#include <string>

namespace acaciagauge::net {

/// @brief Encodes an order as the JSON body of POST /orders.
std::string encodeOrder(const ServerOrder& order);

/// @brief Decodes an order; malformedRequest if it is not one.
Result<ServerOrder> decodeOrder(const std::string& text);

/// @brief Encodes a server's answer.
std::string encodeAnswer(const ServerAnswer& answer);

/// @brief Decodes a server's answer; malformedRequest if it is not one.
Result<ServerAnswer> decodeAnswer(const std::string& text);

} // namespace acaciagauge::net
