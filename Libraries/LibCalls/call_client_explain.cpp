#include <LibCalls/call_client.h>

#include <LibCalls/request_fingerprint.h>
#include <utility>

// The part of call_client that explains what would become of a call.

namespace merlinpier {

call_explanation call_client::explain(caller_request request, time_point now, generator random) const
{
    call_explanation explanation;
    call_record record;
    record.request = std::move(request);
    explanation.policy = findPolicy(record.request);
    if (!explanation.policy) {
        explanation.refusal = notRun(refusal_reason::UnknownService, retryAfterNoTargetMs);
        return explanation;
    }
    record.policy = *explanation.policy;
    record.fingerprint = requestFingerprint(record.request.caller, record.request.path, record.request.body);
    setTimes(record, duration::zero(), now);
    explanation.deadline = record.deadline - now;
    explanation.objective = record.objective - now;
    auto const& service = *m_snapshot->service(record.request.service);
    explanation.candidates = m_chooser.outlook(service, demandOf(record, now), now);
    explanation.refusal = refusalAtStart(record, now);
    if (explanation.refusal)
        return explanation;
    explanation.choice = chooseTarget(record, now, random);
    explanation.rule = m_chooser.choiceRule();
    if (!explanation.choice)
        explanation.refusal = refusalForNoTarget(record, now);
    return explanation;
}

} // namespace merlinpier
