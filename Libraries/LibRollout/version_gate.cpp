#include <LibRollout/version_gate.h>

#include <algorithm>
#include <utility>

namespace merlinpier {

std::map<std::string, version_gate::version_summaries> version_gate::summarize(membership_table const& membership)
{
    std::map<std::string, version_summaries> services;
    for (auto const& [vm, member] : membership.records()) {
        if (member.state == member_state::Gone)
            continue;
        for (auto const& target : member.targets) {
            if (target.state == target_state::Gone || target.version.empty())
                continue;
            auto& summary = services[target.service][target.version];
            bool const isReady = member.state == member_state::Alive && target.state == target_state::Ready;
            bool const isFirst = summary.newestStart == 0;
            summary.ready += isReady;
            summary.oldestStart = isFirst ? target.startedAt : std::min(summary.oldestStart, target.startedAt);
            summary.newestStart = std::max(summary.newestStart, target.startedAt);
        }
    }
    return services;
}

// The version of the most targets; of equals, the one with the oldest target.
std::string version_gate::establishedVersion(version_summaries const& versions, std::string const& except)
{
    std::string best;
    version_summary bestSummary;
    for (auto const& [version, summary] : versions) {
        if (version == except || summary.ready == 0)
            continue;
        bool const isBetter = best.empty() || summary.ready > bestSummary.ready
            || (summary.ready == bestSummary.ready && summary.oldestStart < bestSummary.oldestStart);
        if (!isBetter)
            continue;
        best = version;
        bestSummary = summary;
    }
    return best;
}

std::map<std::string, version_access> version_gate::rulesWithoutOrder(service_state const& state,
    version_summaries const& versions, std::string const& except, std::optional<time_point> lastListed, time_point now)
{
    auto const isReleased = [&](std::string const& version) {
        auto const firstSeen = state.firstSeen.at(version);
        return lastListed ? now - firstSeen >= holdTime && *lastListed >= firstSeen
                          : now - firstSeen >= holdTimeOfOthers;
    };
    // A daemon that has just started has seen no version for long: it takes the established one for released.
    bool const isAnyReleased = std::any_of(versions.begin(), versions.end(),
        [&](auto const& entry) { return entry.first != except && entry.second.ready > 0 && isReleased(entry.first); });
    auto const established = isAnyReleased ? std::string() : establishedVersion(versions, except);
    std::map<std::string, version_access> rules;
    for (auto const& [version, summary] : versions) {
        if (version != except && version != established && !isReleased(version))
            rules[version] = version_access::Held;
    }
    return rules;
}

std::map<std::string, version_access> version_gate::rulesOf(service_state& state, version_summaries const& versions,
    rollout const* known, std::optional<time_point> lastListed, time_point now)
{
    if (!known)
        return rulesWithoutOrder(state, versions, {}, lastListed, now);
    auto const& target = known->targetVersion;
    auto const ofTarget = versions.find(target);
    bool const hasTarget = ofTarget != versions.end() && ofTarget->second.ready > 0;
    bool const hasOthers = std::any_of(versions.begin(), versions.end(),
        [&](auto const& entry) { return entry.first != target && entry.second.ready > 0; });
    if (hasOthers)
        state.othersSeen = now;
    switch (known->state) {
    case rollout_state::Running: {
        auto rules = rulesWithoutOrder(state, versions, target, lastListed, now);
        if (hasTarget && now - state.othersSeen < timeWithoutOthers)
            rules[target] = version_access::Canary;
        return rules;
    }
    case rollout_state::RolledBack: {
        auto rules = rulesWithoutOrder(state, versions, target, lastListed, now);
        rules[target] = version_access::Held;
        return rules;
    }
    case rollout_state::Switching:
    case rollout_state::Done:
        break;
    }
    std::map<std::string, version_access> rules;
    if (!hasTarget)
        return rules;
    for (auto const& [version, summary] : versions) {
        // Versions that start after the rollout's own are not those that it replaced.
        bool const isNewer
            = known->state == rollout_state::Done && summary.oldestStart > versions.at(target).newestStart;
        if (version != target && !isNewer)
            rules[version] = version_access::Replaced;
    }
    if (known->state == rollout_state::Done) {
        rules.merge(rulesWithoutOrder(state, versions, {}, lastListed, now));
        rules.erase(target);
    }
    return rules;
}

bool version_gate::observe(membership_table const& membership, rollout_state_table const& rollouts,
    std::optional<time_point> lastListed, time_point now)
{
    auto const services = summarize(membership);
    version_rules rules;
    m_dependsOnTime = false;
    for (auto const& [service, versions] : services) {
        auto& state = m_services.try_emplace(service, service_state { {}, now }).first->second;
        // A version whose targets are away for a moment is not new when they are back.
        if (state.firstSeen.size() >= maximumVersions)
            std::erase_if(
                state.firstSeen, [&present = versions](auto const& entry) { return !present.contains(entry.first); });
        for (auto const& [version, summary] : versions)
            state.firstSeen.try_emplace(version, now);
        m_dependsOnTime |= versions.size() > 1 || rollouts.find(service);
        auto of = rulesOf(state, versions, rollouts.find(service), lastListed, now);
        if (!of.empty())
            rules[service] = std::move(of);
    }
    std::erase_if(m_services, [&](auto const& entry) { return !services.contains(entry.first); });
    // A version that was rolled back must not be called while its targets are not in the table, either.
    for (auto const& [service, known] : rollouts.rollouts()) {
        if (known.state == rollout_state::RolledBack)
            rules[service][known.targetVersion] = version_access::Held;
    }
    if (rules == m_rules)
        return false;
    m_rules = std::move(rules);
    return true;
}

} // namespace merlinpier
