#include <LibWire/membership_codec.h>

#include <LibWire/crash_report_codec.h>

namespace merlinpier {

namespace {

flatbuffers::Offset<wire::KindEvidence> encodeEvidence(
    flatbuffers::FlatBufferBuilder& builder, kind_evidence const& value)
{
    return wire::CreateKindEvidence(builder, writeText(builder, value.kind), value.runs, value.failures, value.totalMs);
}

flatbuffers::Offset<wire::RolloutReport> encodeRollout(
    flatbuffers::FlatBufferBuilder& builder, rollout_report const& value)
{
    auto const service = writeText(builder, value.service);
    auto const targetVersion = writeText(builder, value.targetVersion);
    return wire::CreateRolloutReport(builder, service, value.order, targetVersion,
        static_cast<wire::RolloutState>(value.state), value.ageMs, value.durationMs);
}

flatbuffers::Offset<wire::TenantDemand> encodeDemand(
    flatbuffers::FlatBufferBuilder& builder, tenant_demand const& value)
{
    return wire::CreateTenantDemand(builder, value.tenant, value.milliPerSecond);
}

kind_evidence decodeEvidence(wire_reader& reader, wire::KindEvidence const& table)
{
    return { .kind = reader.text(table.kind()),
        .runs = table.runs(),
        .failures = table.failures(),
        .totalMs = table.total_ms() };
}

rollout_report decodeRollout(wire_reader& reader, wire::RolloutReport const& table)
{
    return { .service = reader.text(table.service()),
        .order = table.order(),
        .targetVersion = reader.text(table.target_version()),
        .state = reader.enumerator<rollout_state>(table.state()),
        .ageMs = table.age_ms(),
        .durationMs = table.duration_ms() };
}

tenant_demand decodeDemand(wire_reader&, wire::TenantDemand const& table)
{
    return { .tenant = table.tenant(), .milliPerSecond = table.milli_per_second() };
}

flatbuffers::Offset<wire::TargetRecord> encodeTarget(
    flatbuffers::FlatBufferBuilder& builder, target_record const& value)
{
    auto const id = writeText(builder, value.id);
    auto const service = writeText(builder, value.service);
    auto const licence = writeText(builder, value.licence);
    auto const state = static_cast<wire::TargetState>(value.state);
    auto const limit = value.requestLimitMilli ? flatbuffers::Optional<std::uint64_t>(*value.requestLimitMilli)
                                               : flatbuffers::Optional<std::uint64_t>();
    auto const version = writeText(builder, value.version);
    auto const evidence = writeList(builder, value.evidence, encodeEvidence);
    return wire::CreateTargetRecord(builder, id, service, licence, value.claim, state, value.slots, value.departedStart,
        value.startedAt, limit, version, evidence);
}

flatbuffers::Offset<wire::MemberRecord> encodeRecord(
    flatbuffers::FlatBufferBuilder& builder, member_record const& value)
{
    auto const vm = writeText(builder, value.vm);
    auto const zone = writeText(builder, value.zone);
    auto const address = writeText(builder, value.address);
    auto const httpAddress = writeText(builder, value.httpAddress);
    auto const refusedReason = writeText(builder, value.refusedReason);
    auto const targets = writeList(builder, value.targets, encodeTarget);
    auto const state = static_cast<wire::MemberState>(value.state);
    auto const crashReports = writeList(builder, value.crashReports, encodeCrashReport);
    auto const rollouts = writeList(builder, value.rollouts, encodeRollout);
    return wire::CreateMemberRecord(builder, vm, zone, address, httpAddress, value.incarnation, value.sequence,
        value.instance, state, value.appliedVersion, value.refusedVersion, refusedReason, targets, value.linkMbps,
        crashReports, rollouts);
}

std::optional<std::uint64_t> optionalNumber(flatbuffers::Optional<std::uint64_t> const& value)
{
    return value ? std::optional(*value) : std::nullopt;
}

target_record decodeTarget(wire_reader& reader, wire::TargetRecord const& table)
{
    return {
        .id = reader.text(table.id()),
        .service = reader.text(table.service()),
        .licence = reader.text(table.licence()),
        .claim = table.claim(),
        .state = reader.enumerator<target_state>(table.state()),
        .slots = table.slots(),
        .departedStart = table.departed_start(),
        .startedAt = table.started_at(),
        .requestLimitMilli = optionalNumber(table.request_limit()),
        .version = reader.text(table.version()),
        .evidence = reader.list(table.evidence(), decodeEvidence),
    };
}

member_record decodeRecord(wire_reader& reader, wire::MemberRecord const& table)
{
    return {
        .vm = reader.text(table.vm()),
        .zone = reader.text(table.zone()),
        .address = reader.text(table.address()),
        .httpAddress = reader.text(table.http_address()),
        .incarnation = table.incarnation(),
        .sequence = table.sequence(),
        .instance = table.instance(),
        .state = reader.enumerator<member_state>(table.state()),
        .appliedVersion = table.applied_version(),
        .refusedVersion = table.refused_version(),
        .refusedReason = reader.text(table.refused_reason()),
        .targets = reader.list(table.targets(), decodeTarget),
        .linkMbps = table.link_mbps(),
        .crashReports = reader.list(table.crash_reports(), decodeCrashReport),
        .rollouts = reader.list(table.rollouts(), decodeRollout),
    };
}

} // namespace

flatbuffers::Offset<wire::Heartbeat> encode(flatbuffers::FlatBufferBuilder& builder, heartbeat const& value)
{
    auto const vm = writeText(builder, value.vm);
    auto const demand = writeList(builder, value.tenantDemand, encodeDemand);
    return wire::CreateHeartbeat(builder, vm, value.incarnation, value.sequence, value.appliedVersion,
        value.highestKnownVersion, value.tableDigest, value.subscribes, demand);
}

flatbuffers::Offset<wire::HeartbeatAnswer> encode(
    flatbuffers::FlatBufferBuilder& builder, heartbeat_answer const& value)
{
    auto const vm = writeText(builder, value.vm);
    auto const demand = writeList(builder, value.tenantDemand, encodeDemand);
    return wire::CreateHeartbeatAnswer(
        builder, vm, value.highestKnownVersion, value.tableDigest, value.isRelay, value.retryAfterMs, demand);
}

flatbuffers::Offset<wire::MembershipUpdate> encode(
    flatbuffers::FlatBufferBuilder& builder, membership_update const& value)
{
    return wire::CreateMembershipUpdate(builder, writeList(builder, value.records, encodeRecord));
}

flatbuffers::Offset<wire::MembershipDigest> encode(
    flatbuffers::FlatBufferBuilder& builder, membership_digest const& value)
{
    return wire::CreateMembershipDigest(builder, value.buckets.empty() ? 0 : builder.CreateVector(value.buckets));
}

heartbeat decode(wire_reader& reader, wire::Heartbeat const& table)
{
    return {
        .vm = reader.text(table.vm()),
        .incarnation = table.incarnation(),
        .sequence = table.sequence(),
        .appliedVersion = table.applied_version(),
        .highestKnownVersion = table.highest_known_version(),
        .tableDigest = table.table_digest(),
        .subscribes = table.subscribes(),
        .tenantDemand = reader.list(table.tenant_demand(), decodeDemand),
    };
}

heartbeat_answer decode(wire_reader& reader, wire::HeartbeatAnswer const& table)
{
    return {
        .vm = reader.text(table.vm()),
        .highestKnownVersion = table.highest_known_version(),
        .tableDigest = table.table_digest(),
        .isRelay = table.is_relay(),
        .retryAfterMs = table.retry_after_ms(),
        .tenantDemand = reader.list(table.tenant_demand(), decodeDemand),
    };
}

membership_update decode(wire_reader& reader, wire::MembershipUpdate const& table)
{
    return { .records = reader.list(table.records(), decodeRecord) };
}

membership_digest decode(wire_reader& reader, wire::MembershipDigest const& table)
{
    return { .buckets = reader.numbers(table.buckets()) };
}

} // namespace merlinpier
