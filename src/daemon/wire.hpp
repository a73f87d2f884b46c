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
void toWire(const AdmissionCall& call, wire::Peer::AdmitParams::Builder out);
AdmissionCall fromWire(wire::Peer::AdmitParams::Reader in);
void toWire(const AdmissionReply& reply, wire::Peer::AdmitResults::Builder out);
AdmissionReply fromWire(wire::Peer::AdmitResults::Reader in);
void toWire(const AdmissionNotice& notice, wire::Peer::AdmissionEndedParams::Builder out);
AdmissionNotice fromWire(wire::Peer::AdmissionEndedParams::Reader in);
/// @}

} // namespace acaciagauge::daemon
