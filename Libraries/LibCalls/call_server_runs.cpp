#include <LibCalls/call_server.h>

#include <LibCalls/refusal_rules.h>
#include <LibCore/digest.h>
#include <algorithm>
#include <utility>

// The part of call_server that handles the ends of runs, what targets announce, and the trials of suspects.

namespace merlinpier {

namespace {

// Retry-after time of calls that cannot wait for the trials of others.
constexpr milliseconds retryAfterTrials { 500 };
// A target reports a failure at once when a call that it needs has failed.
constexpr milliseconds innerFailureDelay { 50 };
// A target drops a request when its connection ends, so that runs of an earlier process of this daemon end within this
// time after the start.
constexpr milliseconds earlierRunsRetention { 1500 };

// Originating daemons cancel a call at its deadline, which they know by a few milliseconds more or less.
constexpr milliseconds cancelMargin { 50 };

// Names the incarnation of a target that crashed.
std::uint64_t crashIdentifier(std::string const& target, std::uint64_t startedAt) { return hash64(target, startedAt); }

} // namespace

std::vector<server_action> call_server::didFinish(std::string const& id, call_answer answer, time_point now)
{
    std::vector<server_action> actions;
    auto* entry = m_ledger.find(id);
    if (!entry || entry->state != run_state::Running)
        return actions;
    auto const call = entry->call;
    auto const decisions = m_queues[call.target].release(id, admission_queue::learning::Learn, now);
    m_trials.remove(call.target, id);
    m_crashing->didEndWell(entry->request, crashing_requests::run_place::OwnTarget, now);
    bool const hasFailed = isFailureStatus(answer.status);
    answer.isInnerFailure = hasFailed && m_lastInnerFailure && now - *m_lastInnerFailure <= innerFailureDelay;
    if (!answer.isInnerFailure)
        countRun(*entry, hasFailed ? run_ending::Failed : run_ending::Good, now);
    answer.loadPermille = loadOf(call.target, now);
    answer.serviceUs = serviceUsOf(call);
    answer.pacePercent = pacePercentOf(call.target, now);
    answer.version = m_version;
    learnAnswerSize(call, answer);
    m_ledger.finish(id, std::move(answer), now);
    for (auto const& waiter : entry->waiters)
        reply(*entry, waiter, now, actions);
    if (entry->waiters.empty() && !entry->isKeyed)
        m_ledger.erase(id);
    apply(decisions, now, actions);
    continueTrials(now, actions);
    return actions;
}

void call_server::countRun(ledger_entry const& entry, run_ending ending, time_point now)
{
    // The end of a cancelled run says nothing, unless its callers gave up because its deadline had passed.
    bool const isCancelled = entry.waiters.empty() && now + cancelMargin < entry.deadline;
    if (!isCancelled || ending == run_ending::Good)
        m_evidence->didEnd(entry.call.target, entry.call.entryPoint, ending, now - entry.startedAt);
}

std::vector<server_action> call_server::didRefuse(std::string const& id, refusal_reason reason, time_point now)
{
    std::vector<server_action> actions;
    auto const* entry = m_ledger.find(id);
    if (!entry || entry->state != run_state::Running)
        return actions;
    auto& queue = m_queues[entry->call.target];
    auto const decisions = queue.release(id, admission_queue::learning::Ignore, now);
    auto const serviceTime = queue.serviceTime(entry->call.entryPoint, entry->call.callClass);
    auto const retryAfter = isLoadRefusal(reason)
        ? std::max(std::chrono::ceil<milliseconds>(serviceTime), milliseconds(1))
        : retryAfterRouteChange;
    refuseWaiters(id, reason, retryAfter, now, actions);
    apply(decisions, now, actions);
    continueTrials(now, actions);
    return actions;
}

std::vector<server_action> call_server::didLose(std::string const& id, time_point now)
{
    std::vector<server_action> actions;
    lose(id, now, actions);
    continueTrials(now, actions);
    return actions;
}

void call_server::lose(std::string const& id, time_point now, std::vector<server_action>& actions)
{
    auto* entry = m_ledger.find(id);
    if (!entry || entry->state != run_state::Running)
        return;
    auto const decisions = m_queues[entry->call.target].release(id, admission_queue::learning::Ignore, now);
    countRun(*entry, run_ending::Failed, now);
    m_trials.remove(entry->call.target, id);
    m_ledger.markLost(*entry, now);
    for (auto const& waiter : entry->waiters)
        reply(*entry, waiter, now, actions);
    if (entry->waiters.empty() && !entry->isKeyed)
        m_ledger.erase(id);
    apply(decisions, now, actions);
}

std::vector<server_action> call_server::didBreakOff(std::string const& id)
{
    std::vector<server_action> actions;
    auto* entry = m_ledger.find(id);
    if (!entry || entry->state != run_state::Running)
        return actions;
    entry->isBroken = true;
    if (m_checked.insert(entry->call.target).second)
        actions.push_back(check_target { entry->call.target, entry->targetAddress });
    return actions;
}

std::vector<server_action> call_server::didCheckTarget(
    std::string const& target, target_condition condition, local_targets const& targets, time_point now)
{
    std::vector<server_action> actions;
    m_checked.erase(target);
    auto const* announced = targets.find(target);
    bool const isLeaving
        = announced && (announced->state == target_state::Draining || announced->state == target_state::Gone);
    if (condition == target_condition::Refusing && !isLeaving)
        blameRuns(target, now);
    for (auto const& id : m_ledger.runningAt(target)) {
        if (m_ledger.find(id)->isBroken)
            lose(id, now, actions);
    }
    continueTrials(now, actions);
    return actions;
}

// Counts the crash of the target against the requests that ran there. Connections that have not been seen to end yet
// belong to the same crash.
void call_server::blameRuns(std::string const& target, time_point now)
{
    std::map<std::uint64_t, std::vector<crashed_run>> runsByCrash;
    for (auto const& id : m_ledger.runningAt(target)) {
        auto const& entry = *m_ledger.find(id);
        runsByCrash[crashIdentifier(target, entry.targetStart)].push_back({ entry.request, entry.isTrial });
    }
    for (auto const& [crash, runs] : runsByCrash)
        m_crashing->didCrash(crash, runs, now);
}

void call_server::offer(ledger_entry const& entry, time_point now, std::vector<server_action>& actions)
{
    auto const& call = entry.call;
    if (entry.isTrial && m_trials.current(call.target) != call.id) {
        auto const verdict = m_trials.add(call.target, call.id);
        if (verdict == target_trials::verdict::Wait)
            return;
        if (verdict == target_trials::verdict::Refuse) {
            refuseWaiters(std::string(call.id), refusal_reason::Overloaded, retryAfterTrials, now, actions);
            return;
        }
    }
    apply(m_queues[call.target].offer(admissionRequest(call, entry.deadline, entry.objective), now), now, actions);
}

void call_server::continueTrials(time_point now, std::vector<server_action>& actions)
{
    for (auto const& id : m_trials.waiting()) {
        auto const* entry = m_ledger.find(id);
        if (entry && m_crashing->standing(entry->request, now) == request_standing::Blocked) {
            auto const blockedFor = std::chrono::ceil<milliseconds>(m_crashing->blockedFor(entry->request, now));
            refuseWaiters(id, refusal_reason::CrashesTargets, blockedFor, now, actions);
        } else if (entry && now + m_settings.deadlineMargin >= entry->deadline) {
            refuseWaiters(id, refusal_reason::DeadlineTooShort, retryAfterTrials, now, actions);
        }
    }
    for (auto const& id : m_trials.takeNext()) {
        if (auto const* entry = m_ledger.find(id))
            offer(*entry, now, actions);
    }
}

void call_server::didAnnouncePace(std::string const& target, std::uint32_t percent, time_point now)
{
    m_queues[target].setPace({ percent, now });
    if (m_settings.order == order_choice::Automatic)
        useServiceOrder(target);
}

void call_server::didAnnounceLoad(std::string const& target, std::uint32_t calls, time_point now)
{
    auto const queue = m_queues.find(target);
    if (queue == m_queues.end() || !m_startedAt || now - *m_startedAt >= earlierRunsRetention)
        return;
    auto limits = queue->second.limits();
    auto& held = m_heldSlots[target];
    limits.slots += std::exchange(held, 0);
    auto const own = static_cast<std::uint32_t>(queue->second.running());
    held = std::min(calls - std::min(calls, own), limits.slots - std::min(limits.slots, 1u));
    limits.slots -= held;
    queue->second.setLimits(limits);
}

void call_server::releaseHeldSlots(time_point now)
{
    if (now - *m_startedAt < earlierRunsRetention)
        return;
    for (auto const& [target, held] : std::exchange(m_heldSlots, {})) {
        auto& queue = m_queues[target];
        auto limits = queue.limits();
        limits.slots += held;
        queue.setLimits(limits);
    }
}

} // namespace merlinpier
