#include <LibWire/crash_report_codec.h>

namespace merlinpier {

flatbuffers::Offset<wire::CrashReport> encodeCrashReport(
    flatbuffers::FlatBufferBuilder& builder, crash_report const& value)
{
    return wire::CreateCrashReport(builder, value.request, value.crash, static_cast<wire::CrashFinding>(value.finding));
}

crash_report decodeCrashReport(wire_reader& reader, wire::CrashReport const& table)
{
    return { table.request(), table.crash(), reader.enumerator<crash_finding>(table.finding()) };
}

} // namespace merlinpier
