#include "operator_api.h"

#include "commit_runner.h"
#include "explain_report.h"
#include "rollout_report.h"
#include "state_dump.h"
#include "status_report.h"

#include <LibCalls/request_fingerprint.h>
#include <LibConfiguration/submission_json.h>
#include <LibCore/log.h>
#include <random>

namespace merlinpier {

namespace {

constexpr std::string_view servicesPath = "/config/services";
constexpr std::string_view crashingRequestsPath = "/crashing-requests";
constexpr std::string_view rolloutsPath = "/rollouts";
constexpr std::string_view abortSuffix = "/abort";
constexpr std::string_view tenantsPath = "/tenants";
constexpr milliseconds dumpTimeout { 3000 };

} // namespace

http_response errorResponse(error const& failure)
{
    return jsonResponse(httpStatus(failure.kind), serializeError(failure));
}

operator_api::operator_api(daemon& owner)
    : m_daemon(owner)
{
}

void operator_api::didReceiveRequest(http_request const& request, std::shared_ptr<http_responder> responder)
{
    auto const& path = request.path;
    if (path == "/health") {
        bool const isReady = m_daemon.isReady();
        responder->respond(jsonResponse(isReady ? 200 : 503, isReady ? "{\"ready\":true}" : "{\"ready\":false}"));
    } else if (path == "/metrics") {
        responder->respond({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, metricsText(m_daemon) });
    } else if (path == "/state") {
        stateOf(request.argument("vm").value_or(""), responder);
    } else if (path == "/status") {
        status_report::answer(m_daemon, request.argument("version").value_or(""), std::move(responder));
    } else if (path == "/status/zone") {
        responder->respond(jsonResponse(200, status_report::ownView(m_daemon)));
    } else if (path == "/config/submissions" && request.method == "POST") {
        submit(request, responder);
    } else if (path == "/config/check" && request.method == "POST") {
        responder->respond(check(request));
    } else if (path == "/config/history") {
        history(responder);
    } else if (path == "/explain" && request.method == "GET") {
        auto const report = explainReport(m_daemon, request);
        responder->respond(report.isError() ? errorResponse(report.failure()) : jsonResponse(200, report.value()));
    } else if (path == crashingRequestsPath) {
        responder->respond(jsonResponse(200, crashingRequests(m_daemon)));
    } else if (path.starts_with(std::string(crashingRequestsPath) + "/") && request.method == "DELETE") {
        responder->respond(liftBlock(path.substr(crashingRequestsPath.size() + 1)));
    } else if (path == rolloutsPath) {
        responder->respond(jsonResponse(200, rolloutsJson(m_daemon, request.argument("service").value_or(""))));
    } else if (path.starts_with(std::string(rolloutsPath) + "/") && path.ends_with(abortSuffix)
        && request.method == "POST") {
        responder->respond(abortRollout(path));
    } else if (path == tenantsPath) {
        responder->respond(
            jsonResponse(200, m_daemon.tenants().allJson(m_daemon.configuration().applied()->tenants())));
    } else if (path.starts_with(std::string(tenantsPath) + "/")) {
        responder->respond(tenantNamed(path.substr(tenantsPath.size() + 1)));
    } else if (path == servicesPath) {
        responder->respond(services());
    } else if (path.starts_with(std::string(servicesPath) + "/")) {
        responder->respond(service(path.substr(servicesPath.size() + 1)));
    } else {
        responder->respond(errorResponse({ error_kind::NotFound, "no such request: " + request.method + " " + path,
            "see docs/design/interfaces.md for the requests that a daemon takes" }));
    }
}

void operator_api::submit(http_request const& request, std::shared_ptr<http_responder> const& responder)
{
    auto wanted = parseSubmission(request.body);
    if (wanted.isError()) {
        responder->respond(errorResponse(wanted.failure()));
        return;
    }
    auto const id = wanted.value().id;
    std::random_device source;
    commit_runner::run(m_daemon.store(), m_daemon.loop(), wanted.releaseValue(), m_daemon.configuration().applied(),
        m_daemon.settings().submissionTimeout, source(), [responder, id](result<accepted_submission> outcome) {
            if (outcome.isError()) {
                logWarning("submission_failed", { { "submission", id }, { "reason", outcome.failure().text() } });
                responder->respond(errorResponse(outcome.failure()));
                return;
            }
            logInfo("submission_accepted", { { "submission", id }, { "version", outcome.value().version } });
            responder->respond(jsonResponse(200, serializeAccepted(outcome.value())));
        });
}

void operator_api::history(std::shared_ptr<http_responder> const& responder)
{
    m_daemon.store().read(headKey, [responder](result<std::optional<stored_object>> const& read) {
        if (read.isError()) {
            responder->respond(errorResponse(read.failure()));
            return;
        }
        configuration_head head;
        if (read.value()) {
            auto parsed = parseHead(read.value()->value);
            if (parsed.isError()) {
                responder->respond(errorResponse(parsed.failure()));
                return;
            }
            head = parsed.releaseValue();
        }
        responder->respond(jsonResponse(200, serializeHistory(head)));
    });
}

void operator_api::stateOf(std::string const& vm, std::shared_ptr<http_responder> const& responder)
{
    if (vm.empty() || vm == m_daemon.settings().vm) {
        responder->respond(jsonResponse(200, stateDump(m_daemon)));
        return;
    }
    auto const table = m_daemon.membership().table();
    auto const* record = table.find(vm);
    if (!record) {
        responder->respond(errorResponse(
            { error_kind::NotFound, "no VM " + vm + " is known here", "see merlinpier status for the VMs" }));
        return;
    }
    http_client_request request;
    request.url = "http://" + record->httpAddress + "/state";
    request.timeout = dumpTimeout;
    m_daemon.http().send(std::move(request), [responder, vm](result<http_response> answer) {
        if (answer.isError())
            responder->respond(errorResponse({ error_kind::Unavailable, "the daemon of " + vm + " does not answer",
                "see whether the VM runs and can be reached" }));
        else
            responder->respond(jsonResponse(answer.value().status, answer.value().body));
    });
}

http_response operator_api::check(http_request const& request) const
{
    auto const answers = parseQuestionnaire(request.body);
    if (answers.isError())
        return errorResponse(answers.failure());
    auto const generated = checkAnswers(answers.value(), *m_daemon.configuration().applied());
    if (generated.isError())
        return errorResponse(generated.failure());
    return jsonResponse(200, serializeServiceConfiguration(generated.value()));
}

http_response operator_api::abortRollout(std::string const& path)
{
    auto const begin = rolloutsPath.size() + 1;
    if (path.size() <= begin + abortSuffix.size())
        return errorResponse({ error_kind::BadInput, "no service is named", "use /rollouts/SERVICE/abort" });
    auto const service = path.substr(begin, path.size() - begin - abortSuffix.size());
    auto const aborted = m_daemon.rollouts().abort(service);
    if (aborted.isError())
        return errorResponse(aborted.failure());
    logInfo("rollout_aborted", { { "service", service } });
    return jsonResponse(200, rolloutsJson(m_daemon, service));
}

http_response operator_api::liftBlock(std::string const& fingerprint)
{
    auto const request = parseFingerprint(fingerprint);
    if (request.isError())
        return errorResponse(request.failure());
    if (!m_daemon.crashing().lift(request.value(), currentTime()))
        return errorResponse({ error_kind::NotFound, "request " + fingerprint + " is not suspected here",
            "see merlinpier suspects for the requests that are" });
    logInfo("request_lifted", { { "request", fingerprint } });
    return jsonResponse(200, crashingRequests(m_daemon));
}

http_response operator_api::tenantNamed(std::string const& encodedName) const
{
    auto const name = percentDecode(encodedName).value_or(encodedName);
    auto const applied = m_daemon.configuration().applied();
    if (auto const found = m_daemon.tenants().oneJson(applied->tenants(), name))
        return jsonResponse(200, *found);
    return errorResponse(
        { error_kind::NotFound, "no tenant " + name + " in version " + std::to_string(applied->version()),
            "see merlinpier tenants for the tenants" });
}

http_response operator_api::services() const
{
    auto const applied = m_daemon.configuration().applied();
    return jsonResponse(200, serializeServices(*applied));
}

http_response operator_api::service(std::string const& name) const
{
    auto const applied = m_daemon.configuration().applied();
    auto const* found = applied->service(name);
    if (!found)
        return errorResponse(
            { error_kind::NotFound, "no service " + name + " in version " + std::to_string(applied->version()),
                "see merlinpier show for the services" });
    return jsonResponse(200, serializeServiceDetail(*found));
}

} // namespace merlinpier
