#include <LibCalls/call_client.h>

#include <LibCalls/refusal_rules.h>
#include <utility>

// What call_client does when an attempt has ended: tries again, or completes the call.

namespace merlinpier {

namespace {

constexpr std::uint32_t firstFailureStatus = 500;

} // namespace

bool call_client::hasAttemptLeft(call_record const& record, time_point now) const
{
    auto const allowed = record.policy.maximumAttempts;
    bool const mayArrive = allowed == 0 || record.arrivals < allowed;
    return now < record.deadline && mayArrive && record.attempts < m_settings.maximumAttempts;
}

bool call_client::tryTakeBudget(call_record const& record, time_point now)
{
    return m_settings.retries == retry_policy::Always || m_budgets.tryTake(record.request.service, now);
}

// Whether a call that was proven not run is tried again after a refusal for the reason.
bool call_client::isWorthRetry(
    call_record const& record, refusal_reason reason, time_point now, generator& random) const
{
    if (reason == refusal_reason::HopLimit || !hasAttemptLeft(record, now))
        return false;
    auto const next = chooseTarget(record, now, random);
    if (!next)
        return false;
    if (m_settings.retries == retry_policy::Always || isAboutRoute(reason))
        return true;
    // The one target that a keyed call may go to has just refused it.
    if (record.isBoundToTarget())
        return false;
    // Where every other target is loaded too, a retry only adds to the load.
    return !isAboutLoad(reason) || m_chooser.isRetryWorthwhile(*next, demandOf(record, now), now);
}

// The attempt was not run: tries again, or gives the refusal as the final answer.
void call_client::retryNotRun(
    call_record& record, attempt_ending ending, call_not_run refusal, time_point now, generator& random, actions& out)
{
    if (!hasReachedTarget(refusal.reason))
        --record.arrivals;
    if (record.attempt->isProbe && refusal.reason == refusal_reason::Overloaded) {
        record.probed.insert(record.attempt->target.id);
        endAttempt(record, ending, now);
        send(record, now, random, out);
        return;
    }
    // A keyed call stays with its target unless that is leaving: another ledger would not know an earlier run. One that
    // only met a replaced connection may go to the same target again.
    bool const isOver
        = record.isBoundToTarget() ? isAboutLeaving(refusal.reason) : refusal.reason != refusal_reason::StaleGeneration;
    if (isOver)
        record.tried.insert(record.attempt->target.id);
    auto const target = record.attempt->target.id;
    endAttempt(record, ending, now);
    // A call that came late is refused sooner than others, which says little about those.
    if (refusal.reason == refusal_reason::Overloaded && !record.isLate)
        m_chooser.didRefuseForLoad(target, record.policy.name, milliseconds(refusal.retryAfterMs), now);
    // A budget that all daemons share bounds what arrives at the targets.
    bool const needsBudget = m_settings.sharedBudget ? hasReachedTarget(refusal.reason) : !isAboutRoute(refusal.reason);
    if (!isWorthRetry(record, refusal.reason, now, random) || (needsBudget && !tryTakeBudget(record, now))) {
        if (record.isKeyed())
            refusal.message += "; this says nothing of earlier requests with the same key";
        complete(record, std::move(refusal), out);
        return;
    }
    ++m_totals.retries;
    send(record, now, random, out);
}

// The attempt waited for its link in vain: it was not sent.
void call_client::retryUnreachable(call_record& record, time_point now, generator& random, actions& out)
{
    out.push_back(take_back_call { record.attempt->target.address, record.attempt->id });
    retryNotRun(record, { attempt_outcome::Unreachable, std::nullopt },
        notRun(refusal_reason::TargetUnreachable, retryAfterNoTargetMs), now, random, out);
}

// The attempt may have run: only an idempotent call is tried again.
void call_client::retryLost(call_record& record, std::string message, time_point now, generator& random, actions& out)
{
    record.tried.insert(record.attempt->target.id);
    endAttempt(record, { attempt_outcome::Lost, std::nullopt }, now);
    bool const isAllowed = record.policy.isIdempotent || m_settings.retries == retry_policy::Always;
    if (!isAllowed || !hasAttemptLeft(record, now) || !chooseTarget(record, now, random)
        || !tryTakeBudget(record, now)) {
        message += "; it may have run: look at its effect before you repeat it";
        complete(record, call_outcome_unknown { std::move(message) }, out);
        return;
    }
    record.mayHaveRun = true;
    ++m_totals.retries;
    send(record, now, random, out);
}

// Ends the call; the record is gone afterwards.
void call_client::complete(call_record& record, final_outcome outcome, actions& out)
{
    // A failure that a target answered with is more than what became of the attempt after it.
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
    bool const isFailure = answered.answer.status >= firstFailureStatus;
    if (!m_settings.retriesFailures || !isFailure || !record.policy.isIdempotent || !hasAttemptLeft(record, now))
        return false;
    record.tried.insert(answered.target);
    auto const next = chooseTarget(record, now, random);
    if (!next || !m_chooser.isRetryWorthwhile(*next, demandOf(record, now), now) || !tryTakeBudget(record, now))
        return false;
    record.failure = answered;
    record.mayHaveRun = true;
    ++m_totals.retries;
    send(record, now, random, out);
    return true;
}

} // namespace merlinpier
