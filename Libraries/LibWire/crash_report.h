#pragma once

#include <cstdint>

namespace merlinpier {

// What the crash of a target says about a request that ran there. The findings about one crash only rise, so that they
// merge in any order.
enum class crash_finding : std::uint8_t {
    // The request was one of several that may have caused the crash.
    Suspected,
    // The request ran as a trial: it had been suspected before, and no other suspect ran at the target.
    Tested,
    // The request has ended well at a target, so that it did not cause the crash.
    Cleared,
};

// A request ran at a target when the target crashed.
struct crash_report {
    // requestFingerprint().
    std::uint64_t request { 0 };
    // Names the incarnation of the target that ended.
    std::uint64_t crash { 0 };
    crash_finding finding { crash_finding::Suspected };

    bool operator==(crash_report const&) const = default;
};

} // namespace merlinpier
