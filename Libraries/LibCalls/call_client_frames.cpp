#include <LibCalls/call_client.h>

// The part of call_client that handles frames from the targets' daemons.

namespace merlinpier {

void call_client::handle(
    std::string const& address, call_answer const& answer, time_point now, generator& random, actions& out)
{
    m_acknowledgements.add(address, answer.id);
    auto* record = findByAttempt(answer.id);
    if (!record || record->attempt->target.address != address)
        return;
    call_answered outcome { answer, record->attempt->target.id, record->attempts };
    outcome.answer.id = record->request.id;
    updateMeanSize(*record, answer);
    m_crashing->didEndWell(record->fingerprint, crashing_requests::run_place::OtherVm, now);
    if (answer.departedStart > 0)
        out.push_back(target_departed { outcome.target, answer.departedStart });
    didAnswerRun(*record, now);
    endAttempt(*record, { attempt_outcome::Answered, answer.loadPermille, answer.serviceUs, answer.pacePercent }, now);
    if (retryFailure(*record, outcome, now, random, out))
        return;
    if (continueOtherRun(*record))
        cancelAttempt(*record, now, out);
    complete(*record, std::move(outcome), out);
}

void call_client::handle(
    std::string const& address, call_refused const& refusal, time_point now, generator& random, actions& out)
{
    auto* record = findByAttempt(refusal.id);
    if (!record || record->attempt->target.address != address)
        return;
    m_crashing->learn(refusal.crashReports, crashing_requests::report_origin::Other, now);
    // A target that its own daemon cannot reach counts as failed; otherwise it would appear idle and attract every
    // call.
    bool const isTargetDown = refusal.reason == refusal_reason::TargetUnreachable;
    auto const outcome = isTargetDown ? attempt_outcome::Unreachable : attempt_outcome::Refused;
    retryNotRun(*record, { outcome, refusal.loadPermille, refusal.serviceUs, refusal.pacePercent },
        notRun(refusal.reason, refusal.retryAfterMs), now, random, out);
}

void call_client::handle(
    std::string const& address, call_lost const& lost, time_point now, generator& random, actions& out)
{
    m_acknowledgements.add(address, lost.id);
    auto* record = findByAttempt(lost.id);
    if (!record || record->attempt->target.address != address)
        return;
    m_crashing->learn(lost.crashReports, crashing_requests::report_origin::Other, now);
    retryLost(*record, "the target was lost while the call ran", now, random, out);
}

void call_client::handle(
    std::string const& address, call_query_answer const& answer, time_point now, generator& random, actions& out)
{
    for (auto const& status : answer.statuses) {
        auto* record = findByAttempt(status.id);
        if (!record || record->attempt->target.address != address || record->attempt->state != attempt_state::Querying)
            continue;
        bool const isOtherLedger = record->attempt->target.instance != answer.instance;
        if (isOtherLedger)
            retryLost(*record, "the target's daemon restarted while it was handling the call", now, random, out);
        else
            handleStatus(address, status, now, random, out);
    }
}

void call_client::handleStatus(
    std::string const& address, call_status const& status, time_point now, generator& random, actions& out)
{
    auto& record = *findByAttempt(status.id);
    switch (status.outcome) {
    case call_outcome::Finished:
        if (status.answer && status.answer->id == status.id)
            handle(address, *status.answer, now, random, out);
        else
            retryLost(record, "the answer is no longer kept", now, random, out);
        return;
    case call_outcome::Running:
        record.attempt->state = attempt_state::Sent;
        return;
    case call_outcome::Refused:
    case call_outcome::Unknown:
        handleNeverAdmitted(record, now, random, out);
        return;
    case call_outcome::CannotTell:
    case call_outcome::OutcomeUnknown:
        retryLost(record, "the target was lost while the call ran", now, random, out);
        return;
    }
}

} // namespace merlinpier
