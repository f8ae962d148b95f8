#include <LibRollout/target_ages.h>

namespace merlinpier {

void target_ages::observe(membership_table const& membership, time_point now)
{
    if (membership.recordChanges() == m_observedChanges)
        return;
    m_observedChanges = membership.recordChanges();
    bool const mustDrop = m_incarnations.size() >= maximumTargets;
    std::map<std::string, incarnation> kept;
    for (auto const& [vm, member] : membership.records()) {
        for (auto const& target : member.targets) {
            if (target.version.empty())
                continue;
            auto& known = m_incarnations[target.id];
            if (known.firstSeen == time_point {} || known.startedAt != target.startedAt)
                known = { target.startedAt, now };
            if (mustDrop)
                kept[target.id] = known;
        }
    }
    if (mustDrop)
        m_incarnations = std::move(kept);
}

duration target_ages::ageOf(target_record const& target, time_point now) const
{
    auto const known = m_incarnations.find(target.id);
    bool const isKnown = known != m_incarnations.end() && known->second.startedAt == target.startedAt;
    return isKnown ? now - known->second.firstSeen : duration::zero();
}

} // namespace merlinpier
