#include "explain_report.h"

#include "caller_answer.h"

#include <LibCalls/call_explanation.h>
#include <LibWire/state_names.h>
#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

namespace merlinpier {

namespace {

char const* verdictName(admission_decision::kind verdict)
{
    switch (verdict) {
    case admission_decision::kind::Run:
        return "run";
    case admission_decision::kind::Wait:
        return "hold";
    case admission_decision::kind::RefuseOverloaded:
        return "refuse_overloaded";
    case admission_decision::kind::RefuseLimit:
        return "refuse_limit";
    case admission_decision::kind::RefuseDeadline:
        return "refuse_deadline";
    }
    return "";
}

char const* standingName(service_standing standing)
{
    switch (standing) {
    case service_standing::InTime:
        return "in_time";
    case service_standing::Late:
        return "late";
    case service_standing::Unservable:
        return "unservable";
    }
    return "";
}

nlohmann::json candidateJson(target_outlook const& seen)
{
    nlohmann::json candidate { { "target", seen.target.id }, { "vm", seen.target.vm }, { "zone", seen.target.zone },
        { "slots", seen.target.slots }, { "ejected", seen.isEjected },
        { "expected_to_refuse", seen.isExpectedToRefuse }, { "outstanding", seen.outstanding },
        { "expected_finish_ms", toMilliseconds(seen.expectedFinish) }, { "cost", seen.cost },
        { "load_permille", nullptr }, { "load_age_ms", nullptr } };
    if (seen.loadPermille)
        candidate["load_permille"] = *seen.loadPermille;
    if (seen.loadReportAge)
        candidate["load_age_ms"] = toMilliseconds(*seen.loadReportAge);
    return candidate;
}

nlohmann::json routeJson(route const& matched)
{
    auto const& policy = matched.policy;
    return { { "name", policy.name }, { "host", matched.host }, { "prefix", matched.pathPrefix },
        { "class", className(policy.callClass) }, { "priority", policy.priority },
        { "idempotent", policy.isIdempotent }, { "bulk", policy.isBulk },
        { "objective_ms", policy.latencyObjective.count() }, { "timeout_ms", policy.timeout.count() },
        { "maximum_attempts", policy.maximumAttempts } };
}

// What the queues of this VM's targets of the service would decide about the call.
nlohmann::json admissionJson(daemon& owner, caller_request const& request, call_explanation const& explanation)
{
    nlohmann::json admissions = nlohmann::json::array();
    auto const now = currentTime();
    admission_request wanted;
    // No call has this id, so that the outlook is that of a call of its own.
    wanted.id = "explain";
    wanted.callClass = explanation.policy->callClass;
    wanted.deadline = now + explanation.deadline;
    wanted.kind = explanation.policy->name;
    wanted.priority = explanation.policy->priority;
    if (explanation.policy->latencyObjective > milliseconds(0))
        wanted.objective = now + explanation.objective;
    wanted.tenant = request.tenant;
    wanted.tenantPriority = request.tenantPriority;
    auto const loads = owner.targets().loads();
    for (auto const& record : owner.targets().records()) {
        auto const outlook = owner.targets().outlook(record.id, wanted);
        if (record.service != request.service || !outlook)
            continue;
        admissions.push_back({ { "target", record.id }, { "verdict", verdictName(outlook->decision.verdict) },
            { "standing", standingName(outlook->standing) }, { "wait_ms", toMilliseconds(outlook->wait) },
            { "calls_ahead", outlook->callsAhead }, { "retry_after_ms", outlook->decision.retryAfter.count() },
            { "order", orderName(loads.at(record.id).order) } });
    }
    return admissions;
}

nlohmann::json serviceJson(
    daemon& owner, caller_request const& request, std::uint32_t weight, std::vector<std::string>& notKnown)
{
    auto const explanation = owner.calls().explain(request);
    nlohmann::json service { { "service", request.service }, { "weight", weight },
        { "deadline_ms", toMilliseconds(explanation.deadline) },
        { "objective_ms", toMilliseconds(explanation.objective) }, { "candidates", nlohmann::json::array() },
        { "choice", nullptr }, { "refusal", nullptr }, { "admission", nlohmann::json::array() } };
    for (auto const& candidate : explanation.candidates)
        service["candidates"].push_back(candidateJson(candidate));
    if (auto const& refusal = explanation.refusal)
        service["refusal"] = { { "reason", reasonName(refusal->reason) }, { "retry_after_ms", refusal->retryAfterMs },
            { "message", refusal->message } };
    if (explanation.policy)
        service["admission"] = admissionJson(owner, request, explanation);
    if (auto const& choice = explanation.choice) {
        service["choice"] = { { "target", choice->id }, { "vm", choice->vm }, { "zone", choice->zone },
            { "reason", explanation.rule } };
        if (choice->vm != owner.settings().vm)
            notKnown.push_back("whether " + choice->id + " would run, hold or refuse it: ask the daemon of "
                + choice->vm + ", which has its queue");
    }
    return service;
}

result<caller_request> readRequest(http_request const& asked)
{
    caller_request request;
    request.id = "explain";
    request.path = asked.argument("path").value_or("");
    request.method = asked.argument("method").value_or("GET");
    request.service = asked.argument("service").value_or("");
    request.tenant = asked.argument("tenant").value_or("");
    bool const namesHost = asked.argument("host").has_value();
    if (request.path.empty() || namesHost == !request.service.empty())
        return error { error_kind::BadInput, "a path and either a host or a service are needed",
            "ask as /explain?host=H&path=P or /explain?service=S&path=P" };
    if (auto const deadline = asked.argument("deadline")) {
        std::int64_t value = 0;
        if (!absl::SimpleAtoi(*deadline, &value) || value < 0)
            return error { error_kind::BadInput, "\"" + *deadline + "\" is no number of milliseconds",
                "give the deadline as a whole number" };
        request.remaining = milliseconds(value);
    }
    return request;
}

} // namespace

result<std::string> explainReport(daemon& owner, http_request const& asked)
{
    auto request = TRY(readRequest(asked));
    auto const snapshot = owner.calls().snapshot();
    if (!snapshot)
        return error { error_kind::Unavailable, "this daemon has no configuration yet",
            "ask again, or another daemon" };
    std::vector<std::string> notKnown;
    nlohmann::json report { { "vm", owner.settings().vm }, { "zone", owner.settings().zone },
        { "version", snapshot->version() }, { "method", request.method }, { "path", request.path },
        { "tenant", request.tenant }, { "route", nullptr }, { "services", nlohmann::json::array() } };
    if (auto const host = asked.argument("host")) {
        auto const* matched = snapshot->routes().match(*host, request.path);
        if (!matched)
            return error { error_kind::NotFound, "no route for " + *host + request.path,
                "see the routes of the configuration in force" };
        report["route"] = routeJson(*matched);
        request.policy = matched->policy;
        for (auto const& forwarded : matched->services) {
            request.service = forwarded.service;
            report["services"].push_back(serviceJson(owner, request, forwarded.weight, notKnown));
        }
        if (matched->services.size() > 1)
            notKnown.emplace_back("which service gets the next request: they take turns by weight");
    } else {
        report["services"].push_back(serviceJson(owner, request, 1, notKnown));
    }
    notKnown.emplace_back("what other daemons have sent since the load reports");
    report["not_known_here"] = notKnown;
    // Arguments may hold bytes that are not UTF-8.
    return report.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace merlinpier
