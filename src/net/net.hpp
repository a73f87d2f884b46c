#pragma once

/// @file
/// @brief The public header of the network library: HTTP/1.1 with Boost.Beast on one Asio context.

#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/server_codec.hpp"
