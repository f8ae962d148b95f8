#pragma once

#include <LibCore/result.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace merlinpier {

// The state of one daemon, as known to the daemon that answers.
struct member_status {
    std::string vm;
    std::string zone;
    std::string state;
    std::uint64_t appliedVersion { 0 };
    // The version that the daemon refused as invalid, 0 for none.
    std::uint64_t refusedVersion { 0 };
    std::string refusedReason;

    bool operator==(member_status const&) const = default;
};

// The state of one availability zone, as known to the daemon that answers.
struct zone_status {
    std::string zone;
    // Number of live daemons.
    std::uint64_t members { 0 };
    // The lowest version that any of them has applied.
    std::uint64_t lowestApplied { 0 };
    bool isReachable { true };

    bool operator==(zone_status const&) const = default;
};

// The answer to GET /status.
struct fleet_status {
    // The highest version known in any zone.
    std::uint64_t version { 0 };
    // The version applied by the daemon that answers.
    std::uint64_t applied { 0 };
    // The version that the request asked about; isInForce and behind refer to it.
    std::uint64_t requestedVersion { 0 };
    bool isInForce { false };
    std::vector<member_status> members;
    // VMs of live daemons that have not applied the requested version, except those listed as silent.
    std::vector<std::string> behind;
    // VMs of live daemons that do not answer their relay or whose zone is unreachable. They do not keep a version from
    // counting as in force.
    std::vector<std::string> silent;
    std::vector<zone_status> zones;
    // One text for each target that has announced a limit on requests, with its VM and the limit.
    std::vector<std::string> limited;
    bool isPlatformReachable { true };
    // How long the platform has not answered, in milliseconds.
    std::uint64_t platformSilentMs { 0 };

    bool operator==(fleet_status const&) const = default;
};

// Fails with Corrupt if the body is not a status. Unknown keys are ignored, since the daemon may be newer than this
// program.
result<fleet_status> parseFleetStatus(std::string_view body);

} // namespace merlinpier
