#include <LibCalls/call_client.h>

#include <LibCalls/attempt_identifier.h>
#include <LibCalls/refusal_rules.h>
#include <LibCalls/request_fingerprint.h>
#include <algorithm>
#include <utility>

namespace merlinpier {

namespace {

constexpr std::uint32_t minimumRetryAfterMs = 1;
// Weight of the newest call in the moving average of the size of its kind.
constexpr double sizeSmoothingFactor = 0.1;

call_policy policyOf(entry_point_answer const& entryPoint)
{
    call_policy policy;
    policy.name = entryPoint.name;
    policy.isIdempotent = entryPoint.isIdempotent;
    policy.callClass = entryPoint.callClass;
    policy.timeout = entryPoint.deadline;
    return policy;
}

} // namespace

call_not_run call_client::notRun(refusal_reason reason, std::uint32_t retryAfterMs)
{
    return { reason, std::max(retryAfterMs, minimumRetryAfterMs), refusalMessage(reason) };
}

call_client::call_client(call_client_settings settings, chooser_settings chooser,
    std::shared_ptr<crashing_requests> crashing, std::shared_ptr<rollout_exposure> exposure)
    : m_settings(settings)
    , m_chooser(std::move(chooser))
    , m_crashing(std::move(crashing))
    , m_exposure(std::move(exposure))
    , m_budgets(settings.sharedBudget)
{
}

void call_client::setSnapshot(std::shared_ptr<routing_snapshot const> snapshot, time_point now)
{
    m_snapshot = std::move(snapshot);
    m_chooser.setSnapshot(*m_snapshot, now);
    m_budgets.setSnapshot(*m_snapshot);
}

std::optional<call_policy> call_client::findPolicy(caller_request const& request) const
{
    auto const* service = m_snapshot ? m_snapshot->service(request.service) : nullptr;
    if (!service)
        return std::nullopt;
    if (request.policy)
        return request.policy;
    auto const* entryPoint = service->match(request.method, request.path);
    return entryPoint ? std::optional(policyOf(*entryPoint)) : std::nullopt;
}

std::vector<client_action> call_client::start(caller_request request, time_point now, generator& random)
{
    actions out;
    ++m_totals.calls;
    if (joinInProgress(request))
        return out;
    auto const policy = findPolicy(request);
    bool const isTooDeep = request.hops >= m_settings.hopLimit;
    std::string const id = request.id;
    auto& record = m_calls[id];
    record.request = std::move(request);
    if (!policy || isTooDeep) {
        auto const reason = isTooDeep ? refusal_reason::HopLimit : refusal_reason::UnknownService;
        complete(record, notRun(reason, retryAfterNoTargetMs), out);
        return out;
    }
    record.policy = *policy;
    record.fingerprint = requestFingerprint(record.request.caller, record.request.path, record.request.body);
    setDeadlineAndObjective(record, now);
    if (m_stop && !fitIntoStop(record, now)) {
        complete(record, notRun(refusal_reason::Draining, retryAfterStopMs), out);
        return out;
    }
    m_budgets.didStartCall(record.request.service, record.request.retriedShare, now);
    m_hedging.didStartCall();
    if (auto refusal = refusalAtStart(record, now))
        complete(record, std::move(*refusal), out);
    else
        send(record, now, random, out);
    return out;
}

void call_client::beginStop(time_point now, time_point end)
{
    m_stop.emplace(now, end);
    for (auto& [id, record] : m_calls)
        record.deadline = std::min(record.deadline, m_stop->lastAnswerTime());
}

bool call_client::fitIntoStop(call_record& record, time_point now) const
{
    auto const time = m_stop->timeFor(record.deadline - now, record.policy.isIdempotent, now);
    if (!time)
        return false;
    record.deadline = now + *time;
    record.objective = std::min(record.objective, record.deadline);
    return true;
}

std::optional<call_not_run> call_client::refusalAtStart(call_record const& record, time_point now) const
{
    if (record.deadline <= now)
        return notRun(refusal_reason::DeadlineTooShort, minimumRetryAfterMs);
    if (m_crashing->standing(record.fingerprint, now) == request_standing::Blocked)
        return refusalForCrashes(record, now);
    return std::nullopt;
}

void call_client::setDeadlineAndObjective(call_record& record, time_point now)
{
    auto const& policy = record.policy;
    auto const remaining = record.request.remaining;
    bool const hasObjective = policy.latencyObjective > milliseconds(0);
    auto const spent
        = hasObjective && remaining ? m_elapsedTimes.didReceive(policy.name, *remaining) : duration::zero();
    setTimes(record, spent, now);
}

void call_client::setTimes(call_record& record, duration spent, time_point now)
{
    auto const& policy = record.policy;
    record.deadline = now + std::min(policy.timeout, record.request.remaining.value_or(policy.timeout));
    record.objective = record.deadline;
    if (policy.latencyObjective <= milliseconds(0))
        return;
    record.isLate = spent >= policy.latencyObjective;
    if (!record.isLate)
        record.objective = now + policy.latencyObjective - spent;
}

std::vector<client_action> call_client::cancel(std::string const& id, time_point now)
{
    actions out;
    auto const found = m_calls.find(id);
    if (found == m_calls.end() || --found->second.callers > 0)
        return out;
    cancelAttempts(found->second, now, out);
    m_calls.erase(found);
    return out;
}

void call_client::didSend(std::string const& id, std::string const& address, std::uint64_t generation, time_point now)
{
    auto* record = findByAttempt(id);
    if (!record || record->attempt->target.address != address)
        return;
    auto& attempt = *record->attempt;
    if (attempt.state == attempt_state::Dispatched)
        ++m_outstanding[address];
    attempt.state = attempt_state::Sent;
    attempt.generation = generation;
    attempt.sentAt = now;
}

std::vector<client_action> call_client::didReceive(
    std::string const& address, message const& received, time_point now, generator& random)
{
    actions out;
    std::visit(
        [&](auto const& content) {
            if constexpr (requires { handle(address, content, now, random, out); })
                handle(address, content, now, random, out);
        },
        received);
    return out;
}

std::vector<client_action> call_client::didBecomeReady(
    std::string const& address, std::uint64_t instance, std::uint64_t generation, time_point now, generator& random)
{
    actions out;
    call_query query { instance, {} };
    for (auto const& id : attemptsAt(address)) {
        auto* const found = findByAttempt(id);
        if (!found)
            continue;
        auto& record = *found;
        auto& attempt = *record.attempt;
        if (attempt.state == attempt_state::Dispatched || attempt.generation >= generation)
            continue;
        if (attempt.target.instance != instance) {
            retryLost(record, "the target's daemon restarted while it was handling the call", now, random, out);
            continue;
        }
        if (attempt.state == attempt_state::Sent)
            attempt.firstQueriedAt = now;
        attempt.state = attempt_state::Querying;
        attempt.generation = generation;
        query.ids.push_back(attempt.id);
    }
    if (!query.ids.empty()) {
        m_totals.queries += query.ids.size();
        out.push_back(send_to_target { address, std::move(query) });
    }
    return out;
}

std::vector<client_action> call_client::didBecomeUnreachable(
    std::string const& address, time_point now, generator& random)
{
    actions out;
    for (auto const& id : attemptsAt(address)) {
        auto* const found = findByAttempt(id);
        if (!found)
            continue;
        auto& record = *found;
        if (record.attempt->state != attempt_state::Dispatched) {
            retryLost(record, "the daemon that knows the outcome cannot be reached", now, random, out);
            continue;
        }
        retryUnreachable(record, now, random, out);
    }
    return out;
}

std::vector<client_action> call_client::tick(time_point now, generator& random)
{
    actions out;
    if (m_stop && !m_hasRecalled && now >= m_stop->recallTime())
        recallWaiting(now, random, out);
    std::vector<std::string> ids;
    for (auto const& [id, record] : m_calls)
        ids.push_back(id);
    for (auto const& id : ids) {
        auto& record = m_calls.at(id);
        if (now >= record.deadline) {
            expire(record, now, out);
            continue;
        }
        checkAttempt(record, now, random, out);
        if (auto const found = m_calls.find(id); found != m_calls.end() && found->second.secondAttempt) {
            std::swap(found->second.attempt, found->second.secondAttempt);
            checkAttempt(found->second, now, random, out);
        }
    }
    for (auto& [address, frame] : m_acknowledgements.take())
        out.push_back(send_to_target { address, std::move(frame) });
    return out;
}

void call_client::recallWaiting(time_point now, generator& random, actions& out)
{
    m_hasRecalled = true;
    std::map<std::string, std::map<std::uint64_t, std::vector<std::string>>> sent;
    std::vector<std::string> ids;
    for (auto const& [attempt, call] : m_attempts)
        ids.push_back(attempt);
    for (auto const& id : ids) {
        auto* record = findByAttempt(id);
        if (!record)
            continue;
        auto& attempt = *record->attempt;
        if (attempt.state == attempt_state::Dispatched) {
            out.push_back(withdraw_dispatch { attempt.target.address, attempt.id });
            retryNotRun(*record, { attempt_outcome::Refused, std::nullopt },
                notRun(refusal_reason::Draining, retryAfterStopMs), now, random, out);
        } else if (attempt.state == attempt_state::Sent) {
            attempt.state = attempt_state::Querying;
            attempt.firstQueriedAt = now;
            sent[attempt.target.address][attempt.target.instance].push_back(id);
        }
    }
    for (auto& [address, instances] : sent) {
        for (auto& [instance, attempts] : instances)
            out.push_back(send_to_target { address, call_query { instance, std::move(attempts), true } });
    }
}

std::size_t call_client::outstanding(std::string const& address) const
{
    auto const found = m_outstanding.find(address);
    return found == m_outstanding.end() ? 0 : found->second;
}

std::size_t call_client::unsettled() const { return m_calls.size(); }

call_record* call_client::findByAttempt(std::string const& attempt)
{
    auto const found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return nullptr;
    auto& record = m_calls.at(found->second);
    if (record.secondAttempt && record.secondAttempt->id == attempt)
        std::swap(record.attempt, record.secondAttempt);
    return &record;
}

bool call_client::joinInProgress(caller_request const& request)
{
    auto const found = m_calls.find(request.id);
    if (found == m_calls.end())
        return false;
    ++found->second.callers;
    return true;
}

std::optional<route_target> call_client::chooseTarget(
    call_record const& record, time_point now, generator& random) const
{
    auto const* service = m_snapshot ? m_snapshot->service(record.request.service) : nullptr;
    if (!service)
        return std::nullopt;
    // All daemons send a suspect to the same target, so that it crashes no more than that one.
    if (!record.isKeyed() && isSuspect(record, now))
        return m_chooser.chooseForKey(
            *service, record.tried, fingerprintText(record.fingerprint), key_affinity::Strict, now);
    if (auto canary = chooseCanary(record, now, random))
        return canary;
    if (auto other = chooseOtherVersion(record, now, random))
        return other;
    if (!record.isKeyed()) {
        auto excluded = record.tried;
        bool const isProbing = record.probed.size() < m_chooser.settings().probes;
        if (isProbing)
            excluded.insert(record.probed.begin(), record.probed.end());
        return m_chooser.chooseFor(*service, demandOf(record, now), excluded, now, random);
    }
    auto const affinity = record.isBoundToTarget() ? key_affinity::Strict : key_affinity::LoadAware;
    return m_chooser.chooseForKey(*service, record.tried, record.request.id, affinity, now);
}

std::optional<route_target> call_client::chooseReachable(call_record& record, time_point now, generator& random) const
{
    auto target = chooseTarget(record, now, random);
    while (target && isTooLargeFor(record, *target)) {
        bool const isNew = record.tried.insert(target->id).second;
        target = isNew ? chooseTarget(record, now, random) : std::nullopt;
    }
    return target;
}

bool call_client::isTooLargeFor(call_record const& record, route_target const& target) const
{
    return record.request.body.size() > m_settings.maximumPeerBodyBytes && target.vm != m_chooser.settings().vm;
}

std::optional<route_target> call_client::chooseCanary(
    call_record const& record, time_point now, generator& random) const
{
    if (record.attempts > 0 || record.isKeyed() || m_snapshot->canaries().empty())
        return std::nullopt;
    auto const* canary = m_snapshot->canary(record.request.service);
    if (!canary || !m_exposure->mayExpose(record.request.service))
        return std::nullopt;
    return m_chooser.chooseFor(*canary, demandOf(record, now), record.tried, now, random);
}

std::optional<route_target> call_client::chooseOtherVersion(
    call_record const& record, time_point now, generator& random) const
{
    if (record.closedRefusals == 0 || record.isKeyed())
        return std::nullopt;
    auto const* other = m_snapshot->replaced(record.request.service);
    // A single refusal may be that of a target which leaves on its own account.
    if (!other && record.closedRefusals > 1)
        other = m_snapshot->canary(record.request.service);
    return other ? m_chooser.chooseFor(*other, demandOf(record, now), record.tried, now, random) : std::nullopt;
}

call_demand call_client::demandOf(call_record const& record, time_point now) const
{
    auto const size = m_meanBytesByKind.find(record.policy.name);
    auto const bytes
        = size == m_meanBytesByKind.end() ? record.request.body.size() : static_cast<std::size_t>(size->second);
    return { record.policy.name, record.objective - now, bytes, record.request.body.size(), record.policy.isBulk };
}

// Makes the refusal for a call that no target is left for: overloaded, with a retry-after time, if the chooser expects
// one to have capacity again, otherwise unknown target.
call_not_run call_client::refusalForNoTarget(call_record const& record, time_point now) const
{
    auto const* service = m_snapshot ? m_snapshot->service(record.request.service) : nullptr;
    auto const comeBackIn
        = service ? m_chooser.expectedRetryAfter(*service, demandOf(record, now), record.tried, now) : std::nullopt;
    if (!comeBackIn)
        return notRun(refusal_reason::UnknownTarget, retryAfterNoTargetMs);
    return notRun(refusal_reason::Overloaded, static_cast<std::uint32_t>(toMilliseconds(*comeBackIn)));
}

call_not_run call_client::refusalForCrashes(call_record const& record, time_point now) const
{
    auto const blockedFor = std::chrono::ceil<milliseconds>(m_crashing->blockedFor(record.fingerprint, now));
    return notRun(refusal_reason::CrashesTargets, static_cast<std::uint32_t>(blockedFor.count()));
}

bool call_client::isSuspect(call_record const& record, time_point now) const
{
    return m_crashing->standing(record.fingerprint, now) == request_standing::Suspect;
}

void call_client::updateMeanSize(call_record const& record, call_answer const& answer)
{
    auto const bytes = static_cast<double>(record.request.body.size() + answer.body.size());
    auto const [mean, isNew] = m_meanBytesByKind.try_emplace(record.policy.name, bytes);
    if (!isNew)
        mean->second += (bytes - mean->second) * sizeSmoothingFactor;
}

void call_client::send(call_record& record, time_point now, generator& random, actions& out)
{
    auto const target = chooseReachable(record, now, random);
    if (!target) {
        bool const isLarge = record.request.body.size() > m_settings.maximumPeerBodyBytes;
        complete(record,
            isLarge ? notRun(refusal_reason::BodyTooLarge, retryAfterNoTargetMs) : refusalForNoTarget(record, now),
            out);
        return;
    }
    dispatch(record, *target, isProbe(record, *target, now), now, out);
}

void call_client::dispatch(call_record& record, route_target const& target, bool isProbe, time_point now, actions& out)
{
    attempt_identifier const identifier { record.request.id, ++m_lastAttempt, record.isKeyed() };
    ++record.attempts;
    ++record.arrivals;
    record.attempt = call_attempt { identifier.text(), target, attempt_state::Dispatched, 0, now };
    auto const* canary = m_snapshot->canary(record.request.service);
    record.attempt->isCanary = canary
        && std::any_of(
            canary->targets.begin(), canary->targets.end(), [&](auto const& other) { return other.id == target.id; });
    if (record.attempt->isCanary)
        m_exposure->didSend(record.request.service);
    record.attempt->isProbe = isProbe && !record.attempt->isCanary;
    record.attempt->expected = m_chooser.expectedFinish(target, record.policy.name, now);
    m_attempts[record.attempt->id] = record.request.id;
    m_chooser.didSend(target.id, now);
    if (record.policy.isBulk && target.vm != m_chooser.settings().vm) {
        record.attempt->bulkBytes = demandOf(record, now).bytes;
        m_chooser.didSendBulk(target, record.attempt->bulkBytes);
    }
    out.push_back(dispatch_call { target.address, makeCall(record, target, now) });
}

bool call_client::isProbe(call_record const& record, route_target const& target, time_point now) const
{
    auto const& chooser = m_chooser.settings();
    bool const mayProbe = chooser.policy == choice_policy::ExpectedFinish && !record.isKeyed()
        && record.probed.size() < chooser.probes && target.zone == chooser.zone && !isSuspect(record, now);
    if (!mayProbe)
        return false;
    auto excluded = record.tried;
    excluded.insert(record.probed.begin(), record.probed.end());
    // The count includes the target itself: a probe makes sense only if another target remains.
    return m_chooser.sameZoneTargetCount(*m_snapshot->service(record.request.service), excluded, now) > 1;
}

call_request call_client::makeCall(call_record const& record, route_target const& target, time_point now) const
{
    auto const& request = record.request;
    call_request call;
    call.id = record.attempt->id;
    call.instance = target.instance;
    call.service = request.service;
    call.target = target.id;
    call.entryPoint = record.policy.name;
    call.method = request.method;
    call.path = request.path;
    call.headers = request.headers;
    call.body = request.body;
    call.callClass = record.policy.callClass;
    call.isIdempotent = record.policy.isIdempotent;
    call.remainingMs = static_cast<std::uint32_t>(toMilliseconds(record.deadline - now));
    call.hops = request.hops;
    call.version = m_snapshot->version();
    call.caller = request.caller;
    call.priority = record.policy.priority;
    call.onlyIfFree = record.attempt->isProbe;
    bool const hasObjective
        = record.policy.latencyObjective > milliseconds(0) && !record.isLate && record.objective > now;
    call.objectiveMs = hasObjective ? static_cast<std::uint32_t>(toMilliseconds(record.objective - now)) : 0;
    call.isLate = record.isLate;
    call.isRetry = record.arrivals > 1;
    call.crashReports = m_crashing->reportsAbout(record.fingerprint);
    call.tenant = request.tenant;
    call.tenantPriority = request.tenantPriority;
    call.isBulk = record.policy.isBulk;
    return call;
}

void call_client::endAttempt(call_record& record, attempt_ending ending, time_point now)
{
    auto const& attempt = *record.attempt;
    if (attempt.state != attempt_state::Dispatched && --m_outstanding[attempt.target.address] == 0)
        m_outstanding.erase(attempt.target.address);
    m_chooser.didEndBulk(attempt.target, attempt.bulkBytes);
    m_chooser.didEnd(attempt.target.id, ending.outcome, ending.loadPermille, now);
    if (ending.outcome == attempt_outcome::Answered)
        m_exposure->didAnswer(record.request.service);
    m_chooser.didReportServiceTime(attempt.target.id, record.policy.name, microseconds(ending.serviceUs));
    m_chooser.didReportPace(attempt.target.id, ending.pacePercent, now);
    m_attempts.erase(attempt.id);
    record.attempt.reset();
}

void call_client::expire(call_record& record, time_point now, actions& out)
{
    bool const wasSent = record.secondAttempt || record.attempt->state != attempt_state::Dispatched;
    cancelAttempts(record, now, out);
    if (wasSent)
        complete(record,
            call_outcome_unknown { "the deadline passed before the answer arrived; it may have run: check its effect "
                                   "before repeating it",
                unknown_cause::Deadline },
            out);
    else
        complete(record, notRun(refusal_reason::DeadlineTooShort, retryAfterNoTargetMs), out);
}

void call_client::cancelAttempt(call_record& record, time_point now, actions& out)
{
    auto const& attempt = *record.attempt;
    auto const& address = attempt.target.address;
    if (attempt.state == attempt_state::Dispatched)
        out.push_back(withdraw_dispatch { address, attempt.id });
    else
        out.push_back(send_to_target { address, call_cancel { attempt.id } });
    endAttempt(record, { attempt_outcome::Refused, std::nullopt }, now);
}

void call_client::cancelAttempts(call_record& record, time_point now, actions& out)
{
    cancelAttempt(record, now, out);
    if (continueOtherRun(record))
        cancelAttempt(record, now, out);
}

void call_client::handleNeverAdmitted(call_record& record, time_point now, generator& random, actions& out)
{
    if (now - record.attempt->sentAt >= m_settings.neverAdmittedValidity) {
        retryLost(record, "the ledger entry of this call may have been dropped", now, random, out);
        return;
    }
    auto const refusal = m_hasRecalled ? notRun(refusal_reason::Draining, retryAfterStopMs)
                                       : notRun(refusal_reason::StaleGeneration, minimumRetryAfterMs);
    retryNotRun(record, { attempt_outcome::Refused, std::nullopt }, refusal, now, random, out);
}

std::vector<std::string> call_client::attemptsAt(std::string const& address) const
{
    std::vector<std::string> ids;
    for (auto const& [attempt, call] : m_attempts) {
        auto const& record = m_calls.at(call);
        auto const& second = record.secondAttempt;
        auto const& named = second && second->id == attempt ? second : record.attempt;
        if (named->target.address == address)
            ids.push_back(attempt);
    }
    return ids;
}

} // namespace merlinpier
