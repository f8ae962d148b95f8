#pragma once

#include <LibWire/frames_generated.h>
#include <LibWire/link_messages.h>
#include <LibWire/wire_reader.h>

namespace merlinpier {

flatbuffers::Offset<wire::Hello> encode(flatbuffers::FlatBufferBuilder&, hello const&);
flatbuffers::Offset<wire::HelloAnswer> encode(flatbuffers::FlatBufferBuilder&, hello_answer const&);
flatbuffers::Offset<wire::Ping> encode(flatbuffers::FlatBufferBuilder&, ping const&);
flatbuffers::Offset<wire::Pong> encode(flatbuffers::FlatBufferBuilder&, pong const&);

hello decode(wire_reader&, wire::Hello const&);
hello_answer decode(wire_reader&, wire::HelloAnswer const&);
ping decode(wire_reader&, wire::Ping const&);
pong decode(wire_reader&, wire::Pong const&);

} // namespace merlinpier
