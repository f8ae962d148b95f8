#include <LibRollout/rollout_state_table.h>

#include <algorithm>

namespace merlinpier {

namespace {

// What an order has aged when it is first seen: lists are a second apart and may be as old again. A share of the
// duration bounds it for short orders.
constexpr milliseconds assumedAgeAtFirstSight { 1500 };
constexpr int assumedAgeDivisor = 8;
// Wall clocks of two VMs may differ; an age from them counts only within this many durations of the order.
constexpr int plausibleDurations = 4;

// Done is the store's word, and replaces a finding that came too late to be stored.
int rankOf(rollout_state state)
{
    switch (state) {
    case rollout_state::Running:
        return 0;
    case rollout_state::Switching:
        return 1;
    case rollout_state::RolledBack:
        return 2;
    case rollout_state::Done:
        return 3;
    }
    return 0;
}

} // namespace

char const* stateName(rollout_state state)
{
    switch (state) {
    case rollout_state::Running:
        return "running";
    case rollout_state::Switching:
        return "switching";
    case rollout_state::Done:
        return "done";
    case rollout_state::RolledBack:
        return "rolled_back";
    }
    return "running";
}

bool rollout_state_table::learn(stored_rollout const& stored, time_point now, std::uint64_t wallClockMs)
{
    if (stored.service.empty() || stored.targetVersion.empty() || stored.orderDuration <= milliseconds(0))
        return false;
    rollout learnt { stored.service, stored.order(), stored.targetVersion, rollout_state::Running,
        stored.orderDuration };
    auto age = std::min(assumedAgeAtFirstSight, stored.orderDuration / assumedAgeDivisor);
    if (stored.isStatusCurrent()) {
        learnt.state = stored.status->state;
        auto const startedMs = stored.status->startedMs;
        auto const longest
            = static_cast<std::uint64_t>(stored.orderDuration.count()) * static_cast<std::uint64_t>(plausibleDurations);
        if (startedMs > 0 && wallClockMs > startedMs && wallClockMs - startedMs <= longest)
            age = std::max(age, milliseconds(wallClockMs - startedMs));
    }
    learnt.orderedAt = now - age;
    return merge(learnt, now);
}

bool rollout_state_table::learn(rollout_report const& report, time_point now)
{
    if (report.service.empty() || report.targetVersion.empty() || report.durationMs == 0)
        return false;
    return merge({ report.service, report.order, report.targetVersion, report.state, milliseconds(report.durationMs),
                     now - milliseconds(report.ageMs) },
        now);
}

bool rollout_state_table::merge(rollout const& learnt, time_point now)
{
    auto const known = m_rollouts.find(learnt.service);
    if (known == m_rollouts.end() && m_rollouts.size() >= maximumRollouts)
        return false;
    bool const isReplaced = known == m_rollouts.end() || learnt.order > known->second.order;
    if (isReplaced) {
        auto& added = m_rollouts[learnt.service] = learnt;
        added.changedAt = now;
        ++m_changes;
        return true;
    }
    auto& entry = known->second;
    if (learnt.order < entry.order)
        return false;
    entry.orderedAt = std::min(entry.orderedAt, learnt.orderedAt);
    if (rankOf(learnt.state) <= rankOf(entry.state))
        return false;
    entry.state = learnt.state;
    entry.changedAt = now;
    ++m_changes;
    return true;
}

bool rollout_state_table::rollBack(std::string const& service, std::uint64_t order, time_point now)
{
    auto const known = m_rollouts.find(service);
    if (known == m_rollouts.end() || known->second.order != order || known->second.isFinal())
        return false;
    known->second.state = rollout_state::RolledBack;
    known->second.changedAt = now;
    ++m_changes;
    return true;
}

rollout const* rollout_state_table::find(std::string const& service) const
{
    auto const found = m_rollouts.find(service);
    return found == m_rollouts.end() ? nullptr : &found->second;
}

bool rollout_state_table::isAnyUnderWay() const
{
    return std::any_of(m_rollouts.begin(), m_rollouts.end(), [](auto const& entry) { return !entry.second.isFinal(); });
}

std::vector<rollout_report> rollout_state_table::reports(time_point now) const
{
    std::vector<rollout_report> reports;
    for (auto const& [service, known] : m_rollouts) {
        auto const age = std::clamp<std::int64_t>(toMilliseconds(now - known.orderedAt), 0, UINT32_MAX);
        reports.push_back({ service, known.order, known.targetVersion, known.state, static_cast<std::uint32_t>(age),
            static_cast<std::uint32_t>(std::min<std::int64_t>(known.orderDuration.count(), UINT32_MAX)) });
    }
    return reports;
}

} // namespace merlinpier
