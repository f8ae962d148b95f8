#pragma once

#include <LibCore/time.h>
#include <LibMembership/membership_table.h>
#include <cstdint>
#include <map>
#include <string>

namespace merlinpier {

// Since when this daemon has known the targets that name their version. Start times of targets are in their own
// clocks, which are not compared with this daemon's.
class target_ages {
public:
    void observe(membership_table const&, time_point now);
    // The time from when the target's incarnation was first seen; zero if it has not been seen.
    duration ageOf(target_record const&, time_point now) const;

private:
    // Targets that are kept before those not in the table any more are dropped.
    static constexpr std::size_t maximumTargets = 4096;
    struct incarnation {
        std::uint64_t startedAt { 0 };
        time_point firstSeen {};
    };

    // The newest incarnation of each target, by the target's id.
    std::map<std::string, incarnation> m_incarnations;
    std::uint64_t m_observedChanges { 0 };
};

} // namespace merlinpier
