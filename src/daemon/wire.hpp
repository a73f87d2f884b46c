#pragma once

#include "daemon/rpc_types.hpp"
#include "peer.capnp.h"

namespace acaciagauge::daemon {

/// @name Conversions between the decision library's types and the wire format
/// @{
void toWire(const PeerMessage& message, wire::ControlMessage::Builder out);
PeerMessage fromWire(wire::ControlMessage::Reader in);
void toWire(const ForwardRequest& request, wire::ForwardRequest::Builder out);
ForwardRequest fromWire(wire::ForwardRequest::Reader in);
void toWire(const ForwardReply& reply, wire::ForwardReply::Builder out);
ForwardReply fromWire(wire::ForwardReply::Reader in);
void toWire(const Digest& digest, wire::Digest::Builder out);
Digest fromWire(wire::Digest::Reader in);
void toWire(const News& news, wire::News::Builder out);
News fromWire(wire::News::Reader in);
void toWire(const LoadReport& report, wire::LoadReport::Builder out);
LoadReport fromWire(wire::LoadReport::Reader in);
void toWire(const StoreDelta& delta, wire::StoreDelta::Builder out);
StoreDelta fromWire(wire::StoreDelta::Reader in);
/// @}

} // namespace acaciagauge::daemon
