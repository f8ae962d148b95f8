#pragma once

#include <LibWire/frames_generated.h>
#include <LibWire/membership_messages.h>
#include <LibWire/wire_reader.h>

namespace merlinpier {

flatbuffers::Offset<wire::Heartbeat> encode(flatbuffers::FlatBufferBuilder&, heartbeat const&);
flatbuffers::Offset<wire::HeartbeatAnswer> encode(flatbuffers::FlatBufferBuilder&, heartbeat_answer const&);
flatbuffers::Offset<wire::MembershipUpdate> encode(flatbuffers::FlatBufferBuilder&, membership_update const&);
flatbuffers::Offset<wire::MembershipDigest> encode(flatbuffers::FlatBufferBuilder&, membership_digest const&);

heartbeat decode(wire_reader&, wire::Heartbeat const&);
heartbeat_answer decode(wire_reader&, wire::HeartbeatAnswer const&);
membership_update decode(wire_reader&, wire::MembershipUpdate const&);
membership_digest decode(wire_reader&, wire::MembershipDigest const&);

} // namespace merlinpier
