#include "target_gateway.h"

#include "caller_answer.h"

#include <LibCalls/request_fingerprint.h>
#include <LibCore/log.h>
#include <LibHttp/http_message.h>
#include <LibWire/state_names.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <utility>

namespace merlinpier {

namespace {

// A process on the own VM accepts or refuses a connection well within this time.
constexpr milliseconds targetCheckTimeout { 200 };
// A target of a version that is replaced is at rest when it has had no calls for this long.
constexpr milliseconds restTime { 300 };

char const* verdictName(target_verdict verdict)
{
    switch (verdict) {
    case target_verdict::Ran:
        return "ran";
    case target_verdict::NotRun:
        return "not_run";
    case target_verdict::OtherTarget:
        return "other_target";
    case target_verdict::Corrupt:
        return "corrupt";
    }
    return "corrupt";
}

std::string fingerprintOf(call_request const& call)
{
    return fingerprintText(requestFingerprint(call.caller, call.path, call.body));
}

call_answer answerFrom(std::string const& id, http_response response)
{
    call_answer answer;
    answer.id = id;
    answer.status = static_cast<std::uint32_t>(response.status);
    for (auto& header : response.headers) {
        if (!isConnectionHeader(header.name))
            answer.headers.push_back({ std::move(header.name), std::move(header.value) });
    }
    answer.body = std::move(response.body);
    return answer;
}

// A target may go on for this long with a run that this daemon no longer counts: one that was given up, or that an
// earlier process of the daemon started. Longer than the time limits of nearly all calls.
constexpr milliseconds workAfterEnd { 3000 };

} // namespace

target_gateway::target_gateway(call_server_settings settings, milliseconds lease,
    std::shared_ptr<crashing_requests> crashing, peer_hub& hub, http_client& http, target_dialect const& dialect,
    metrics& figures)
    : m_hub(hub)
    , m_http(http)
    , m_dialect(dialect)
    , m_metrics(figures)
    , m_targets(lease)
    , m_evidence(std::make_shared<run_evidence>())
    , m_server(settings, std::move(crashing), m_evidence)
    , m_configuration(configuration_set::createEmpty())
    , m_isAlive(std::make_shared<bool>(true))
{
}

void target_gateway::setChangeHandler(std::function<void()> didChange) { m_didChange = std::move(didChange); }

void target_gateway::setConfiguration(std::shared_ptr<configuration_set const> configuration)
{
    m_configuration = std::move(configuration);
    reportChange();
}

result<empty> target_gateway::announce(target_announcement const& announcement, std::uint64_t highestKnownClaim)
{
    TRY(m_targets.announce(announcement, highestKnownClaim, currentTime()));
    // A new incarnation has no limit.
    carryOut(m_server.setRequestLimit(announcement.id, m_targets.requestLimit(announcement.id), currentTime()));
    reportChange();
    return empty {};
}

result<empty> target_gateway::drain(std::string const& id)
{
    TRY(m_targets.drain(id, currentTime()));
    reportChange();
    return empty {};
}

result<empty> target_gateway::retire(std::string const& id, std::uint64_t startedAt)
{
    TRY(m_targets.retire(id, currentTime(), startedAt));
    reportChange();
    return empty {};
}

result<empty> target_gateway::leave(std::string const& id)
{
    TRY(m_targets.leave(id, currentTime()));
    reportChange();
    return empty {};
}

void target_gateway::didRestrictBefore(std::vector<target_record> const& targets)
{
    auto const now = currentTime();
    for (auto const& target : targets) {
        if (target.departedStart > 0)
            m_targets.didDepartBefore(target.id, target.departedStart, now);
        auto const limit = target.requestLimit();
        if (limit && m_targets.didLimitBefore(target.id, target.startedAt, *limit, now))
            applyRequestLimit(target.id, "earlier_process");
    }
    if (!targets.empty())
        reportChange();
}

void target_gateway::didDepartBefore(std::vector<target_departure> const& departures)
{
    for (auto const& departure : departures)
        m_targets.didDepartBefore(departure.target, departure.startedAt, currentTime());
    m_targets.didLearnEarlierDepartures();
    reportChange();
}

std::optional<target_departure> target_gateway::departureOf(std::string const& id) const
{
    auto const startedAt = m_targets.departedStart(id);
    return startedAt > 0 ? std::optional(target_departure { id, startedAt }) : std::nullopt;
}

std::optional<target_state> target_gateway::stateOf(std::string const& id) const
{
    auto const* target = m_targets.find(id);
    return target ? std::optional(target->state) : std::nullopt;
}

void target_gateway::drainAll()
{
    m_targets.drainAll(currentTime());
    reportChange();
}

void target_gateway::didLoseClaim(std::string const& licence, std::uint64_t claim)
{
    m_targets.didLoseClaim(licence, claim);
    reportChange();
}

std::vector<target_record> target_gateway::records() const
{
    auto records = m_targets.records(*m_configuration);
    for (auto& record : records)
        record.evidence = m_evidence->published(record.id);
    return records;
}

void target_gateway::setRolloutView(rollout_view view) { m_rollouts = std::move(view); }

void target_gateway::followRollouts()
{
    if (!m_rollouts.order)
        return;
    using closure = local_targets::closure;
    auto const now = currentTime();
    auto const loads = m_server.loads(now);
    for (auto const& id : m_targets.ids()) {
        auto const target = *m_targets.find(id);
        auto const order = m_rollouts.order(target.service);
        if (order > 0)
            m_evidence->begin(id, order);
        else
            m_evidence->end(id);
        if (!m_rollouts.refuses(target.service, target.version)) {
            if (m_restingSince.erase(id) > 0)
                logInfo("target_reopened", { { "target", id }, { "version", target.version } });
            m_targets.setClosure(id, closure::Open);
            continue;
        }
        if (!m_targets.isClosed(id)) {
            logInfo("target_closed", { { "target", id }, { "version", target.version } });
            m_targets.setClosure(id, closure::Closed);
            carryOut(m_server.didStartDraining(id, now));
        }
        auto const load = loads.find(id);
        bool const isBusy = load != loads.end() && load->second.running + load->second.queued > 0;
        auto const since = m_restingSince.try_emplace(id, now).first;
        if (isBusy)
            since->second = now;
        bool const isAtRest = now - since->second >= restTime && m_rollouts.mayRest(target.service);
        m_targets.setClosure(id, isAtRest ? closure::AtRest : closure::Closed);
    }
    m_evidence->tick(now);
}

void target_gateway::raiseFence(std::uint64_t instance, std::uint64_t generation)
{
    m_server.raiseFence({ instance, generation }, currentTime());
}

void target_gateway::didReceive(std::uint64_t instance, std::uint64_t generation, message const& content)
{
    call_origin const origin { instance, generation };
    auto const now = currentTime();
    if (auto const* call = std::get_if<call_request>(&content)) {
        receiveCall(origin, *call, now);
    } else if (auto const* cancelled = std::get_if<call_cancel>(&content)) {
        m_hub.withdrawFromOrigin(instance, cancelled->id);
        carryOut(m_server.didReceiveCancel(origin, *cancelled, now));
    } else if (auto const* acknowledged = std::get_if<call_acknowledge>(&content))
        m_server.didReceiveAcknowledge(origin, *acknowledged);
    else if (auto const* query = std::get_if<call_query>(&content))
        carryOut(m_server.didReceiveQuery(origin, *query, now));
}

void target_gateway::receiveCall(call_origin const& origin, call_request const& call, time_point now)
{
    auto const before = m_server.linkRefusals();
    std::size_t backlog = 0;
    if (call.isBulk) {
        backlog = m_hub.waitingBytes();
        m_server.setLinkBacklog(backlog);
    }
    carryOut(m_server.didReceiveCall(origin, call, m_targets, *m_configuration, now));
    if (m_server.linkRefusals() > before)
        logInfo("link_short",
            { { "call", call.id }, { "waiting_bytes", static_cast<std::uint64_t>(backlog) },
                { "remaining_ms", static_cast<std::uint64_t>(call.remainingMs) } });
}

void target_gateway::tick()
{
    if (m_server.running() > 0)
        m_lastAtWork = currentTime();
    m_targets.tick(currentTime());
    carryOut(m_server.tick(currentTime()));
    followRollouts();
    for (auto const& target : m_server.takeNewlyOrdered())
        logInfo("service_order_in_force", { { "target", target } });
    reportChange();
}

std::size_t target_gateway::unsettled() const { return m_server.unsettled(); }

bool target_gateway::mayBeAtWork() const
{
    return m_server.running() > 0 || currentTime() - m_lastAtWork < workAfterEnd;
}

std::map<std::string, target_load> target_gateway::loads() const { return m_server.loads(currentTime()); }

std::optional<admission_outlook> target_gateway::outlook(
    std::string const& target, admission_request const& request) const
{
    return m_server.outlook(target, request, currentTime());
}

void target_gateway::carryOut(std::vector<server_action> actions)
{
    for (auto& action : actions) {
        if (auto* wanted = std::get_if<run_call>(&action)) {
            logInfo("call_started",
                { { "call", wanted->call.id }, { "target", wanted->call.target },
                    { "left_ms", wanted->timeout.count() }, { "version", wanted->call.version } });
            run(std::move(*wanted));
        } else if (auto const* aborted = std::get_if<abort_call>(&action)) {
            auto const exchange = m_exchanges.find(aborted->id);
            if (exchange != m_exchanges.end())
                m_http.cancel(exchange->second.exchange);
        } else if (auto const* checked = std::get_if<check_target>(&action)) {
            check(*checked);
        } else if (auto const* reply = std::get_if<reply_to_origin>(&action)) {
            if (auto const* refused = std::get_if<call_refused>(&reply->content))
                didRefuse(*refused);
            auto const* answer = std::get_if<call_answer>(&reply->content);
            if (answer && reply->bulkDeadline)
                m_hub.sendBulkToOrigin(reply->instance, *answer, *reply->bulkDeadline);
            else
                m_hub.sendToOrigin(reply->instance, reply->content);
        }
    }
}

void target_gateway::check(check_target const& wanted)
{
    if (!m_checkedTargets.insert(wanted.target).second)
        return;
    m_http.checkListener(wanted.targetAddress, targetCheckTimeout,
        [this, target = wanted.target, alive = std::weak_ptr(m_isAlive)](listener_state state) {
            if (alive.lock())
                didCheck(target, state);
        });
}

void target_gateway::didCheck(std::string const& target, listener_state state)
{
    m_checkedTargets.erase(target);
    bool const hasEnded = state == listener_state::Refusing;
    auto const condition = state == listener_state::Listening ? target_condition::Accepting
        : hasEnded                                            ? target_condition::Refusing
                                                              : target_condition::Unknown;
    carryOut(m_server.didCheckTarget(target, condition, m_targets, currentTime()));
    if (!hasEnded)
        return;
    m_metrics.add("merlinpier_targets_ended_total");
    logWarning("target_ended", { { "target", target } });
    m_targets.didEnd(target);
    reportChange();
}

void target_gateway::didRefuse(call_refused const& refused)
{
    auto const reason = reasonName(refused.reason);
    m_metrics.add(std::string("merlinpier_target_refusals_total{reason=\"") + reason + "\"}");
    logInfo("call_refused",
        { { "call", refused.id }, { "reason", reason },
            { "load_permille", static_cast<std::uint64_t>(refused.loadPermille) },
            { "retry_after_ms", static_cast<std::uint64_t>(refused.retryAfterMs) } });
}

void target_gateway::run(run_call wanted)
{
    std::string const id = wanted.call.id;
    m_metrics.add("merlinpier_target_runs_total");
    auto request = m_dialect.requestFor(wanted);
    auto& started = m_exchanges[id] = { std::move(wanted), 0, currentTime() };
    started.exchange
        = m_http.send(std::move(request), [this, id, alive = std::weak_ptr(m_isAlive)](result<http_response> response) {
              // The client's end completes what is under way, after the gateway's own.
              if (alive.lock())
                  didEnd(id, std::move(response));
          });
}

void target_gateway::didEnd(std::string const& id, result<http_response> response)
{
    auto const found = m_exchanges.find(id);
    if (found == m_exchanges.end())
        return;
    auto const ended = std::move(found->second);
    m_exchanges.erase(found);
    auto const now = currentTime();
    auto const spent = now - ended.startedAt;
    m_metrics.observe("merlinpier_target_run_ms", std::chrono::duration<double, std::milli>(spent).count());
    if (response.isError()) {
        auto const& failure = response.failure();
        bool const wasSent = failure.kind != error_kind::Unavailable;
        logWarning("target_failed",
            { { "call", id }, { "target", ended.run.call.target }, { "request", fingerprintOf(ended.run.call) },
                { "may_have_run", wasSent ? "yes" : "no" }, { "after_ms", toMilliseconds(spent) },
                { "reason", failure.message } });
        if (!wasSent) {
            carryOut(m_server.didRefuse(id, refusal_reason::TargetUnreachable, now));
            check({ ended.run.call.target, ended.run.targetAddress });
        } else if (failure.kind == error_kind::ConnectionLost)
            carryOut(m_server.didBreakOff(id));
        else
            carryOut(m_server.didLose(id, now));
        return;
    }
    auto const verdict = m_dialect.judge(ended.run, response.value());
    didReceiveNotice(ended.run.call.target, m_dialect.readNotice(response.value()), verdict, ended.startedAt);
    if (verdict != target_verdict::Ran)
        logWarning("target_answer_refused",
            { { "call", id }, { "target", ended.run.call.target }, { "status", response.value().status },
                { "verdict", verdictName(verdict) } });
    switch (verdict) {
    case target_verdict::Ran: {
        auto answer = answerFrom(id, response.releaseValue());
        answer.departedStart = m_targets.departedStart(ended.run.call.target);
        carryOut(m_server.didFinish(id, std::move(answer), now));
        return;
    }
    case target_verdict::NotRun:
        carryOut(m_server.didRefuse(id, refusal_reason::Shed, now));
        return;
    case target_verdict::OtherTarget:
        carryOut(m_server.didRefuse(id, refusal_reason::UnknownTarget, now));
        return;
    case target_verdict::Corrupt:
        carryOut(m_server.didLose(id, now));
        return;
    }
}

void target_gateway::didReceiveNotice(
    std::string const& target, target_notice const& notice, target_verdict verdict, time_point sentAt)
{
    bool const isFromTarget = verdict == target_verdict::Ran || verdict == target_verdict::NotRun;
    if (!isFromTarget)
        return;
    if (notice.isLeaving && m_targets.didAnnounceDeparture(target, currentTime())) {
        logInfo("target_leaving", { { "target", target } });
        reportChange();
    }
    didReceiveLoad(target, notice);
    if (notice.limitError) {
        logWarning("target_limit_refused", { { "target", target }, { "reason", *notice.limitError } });
        return;
    }
    // A target that turns a call away does not vouch for the end of its limit.
    bool const namesLimit = notice.requestLimit || verdict == target_verdict::Ran;
    if (namesLimit && m_targets.setRequestLimit(target, notice.requestLimit, sentAt, currentTime()))
        applyRequestLimit(target, "answer");
}

void target_gateway::didReceiveLoad(std::string const& target, target_notice const& notice)
{
    if (notice.loadError) {
        if (m_targetsWithBadLoad.insert(target).second)
            logWarning("target_load_refused", { { "target", target }, { "reason", *notice.loadError } });
    } else if (notice.load)
        m_targetsWithBadLoad.erase(target);
    if (!notice.load || !notice.load->pacePercent)
        return;
    m_server.didAnnounceLoad(target, notice.load->running + notice.load->waiting, currentTime());
    m_server.didAnnouncePace(target, *notice.load->pacePercent, currentTime());
}

void target_gateway::applyRequestLimit(std::string const& target, char const* source)
{
    auto const limit = m_targets.requestLimit(target);
    carryOut(m_server.setRequestLimit(target, limit, currentTime()));
    reportChange();
    logInfo("target_limit",
        { { "target", target }, { "requests_per_second", limit ? absl::StrFormat("%g", *limit) : "none" },
            { "source", source } });
}

void target_gateway::reportChange()
{
    auto current = records();
    if (current == m_lastRecords)
        return;
    auto const before = std::exchange(m_lastRecords, std::move(current));
    for (auto const& record : m_lastRecords) {
        auto const known
            = std::find_if(before.begin(), before.end(), [&](auto const& other) { return other.id == record.id; });
        if (known != before.end() && known->state == record.state)
            continue;
        logInfo("target_state",
            { { "target", record.id }, { "service", record.service }, { "state", stateName(record.state) },
                { "slots", static_cast<std::uint64_t>(record.slots) } });
        if (record.state != target_state::Ready)
            carryOut(m_server.didStartDraining(record.id, currentTime()));
    }
    for (auto const& record : before) {
        bool const isKnown = std::any_of(
            m_lastRecords.begin(), m_lastRecords.end(), [&](auto const& other) { return other.id == record.id; });
        if (isKnown)
            continue;
        logInfo("target_state", { { "target", record.id }, { "service", record.service }, { "state", "forgotten" } });
        carryOut(m_server.didStartDraining(record.id, currentTime()));
    }
    if (m_didChange)
        m_didChange();
}

} // namespace merlinpier
