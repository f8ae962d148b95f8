#include <LibOperator/text_report.h>

#include <LibConfiguration/service_configuration.h>
#include <LibCore/json_object_reader.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <nlohmann/json.hpp>

namespace merlinpier {

namespace {

constexpr std::size_t maximumAnswerBytes = 64 * 1024 * 1024;
constexpr int indentation = 4;

// Applies a function to the parsed body. The JSON library throws if a key is missing or has another type, which means
// that the answer is not from a daemon of this version.
result<std::string> describe(std::string_view body, std::function<std::string(nlohmann::json const&)> const& format)
{
    auto const value = TRY(parseStrictJson(body, maximumAnswerBytes, "the answer"));
    try {
        return format(value);
    } catch (nlohmann::json::exception const&) {
        return error { error_kind::Corrupt,
            "the daemon's answer lacks a field that this command shows, or has one of another type",
            "use a command line program of the same version as the daemon, or --json to print the answer unchanged" };
    }
}

std::string numberText(nlohmann::json const& value) { return std::to_string(value.get<std::uint64_t>()); }

std::string padded(std::string text, std::size_t width)
{
    text.resize(std::max(text.size(), width), ' ');
    return text + "  ";
}

std::string joined(std::vector<std::string> const& names)
{
    std::string text;
    for (auto const& name : names)
        text += (text.empty() ? "" : ", ") + name;
    return text.empty() ? "none" : text;
}

std::string joined(nlohmann::json const& names) { return joined(names.get<std::vector<std::string>>()); }

std::string dump(nlohmann::json const& value)
{
    return value.dump(indentation, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

std::string entryPointLine(nlohmann::json const& entryPoint)
{
    return "    "
        + padded(entryPoint.at("method").get<std::string>() + " " + entryPoint.at("path").get<std::string>(), 36)
        + entryPoint.at("class").get<std::string>() + ", "
        + (entryPoint.at("idempotent").get<bool>() ? "idempotent" : "not idempotent") + ", deadline "
        + numberText(entryPoint.at("deadline_ms")) + " ms\n";
}

std::string generatedText(nlohmann::json const& generated)
{
    auto const& answers = generated.at("answers");
    std::string text = "service " + generated.at("service").get<std::string>() + ", revision "
        + numberText(generated.at("revision")) + ", owner " + answers.at("owner").get<std::string>() + "\n";
    text += "  depends on: " + joined(answers.at("dependencies")) + "\n";
    text += "  callers allowed: " + joined(answers.at("allowed_callers")) + "\n";
    text += "  entry points:\n";
    for (auto const& entryPoint : answers.at("entry_points"))
        text += entryPointLine(entryPoint);
    text += "  licences: " + joined(answers.at("licences")) + "\n";
    text += "  slots per copy: " + numberText(answers.at("slots_per_copy")) + ", drain time "
        + numberText(answers.at("drain_time_ms")) + " ms\n";
    text += "  generated: queue of " + numberText(generated.at("queue_limit")) + ", retry budget "
        + numberText(generated.at("retry_budget_permille")) + " of 1000 calls, slow start "
        + numberText(generated.at("slow_start_ms")) + " ms, answers kept for "
        + numberText(generated.at("answer_retention_ms")) + " ms\n";
    return text;
}

std::string servicesText(nlohmann::json const& value)
{
    std::string text = "version " + numberText(value.at("version")) + "\n";
    for (auto const& service : value.at("services")) {
        text += "  " + padded(service.at("service").get<std::string>(), 20) + "revision "
            + padded(numberText(service.at("revision")), 4) + service.at("owner").get<std::string>() + "\n";
    }
    return text;
}

std::string historyText(nlohmann::json const& value)
{
    std::string text = "version " + numberText(value.at("version")) + "\n";
    auto const& recent = value.at("recent");
    for (auto accepted = recent.rbegin(); accepted != recent.rend(); ++accepted) {
        text += "  version " + padded(numberText(accepted->at("version")), 4)
            + padded(accepted->at("service").get<std::string>(), 20) + "revision "
            + padded(numberText(accepted->at("revision")), 4) + padded(accepted->at("owner").get<std::string>(), 24)
            + "id " + accepted->at("id").get<std::string>() + "\n";
    }
    return text;
}

std::string crashingRequestsText(nlohmann::json const& value)
{
    auto const& requests = value.at("requests");
    if (requests.empty())
        return "no request is suspected of crashing targets\n";
    std::string text;
    for (auto const& request : requests) {
        auto const blockedMs = request.at("blocked_ms").get<std::int64_t>();
        text += request.at("request").get<std::string>() + " " + request.at("standing").get<std::string>() + ": "
            + numberText(request.at("crashes")) + " crashes, " + numberText(request.at("tested_crashes"))
            + " of them in a trial" + (blockedMs > 0 ? "; blocked for " + std::to_string(blockedMs) + " ms" : "")
            + "\n";
    }
    return text;
}

std::string zoneLine(zone_status const& zone)
{
    return "  zone " + padded(zone.zone, 16) + std::to_string(zone.members) + " live daemons, all at version "
        + std::to_string(zone.lowestApplied) + " or above" + (zone.isReachable ? "" : "; unreachable") + "\n";
}

std::string decimalText(double value)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.1f", value);
    return text;
}

std::string tenantLimitText(nlohmann::json const& tenant)
{
    auto const rate = tenant.at("rate").get<double>();
    if (rate == 0)
        return "no limit";
    return "limit " + decimalText(rate) + " a second and " + decimalText(tenant.at("burst").get<double>()) + " at once";
}

std::string tenantDemandText(nlohmann::json const& tenant)
{
    auto const& fleet = tenant.at("fleet_demand");
    return decimalText(tenant.at("own_demand").get<double>()) + " a second here, "
        + (fleet.is_null() ? "an unknown number" : decimalText(fleet.get<double>())) + " at all daemons";
}

std::string tenantsText(nlohmann::json const& value)
{
    std::string text;
    for (auto const& tenant : value.at("tenants")) {
        text += padded(tenant.at("name").get<std::string>(), 20) + tenantLimitText(tenant) + "; "
            + tenantDemandText(tenant) + "; " + numberText(tenant.at("limited")) + " refused here\n";
    }
    return text.empty() ? "the configuration has no tenants\n" : text;
}

std::string tenantText(nlohmann::json const& tenant)
{
    auto const& priority = tenant.at("priority");
    std::string text = tenant.at("name").get<std::string>() + "\n  priority   "
        + (priority.is_null() ? "that of the route" : numberText(priority)) + "\n  quota      "
        + tenantLimitText(tenant) + "\n  demand     " + tenantDemandText(tenant) + "\n  allowed    "
        + numberText(tenant.at("allowed")) + " here\n  refused    " + numberText(tenant.at("limited"))
        + " here for the limit\n";
    if (tenant.contains("share")) {
        text += "  share      " + decimalText(tenant.at("share").get<double>() * 100)
            + " % of the limit is this daemon's; it has " + decimalText(tenant.at("tokens").get<double>())
            + " requests left at once\n";
    }
    return text;
}

// Counts the live daemons that have applied at least the version.
std::size_t countLive(fleet_status const& status, std::uint64_t version)
{
    return std::count_if(status.members.begin(), status.members.end(),
        [&](member_status const& member) { return member.state == "alive" && member.appliedVersion >= version; });
}

std::string unreachableZones(fleet_status const& status)
{
    std::vector<std::string> zones;
    for (auto const& zone : status.zones) {
        if (!zone.isReachable)
            zones.push_back(zone.zone);
    }
    return zones.empty() ? "" : joined(zones);
}

std::string versionText(nlohmann::json const& rollout, char const* version)
{
    auto const totals = rollout.find(version);
    if (totals == rollout.end())
        return {};
    return std::string("  ") + version + ": " + std::to_string(totals->at("runs").get<std::uint64_t>()) + " runs, "
        + std::to_string(totals->at("failures").get<std::uint64_t>()) + " failed, mean "
        + std::to_string(static_cast<std::int64_t>(totals->at("mean_ms").get<double>())) + " ms\n";
}

std::string rolloutsText(nlohmann::json const& value)
{
    if (!value.at("enabled").get<bool>())
        return "rollouts are not enabled in this deployment\n";
    std::string text;
    for (auto const& rollout : value.at("rollouts")) {
        text += rollout.at("service").get<std::string>() + " to " + rollout.at("target_version").get<std::string>()
            + ": " + rollout.at("state").get<std::string>() + ", "
            + std::to_string(rollout.at("age_ms").get<std::int64_t>()) + " of "
            + std::to_string(rollout.at("duration_ms").get<std::int64_t>()) + " ms";
        if (rollout.contains("fault"))
            text += ", " + rollout.at("fault").get<std::string>();
        text += "\n" + versionText(rollout, "new") + versionText(rollout, "old");
    }
    for (auto const& [service, versions] : value.at("versions").items()) {
        for (auto const& [version, access] : versions.items())
            text += service + " " + version + ": " + access.get<std::string>() + "\n";
    }
    return text.empty() ? "no rollout is known\n" : text;
}

} // namespace

result<std::string> describeGenerated(std::string_view body) { return describe(body, generatedText); }

result<std::string> describeServices(std::string_view body) { return describe(body, servicesText); }

result<std::string> describeService(std::string_view body)
{
    return describe(body, [](nlohmann::json const& value) { return generatedText(value.at("generated")); });
}

result<std::string> answersOfService(std::string_view body)
{
    return describe(body, [](nlohmann::json const& value) { return dump(value.at("answers")); });
}

result<std::string> describeHistory(std::string_view body) { return describe(body, historyText); }

result<std::string> describeCrashingRequests(std::string_view body) { return describe(body, crashingRequestsText); }

result<std::string> describeRollouts(std::string_view body) { return describe(body, rolloutsText); }

namespace {

std::string millisecondsText(nlohmann::json const& value)
{
    return value.is_null() ? "-" : std::to_string(value.get<std::int64_t>()) + " ms";
}

std::string candidateLine(nlohmann::json const& candidate)
{
    std::string notes;
    if (candidate.at("ejected").get<bool>())
        notes += ", ejected after failures";
    if (candidate.at("expected_to_refuse").get<bool>())
        notes += ", lately refused such calls";
    auto const& load = candidate.at("load_permille");
    return "    " + padded(candidate.at("target").get<std::string>(), 24) + "zone "
        + candidate.at("zone").get<std::string>() + ", expected end "
        + millisecondsText(candidate.at("expected_finish_ms")) + ", load "
        + (load.is_null() ? "not known"
                          : numberText(load) + " permille, " + millisecondsText(candidate.at("load_age_ms")) + " old")
        + ", " + numberText(candidate.at("outstanding")) + " in flight from here" + notes + "\n";
}

std::string admissionLine(nlohmann::json const& admission)
{
    auto const verdict = admission.at("verdict").get<std::string>();
    std::string text = "    at " + admission.at("target").get<std::string>() + ": " + verdict;
    if (verdict == "hold")
        text += " for about " + millisecondsText(admission.at("wait_ms")) + ", "
            + numberText(admission.at("calls_ahead")) + " calls ahead";
    if (verdict.starts_with("refuse"))
        text += ", retry after " + millisecondsText(admission.at("retry_after_ms"));
    return text + " (" + admission.at("standing").get<std::string>() + ", order by "
        + admission.at("order").get<std::string>() + ")\n";
}

std::string serviceExplanation(nlohmann::json const& service)
{
    std::string text = "service " + service.at("service").get<std::string>() + ", weight "
        + numberText(service.at("weight")) + ", deadline " + millisecondsText(service.at("deadline_ms"))
        + ", objective " + millisecondsText(service.at("objective_ms")) + "\n";
    for (auto const& candidate : service.at("candidates"))
        text += candidateLine(candidate);
    if (auto const& choice = service.at("choice"); !choice.is_null())
        text += "  would go to " + choice.at("target").get<std::string>() + " on " + choice.at("vm").get<std::string>()
            + ": " + choice.at("reason").get<std::string>() + "\n";
    if (auto const& refusal = service.at("refusal"); !refusal.is_null())
        text += "  would be refused: " + refusal.at("reason").get<std::string>() + ", retry after "
            + millisecondsText(refusal.at("retry_after_ms")) + "; " + refusal.at("message").get<std::string>() + "\n";
    for (auto const& admission : service.at("admission"))
        text += admissionLine(admission);
    return text;
}

} // namespace

result<std::string> describeExplanation(std::string_view body)
{
    return describe(body, [](nlohmann::json const& explanation) {
        std::string text = "daemon of " + explanation.at("vm").get<std::string>() + ", configuration version "
            + numberText(explanation.at("version")) + "\n";
        if (auto const& route = explanation.at("route"); !route.is_null())
            text += "route " + route.at("name").get<std::string>() + ": " + route.at("host").get<std::string>()
                + route.at("prefix").get<std::string>() + ", priority " + numberText(route.at("priority")) + ", "
                + (route.at("idempotent").get<bool>() ? "idempotent" : "not idempotent") + "\n";
        for (auto const& service : explanation.at("services"))
            text += serviceExplanation(service);
        for (auto const& unknown : explanation.at("not_known_here"))
            text += "not known here: " + unknown.get<std::string>() + "\n";
        return text;
    });
}

result<std::string> describeTenants(std::string_view body) { return describe(body, tenantsText); }

result<std::string> describeTenant(std::string_view body) { return describe(body, tenantText); }

result<std::string> indented(std::string_view body) { return describe(body, dump); }

std::string describeStatus(fleet_status const& status)
{
    std::string text = "version " + std::to_string(status.requestedVersion) + (status.isInForce ? " is" : " is not")
        + " in force; this daemon applies " + std::to_string(status.applied) + ", the highest known is "
        + std::to_string(status.version) + "\n";
    for (auto const& zone : status.zones)
        text += zoneLine(zone);
    for (auto const& member : status.members) {
        if (member.refusedVersion > 0) {
            text += "  " + member.vm + " refused version " + std::to_string(member.refusedVersion) + ": "
                + member.refusedReason + "\n";
        }
    }
    if (!status.behind.empty())
        text += "  behind: " + joined(status.behind) + "\n";
    if (!status.silent.empty())
        text += "  silent: " + joined(status.silent) + "\n";
    for (auto const& target : status.limited)
        text += "  limited: " + target + "\n";
    if (!status.isPlatformReachable)
        text += "  the platform has not answered for " + std::to_string(status.platformSilentMs) + " ms\n";
    return text;
}

std::string describeProgress(fleet_status const& status)
{
    std::string text = "version " + std::to_string(status.requestedVersion) + ": applied by "
        + std::to_string(countLive(status, status.requestedVersion)) + " of " + std::to_string(countLive(status, 0))
        + " live daemons";
    if (!status.behind.empty())
        text += "; behind: " + joined(status.behind);
    if (!status.silent.empty())
        text += "; silent: " + joined(status.silent);
    auto const unreachable = unreachableZones(status);
    if (!unreachable.empty())
        text += "; unreachable zones: " + unreachable;
    return text;
}

} // namespace merlinpier
