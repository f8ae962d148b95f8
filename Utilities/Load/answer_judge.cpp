#include <Utilities/Load/answer_judge.h>

#include <LibCore/digest.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace merlinpier {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;
constexpr char const* outcomeHeader = "Merlinpier-Outcome";

bool hasText(json const& body, char const* key, std::string const& expected)
{
    return body.contains(key) && body[key].is_string() && body[key].get_ref<std::string const&>() == expected;
}

// Each link of a chain answers for itself and carries the answer of the next.
bool isAnswerTo(planned_call const& call, json const& body, std::string const& requestId)
{
    if (!body.is_object() || !hasText(body, "method", call.entry.method) || !hasText(body, "path", call.path)
        || !hasText(body, "request_id", requestId) || !hasText(body, "body_digest", contentDigest(call.body)))
        return false;
    if (!body.contains("next"))
        return true;
    auto const& next = body["next"];
    return next.is_object() && next.contains("answer") && isAnswerTo(call, next["answer"], requestId + ".n");
}

unsigned chainLength(json const& body)
{
    unsigned length = 1;
    for (json const* link = &body; link->contains("next"); link = &(*link)["next"]["answer"])
        ++length;
    return length;
}

unsigned expectedChainLength(planned_call const& call)
{
    for (auto const& field : call.headers) {
        if (field.name == "Call-Next")
            return 2 + static_cast<unsigned>(std::count(field.value.begin(), field.value.end(), ','));
    }
    return 1;
}

caller_outcome judgeWholeAnswer(planned_call const& call, http_response const& response)
{
    if (response.status != statusOk)
        return caller_outcome::Failed;
    auto const body = json::parse(response.body, nullptr, false);
    if (!isAnswerTo(call, body, call.requestId) || chainLength(body) != expectedChainLength(call))
        return caller_outcome::WrongAnswer;
    return caller_outcome::Answered;
}

} // namespace

caller_outcome judgeAnswer(planned_call const& call, result<http_response> const& outcome)
{
    if (outcome.isError())
        return outcome.failure().kind == error_kind::OutcomeUnknown ? caller_outcome::Cut : caller_outcome::Failed;
    auto const& response = outcome.value();
    if (call.route == call_route::Direct)
        return response.header("Merlinpier-Not-Run") == "true" ? caller_outcome::NotRun
                                                               : judgeWholeAnswer(call, response);
    auto const stated = response.header(outcomeHeader);
    if (stated == "answered")
        return judgeWholeAnswer(call, response);
    if (stated == "not-run")
        return caller_outcome::NotRun;
    if (stated == "unknown")
        return caller_outcome::Unknown;
    return caller_outcome::Failed;
}

} // namespace merlinpier
