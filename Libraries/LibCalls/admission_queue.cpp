#include <LibCalls/admission_queue.h>
#include <LibWire/state_names.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace merlinpier {

namespace {

// Time constant of the decay of the refusal count that enters into the retry-after time.
constexpr double refusalDecaySeconds = 1;
constexpr milliseconds maximumRetryAfter { 5000 };
// Retry-after time while no service time has been measured.
constexpr milliseconds defaultRetryAfter { 100 };
constexpr std::uint32_t permilleScale = 1000;
// A call is short if the mean service time of the running calls is at least this many times its own.
constexpr int shortCallFactor = 3;
// The longest wait for a request limit that the load shows, in service times.
constexpr double maximumLoadPerSlot = 1000;

} // namespace

std::vector<admission_decision> admission_queue::offer(admission_request const& request, time_point now)
{
    using kind = admission_decision::kind;
    m_lastEventAt = now;
    if (m_order == admission_order::ServiceOrder)
        return offerInServiceOrder(request, now);
    std::vector<admission_decision> decisions;
    auto const ahead = callsAheadOf(request, now);
    if (m_limits.isUnlimited || (ahead == 0 && hasSlotFor(request.callClass) && m_limiter.maySend(now))) {
        // A free slot is granted regardless of the estimated service time: otherwise an estimate that is too long would
        // cause every call to be refused and would never be corrected.
        if (!m_limits.isUnlimited && now + m_limits.deadlineMargin >= request.deadline)
            return { refuse(request.id, kind::RefuseDeadline, now) };
        start(request, now, decisions);
        return decisions;
    }
    auto const wait = expectedWait(ahead, now);
    if (!canMeetDeadline(request, wait, now))
        return { refuse(request.id, kind::RefuseDeadline, now) };
    if (exceedsLateAllowance(request, wait, now) || isExpectedToStarve(request, now))
        return { refuse(request.id, capacityRefusal(ahead, now), now) };
    if (queued() >= m_limits.queueLimit) {
        // The call that would be served last is displaced; among equals it is the newest.
        auto const last = std::min_element(m_waiting.rbegin(), m_waiting.rend(),
            [&](auto const& first, auto const& second) { return precedes(second.request, first.request, now); });
        if (last == m_waiting.rend() || !precedes(request, last->request, now))
            return { refuse(request.id, capacityRefusal(ahead, now), now) };
        decisions.push_back(refuse(last->request.id, capacityRefusal(queued(), now), now));
        m_waiting.erase(std::next(last).base());
    }
    m_waiting.push_back({ request });
    decisions.insert(decisions.begin(), { request.id, kind::Wait, milliseconds(0) });
    return decisions;
}

bool admission_queue::canStart(call_class callClass, time_point now) const
{
    return m_limits.isUnlimited || (m_waiting.empty() && hasSlotFor(callClass) && m_limiter.maySend(now));
}

bool admission_queue::canStart(admission_request const& request, time_point now) const
{
    if (m_order == admission_order::ObjectiveFirst)
        return canStart(request.callClass, now);
    // Calls of lower ranks may wait beside a slot that is reserved for this one.
    bool const isNext = std::all_of(m_waiting.begin(), m_waiting.end(),
        [&](waiting_call const& waiting) { return rankOf(request) < rankOf(waiting.request); });
    return m_limits.isUnlimited || (isNext && mayStart(request, now));
}

std::vector<admission_decision> admission_queue::release(std::string const& id, learning mode, time_point now)
{
    m_lastEventAt = now;
    std::vector<admission_decision> decisions;
    auto const found = m_running.find(id);
    if (found == m_running.end())
        return decisions;
    if (mode == learning::Learn)
        m_serviceTimes.addSample(
            found->second.kind, usualTime(now - found->second.since, found->second.pacePercent, m_pace.percentAt(now)));
    m_running.erase(found);
    startWaiting(now, decisions);
    return decisions;
}

bool admission_queue::withdraw(std::string const& id)
{
    auto const hasIdentifier = [&](waiting_call const& waiting) {
        return waiting.request.id == id;
    };
    return std::erase_if(m_waiting, hasIdentifier) > 0;
}

std::vector<admission_decision> admission_queue::refuseWaiting(time_point now)
{
    std::vector<admission_decision> decisions;
    for (auto const& waiting : std::exchange(m_waiting, {}))
        decisions.push_back(refuse(waiting.request.id, admission_decision::kind::RefuseOverloaded, now));
    return decisions;
}

std::vector<admission_decision> admission_queue::tick(time_point now)
{
    m_lastEventAt = now;
    std::vector<admission_decision> decisions;
    startWaiting(now, decisions);
    return decisions;
}

std::uint32_t admission_queue::loadPermille(time_point now) const
{
    double const slots = std::max<double>(1, m_limits.slots);
    double calls = static_cast<double>(running() + queued());
    std::chrono::duration<double> const limitWait = m_limiter.expectedWait(queued(), now);
    std::chrono::duration<double> const serviceTime = serviceTimeOfRunning();
    if (limitWait.count() > 0) {
        // The calls that the slots would end during the wait, ahead of a further one.
        auto const perSlot = serviceTime.count() > 0 ? std::min(limitWait / serviceTime, maximumLoadPerSlot) : 1.0;
        calls = std::max(calls, slots - 1 + slots * perSlot);
    }
    return static_cast<std::uint32_t>(calls * permilleScale / slots);
}

// A report starts only if a third of the slots stays free for interactive calls and confirmations, since a report may
// hold a slot many times longer than these do.
bool admission_queue::hasSlotFor(call_class callClass) const
{
    std::size_t const reserve = m_limits.slots > 1 ? (m_limits.slots + 2) / 3 : 0;
    return running() + (callClass == call_class::Report ? reserve : 0) < m_limits.slots;
}

duration admission_queue::expectedWait(std::size_t callsAhead, time_point now) const
{
    auto const limitWait = m_limiter.expectedWait(callsAhead, now);
    // With a request limit, calls may wait although slots are free.
    bool const hasFreeSlots = m_limiter.limit() && running() + callsAhead < m_limits.slots;
    return hasFreeSlots ? limitWait : std::max(limitWait, expectedWaitForSlot(callsAhead));
}

admission_decision::kind admission_queue::capacityRefusal(std::size_t callsAhead, time_point now) const
{
    auto const limitWait = m_limiter.expectedWait(callsAhead, now);
    bool const isLimitBinding = limitWait > duration::zero() && limitWait >= expectedWait(callsAhead, now);
    return isLimitBinding ? admission_decision::kind::RefuseLimit : admission_decision::kind::RefuseOverloaded;
}

// Expected wait of a call behind the given number of waiting calls when every slot is taken: slots become free at the
// rate of slots / mean service time of the running calls.
duration admission_queue::expectedWaitForSlot(std::size_t callsAhead) const
{
    return serviceTimeOfRunning() * (callsAhead + 1) / std::max<std::uint32_t>(1, m_limits.slots);
}

duration admission_queue::serviceTimeOfRunning() const
{
    duration sum { 0 };
    for (auto const& [id, call] : m_running)
        sum += m_serviceTimes.meanOf(call.kind);
    return m_running.empty() ? sum : m_pace.timeFor(sum / static_cast<std::int64_t>(m_running.size()), m_lastEventAt);
}

duration admission_queue::serviceTime(std::string const& kind, call_class callClass) const
{
    return m_serviceTimes.meanOf(kind.empty() ? className(callClass) : kind);
}

duration admission_queue::serviceTime(admission_request const& request) const
{
    return m_pace.timeFor(serviceTime(request.kind, request.callClass), m_lastEventAt);
}

admission_decision admission_queue::refuse(std::string const& id, admission_decision::kind kind, time_point now)
{
    return { id, kind, retryAfter(now) };
}

// The time that the target needs to serve the waiting calls and those refused recently, since refused callers retry as
// well. Without the latter, every refused caller would be given the drain time of a short queue, and all would retry at
// the same time.
milliseconds admission_queue::retryAfter(time_point now)
{
    double const elapsed = std::chrono::duration<double>(now - m_refusedAt).count();
    m_recentRefusals *= std::exp(-elapsed / refusalDecaySeconds);
    auto const ahead = queued() + static_cast<std::size_t>(m_recentRefusals);
    m_recentRefusals += 1;
    m_refusedAt = now;
    auto const drain = std::chrono::ceil<milliseconds>(expectedWait(ahead, now));
    return drain > milliseconds(0) ? std::min(drain, maximumRetryAfter) : defaultRetryAfter;
}

void admission_queue::start(
    admission_request const& request, time_point now, std::vector<admission_decision>& decisions)
{
    m_limiter.didSend(now);
    m_running[request.id] = { request.kind.empty() ? className(request.callClass) : request.kind, now,
        m_pace.percentAt(now), rankOf(request) };
    decisions.push_back({ request.id, admission_decision::kind::Run, milliseconds(0) });
}

void admission_queue::startWaiting(time_point now, std::vector<admission_decision>& decisions)
{
    if (m_order == admission_order::ServiceOrder) {
        settle(now, decisions);
        return;
    }
    refuseUnservable(now, decisions);
    while (!m_waiting.empty()) {
        auto const next = std::min_element(m_waiting.begin(), m_waiting.end(),
            [&](auto const& first, auto const& second) { return precedes(first.request, second.request, now); });
        // Every call that sorts after a report is a report as well, so no other waiting call has a slot either.
        if (!hasSlotFor(next->request.callClass) || !m_limiter.maySend(now))
            return;
        start(next->request, now, decisions);
        std::for_each(m_waiting.begin(), next, [](waiting_call& earlier) { ++earlier.overtakenBy; });
        m_waiting.erase(next);
    }
}

void admission_queue::refuseUnservable(time_point now, std::vector<admission_decision>& decisions)
{
    std::erase_if(m_waiting, [&](waiting_call const& waiting) {
        auto const& request = waiting.request;
        if (!canMeetDeadline(request, duration::zero(), now))
            decisions.push_back(refuse(request.id, admission_decision::kind::RefuseDeadline, now));
        else if (isStarving(waiting, now)) {
            m_starvedAt = now;
            decisions.push_back(refuse(request.id, admission_decision::kind::RefuseOverloaded, now));
        } else
            return false;
        return true;
    });
}

bool admission_queue::isStarving(waiting_call const& waiting, time_point now) const
{
    bool const isLate = waiting.request.isLate || exceedsLateAllowance(waiting.request, duration::zero(), now);
    return isLate && waiting.overtakenBy >= m_limits.slots;
}

bool admission_queue::isExpectedToStarve(admission_request const& request, time_point now) const
{
    return request.isLate && m_starvedAt && now - *m_starvedAt < serviceTimeOfRunning();
}

bool admission_queue::canMeetDeadline(admission_request const& request, duration wait, time_point now) const
{
    return now + wait + serviceTime(request) + m_limits.deadlineMargin <= request.deadline;
}

bool admission_queue::missesObjective(admission_request const& request, duration wait, time_point now) const
{
    bool const hasObjective = request.objective != time_point {};
    return request.isLate || (hasObjective && now + wait + serviceTime(request) > request.objective);
}

bool admission_queue::exceedsLateAllowance(admission_request const& request, duration wait, time_point now) const
{
    // A call whose objective had passed on arrival is only held to its deadline.
    if (request.isLate)
        return false;
    // A short call takes little capacity, and is often made by a longer call whose work would be wasted by a refusal.
    if (!missesObjective(request, wait, now) || serviceTime(request) * shortCallFactor <= serviceTimeOfRunning())
        return false;
    auto const allowed = (request.objective - now) * m_limits.lateAllowancePermille / permilleScale;
    return wait + serviceTime(request) > allowed;
}

bool admission_queue::precedes(admission_request const& first, admission_request const& second, time_point now) const
{
    auto const rank = [&](admission_request const& request) {
        return std::tuple(request.callClass == call_class::Report, request.priority,
            missesObjective(request, duration::zero(), now), request.isLate ? request.deadline : request.objective);
    };
    return rank(first) < rank(second);
}

std::size_t admission_queue::callsAheadOf(admission_request const& request, time_point now) const
{
    return static_cast<std::size_t>(std::count_if(m_waiting.begin(), m_waiting.end(),
        [&](auto const& waiting) { return !precedes(request, waiting.request, now); }));
}

} // namespace merlinpier
