#pragma once

#include <LibCore/result.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace merlinpier {

// One daemon as another one sees it.
struct member_status {
    std::string vm;
    std::string zone;
    std::string state;
    std::uint64_t appliedVersion { 0 };
    // 0 if none was refused.
    std::uint64_t refusedVersion { 0 };
    std::string refusedReason;

    bool operator==(member_status const&) const = default;
};

// One availability zone as a daemon sees it.
struct zone_status {
    std::string zone;
    // Live daemons.
    std::uint64_t members { 0 };
    // The lowest version that one of them applies.
    std::uint64_t lowestApplied { 0 };
    bool isReachable { true };

    bool operator==(zone_status const&) const = default;
};

// The answer to GET /status.
struct fleet_status {
    std::uint64_t version { 0 };
    std::uint64_t applied { 0 };
    std::uint64_t asked { 0 };
    bool isInForce { false };
    std::vector<member_status> members;
    std::vector<std::string> behind;
    std::vector<std::string> silent;
    std::vector<zone_status> zones;
    bool isPlatformReachable { true };
    std::uint64_t platformSilentMs { 0 };

    bool operator==(fleet_status const&) const = default;
};

// Corrupt if the body is no status. Further keys are passed over: the daemon may be newer than this program.
result<fleet_status> parseFleetStatus(std::string_view body);

} // namespace merlinpier
