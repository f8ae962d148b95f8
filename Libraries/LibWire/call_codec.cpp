#include <LibWire/call_codec.h>

#include <LibWire/crash_report_codec.h>

namespace merlinpier {

namespace {

flatbuffers::Offset<wire::Header> encodeHeader(flatbuffers::FlatBufferBuilder& builder, header_field const& value)
{
    auto const name = writeText(builder, value.name);
    auto const content = writeText(builder, value.value);
    return wire::CreateHeader(builder, name, content);
}

header_field decodeHeader(wire_reader& reader, wire::Header const& table)
{
    return { .name = reader.text(table.name()), .value = reader.text(table.value()) };
}

flatbuffers::Offset<wire::CallStatus> encodeStatus(flatbuffers::FlatBufferBuilder& builder, call_status const& value)
{
    auto const id = writeText(builder, value.id);
    auto const answer = value.answer ? encode(builder, *value.answer) : 0;
    auto const refusal = value.refusal ? encode(builder, *value.refusal) : 0;
    return wire::CreateCallStatus(builder, id, static_cast<wire::Outcome>(value.outcome), answer, refusal);
}

call_status decodeStatus(wire_reader& reader, wire::CallStatus const& table)
{
    call_status status { .id = reader.text(table.id()), .outcome = reader.enumerator<call_outcome>(table.outcome()) };
    if (table.answer() != nullptr)
        status.answer = decode(reader, *table.answer());
    if (table.refusal() != nullptr)
        status.refusal = decode(reader, *table.refusal());
    return status;
}

} // namespace

flatbuffers::Offset<wire::Call> encode(flatbuffers::FlatBufferBuilder& builder, call_request const& value)
{
    // FlatBuffers writes from the end, so the body comes last and what repeats from call to call lies together.
    auto const body = writeBytes(builder, value.body);
    auto const id = writeText(builder, value.id);
    auto const service = writeText(builder, value.service);
    auto const target = writeText(builder, value.target);
    auto const entryPoint = writeText(builder, value.entryPoint);
    auto const method = writeText(builder, value.method);
    auto const path = writeText(builder, value.path);
    auto const headers = writeList(builder, value.headers, encodeHeader);
    auto const caller = writeText(builder, value.caller);
    auto const crashReports = writeList(builder, value.crashReports, encodeCrashReport);
    auto const tenant = writeText(builder, value.tenant);
    auto const tenantPriority = value.tenantPriority ? flatbuffers::Optional<std::uint32_t>(*value.tenantPriority)
                                                     : flatbuffers::Optional<std::uint32_t>();
    auto const callClass = static_cast<wire::CallClass>(value.callClass);
    return wire::CreateCall(builder, id, value.instance, value.generation, service, target, entryPoint, method, path,
        headers, body, callClass, value.isIdempotent, value.remainingMs, value.hops, value.version, caller,
        value.priority, value.onlyIfFree, value.objectiveMs, value.isLate, value.isRetry, crashReports, tenant,
        tenantPriority, value.isBulk);
}

flatbuffers::Offset<wire::CallAnswer> encode(flatbuffers::FlatBufferBuilder& builder, call_answer const& value)
{
    auto const body = writeBytes(builder, value.body);
    auto const id = writeText(builder, value.id);
    auto const headers = writeList(builder, value.headers, encodeHeader);
    return wire::CreateCallAnswer(builder, id, value.status, headers, body, value.loadPermille, value.version,
        value.serviceUs, value.isInnerFailure, value.departedStart, value.pacePercent);
}

flatbuffers::Offset<wire::CallRefused> encode(flatbuffers::FlatBufferBuilder& builder, call_refused const& value)
{
    auto const id = writeText(builder, value.id);
    auto const reason = static_cast<wire::Refusal>(value.reason);
    auto const crashReports = writeList(builder, value.crashReports, encodeCrashReport);
    return wire::CreateCallRefused(builder, id, reason, value.retryAfterMs, value.loadPermille, value.version,
        value.serviceUs, crashReports, value.pacePercent);
}

flatbuffers::Offset<wire::CallLost> encode(flatbuffers::FlatBufferBuilder& builder, call_lost const& value)
{
    auto const id = writeText(builder, value.id);
    auto const crashReports = writeList(builder, value.crashReports, encodeCrashReport);
    return wire::CreateCallLost(builder, id, value.loadPermille, value.version, crashReports);
}

flatbuffers::Offset<wire::CallCancel> encode(flatbuffers::FlatBufferBuilder& builder, call_cancel const& value)
{
    return wire::CreateCallCancel(builder, writeText(builder, value.id));
}

flatbuffers::Offset<wire::CallAcknowledge> encode(
    flatbuffers::FlatBufferBuilder& builder, call_acknowledge const& value)
{
    return wire::CreateCallAcknowledge(builder, writeTexts(builder, value.ids));
}

flatbuffers::Offset<wire::CallQuery> encode(flatbuffers::FlatBufferBuilder& builder, call_query const& value)
{
    auto const ids = writeTexts(builder, value.ids);
    return wire::CreateCallQuery(builder, value.instance, ids, value.recallsWaiting);
}

flatbuffers::Offset<wire::CallQueryAnswer> encode(
    flatbuffers::FlatBufferBuilder& builder, call_query_answer const& value)
{
    auto const statuses = writeList(builder, value.statuses, encodeStatus);
    return wire::CreateCallQueryAnswer(builder, value.instance, statuses);
}

call_request decode(wire_reader& reader, wire::Call const& table)
{
    return {
        .id = reader.text(table.id()),
        .instance = table.instance(),
        .generation = table.generation(),
        .service = reader.text(table.service()),
        .target = reader.text(table.target()),
        .entryPoint = reader.text(table.entry_point()),
        .method = reader.text(table.method()),
        .path = reader.text(table.path()),
        .headers = reader.list(table.headers(), decodeHeader),
        .body = reader.bytes(table.body()),
        .callClass = reader.enumerator<call_class>(table.call_class()),
        .isIdempotent = table.is_idempotent(),
        .remainingMs = table.remaining_ms(),
        .hops = table.hops(),
        .version = table.version(),
        .caller = reader.text(table.caller()),
        .priority = table.priority(),
        .objectiveMs = table.objective_ms(),
        .onlyIfFree = table.only_if_free(),
        .isLate = table.is_late(),
        .isRetry = table.is_retry(),
        .crashReports = reader.list(table.crash_reports(), decodeCrashReport),
        .tenant = reader.text(table.tenant()),
        .tenantPriority = table.tenant_priority() ? std::optional(*table.tenant_priority()) : std::nullopt,
        .isBulk = table.is_bulk(),
    };
}

call_answer decode(wire_reader& reader, wire::CallAnswer const& table)
{
    return {
        .id = reader.text(table.id()),
        .status = table.status(),
        .headers = reader.list(table.headers(), decodeHeader),
        .body = reader.bytes(table.body()),
        .loadPermille = table.load_permille(),
        .version = table.version(),
        .serviceUs = table.service_us(),
        .isInnerFailure = table.inner_failure(),
        .departedStart = table.departed_start(),
        .pacePercent = table.pace_percent(),
    };
}

call_refused decode(wire_reader& reader, wire::CallRefused const& table)
{
    return {
        .id = reader.text(table.id()),
        .reason = reader.enumerator<refusal_reason>(table.reason()),
        .retryAfterMs = table.retry_after_ms(),
        .loadPermille = table.load_permille(),
        .version = table.version(),
        .serviceUs = table.service_us(),
        .crashReports = reader.list(table.crash_reports(), decodeCrashReport),
        .pacePercent = table.pace_percent(),
    };
}

call_lost decode(wire_reader& reader, wire::CallLost const& table)
{
    return {
        .id = reader.text(table.id()),
        .loadPermille = table.load_permille(),
        .version = table.version(),
        .crashReports = reader.list(table.crash_reports(), decodeCrashReport),
    };
}

call_cancel decode(wire_reader& reader, wire::CallCancel const& table) { return { .id = reader.text(table.id()) }; }

call_acknowledge decode(wire_reader& reader, wire::CallAcknowledge const& table)
{
    return { .ids = reader.texts(table.ids()) };
}

call_query decode(wire_reader& reader, wire::CallQuery const& table)
{
    return {
        .instance = table.instance(), .ids = reader.texts(table.ids()), .recallsWaiting = table.recalls_waiting()
    };
}

call_query_answer decode(wire_reader& reader, wire::CallQueryAnswer const& table)
{
    return { .instance = table.instance(), .statuses = reader.list(table.statuses(), decodeStatus) };
}

} // namespace merlinpier
