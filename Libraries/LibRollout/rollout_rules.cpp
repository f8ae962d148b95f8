#include <LibRollout/rollout_rules.h>

#include <algorithm>

namespace merlinpier {

namespace {

template <typename Visit> void forTargets(rollout const& known, membership_table const& membership, Visit visit)
{
    for (auto const& [vm, member] : membership.records()) {
        if (member.state == member_state::Gone)
            continue;
        for (auto const& target : member.targets) {
            if (target.service == known.service && !target.version.empty())
                visit(member, target);
        }
    }
}

} // namespace

bool rollout_rules::mustDecide(rollout const& known, time_point now)
{
    bool const isRunning = known.state == rollout_state::Running;
    return !known.isFinal() && known.progress(now) >= (isRunning ? latestSwitch : latestDone);
}

bool rollout_rules::hasTargets(rollout const& known, membership_table const& membership)
{
    bool found = false;
    forTargets(known, membership, [&](member_record const&, target_record const& target) {
        found |= target.version == known.targetVersion && target.state != target_state::Gone;
    });
    return found;
}

bool rollout_rules::isReadyToSwitch(rollout const& known, rollout_evidence const& evidence,
    membership_table const& membership, target_ages const& ages, time_point now)
{
    auto const progress = known.progress(now);
    if (evidence.finding() || progress < earliestSwitch)
        return false;
    std::uint64_t newSlots = 0;
    std::uint64_t warmSlots = 0;
    std::uint64_t oldSlots = 0;
    forTargets(known, membership, [&](member_record const& member, target_record const& target) {
        if (member.state != member_state::Alive || target.state != target_state::Ready)
            return;
        auto& slots = target.version == known.targetVersion ? newSlots : oldSlots;
        slots += std::max<std::uint32_t>(target.slots, 1);
        if (target.version == known.targetVersion && ages.ageOf(target, now) >= rollout_evidence::coldTime)
            warmSlots += std::max<std::uint32_t>(target.slots, 1);
    });
    if (newSlots == 0)
        return false;
    if (progress >= latestSwitch)
        return true;
    if (evidence.isDoubtful() || warmSlots < oldSlots)
        return false;
    return progress >= usualSwitch || evidence.newRuns() >= runsForEarlySwitch;
}

bool rollout_rules::isReadyForDone(
    rollout const& known, rollout_evidence const& evidence, membership_table const& membership, time_point now)
{
    auto const spent = now - known.changedAt;
    if (evidence.finding() || spent < shortestSwitch)
        return false;
    bool hasNew = false;
    bool isAtRest = true;
    forTargets(known, membership, [&](member_record const&, target_record const& target) {
        hasNew |= target.version == known.targetVersion && target.state == target_state::Ready;
        // A target of the old version is shown as draining when it has no calls; one that leaves on its own account
        // may still have some.
        bool const isResting = target.state == target_state::Gone
            || (target.state == target_state::Draining && target.departedStart == 0);
        isAtRest &= target.version == known.targetVersion || isResting;
    });
    if (!hasNew)
        return false;
    if (known.progress(now) >= latestDone)
        return true;
    auto const trial = std::chrono::duration_cast<duration>(known.orderDuration * shortestTrial);
    return isAtRest && spent >= trial && !evidence.isDoubtful();
}

} // namespace merlinpier
