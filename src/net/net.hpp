#pragma once

/// @file
/// @brief The one public header of the network library: HTTP by Boost.Beast on one Asio context.

#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/server_codec.hpp"
