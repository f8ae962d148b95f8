#include "rollout_report.h"

#include <LibCore/json_text.h>
#include <LibCore/time.h>
#include <nlohmann/json.hpp>

namespace merlinpier {

namespace {

char const* accessName(version_access access)
{
    switch (access) {
    case version_access::Stable:
        return "stable";
    case version_access::Canary:
        return "canary";
    case version_access::Replaced:
        return "replaced";
    case version_access::Held:
        return "held";
    }
    return "stable";
}

nlohmann::json totalsJson(rollout_evidence::version_totals const& totals)
{
    return { { "runs", totals.runs }, { "failures", totals.failures }, { "mean_ms", totals.meanMs() } };
}

nlohmann::json rolloutJson(rollout_controller const& controller, rollout const& known)
{
    auto const counted = controller.exposure()->countersOf(known.service);
    auto const age = toMilliseconds(currentTime() - known.orderedAt);
    nlohmann::json shown { { "service", known.service }, { "order", known.order },
        { "target_version", known.targetVersion }, { "state", stateName(known.state) }, { "age_ms", age },
        { "duration_ms", known.orderDuration.count() }, { "own_answered", counted.answered },
        { "own_sent_new", counted.sent } };
    if (auto const* evidence = controller.evidence(known.service)) {
        shown["new"] = totalsJson(evidence->newTotals());
        shown["old"] = totalsJson(evidence->oldTotals());
        shown["doubtful"] = evidence->isDoubtful();
    }
    if (auto const* finding = controller.finding(known.service)) {
        shown["fault"] = faultName(finding->fault);
        shown["fault_kind"] = finding->kind;
    }
    return shown;
}

} // namespace

std::string rolloutsJson(daemon& owner, std::string const& service)
{
    auto const& part = owner.rollouts();
    nlohmann::json rollouts = nlohmann::json::array();
    for (auto const& [name, known] : part.controller().rollouts().rollouts()) {
        if (service.empty() || service == name)
            rollouts.push_back(rolloutJson(part.controller(), known));
    }
    nlohmann::json versions = nlohmann::json::object();
    for (auto const& [name, rules] : part.rules()) {
        if (!service.empty() && service != name)
            continue;
        for (auto const& [version, access] : rules)
            versions[name][version] = accessName(access);
    }
    return writeJson({ { "enabled", part.isEnabled() }, { "rollouts", rollouts }, { "versions", versions } });
}

void setRolloutMetrics(daemon& owner)
{
    auto& figures = owner.figures();
    auto const& controller = owner.rollouts().controller();
    for (auto const& [service, known] : controller.rollouts().rollouts()) {
        auto const label = "{service=\"" + service + "\"";
        for (auto const state :
            { rollout_state::Running, rollout_state::Switching, rollout_state::Done, rollout_state::RolledBack })
            figures.setGauge(
                "merlinpier_rollout" + label + ",state=\"" + stateName(state) + "\"}", known.state == state ? 1 : 0);
        auto const counted = controller.exposure()->countersOf(service);
        figures.setGauge("merlinpier_rollout_own_answered" + label + "}", static_cast<double>(counted.answered));
        figures.setGauge("merlinpier_rollout_own_sent_new" + label + "}", static_cast<double>(counted.sent));
        auto const* evidence = controller.evidence(service);
        if (!evidence)
            continue;
        auto const setVersion = [&](char const* version, rollout_evidence::version_totals const& totals) {
            auto const of = label + ",version=\"" + version + "\"}";
            figures.setGauge("merlinpier_rollout_runs" + of, static_cast<double>(totals.runs));
            figures.setGauge("merlinpier_rollout_failures" + of, static_cast<double>(totals.failures));
            figures.setGauge("merlinpier_rollout_run_mean_ms" + of, totals.meanMs());
        };
        setVersion("new", evidence->newTotals());
        setVersion("old", evidence->oldTotals());
    }
}

} // namespace merlinpier
