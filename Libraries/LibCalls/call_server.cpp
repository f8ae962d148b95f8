#include <LibCalls/call_server.h>

#include <LibCalls/request_fingerprint.h>
#include <algorithm>

namespace merlinpier {

namespace {

// Above this pace, a target takes no call that can start at once elsewhere.
constexpr std::uint32_t slowPacePercent = 150;

refusal_reason reasonOf(admission_decision::kind refusal)
{
    switch (refusal) {
    case admission_decision::kind::RefuseDeadline:
        return refusal_reason::DeadlineTooShort;
    case admission_decision::kind::RefuseLimit:
        return refusal_reason::RequestLimit;
    default:
        return refusal_reason::Overloaded;
    }
}

} // namespace

call_server::call_server(
    call_server_settings settings, std::shared_ptr<crashing_requests> crashing, std::shared_ptr<run_evidence> evidence)
    : m_settings(settings)
    , m_ledger(settings.maximumAnswerBytes)
    , m_crashing(std::move(crashing))
    , m_evidence(std::move(evidence))
{
}

void call_server::raiseFence(call_origin const& origin, time_point now)
{
    m_fence.raise(origin.instance, origin.generation, now);
}

std::vector<server_action> call_server::didReceiveCall(call_origin const& origin, call_request const& call,
    local_targets const& targets, configuration_set const& configuration, time_point now)
{
    std::vector<server_action> actions;
    m_version = std::max<std::uint64_t>(m_version, configuration.version());
    call_waiter const waiter { origin.instance, call.id };
    auto const attempt = parseAttemptIdentifier(call.id);
    if (!attempt) {
        refuse(waiter, call, refusal_reason::StaleGeneration, retryAfterRouteChange, now, actions);
        return actions;
    }
    // A late duplicate of an admitted attempt must not be refused: the originating daemon would take it as not run.
    if (m_fence.isStale(origin.instance, std::min(origin.generation, call.generation))) {
        if (!wasAdmitted(waiter, *attempt, now))
            refuse(waiter, call, refusal_reason::StaleGeneration, retryAfterRouteChange, now, actions);
        return actions;
    }
    if (call.instance != m_settings.instance) {
        refuse(waiter, call, refusal_reason::OtherInstance, retryAfterRouteChange, now, actions);
        return actions;
    }
    if (handleKnownAttempt(origin, *attempt, call, now, actions)
        || joinEarlierRun(origin, *attempt, call, now, actions))
        return actions;

    if (auto const reason = reasonToRefuse(call, targets, configuration)) {
        refuse(waiter, call, *reason, retryAfterRouteChange, now, actions);
        return actions;
    }
    auto const request = requestFingerprint(call.caller, call.path, call.body);
    m_crashing->learn(call.crashReports, crashing_requests::report_origin::Other, now);
    auto const standing = m_crashing->standing(request, now);
    if (standing == request_standing::Blocked) {
        auto const blockedFor = std::chrono::ceil<milliseconds>(m_crashing->blockedFor(request, now));
        refuse(waiter, call, refusal_reason::CrashesTargets, blockedFor, now, actions);
        return actions;
    }
    auto const* serviceConfiguration = configuration.service(call.service);
    auto& queue = queueOf(call, *serviceConfiguration, *targets.find(call.target));
    auto const deadline = now + milliseconds(call.remainingMs);
    auto const objective = call.objectiveMs > 0 ? now + milliseconds(call.objectiveMs) : time_point {};
    bool const isSlow = queue.pace().percentAt(now) > slowPacePercent;
    if (call.onlyIfFree && (isSlow || !queue.canStart(admissionRequest(call, deadline, objective), now))) {
        refuse(waiter, call, refusal_reason::Overloaded, retryAfterRouteChange, now, actions);
        return actions;
    }
    if (auto const late = linkShortFor(origin, call)) {
        ++m_linkRefusals;
        refuse(waiter, call, refusal_reason::Overloaded, *late, now, actions);
        return actions;
    }
    ledger_entry entry { .call = call, .isKeyed = attempt->isKeyed };
    entry.waiters = { waiter };
    entry.call.id = attempt->call;
    entry.request = request;
    entry.isTrial = standing == request_standing::Suspect;
    entry.targetStart = targets.find(call.target)->startedAt;
    entry.deadline = deadline;
    entry.targetAddress = targets.find(call.target)->address;
    entry.retention = std::max<duration>(
        m_settings.answerRetention, attempt->isKeyed ? serviceConfiguration->answerRetention : duration::zero());
    // After the deadline nobody asks for the answer, which may be large, and the call may run again.
    if (call.isBulk && call.isIdempotent && !attempt->isKeyed)
        entry.retention = std::min<duration>(entry.retention, milliseconds(call.remainingMs));
    entry.objective = objective;
    offer(m_ledger.add(attempt->call, std::move(entry)), now, actions);
    return actions;
}

bool call_server::wasAdmitted(call_waiter const& waiter, attempt_identifier const& attempt, time_point now)
{
    return m_ledger.findWaiter(waiter, attempt.call)
        || m_fence.window(waiter.instance, now).classify(attempt.number) == replay_window::verdict::Seen;
}

// Handles an attempt that arrived before, which is never admitted again; false if the attempt is new.
bool call_server::handleKnownAttempt(call_origin const& origin, attempt_identifier const& attempt,
    call_request const& call, time_point now, std::vector<server_action>& actions)
{
    call_waiter const waiter { origin.instance, call.id };
    if (auto const* entry = m_ledger.findWaiter(waiter, attempt.call)) {
        reply(*entry, waiter, now, actions);
        return true;
    }
    auto& window = m_fence.window(origin.instance, now);
    auto const verdict = window.classify(attempt.number);
    if (verdict == replay_window::verdict::New) {
        window.add(attempt.number);
        return false;
    }
    // An attempt below the window may be a first arrival that was delayed: a refusal lets it run elsewhere. If it is a
    // duplicate of an attempt that ran, the originating daemon has acknowledged the answer and ignores the refusal.
    if (verdict == replay_window::verdict::BelowWindow)
        refuse(waiter, call, refusal_reason::StaleGeneration, retryAfterRouteChange, now, actions);
    return true;
}

// Lets an attempt share the run of an earlier attempt of the same call; false if the call has to run.
bool call_server::joinEarlierRun(call_origin const& origin, attempt_identifier const& attempt, call_request const& call,
    time_point now, std::vector<server_action>& actions)
{
    auto* entry = m_ledger.find(attempt.call);
    if (!entry)
        return false;
    bool const isAnswerDropped = entry->hasEnded() && !entry->answer;
    if (isAnswerDropped && call.isIdempotent) {
        m_ledger.erase(attempt.call);
        return false;
    }
    call_waiter const waiter { origin.instance, call.id };
    entry->waiters.push_back(waiter);
    reply(*entry, waiter, now, actions);
    return true;
}

std::optional<refusal_reason> call_server::reasonToRefuse(
    call_request const& call, local_targets const& targets, configuration_set const& configuration) const
{
    if (call.hops >= m_settings.hopLimit)
        return refusal_reason::HopLimit;
    if (!configuration.service(call.service))
        return refusal_reason::UnknownService;
    auto const* target = targets.find(call.target);
    if (!target || target->service != call.service)
        return refusal_reason::UnknownTarget;
    if (target->state == target_state::Gone || !configuration.isLicensed(target->service, target->licence))
        return refusal_reason::Unlicensed;
    if (target->state == target_state::Starting)
        return refusal_reason::TargetUnreachable;
    if (target->state != target_state::Ready || targets.isClosed(call.target))
        return refusal_reason::Draining;
    return std::nullopt;
}

std::vector<server_action> call_server::didReceiveCancel(
    call_origin const& origin, call_cancel const& cancel, time_point now)
{
    std::vector<server_action> actions;
    auto const attempt = parseAttemptIdentifier(cancel.id);
    if (!attempt)
        return actions;
    // Records the number even if the call has not arrived yet, so that a call overtaken by its cancel is not run.
    m_fence.window(origin.instance, now).add(attempt->number);
    call_waiter const waiter { origin.instance, cancel.id };
    auto* entry = m_ledger.findWaiter(waiter, attempt->call);
    if (!entry)
        return actions;
    bool const isLast = entry->waiters.size() == 1;
    if (isLast && entry->state == run_state::Queued) {
        withdrawQueued(attempt->call, now, actions);
        return actions;
    }
    if (isLast && entry->state == run_state::Running)
        actions.emplace_back(std::in_place_type<abort_call>, abort_call { attempt->call });
    m_ledger.release(waiter, attempt->call);
    return actions;
}

void call_server::didReceiveAcknowledge(call_origin const& origin, call_acknowledge const& acknowledge)
{
    for (auto const& id : acknowledge.ids) {
        if (auto const attempt = parseAttemptIdentifier(id))
            m_ledger.release({ origin.instance, id }, attempt->call);
    }
}

std::vector<server_action> call_server::didReceiveQuery(
    call_origin const& origin, call_query const& query, time_point now)
{
    // A query on a replaced connection needs no reply: the originating daemon repeats it on the newest connection.
    if (m_fence.isStale(origin.instance, origin.generation))
        return {};
    std::vector<server_action> actions;
    call_query_answer answer { m_settings.instance, {} };
    for (auto const& id : query.ids) {
        bool const isOurs = query.instance == m_settings.instance;
        if (isOurs && query.recallsWaiting)
            recall(origin, id, now, actions);
        answer.statuses.push_back(
            isOurs ? statusOf(origin, id, now) : call_status { id, call_outcome::CannotTell, {}, {} });
    }
    actions.push_back(reply_to_origin { origin.instance, answer });
    return actions;
}

void call_server::recall(
    call_origin const& origin, std::string const& id, time_point now, std::vector<server_action>& actions)
{
    auto const attempt = parseAttemptIdentifier(id);
    auto const* entry = attempt ? m_ledger.findWaiter({ origin.instance, id }, attempt->call) : nullptr;
    if (!entry || entry->state != run_state::Queued || entry->waiters.size() > 1)
        return;
    m_fence.window(origin.instance, now).markNotRun(attempt->number);
    withdrawQueued(attempt->call, now, actions);
}

void call_server::withdrawQueued(std::string const& id, time_point now, std::vector<server_action>& actions)
{
    auto const target = m_ledger.find(id)->call.target;
    m_queues[target].withdraw(id);
    m_trials.remove(target, id);
    m_ledger.erase(id);
    continueTrials(now, actions);
}

call_status call_server::statusOf(call_origin const& origin, std::string const& id, time_point now)
{
    auto const attempt = parseAttemptIdentifier(id);
    if (!attempt)
        return { id, call_outcome::CannotTell, {}, {} };
    if (auto const* entry = m_ledger.findWaiter({ origin.instance, id }, attempt->call)) {
        if (!entry->hasEnded())
            return { id, call_outcome::Running, {}, {} };
        if (!entry->answer)
            return { id, call_outcome::OutcomeUnknown, {}, {} };
        auto answer = *entry->answer;
        answer.id = id;
        return { id, call_outcome::Finished, std::move(answer), {} };
    }
    auto& window = m_fence.window(origin.instance, now);
    switch (window.classify(attempt->number)) {
    case replay_window::verdict::Seen:
        return { id, call_outcome::OutcomeUnknown, {}, {} };
    case replay_window::verdict::SeenNotRun: {
        auto const retryAfter = static_cast<std::uint32_t>(retryAfterRouteChange.count());
        return { id, call_outcome::Refused, {}, call_refused { id, refusal_reason::Overloaded, retryAfter } };
    }
    default:
        // The fence rejects the call's frame only on older connections; markNotRun() rejects it on every connection.
        window.markNotRun(attempt->number);
        return { id, call_outcome::Unknown, {}, {} };
    }
}

std::vector<server_action> call_server::didStartDraining(std::string const& target, time_point now)
{
    std::vector<server_action> actions;
    auto const queue = m_queues.find(target);
    if (queue == m_queues.end())
        return actions;
    for (auto const& decision : queue->second.refuseWaiting(now))
        refuseWaiters(decision.id, refusal_reason::Draining, retryAfterRouteChange, now, actions);
    for (auto const& id : m_trials.waiting()) {
        auto const* entry = m_ledger.find(id);
        if (entry && entry->call.target == target)
            refuseWaiters(id, refusal_reason::Draining, retryAfterRouteChange, now, actions);
    }
    return actions;
}

std::vector<server_action> call_server::setRequestLimit(
    std::string const& target, std::optional<double> requestsPerSecond, time_point now)
{
    std::vector<server_action> actions;
    if (!requestsPerSecond && !m_queues.contains(target))
        return actions;
    auto& queue = m_queues[target];
    queue.setRequestLimit(requestsPerSecond, now);
    apply(queue.tick(now), now, actions);
    return actions;
}

std::vector<server_action> call_server::tick(time_point now)
{
    if (!m_startedAt)
        m_startedAt = now;
    releaseHeldSlots(now);
    std::vector<server_action> actions;
    for (auto& [target, queue] : m_queues)
        apply(queue.tick(now), now, actions);
    continueTrials(now, actions);
    m_ledger.expire(now);
    m_fence.expire(now, m_settings.originRetention);
    return actions;
}

std::size_t call_server::running() const
{
    std::size_t count = 0;
    for (auto const& [target, queue] : m_queues)
        count += queue.running();
    return count;
}

double call_server::retriedShare() const
{
    std::size_t const all = running();
    return all == 0 ? 0 : static_cast<double>(m_ledger.runningRetries()) / static_cast<double>(all);
}

std::size_t call_server::queued() const
{
    std::size_t count = 0;
    for (auto const& [target, queue] : m_queues)
        count += queue.queued();
    return count;
}

std::size_t call_server::unsettled() const { return m_ledger.unsettled(); }

std::map<std::string, target_load> call_server::loads(time_point now) const
{
    std::map<std::string, target_load> loads;
    for (auto const& [target, queue] : m_queues) {
        loads[target] = { queue.limits().slots, static_cast<std::uint32_t>(queue.running()),
            static_cast<std::uint32_t>(queue.queued()), queue.loadPermille(now), queue.requestLimit(),
            queue.pace().percentAt(now), queue.order(), queue.orderTotals() };
    }
    return loads;
}

admission_queue& call_server::queueOf(
    call_request const& call, service_configuration const& service, target_announcement const& target)
{
    auto& queue = m_queues[call.target];
    bool const isUnlimited = m_settings.admission == admission_policy::Unlimited;
    auto const slots = service.answers.slotsPerCopy > 0 ? service.answers.slotsPerCopy : target.slots;
    auto const queueLimit = service.queueLimit > 0 ? service.queueLimit : slots * m_settings.queuedPerSlot;
    auto const found = m_heldSlots.find(call.target);
    auto const held = found == m_heldSlots.end() ? 0 : std::min(found->second, slots - std::min(slots, 1u));
    queue.setLimits({ slots - held, queueLimit, m_settings.deadlineMargin, isUnlimited });
    bool const isAutomatic = m_settings.order == order_choice::Automatic;
    if (m_settings.order == order_choice::Value || (isAutomatic && !call.tenant.empty()))
        useServiceOrder(call.target);
    return queue;
}

void call_server::refuse(call_waiter const& waiter, call_request const& call, refusal_reason reason,
    milliseconds retryAfter, time_point now, std::vector<server_action>& actions)
{
    if (auto const attempt = parseAttemptIdentifier(waiter.attempt))
        m_fence.window(waiter.instance, now).markNotRun(attempt->number);
    call_refused refusal { waiter.attempt, reason, static_cast<std::uint32_t>(retryAfter.count()),
        loadOf(call.target, now), m_version, serviceUsOf(call) };
    refusal.pacePercent = pacePercentOf(call.target, now);
    if (reason == refusal_reason::CrashesTargets)
        refusal.crashReports = m_crashing->reportsAbout(requestFingerprint(call.caller, call.path, call.body));
    actions.push_back(reply_to_origin { waiter.instance, refusal });
}

// Refuses every attempt of a call that will not run and removes the call from the ledger, so that a new attempt may be
// admitted.
void call_server::refuseWaiters(std::string const& id, refusal_reason reason, milliseconds retryAfter, time_point now,
    std::vector<server_action>& actions)
{
    auto const* entry = m_ledger.find(id);
    if (!entry)
        return;
    for (auto const& waiter : entry->waiters)
        refuse(waiter, entry->call, reason, retryAfter, now, actions);
    m_trials.remove(entry->call.target, id);
    m_ledger.erase(id);
}

void call_server::apply(
    std::vector<admission_decision> const& decisions, time_point now, std::vector<server_action>& actions)
{
    using kind = admission_decision::kind;
    for (auto const& decision : decisions) {
        auto* entry = m_ledger.find(decision.id);
        if (!entry || decision.verdict == kind::Wait)
            continue;
        if (decision.verdict == kind::Run) {
            entry->state = run_state::Running;
            entry->startedAt = now;
            auto const left = std::chrono::ceil<milliseconds>(entry->deadline - now);
            actions.push_back(run_call { entry->call, entry->targetAddress, left });
            continue;
        }
        refuseWaiters(decision.id, reasonOf(decision.verdict), decision.retryAfter, now, actions);
    }
}

void call_server::reply(
    ledger_entry const& entry, call_waiter const& waiter, time_point now, std::vector<server_action>& actions) const
{
    if (!entry.hasEnded())
        return;
    if (!entry.answer) {
        call_lost const lost { waiter.attempt, loadOf(entry.call.target, now), m_version,
            m_crashing->reportsAbout(entry.request) };
        actions.push_back(reply_to_origin { waiter.instance, lost });
        return;
    }
    auto answer = *entry.answer;
    answer.id = waiter.attempt;
    auto const bulkDeadline = entry.call.isBulk ? std::optional(entry.deadline) : std::nullopt;
    actions.push_back(reply_to_origin { waiter.instance, std::move(answer), bulkDeadline });
}

std::uint32_t call_server::loadOf(std::string const& target, time_point now) const
{
    auto const found = m_queues.find(target);
    return found == m_queues.end() ? 0 : found->second.loadPermille(now);
}

std::uint32_t call_server::serviceUsOf(call_request const& call) const
{
    auto const found = m_queues.find(call.target);
    if (found == m_queues.end())
        return 0;
    auto const learnt = found->second.serviceTime(call.entryPoint, call.callClass);
    return static_cast<std::uint32_t>(std::chrono::duration_cast<microseconds>(learnt).count());
}

std::uint32_t call_server::pacePercentOf(std::string const& target, time_point now) const
{
    auto const found = m_queues.find(target);
    return found == m_queues.end() ? 0 : found->second.pace().percentAt(now);
}

} // namespace merlinpier
