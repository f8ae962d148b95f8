#include <LibRouting/departed_targets.h>

namespace merlinpier {

namespace {

// Targets end many seconds after they have begun to leave at the latest.
constexpr seconds departureRetention { 120 };

} // namespace

bool departed_targets::didDepart(std::string const& target, std::uint64_t startedAt, time_point now)
{
    auto& known = m_departures[target];
    bool const isNew = startedAt > known.startedAt;
    if (startedAt >= known.startedAt)
        known = { startedAt, now };
    return isNew;
}

void departed_targets::learn(membership_table const& table, time_point now)
{
    for (auto const& [vm, member] : table.records()) {
        for (auto const& target : member.targets) {
            if (target.departedStart > 0)
                didDepart(target.id, target.departedStart, now);
        }
    }
}

bool departed_targets::contains(target_record const& target) const
{
    auto const found = m_departures.find(target.id);
    return found != m_departures.end() && target.startedAt > 0 && target.startedAt <= found->second.startedAt;
}

void departed_targets::expire(time_point now)
{
    std::erase_if(m_departures, [&](auto const& entry) { return now - entry.second.at > departureRetention; });
}

} // namespace merlinpier
