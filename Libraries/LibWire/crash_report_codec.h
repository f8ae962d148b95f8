#pragma once

#include <LibWire/crash_report.h>
#include <LibWire/frames_generated.h>
#include <LibWire/wire_reader.h>

namespace merlinpier {

flatbuffers::Offset<wire::CrashReport> encodeCrashReport(flatbuffers::FlatBufferBuilder&, crash_report const&);
crash_report decodeCrashReport(wire_reader&, wire::CrashReport const&);

} // namespace merlinpier
