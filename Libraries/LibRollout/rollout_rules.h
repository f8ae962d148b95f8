#pragma once

#include <LibCore/time.h>
#include <LibMembership/membership_table.h>
#include <LibRollout/rollout.h>
#include <LibRollout/rollout_evidence.h>
#include <LibRollout/target_ages.h>

namespace merlinpier {

// When the steps of a rollout may be taken. Times are shares of the time from the order to its deadline.
class rollout_rules {
public:
    // With this much clean evidence the switch may come early.
    static constexpr double earliestSwitch = 0.4;
    static constexpr std::uint64_t runsForEarlySwitch = 300;
    static constexpr double usualSwitch = 0.6;
    // From here on, neither missing slots nor doubts delay the switch.
    static constexpr double latestSwitch = 0.75;
    // The rest of the time is for the last write, which the first in rank may fail to make.
    static constexpr double latestDone = 0.92;
    // All daemons have moved to the new version after this time, and old targets have refused calls for a while.
    static constexpr milliseconds shortestSwitch { 2200 };
    // The least time under the whole load before a version is done, since no finding counts after that.
    static constexpr double shortestTrial = 0.2;

    // Whether a decision that the evidence leaves open has to be made now.
    static bool mustDecide(rollout const&, time_point now);
    // Whether any target of the new version is known.
    static bool hasTargets(rollout const&, membership_table const&);
    static bool isReadyToSwitch(
        rollout const&, rollout_evidence const&, membership_table const&, target_ages const&, time_point now);
    static bool isReadyForDone(rollout const&, rollout_evidence const&, membership_table const&, time_point now);
};

} // namespace merlinpier
