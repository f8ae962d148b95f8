#pragma once

#include <cstdint>
#include <string>

namespace merlinpier {

// Why a new version is rolled back.
enum class rollout_fault : std::uint8_t { Failures, Slowness, NoTargets, Aborted };

// A finding against a new version, with the evidence for the log.
struct rollout_finding {
    rollout_fault fault { rollout_fault::Failures };
    // Kind of call that showed it; empty for all kinds together.
    std::string kind;
    std::uint64_t runs { 0 };
    std::uint64_t failures { 0 };
    // Shares of failed runs, or mean run times in milliseconds, of the new version and of the old one.
    double ofNew { 0 };
    double ofOld { 0 };

    bool operator==(rollout_finding const&) const = default;
};

char const* faultName(rollout_fault);

} // namespace merlinpier
