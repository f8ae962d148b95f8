#pragma once

#include <LibWire/call_messages.h>
#include <LibWire/frames_generated.h>
#include <LibWire/wire_reader.h>

namespace merlinpier {

flatbuffers::Offset<wire::Call> encode(flatbuffers::FlatBufferBuilder&, call_request const&);
flatbuffers::Offset<wire::CallAnswer> encode(flatbuffers::FlatBufferBuilder&, call_answer const&);
flatbuffers::Offset<wire::CallRefused> encode(flatbuffers::FlatBufferBuilder&, call_refused const&);
flatbuffers::Offset<wire::CallLost> encode(flatbuffers::FlatBufferBuilder&, call_lost const&);
flatbuffers::Offset<wire::CallCancel> encode(flatbuffers::FlatBufferBuilder&, call_cancel const&);
flatbuffers::Offset<wire::CallAcknowledge> encode(flatbuffers::FlatBufferBuilder&, call_acknowledge const&);
flatbuffers::Offset<wire::CallQuery> encode(flatbuffers::FlatBufferBuilder&, call_query const&);
flatbuffers::Offset<wire::CallQueryAnswer> encode(flatbuffers::FlatBufferBuilder&, call_query_answer const&);

call_request decode(wire_reader&, wire::Call const&);
call_answer decode(wire_reader&, wire::CallAnswer const&);
call_refused decode(wire_reader&, wire::CallRefused const&);
call_lost decode(wire_reader&, wire::CallLost const&);
call_cancel decode(wire_reader&, wire::CallCancel const&);
call_acknowledge decode(wire_reader&, wire::CallAcknowledge const&);
call_query decode(wire_reader&, wire::CallQuery const&);
call_query_answer decode(wire_reader&, wire::CallQueryAnswer const&);

} // namespace merlinpier
