#include <Utilities/Load/load_report.h>

#include <LibWire/state_names.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace merlinpier {

namespace {

using nlohmann::ordered_json;

double rounded(double milliseconds) { return std::round(milliseconds * 1000) / 1000; }

ordered_json summaryJson(outcome_summary const& summary)
{
    return { { "calls", summary.calls }, { "answered", summary.answered }, { "not_run", summary.notRun },
        { "unknown", summary.unknown }, { "failed", summary.failed }, { "cut", summary.cut },
        { "wrong_answer", summary.wrongAnswer }, { "retries", summary.retries },
        { "p50_ms", rounded(summary.latency.p50Ms) }, { "p90_ms", rounded(summary.latency.p90Ms) },
        { "p99_ms", rounded(summary.latency.p99Ms) }, { "p999_ms", rounded(summary.latency.p999Ms) },
        { "max_ms", rounded(summary.latency.maximumMs) } };
}

template <typename Predicate>
std::vector<call_record> selectCalls(std::vector<call_record> const& history, Predicate predicate)
{
    std::vector<call_record> selected;
    std::copy_if(history.begin(), history.end(), std::back_inserter(selected), predicate);
    return selected;
}

std::vector<call_record> callsOnRoute(std::vector<call_record> const& history, call_route route)
{
    return selectCalls(history, [route](call_record const& call) { return call.route == route; });
}

ordered_json classesJson(std::vector<call_record> const& history)
{
    auto classes = ordered_json::object();
    for (auto const callClass : { call_class::Interactive, call_class::Confirmation, call_class::Report }) {
        auto const calls
            = selectCalls(history, [callClass](call_record const& call) { return call.callClass == callClass; });
        if (!calls.empty())
            classes[className(callClass)] = summaryJson(summarizeOutcomes(calls));
    }
    return classes;
}

// One array a second of the run: calls, answered, not run, p99 in milliseconds.
ordered_json timelineJson(std::vector<call_record> const& history, double lengthSeconds)
{
    std::vector<std::vector<call_record>> bySecond(static_cast<std::size_t>(std::ceil(lengthSeconds)));
    for (auto const& call : history) {
        auto const second = static_cast<std::size_t>(std::chrono::floor<seconds>(call.startedAt).count());
        if (second < bySecond.size())
            bySecond[second].push_back(call);
    }
    auto timeline = ordered_json::array();
    for (auto const& calls : bySecond) {
        auto const summary = summarizeOutcomes(calls);
        timeline.push_back({ summary.calls, summary.answered, summary.notRun, rounded(summary.latency.p99Ms) });
    }
    return timeline;
}

void addComparison(ordered_json& document, outcome_summary const& throughDaemons, outcome_summary const& direct)
{
    document["direct"] = summaryJson(direct);
    if (throughDaemons.calls == 0)
        return;
    document["added_p50_ms"] = rounded(throughDaemons.latency.p50Ms - direct.latency.p50Ms);
    document["added_p99_ms"] = rounded(throughDaemons.latency.p99Ms - direct.latency.p99Ms);
}

void count(outcome_summary& summary, caller_outcome outcome)
{
    switch (outcome) {
    case caller_outcome::Answered:
        ++summary.answered;
        break;
    case caller_outcome::NotRun:
        ++summary.notRun;
        break;
    case caller_outcome::Unknown:
        ++summary.unknown;
        break;
    case caller_outcome::Failed:
        ++summary.failed;
        break;
    case caller_outcome::Cut:
        ++summary.cut;
        break;
    case caller_outcome::WrongAnswer:
        ++summary.wrongAnswer;
        break;
    }
}

} // namespace

outcome_summary summarizeOutcomes(std::vector<call_record> const& history)
{
    outcome_summary summary;
    std::vector<duration> latencies;
    for (auto const& call : history) {
        ++summary.calls;
        count(summary, call.outcome);
        summary.retries += call.attempts > 1 ? call.attempts - 1 : 0;
        if (call.outcome == caller_outcome::Answered)
            latencies.push_back(call.latency);
    }
    summary.latency = summarizeLatencies(std::move(latencies));
    return summary;
}

std::string reportJson(load_report const& report)
{
    auto const throughDaemons = callsOnRoute(report.history, call_route::ThroughDaemon);
    auto const direct = callsOnRoute(report.history, call_route::Direct);
    auto const summary = summarizeOutcomes(throughDaemons);
    auto document = summaryJson(summary);
    document["doubled"] = report.findings.doubled;
    document["false_not_run"] = report.findings.falseNotRun;
    document["answered_without_run"] = report.findings.answeredWithoutRun;
    document["examples"] = report.findings.examples;
    document["unread_ledgers"] = report.unreadLedgers;
    document["rate"] = report.rate;
    document["seconds"] = report.lengthSeconds;
    document["seed"] = report.seed;
    document["classes"] = classesJson(throughDaemons);
    document["timeline"] = timelineJson(throughDaemons, report.lengthSeconds);
    if (!direct.empty())
        addComparison(document, summary, summarizeOutcomes(direct));
    return document.dump();
}

std::string reportTable(load_report const& report)
{
    std::string table = absl::StrFormat("%-14s %8s %8s %8s %8s %8s %8s %8s %9s %9s %9s\n", "route", "calls", "answered",
        "not run", "unknown", "failed", "cut", "wrong", "p50 ms", "p99 ms", "max ms");
    for (auto const route : { call_route::ThroughDaemon, call_route::Direct }) {
        auto const calls = callsOnRoute(report.history, route);
        if (calls.empty())
            continue;
        auto const summary = summarizeOutcomes(calls);
        table += absl::StrFormat("%-14s %8d %8d %8d %8d %8d %8d %8d %9.3f %9.3f %9.3f\n",
            route == call_route::Direct ? "direct" : "through daemon", summary.calls, summary.answered, summary.notRun,
            summary.unknown, summary.failed, summary.cut, summary.wrongAnswer, summary.latency.p50Ms,
            summary.latency.p99Ms, summary.latency.maximumMs);
    }
    table += absl::StrFormat("doubled %d, falsely called not run %d, answered without run %d, ledgers not read %d\n",
        report.findings.doubled, report.findings.falseNotRun, report.findings.answeredWithoutRun,
        report.unreadLedgers.size());
    return table;
}

} // namespace merlinpier
