#include <LibCalls/admission_queue.h>

#include <algorithm>
#include <cmath>

namespace merlinpier {

namespace {

// Weight of the newest service time in the moving mean.
constexpr double learningShare = 0.1;
// Refusals count towards the time to come back for about this long.
constexpr double refusalMemorySeconds = 1;
constexpr milliseconds longestRetryAfter { 5000 };
// Told before any service time has been learnt.
constexpr milliseconds unlearntRetryAfter { 100 };

} // namespace

std::vector<admission_decision> admission_queue::offer(admission_request const& request, time_point now)
{
    using kind = admission_decision::kind;
    std::vector<admission_decision> decisions;
    bool const isReport = request.callClass == call_class::Report;
    bool const mustWait = !m_urgent.empty() || (isReport && !m_reports.empty());
    if (m_limits.isUnlimited || (!mustWait && hasSlotFor(request.callClass))) {
        // A free slot is given whatever the service time learnt so far: else a time that was learnt too long would
        // refuse every call and never be corrected.
        if (!m_limits.isUnlimited && now + m_limits.deadlineMargin >= request.deadline)
            return { refuse(request.id, kind::RefuseDeadline, now) };
        start(request, now, decisions);
        return decisions;
    }
    auto const ahead = m_urgent.size() + (isReport ? m_reports.size() : 0);
    if (!canStillEnd(request, expectedWait(ahead), now))
        return { refuse(request.id, kind::RefuseDeadline, now) };
    if (queued() >= m_limits.queueLimit) {
        if (isReport || m_reports.empty() || m_limits.queueLimit == 0)
            return { refuse(request.id, kind::RefuseOverloaded, now) };
        decisions.push_back(refuse(m_reports.back().id, kind::RefuseOverloaded, now));
        m_reports.pop_back();
    }
    (isReport ? m_reports : m_urgent).push_back(request);
    decisions.insert(decisions.begin(), { request.id, kind::Wait, milliseconds(0) });
    return decisions;
}

std::vector<admission_decision> admission_queue::release(std::string const& id, learning mode, time_point now)
{
    std::vector<admission_decision> decisions;
    auto const found = m_running.find(id);
    if (found == m_running.end())
        return decisions;
    if (mode == learning::Learn)
        learn(found->second.callClass, now - found->second.since);
    m_running.erase(found);
    startWaiting(now, decisions);
    return decisions;
}

bool admission_queue::withdraw(std::string const& id)
{
    auto const isWanted = [&](admission_request const& request) {
        return request.id == id;
    };
    return std::erase_if(m_urgent, isWanted) + std::erase_if(m_reports, isWanted) > 0;
}

std::vector<admission_decision> admission_queue::tick(time_point now)
{
    std::vector<admission_decision> decisions;
    startWaiting(now, decisions);
    return decisions;
}

std::uint32_t admission_queue::loadPermille() const
{
    auto const slots = std::max<std::size_t>(1, m_limits.slots);
    return static_cast<std::uint32_t>((running() + queued()) * 1000 / slots);
}

// A report starts only where a third of the slots stays free for calls that somebody waits for, since a report may hold
// a slot for many times as long as they do.
bool admission_queue::hasSlotFor(call_class callClass) const
{
    std::size_t const reserve = m_limits.slots > 1 ? (m_limits.slots + 2) / 3 : 0;
    return running() + (callClass == call_class::Report ? reserve : 0) < m_limits.slots;
}

// The wait of a call that comes after the given number of waiting calls, when every slot is taken: slots get free at a
// rate of slots / service time of what runs.
duration admission_queue::expectedWait(std::size_t callsAhead) const
{
    return serviceTimeOfRunning() * (callsAhead + 1) / std::max<std::uint32_t>(1, m_limits.slots);
}

duration admission_queue::serviceTimeOfRunning() const
{
    duration sum { 0 };
    for (auto const& [id, call] : m_running)
        sum += serviceTime(call.callClass);
    return m_running.empty() ? sum : sum / static_cast<std::int64_t>(m_running.size());
}

duration admission_queue::serviceTime(call_class callClass) const
{
    return m_serviceTimes[static_cast<std::size_t>(callClass)];
}

admission_decision admission_queue::refuse(std::string const& id, admission_decision::kind kind, time_point now)
{
    return { id, kind, retryAfter(now) };
}

// The time that the target needs for the calls that wait and for those refused within the last second or so, as these
// come back too. Without the latter, callers would be told the drain of a short queue, and return all at once.
milliseconds admission_queue::retryAfter(time_point now)
{
    double const elapsed = std::chrono::duration<double>(now - m_refusedAt).count();
    m_recentRefusals *= std::exp(-elapsed / refusalMemorySeconds);
    auto const ahead = queued() + static_cast<std::size_t>(m_recentRefusals);
    m_recentRefusals += 1;
    m_refusedAt = now;
    auto const drain = std::chrono::ceil<milliseconds>(expectedWait(ahead));
    return drain > milliseconds(0) ? std::min(drain, longestRetryAfter) : unlearntRetryAfter;
}

void admission_queue::start(
    admission_request const& request, time_point now, std::vector<admission_decision>& decisions)
{
    m_running[request.id] = { request.callClass, now };
    decisions.push_back({ request.id, admission_decision::kind::Run, milliseconds(0) });
}

void admission_queue::startWaiting(time_point now, std::vector<admission_decision>& decisions)
{
    dropLate(m_urgent, now, decisions);
    dropLate(m_reports, now, decisions);
    while (!m_urgent.empty() && hasSlotFor(call_class::Interactive)) {
        start(m_urgent.front(), now, decisions);
        m_urgent.pop_front();
    }
    while (m_urgent.empty() && !m_reports.empty() && hasSlotFor(call_class::Report)) {
        start(m_reports.front(), now, decisions);
        m_reports.pop_front();
    }
}

void admission_queue::dropLate(
    std::deque<admission_request>& queue, time_point now, std::vector<admission_decision>& decisions)
{
    std::erase_if(queue, [&](admission_request const& request) {
        if (canStillEnd(request, duration::zero(), now))
            return false;
        decisions.push_back(refuse(request.id, admission_decision::kind::RefuseDeadline, now));
        return true;
    });
}

bool admission_queue::canStillEnd(admission_request const& request, duration wait, time_point now) const
{
    return now + wait + serviceTime(request.callClass) + m_limits.deadlineMargin <= request.deadline;
}

void admission_queue::learn(call_class callClass, duration measured)
{
    auto& mean = m_serviceTimes[static_cast<std::size_t>(callClass)];
    if (mean == duration::zero()) {
        mean = measured;
        return;
    }
    auto const change = std::chrono::duration<double, duration::period>(measured - mean) * learningShare;
    mean += std::chrono::duration_cast<duration>(change);
}

} // namespace merlinpier
