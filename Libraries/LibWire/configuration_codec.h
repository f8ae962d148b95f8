#pragma once

#include <LibWire/configuration_messages.h>
#include <LibWire/frames_generated.h>
#include <LibWire/wire_reader.h>

namespace merlinpier {

flatbuffers::Offset<wire::VersionAnnounce> encode(flatbuffers::FlatBufferBuilder&, version_announce const&);
flatbuffers::Offset<wire::ConfigurationRequest> encode(flatbuffers::FlatBufferBuilder&, configuration_request const&);
flatbuffers::Offset<wire::ConfigurationAnswer> encode(flatbuffers::FlatBufferBuilder&, configuration_answer const&);

version_announce decode(wire_reader&, wire::VersionAnnounce const&);
configuration_request decode(wire_reader&, wire::ConfigurationRequest const&);
configuration_answer decode(wire_reader&, wire::ConfigurationAnswer const&);

} // namespace merlinpier
