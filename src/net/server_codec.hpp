#pragma once

#include "acaciagauge/acaciagauge.hpp"

#include <string>

namespace acaciagauge::net {

/// @brief Encodes an order as the JSON body of POST /orders.
std::string encodeOrder(const ServerOrder& order);

/// @brief Decodes an order.
/// @return malformedRequest if the text is not a valid order
Result<ServerOrder> decodeOrder(const std::string& text);

/// @brief Encodes a server's response to an order as JSON.
std::string encodeAnswer(const ServerAnswer& answer);

/// @brief Decodes a server's response.
/// @return malformedRequest if the text is not a valid response
Result<ServerAnswer> decodeAnswer(const std::string& text);

} // namespace acaciagauge::net
