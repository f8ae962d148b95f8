#include "caller_answer.h"

#include <LibCore/json_text.h>
#include <absl/strings/ascii.h>
#include <array>
#include <nlohmann/json.hpp>

namespace merlinpier {

namespace {

constexpr std::uint32_t millisecondsPerSecond = 1000;

struct refusal_text {
    int status;
    char const* name;
    char const* remedy;
};

refusal_text describe(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::Overloaded:
        return { 503, "overloaded", "come back after the time in Retry-After" };
    case refusal_reason::Draining:
        return { 503, "draining", "come back after the time in Retry-After; another copy takes over" };
    case refusal_reason::UnknownService:
        return { 404, "unknown_service", "check the service's name, or submit a questionnaire for it" };
    case refusal_reason::UnknownTarget:
        return { 503, "unknown_target", "come back after the time in Retry-After; routes are being renewed" };
    case refusal_reason::StaleGeneration:
        return { 503, "stale_generation", "send the request again" };
    case refusal_reason::OtherInstance:
        return { 503, "other_instance", "send the request again" };
    case refusal_reason::DeadlineTooShort:
        return { 503, "deadline_too_short", "allow more time, or come back after the time in Retry-After" };
    case refusal_reason::HopLimit:
        return { 400, "hop_limit", "break the chain of calls: it is deeper than eight" };
    case refusal_reason::Unlicensed:
        return { 503, "unlicensed", "add the copy's licence to the questionnaire" };
    case refusal_reason::TargetUnreachable:
        return { 503, "target_unreachable", "come back after the time in Retry-After" };
    case refusal_reason::Shed:
        return { 503, "shed", "come back after the time in Retry-After" };
    case refusal_reason::RequestLimit:
        return { 503, "limit", "come back after the time in Retry-After; the status names the targets with a limit" };
    case refusal_reason::CrashesTargets:
        return { 503, "crashes_targets",
            "do not repeat the request: targets crash when they run it; the block ends after the time in Retry-After" };
    case refusal_reason::AllotmentUsed:
        return { 429, "allotment_used", "come back after the time in Retry-After, or raise the tenant's allotment" };
    case refusal_reason::BodyTooLarge:
        return { 413, "body_too_large", "send the body in several requests" };
    }
    return { 503, "refused", "send the request again" };
}

std::string body(char const* outcome, std::string const& reason, std::string const& message, std::string const& remedy)
{
    return writeJson({ { "outcome", outcome }, { "reason", reason }, { "message", message }, { "remedy", remedy } });
}

http_response answered(call_answered outcome)
{
    http_response response;
    response.status = static_cast<int>(outcome.answer.status);
    for (auto& header : outcome.answer.headers) {
        if (!isHopByHop(header.name))
            response.headers.push_back({ std::move(header.name), std::move(header.value) });
    }
    response.body = outcome.answer.body.take();
    response.headers.push_back({ "Merlinpier-Target", outcome.target });
    response.headers.push_back({ "Merlinpier-Attempts", std::to_string(outcome.attempts) });
    response.headers.push_back({ "Merlinpier-Version", std::to_string(outcome.answer.version) });
    return response;
}

http_response notRun(call_not_run const& outcome)
{
    auto const text = describe(outcome.reason);
    auto response = jsonResponse(text.status, body("not-run", text.name, outcome.message, text.remedy));
    if (text.status == 503) {
        auto const wholeSeconds = (outcome.retryAfterMs + millisecondsPerSecond - 1) / millisecondsPerSecond;
        response.headers.push_back({ "Retry-After", std::to_string(wholeSeconds) });
        response.headers.push_back({ "Merlinpier-Retry-After-Ms", std::to_string(outcome.retryAfterMs) });
    }
    return response;
}

http_response unknown(call_outcome_unknown const& outcome)
{
    return jsonResponse(504,
        body("unknown", "outcome_unknown", outcome.message,
            "find out by other means whether the request took effect before sending it again"));
}

} // namespace

char const* outcomeName(final_outcome const& outcome)
{
    if (std::holds_alternative<call_answered>(outcome))
        return "answered";
    return std::holds_alternative<call_not_run>(outcome) ? "not-run" : "unknown";
}

char const* reasonName(refusal_reason reason) { return describe(reason).name; }

http_response callerAnswer(std::string const& callId, final_outcome outcome)
{
    char const* const outcomeText = outcomeName(outcome);
    http_response response;
    if (auto* whole = std::get_if<call_answered>(&outcome))
        response = answered(std::move(*whole));
    else if (auto const* refused = std::get_if<call_not_run>(&outcome))
        response = notRun(*refused);
    else
        response = unknown(std::get<call_outcome_unknown>(outcome));
    response.headers.push_back({ "Merlinpier-Outcome", outcomeText });
    response.headers.push_back({ "Merlinpier-Call-Id", callId });
    return response;
}

http_response callerRefusal(
    int status, std::string const& reason, std::string const& message, std::string const& remedy)
{
    auto response = jsonResponse(status, body("not-run", reason, message, remedy));
    response.headers.push_back({ "Merlinpier-Outcome", "not-run" });
    return response;
}

bool isHopByHop(std::string const& headerName)
{
    static constexpr std::array names { "connection", "content-length", "date", "expect", "host", "keep-alive",
        "transfer-encoding", "te", "trailer", "upgrade" };
    auto const lower = absl::AsciiStrToLower(headerName);
    return std::find(names.begin(), names.end(), lower) != names.end();
}

} // namespace merlinpier
