#include <LibOperator/fleet_status.h>

#include <LibCore/json_object_reader.h>

#include <limits>
#include <nlohmann/json.hpp>

namespace merlinpier {

namespace {

constexpr std::size_t maximumStatusBytes = 8 * 1024 * 1024;
constexpr std::size_t maximumMembers = 100000;
constexpr std::uint64_t maximumNumber = std::numeric_limits<std::int64_t>::max();

result<member_status> readMember(nlohmann::json const& value)
{
    auto reader = TRY(json_object_reader::tryCreate(value, "a member"));
    member_status member;
    member.vm = TRY(reader.text("vm"));
    member.zone = TRY(reader.text("zone"));
    member.state = TRY(reader.text("state"));
    member.appliedVersion = TRY(reader.number("applied_version", 0, maximumNumber));
    member.refusedVersion = TRY(reader.number("refused_version", 0, maximumNumber));
    member.refusedReason = TRY(reader.text("refused_reason"));
    return member;
}

result<zone_status> readZone(nlohmann::json const& value)
{
    auto reader = TRY(json_object_reader::tryCreate(value, "a zone"));
    zone_status zone;
    zone.zone = TRY(reader.text("zone"));
    zone.members = TRY(reader.number("members", 0, maximumNumber));
    zone.lowestApplied = TRY(reader.number("applied", 0, maximumNumber));
    zone.isReachable = TRY(reader.boolean("reachable"));
    return zone;
}

result<empty> readPlatform(nlohmann::json const& value, fleet_status& status)
{
    auto reader = TRY(json_object_reader::tryCreate(value, "the platform"));
    status.isPlatformReachable = TRY(reader.boolean("reachable"));
    status.platformSilentMs = TRY(reader.number("silent_ms", 0, maximumNumber));
    return empty {};
}

result<fleet_status> readStatus(std::string_view body)
{
    auto const value = TRY(parseStrictJson(body, maximumStatusBytes, "the status"));
    auto reader = TRY(json_object_reader::tryCreate(value, "the status"));
    fleet_status status;
    status.version = TRY(reader.number("version", 0, maximumNumber));
    status.applied = TRY(reader.number("applied", 0, maximumNumber));
    status.requestedVersion = TRY(reader.number("asked", 0, maximumNumber));
    status.isInForce = TRY(reader.boolean("in_force"));
    status.behind = TRY(reader.texts("behind", maximumMembers));
    status.silent = TRY(reader.texts("silent", maximumMembers));
    for (auto const& member : *TRY(reader.list("members", maximumMembers)))
        status.members.push_back(TRY(readMember(member)));
    for (auto const& zone : *TRY(reader.list("zones", maximumMembers)))
        status.zones.push_back(TRY(readZone(zone)));
    if (value.contains("limited"))
        status.limited = TRY(reader.texts("limited", maximumMembers));
    TRY(readPlatform(*TRY(reader.value("platform")), status));
    return status;
}

} // namespace

result<fleet_status> parseFleetStatus(std::string_view body)
{
    auto status = readStatus(body);
    if (status.isError())
        return error { error_kind::Corrupt, status.failure().message, "use a command line of the daemon's version" };
    return status;
}

} // namespace merlinpier
