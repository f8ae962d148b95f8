#include <LibCalls/call_client.h>

#include <LibCalls/refusal_rules.h>
#include <utility>

// The part of call_client that handles ended attempts: retries the call or completes it.

namespace merlinpier {

namespace {

// Less time than any call between two VMs takes.
constexpr milliseconds deadlineMargin { 5 };

} // namespace

bool call_client::hasAttemptsLeft(call_record const& record, time_point now) const
{
    auto const allowed = record.policy.maximumAttempts;
    bool const mayArrive = allowed == 0 || record.arrivals < allowed;
    return !m_hasRecalled && now < record.deadline && mayArrive && record.attempts < m_settings.maximumAttempts;
}

bool call_client::tryConsumeBudget(call_record const& record, time_point now)
{
    return m_settings.retries == retry_policy::Always || m_budgets.tryTake(record.request.service, now);
}

// Whether a call that was proven not run should be retried after a refusal for this reason.
bool call_client::shouldRetry(call_record const& record, refusal_reason reason, time_point now, generator& random) const
{
    if (reason == refusal_reason::HopLimit || reason == refusal_reason::CrashesTargets || !hasAttemptsLeft(record, now))
        return false;
    auto const next = chooseTarget(record, now, random);
    if (!next)
        return false;
    if (m_settings.retries == retry_policy::Always || isStaleRouteRefusal(reason))
        return true;
    // The only target that this keyed call may be sent to has just refused it.
    if (record.isBoundToTarget())
        return false;
    // If every other target is loaded as well, a retry only adds to the load.
    return !isLoadRefusal(reason) || isRetryWorthwhile(record, *next, now);
}

bool call_client::isRetryWorthwhile(call_record const& record, route_target const& target, time_point now) const
{
    bool const isAutomatic = m_settings.order == order_choice::Automatic;
    bool const followsServiceOrder
        = m_settings.order == order_choice::Value || (isAutomatic && !record.request.tenant.empty());
    if (followsServiceOrder) {
        pending_call call { .timeLeft = record.deadline - now, .hasReturned = record.isLate, .isRetry = true };
        if (!record.isLate)
            call.objectiveLeft = record.objective - now;
        auto const finish = m_chooser.expectedFinish(target, record.policy.name, now);
        if (!service_order::isRetryWorthwhile(call, finish))
            return false;
    }
    return m_chooser.isRetryWorthwhile(target, demandOf(record, now), now);
}

// The attempt was not run: retries the call, or completes it with the refusal.
void call_client::retryNotRun(
    call_record& record, attempt_ending ending, call_not_run refusal, time_point now, generator& random, actions& out)
{
    record.closedRefusals += refusal.reason == refusal_reason::Draining;
    if (!hasReachedTarget(refusal.reason)) {
        --record.arrivals;
        if (record.attempt->isCanary)
            m_exposure->didNotRun(record.request.service);
    }
    if (record.secondAttempt) {
        (isCapacityRefusal(refusal.reason) ? record.probed : record.tried).insert(record.attempt->target.id);
        endAttempt(record, ending, now);
        continueOtherRun(record);
        return;
    }
    if (record.attempt->isProbe && isCapacityRefusal(refusal.reason)) {
        record.probed.insert(record.attempt->target.id);
        endAttempt(record, ending, now);
        send(record, now, random, out);
        return;
    }
    // A keyed call that must not run twice stays with its target unless the target is leaving, since another ledger
    // would not know of an earlier run. A call that was only refused for a replaced connection may return to the same
    // target.
    bool const isTargetExcluded = record.isBoundToTarget() ? isDepartureRefusal(refusal.reason)
                                                           : refusal.reason != refusal_reason::StaleGeneration;
    if (isTargetExcluded)
        record.tried.insert(record.attempt->target.id);
    auto const target = record.attempt->target.id;
    endAttempt(record, ending, now);
    // A call that was late on arrival is refused sooner than others, so its refusal says little about the load.
    if (isCapacityRefusal(refusal.reason) && !record.isLate)
        m_chooser.didRefuseForLoad(target, record.policy.name, milliseconds(refusal.retryAfterMs), now);
    // A budget shared by all daemons bounds the calls that arrive at targets, not refusals by their daemons.
    bool const needsBudget
        = m_settings.sharedBudget ? hasReachedTarget(refusal.reason) : !isStaleRouteRefusal(refusal.reason);
    if (!shouldRetry(record, refusal.reason, now, random) || (needsBudget && !tryConsumeBudget(record, now))) {
        if (record.isKeyed())
            refusal.message += "; this does not tell whether an earlier request with the same key ran";
        complete(record, std::move(refusal), out);
        return;
    }
    ++m_totals.retries;
    send(record, now, random, out);
}

// The link of the attempt did not become ready: the call was not sent.
void call_client::retryUnreachable(call_record& record, time_point now, generator& random, actions& out)
{
    out.push_back(withdraw_dispatch { record.attempt->target.address, record.attempt->id });
    retryNotRun(record, { attempt_outcome::Unreachable, std::nullopt },
        notRun(refusal_reason::TargetUnreachable, retryAfterNoTargetMs), now, random, out);
}

// The attempt may have run: only an idempotent call is retried.
void call_client::retryLost(call_record& record, std::string message, time_point now, generator& random, actions& out)
{
    record.tried.insert(record.attempt->target.id);
    endAttempt(record, { attempt_outcome::Lost, std::nullopt }, now);
    if (continueOtherRun(record)) {
        record.mayHaveRun = true;
        return;
    }
    bool const isBlocked = m_crashing->standing(record.fingerprint, now) == request_standing::Blocked;
    if (isBlocked)
        message += ", which the request has done to several targets";
    // A run that took all the time left is reported as lost a moment before the deadline passes here.
    bool const isOutOfTime = now + deadlineMargin >= record.deadline;
    bool const isAllowed
        = !isBlocked && !isOutOfTime && (record.policy.isIdempotent || m_settings.retries == retry_policy::Always);
    if (!isAllowed || !hasAttemptsLeft(record, now) || !chooseTarget(record, now, random)
        || !tryConsumeBudget(record, now)) {
        message += "; the call may have run: check its effect before repeating it";
        auto const cause = isOutOfTime ? unknown_cause::Deadline : unknown_cause::Lost;
        complete(record, call_outcome_unknown { std::move(message), cause }, out);
        return;
    }
    record.mayHaveRun = true;
    ++m_totals.retries;
    send(record, now, random, out);
}

// Completes the call and destroys its record.
void call_client::complete(call_record& record, final_outcome outcome, actions& out)
{
    // A failed answer from a target tells the caller more than the refusal or loss of a later attempt.
    if (record.failure && !std::holds_alternative<call_answered>(outcome))
        outcome = *std::exchange(record.failure, std::nullopt);
    if (auto const* refusal = std::get_if<call_not_run>(&outcome); refusal && record.mayHaveRun)
        outcome = call_outcome_unknown { "an earlier attempt may have run, and a later one was refused: "
            + refusal->message };
    m_totals.answered += std::holds_alternative<call_answered>(outcome);
    m_totals.notRun += std::holds_alternative<call_not_run>(outcome);
    m_totals.unknown += std::holds_alternative<call_outcome_unknown>(outcome);
    std::string const id = record.request.id;
    out.push_back(complete_call { id, std::move(outcome) });
    m_calls.erase(id);
}

bool call_client::retryFailure(
    call_record& record, call_answered const& answered, time_point now, generator& random, actions& out)
{
    bool const isFailure = isFailureStatus(answered.answer.status);
    if (isFailure && continueOtherRun(record)) {
        record.failure = answered;
        record.mayHaveRun = true;
        return true;
    }
    if (answered.answer.isInnerFailure)
        return false;
    if (!m_settings.retriesFailures || !isFailure || !record.policy.isIdempotent || !hasAttemptsLeft(record, now))
        return false;
    record.tried.insert(answered.target);
    auto const next = chooseTarget(record, now, random);
    if (!next || !isRetryWorthwhile(record, *next, now) || !tryConsumeBudget(record, now))
        return false;
    record.failure = answered;
    record.mayHaveRun = true;
    ++m_totals.retries;
    send(record, now, random, out);
    return true;
}

} // namespace merlinpier
