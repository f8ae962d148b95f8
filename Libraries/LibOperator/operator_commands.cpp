#include <LibOperator/operator_commands.h>

#include <LibConfiguration/retry_back_off.h>
#include <LibConfiguration/service_configuration.h>
#include <LibConfiguration/submission_json.h>
#include <LibOperator/text_report.h>

#include <algorithm>
#include <cstdio>

namespace merlinpier {

namespace {

constexpr milliseconds readTimeout { 5000 };
// Longer than a daemon's own time limit for a submission, so that its answer arrives before this timeout.
constexpr milliseconds submissionTimeout { 15000 };
constexpr milliseconds pollInterval { 200 };
constexpr milliseconds firstRetryBound { 200 };
constexpr milliseconds longestRetryBound { 2000 };

std::string generateIdentifier(generator& source)
{
    char text[33];
    auto const high = static_cast<unsigned long long>(source());
    auto const low = static_cast<unsigned long long>(source());
    std::snprintf(text, sizeof(text), "%016llx%016llx", high, low);
    return text;
}

// Encodes text as a single path segment or query value. Valid service and VM names are returned unchanged.
std::string percentEncoded(std::string const& text)
{
    std::string encoded;
    for (char const letter : text) {
        bool const isLiteral = (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z')
            || (letter >= '0' && letter <= '9') || letter == '-' || letter == '_' || letter == '.';
        if (isLiteral) {
            encoded += letter;
            continue;
        }
        char code[4];
        std::snprintf(code, sizeof(code), "%%%02X", static_cast<unsigned>(static_cast<unsigned char>(letter)));
        encoded += code;
    }
    return encoded;
}

} // namespace

operator_commands::operator_commands(daemon_client& client, operator_clock& clock, generator& source,
    std::ostream& output, std::ostream& errors, output_format format)
    : m_client(client)
    , m_clock(clock)
    , m_generator(source)
    , m_output(output)
    , m_errors(errors)
    , m_format(format)
{
}

exit_code operator_commands::fail(error const& failure)
{
    if (m_format == output_format::Json)
        m_output << serializeError(failure) << "\n";
    else
        m_errors << failure.text() << "\n";
    return exitCodeFor(failure.kind);
}

exit_code operator_commands::print(result<std::string> const& body, result<std::string> (*describe)(std::string_view))
{
    if (body.isError())
        return fail(body.failure());
    if (m_format == output_format::Json) {
        m_output << body.value() << "\n";
        return exit_code::Success;
    }
    auto const text = describe(body.value());
    if (text.isError())
        return fail(text.failure());
    m_output << text.value();
    return exit_code::Success;
}

exit_code operator_commands::checkOffline(std::string const& answersJson)
{
    auto const answers = parseQuestionnaire(answersJson);
    if (answers.isError())
        return fail(answers.failure());
    if (m_format == output_format::Text)
        m_errors << "the answers are valid on their own; use --daemon to check them against the other services\n";
    return print(serializeServiceConfiguration(generateServiceConfiguration(answers.value(), 1)), describeGenerated);
}

exit_code operator_commands::check(std::string const& answersJson)
{
    auto const answers = parseQuestionnaire(answersJson);
    if (answers.isError())
        return fail(answers.failure());
    return print(m_client.post("/config/check", canonicalJson(answers.value()), readTimeout), describeGenerated);
}

exit_code operator_commands::submit(std::string const& answersJson, change_options const& options)
{
    auto answers = parseQuestionnaire(answersJson);
    if (answers.isError())
        return fail(answers.failure());
    submission request;
    request.service = answers.value().service;
    request.answers = answers.releaseValue();
    return change(std::move(request), options);
}

exit_code operator_commands::remove(std::string const& service, change_options const& options)
{
    submission request;
    request.kind = submission_kind::Remove;
    request.service = service;
    return change(std::move(request), options);
}

exit_code operator_commands::change(submission request, change_options const& options)
{
    request.id = options.id.empty() ? generateIdentifier(m_generator) : options.id;
    request.baseRevision = options.baseRevision;
    auto const body = submitUntilOutcomeKnown(request, options.timeout);
    if (body.isError())
        return fail(body.failure());
    auto const accepted = parseAccepted(body.value());
    if (accepted.isError())
        return fail({ error_kind::Corrupt, accepted.failure().message, accepted.failure().remedy });
    if (m_format == output_format::Json) {
        m_output << body.value() << "\n";
    } else {
        m_output << "accepted: " << request.service << " revision " << accepted.value().revision << " in version "
                 << accepted.value().version << " (id " << request.id << ")\n";
    }
    m_output.flush();
    if (!options.waitsUntilInForce)
        return exit_code::Success;
    return waitUntilInForce(accepted.value().version, options.timeout);
}

// Submissions are idempotent: a daemon recognizes the identifier of an accepted submission and returns the same answer.
result<std::string> operator_commands::submitUntilOutcomeKnown(submission const& request, milliseconds timeout)
{
    auto const deadline = m_clock.now() + timeout;
    retry_back_off backOff(firstRetryBound, longestRetryBound);
    bool mayHaveCommitted = false;
    while (true) {
        auto const remaining = std::chrono::duration_cast<milliseconds>(deadline - m_clock.now());
        auto body = m_client.post("/config/submissions", serializeSubmission(request),
            std::clamp(remaining, milliseconds(1), submissionTimeout));
        if (!body.isError())
            return body;
        bool const isUnknown = body.failure().kind == error_kind::OutcomeUnknown;
        mayHaveCommitted = mayHaveCommitted || isUnknown;
        // If an earlier attempt may have been accepted, an unavailable daemon leaves the outcome unknown.
        bool const isStillUnknown = exitCodeFor(body.failure().kind) == exit_code::Unavailable && mayHaveCommitted;
        if (!isUnknown && !isStillUnknown)
            return body;
        auto const delay = backOff.didFail(m_generator);
        if (m_clock.now() + delay >= deadline) {
            return error { error_kind::OutcomeUnknown,
                "submission " + request.id + " may or may not have been accepted: " + body.failure().message,
                "repeat the same command with --id " + request.id + ": it is accepted at most once" };
        }
        if (m_format == output_format::Text)
            m_errors << "outcome unknown; retrying with the same id " << request.id << "\n";
        m_clock.sleep(delay);
    }
}

exit_code operator_commands::showAll()
{
    return print(m_client.get("/config/services", readTimeout), describeServices);
}

exit_code operator_commands::show(std::string const& service)
{
    return print(m_client.get("/config/services/" + percentEncoded(service), readTimeout), describeService);
}

exit_code operator_commands::showAnswers(std::string const& service)
{
    auto const body = m_client.get("/config/services/" + percentEncoded(service), readTimeout);
    if (body.isError())
        return fail(body.failure());
    auto const answers = answersOfService(body.value());
    if (answers.isError())
        return fail(answers.failure());
    m_output << answers.value();
    return exit_code::Success;
}

exit_code operator_commands::history() { return print(m_client.get("/config/history", readTimeout), describeHistory); }

exit_code operator_commands::status()
{
    auto const describe = [](std::string_view body) -> result<std::string> {
        return describeStatus(TRY(parseFleetStatus(body)));
    };
    return print(m_client.get("/status", readTimeout), describe);
}

exit_code operator_commands::waitUntilInForce(std::uint64_t version, milliseconds timeout)
{
    std::string body;
    auto const status = pollUntilInForce(version, timeout, body);
    if (status.isError())
        return fail(status.failure());
    if (m_format == output_format::Json)
        m_output << body << "\n";
    else
        m_output << describeStatus(status.value());
    return status.value().isInForce ? exit_code::Success : exit_code::WaitTimedOut;
}

// Polls until the version is in force or the timeout is over. Returns the last status received, or the last error if
// none was received.
result<fleet_status> operator_commands::pollUntilInForce(std::uint64_t version, milliseconds timeout, std::string& body)
{
    auto const deadline = m_clock.now() + timeout;
    result<fleet_status> lastStatus = error { error_kind::Unavailable, "no daemon contacted", "raise --timeout" };
    std::string lastProgress;
    while (true) {
        auto const answer = m_client.get("/status?version=" + std::to_string(version), readTimeout);
        auto status = answer.isError() ? result<fleet_status>(answer.failure()) : parseFleetStatus(answer.value());
        if (!status.isError() || lastStatus.isError())
            lastStatus = status;
        if (!status.isError()) {
            body = answer.value();
            if (status.value().isInForce)
                return status;
        } else if (exitCodeFor(status.failure().kind) != exit_code::Unavailable) {
            return status;
        }
        auto const progress = status.isError() ? status.failure().message : describeProgress(status.value());
        if (progress != lastProgress && m_format == output_format::Text)
            m_errors << progress << std::endl;
        lastProgress = progress;
        if (m_clock.now() + pollInterval >= deadline)
            return lastStatus;
        m_clock.sleep(pollInterval);
    }
}

exit_code operator_commands::suspects()
{
    return print(m_client.get("/crashing-requests", readTimeout), describeCrashingRequests);
}

exit_code operator_commands::lift(std::string const& fingerprint)
{
    return print(
        m_client.remove("/crashing-requests/" + percentEncoded(fingerprint), readTimeout), describeCrashingRequests);
}

exit_code operator_commands::rollouts(std::string const& service)
{
    auto const query = service.empty() ? std::string() : "?service=" + percentEncoded(service);
    return print(m_client.get("/rollouts" + query, readTimeout), describeRollouts);
}

exit_code operator_commands::abortRollout(std::string const& service)
{
    return print(m_client.post("/rollouts/" + percentEncoded(service) + "/abort", "", readTimeout), describeRollouts);
}

exit_code operator_commands::explain(explained_request const& request)
{
    std::string query = "/explain?path=" + percentEncoded(request.path) + "&method=" + percentEncoded(request.method);
    for (auto const& [name, value] :
        { std::pair("&host=", request.host), { "&service=", request.service }, { "&tenant=", request.tenant } }) {
        if (!value.empty())
            query += name + percentEncoded(value);
    }
    if (request.deadline)
        query += "&deadline=" + std::to_string(request.deadline->count());
    return print(m_client.get(query, readTimeout), describeExplanation);
}

exit_code operator_commands::tenants() { return print(m_client.get("/tenants", readTimeout), describeTenants); }

exit_code operator_commands::tenant(std::string const& name)
{
    return print(m_client.get("/tenants/" + percentEncoded(name), readTimeout), describeTenant);
}

exit_code operator_commands::dump(std::string const& vm)
{
    return print(m_client.get("/state?vm=" + percentEncoded(vm), readTimeout), indented);
}

} // namespace merlinpier
