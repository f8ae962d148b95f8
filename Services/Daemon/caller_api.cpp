#include "caller_api.h"

#include "caller_answer.h"

#include <LibCalls/attempt_identifier.h>
#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>

namespace merlinpier {

namespace {

constexpr std::string_view pathPrefix = "/call/";
constexpr std::int64_t longestDeadlineMs = 3'600'000;
constexpr std::int64_t deepestHops = 1000;
// Said to callers during the last part of a planned stop: other daemons take them at once.
constexpr int leavingRetryAfterMs = 100;

// Reads a header that holds a whole number; nothing if it is absent.
result<std::optional<std::int64_t>> numberHeader(
    http_request const& request, std::string_view name, std::int64_t maximum)
{
    auto const text = request.header(name);
    if (!text)
        return std::optional<std::int64_t> {};
    std::int64_t value = 0;
    if (!absl::SimpleAtoi(*text, &value) || value < 0 || value > maximum)
        return error { error_kind::BadInput,
            std::string(name) + " is not a whole number from 0 to " + std::to_string(maximum),
            "correct the header or leave it out" };
    return std::optional<std::int64_t> { value };
}

// Headers addressed to merlinpier are not passed on to the target; Request-Id and all others are.
bool isOwnHeader(std::string const& name)
{
    auto const lower = absl::AsciiStrToLower(name);
    return lower.starts_with("merlinpier-") || isHopByHop(name);
}

result<caller_request> readRequest(http_request request)
{
    caller_request call;
    auto const rest = request.pathWithQuery().substr(pathPrefix.size());
    auto const slash = rest.find('/');
    call.service = rest.substr(0, slash);
    call.path = slash == std::string::npos ? "/" : rest.substr(slash);
    if (call.service.empty())
        return error { error_kind::BadInput, "the path names no service", "use /call/{service}/{path}" };
    call.caller = request.header("Merlinpier-Caller").value_or("");
    call.idempotencyKey = request.header("Idempotency-Key").value_or("");
    call.method = request.method;
    if (auto const remaining = TRY(numberHeader(request, "Merlinpier-Deadline-Ms", longestDeadlineMs)))
        call.remaining = milliseconds(*remaining);
    call.hops = static_cast<std::uint32_t>(TRY(numberHeader(request, "Merlinpier-Hops", deepestHops)).value_or(0));
    for (auto& header : request.headers) {
        if (!isOwnHeader(header.name))
            call.headers.push_back({ std::move(header.name), std::move(header.value) });
    }
    call.body = std::move(request.body);
    return call;
}

// Whether the answers of the service let this caller call it. A service that is not known here refuses by itself.
bool isAllowed(daemon& owner, caller_request const& call)
{
    auto const applied = owner.configuration().applied();
    auto const* service = applied->service(call.service);
    if (!service)
        return true;
    auto const& allowed = service->answers.allowedCallers;
    auto const names = [&](std::string const& name) {
        return std::find(allowed.begin(), allowed.end(), name) != allowed.end();
    };
    return names("*") || (!call.caller.empty() && names(call.caller));
}

} // namespace

caller_api::caller_api(daemon& owner)
    : m_daemon(owner)
{
}

void caller_api::didReceiveRequest(http_request request, std::shared_ptr<http_responder> responder)
{
    if (m_daemon.refusesCallers()) {
        auto refusal = callerRefusal(503, "leaving", "this daemon is stopping", "send the request to another daemon");
        refusal.headers.push_back({ "Retry-After", "1" });
        refusal.headers.push_back({ "Merlinpier-Retry-After-Ms", std::to_string(leavingRetryAfterMs) });
        responder->respond(std::move(refusal));
        return;
    }
    auto read = readRequest(std::move(request));
    if (read.isError()) {
        responder->respond(callerRefusal(400, "bad_request", read.failure().message, read.failure().remedy));
        return;
    }
    auto call = read.releaseValue();
    if (!isAllowed(m_daemon, call)) {
        responder->respond(callerRefusal(403, "caller_not_allowed",
            "the answers of " + call.service + " do not let " + (call.caller.empty() ? "outsiders" : call.caller)
                + " call it",
            "have its owner add the caller to allowed_callers, or set Merlinpier-Caller to the calling service"));
        return;
    }
    if (call.idempotencyKey.empty())
        call.id = absl::StrFormat("%016x-%x", m_daemon.instance(), m_nextCall++);
    else
        call.id = keyedCallIdentifier(
            { call.service, call.caller, call.idempotencyKey, call.method, call.path, call.body });
    m_daemon.calls().start(std::move(call), responder, [responder](std::string const& id, final_outcome outcome) {
        responder->respond(callerAnswer(id, std::move(outcome)));
    });
}

} // namespace merlinpier
