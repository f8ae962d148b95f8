#include <LibCalls/call_client.h>

#include <utility>

// The part of call_client that gives slow calls a second run (see hedging).

namespace merlinpier {

namespace {

// An early second run that its target's daemon refused is tried once more elsewhere.
constexpr std::uint32_t maximumEarlyRuns = 2;

} // namespace

bool call_client::mayHedge(call_record const& record, time_point now) const
{
    auto const* service = m_snapshot ? m_snapshot->service(record.request.service) : nullptr;
    if (!service || m_settings.hedging == hedging_mode::Off || !record.policy.isIdempotent || record.isKeyed())
        return false;
    bool const isFirstRun = record.attempt && record.attempt->state == attempt_state::Sent && !record.secondAttempt;
    if (!isFirstRun || !hasAttemptsLeft(record, now))
        return false;
    auto const longEnough = m_hedging.earliest(record.policy.name, record.objective - record.attempt->dispatchedAt);
    if (!longEnough || now - record.attempt->dispatchedAt < *longEnough)
        return false;
    bool const isEnabled = m_settings.hedging == hedging_mode::On || m_chooser.announcesPace(*service, now);
    return isEnabled && !isSuspect(record, now);
}

void call_client::considerSecondRun(call_record& record, time_point now, generator& random, actions& out)
{
    if (!mayHedge(record, now))
        return;
    auto const first = record.attempt->target;
    bool const isNewlyTried = record.tried.insert(first.id).second;
    auto const target = chooseTarget(record, now, random);
    if (isNewlyTried)
        record.tried.erase(first.id);
    // Another target of the same VM has the same pace, and its daemon would join the second run to the first.
    if (!target || target->address == first.address)
        return;
    auto const startedAt = record.attempt->dispatchedAt;
    auto const verdict = m_hedging.decide({ record.policy.name, now - startedAt, record.attempt->expected,
        record.objective - startedAt, record.objective - now, record.deadline - now,
        m_chooser.expectedFinish(*target, record.policy.name, now) });
    bool const isEarly = verdict == hedging_verdict::Early;
    // An early second run is not worth a transfer between zones, nor the part of the budget that retries may need.
    bool const isTooCostly = isEarly
        && (record.secondRuns >= maximumEarlyRuns || target->zone != m_chooser.settings().zone
            || !m_budgets.hasSpare(record.request.service, now));
    if (verdict == hedging_verdict::None || isTooCostly || !tryConsumeBudget(record, now))
        return;
    m_hedging.didHedge(verdict);
    ++m_totals.hedges;
    ++record.secondRuns;
    auto running = std::exchange(record.attempt, std::nullopt);
    dispatch(record, *target, isEarly, now, out);
    record.attempt->isSecondRun = true;
    record.secondAttempt = std::exchange(record.attempt, std::move(running));
}

bool call_client::continueOtherRun(call_record& record)
{
    if (!record.secondAttempt)
        return false;
    record.attempt = std::exchange(record.secondAttempt, std::nullopt);
    return true;
}

void call_client::didAnswerRun(call_record const& record, time_point now)
{
    auto const& answered = *record.attempt;
    if (!answered.isSecondRun)
        m_hedging.didEndRun(record.policy.name, now - answered.dispatchedAt, answered.expected);
    if (!record.secondAttempt)
        return;
    auto const& other = *record.secondAttempt;
    if (answered.isSecondRun) {
        ++m_totals.hedgesWon;
        // The first run takes at least this long.
        m_hedging.didEndRun(record.policy.name, now - other.dispatchedAt, other.expected);
    } else {
        ++m_totals.hedgesWasted;
    }
}

void call_client::checkAttempt(call_record& record, time_point now, generator& random, actions& out)
{
    auto const& attempt = *record.attempt;
    if (attempt.state == attempt_state::Dispatched && now - attempt.dispatchedAt >= m_settings.linkTimeout)
        retryUnreachable(record, now, random, out);
    else if (attempt.state == attempt_state::Querying && now - attempt.firstQueriedAt >= m_settings.queryTimeout)
        retryLost(record, "the daemon that knows the outcome did not reply", now, random, out);
    else
        considerSecondRun(record, now, random, out);
}

} // namespace merlinpier
