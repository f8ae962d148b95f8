#include <Tests/LibCalls/order_simulation.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace merlinpier::fixture {

namespace {

constexpr milliseconds tickPeriod { 10 };
constexpr milliseconds impatience { 40 };
constexpr std::uint32_t impatientRepeats { 5 };
constexpr double valueOfLate = 0.4;
constexpr milliseconds binLength { 5 };

} // namespace

order_simulation::order_simulation(std::vector<order_target> targets, admission_order order)
    : m_targets(std::move(targets))
    , m_queues(m_targets.size())
{
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        m_queues[i].setLimits({ m_targets[i].slots, m_targets[i].queueLimit, milliseconds(5), false });
        m_queues[i].setOrder(order);
    }
}

void order_simulation::teach(std::string const& kind, duration work)
{
    for (auto& queue : m_queues) {
        admission_request sample;
        sample.id = "sample";
        sample.kind = kind;
        sample.deadline = m_now + seconds(100);
        queue.offer(sample, m_now - work);
        queue.release(sample.id, admission_queue::learning::Learn, m_now);
    }
}

std::vector<order_result> order_simulation::run(std::vector<order_call> const& calls)
{
    m_calls = calls;
    m_results.assign(calls.size(), {});
    auto end = m_now;
    for (std::size_t i = 0; i < calls.size(); ++i) {
        at(calls[i].at, [this, i] { request(i, false); });
        end = std::max(end, calls[i].at + calls[i].deadline);
    }
    for (auto when = m_now; when < end; when += tickPeriod) {
        at(when, [this] {
            for (std::size_t target = 0; target < m_queues.size(); ++target)
                apply(m_queues[target].tick(m_now));
        });
    }
    while (!m_events.empty()) {
        auto const next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.action();
    }
    return m_results;
}

void order_simulation::at(time_point when, std::function<void()> action)
{
    m_events.push({ std::max(when, m_now), ++m_order, std::move(action) });
}

std::vector<std::size_t> order_simulation::targetsOf(std::size_t service) const
{
    std::vector<std::size_t> targets;
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        if (m_targets[i].service == service && m_now < m_targets[i].goneFrom)
            targets.push_back(i);
    }
    std::stable_sort(targets.begin(), targets.end(), [&](std::size_t first, std::size_t second) {
        return m_queues[first].loadPermille(m_now) < m_queues[second].loadPermille(m_now);
    });
    return targets;
}

time_point order_simulation::startOf(std::size_t call, bool isInner) const
{
    return isInner ? m_innerStart.at(call) : m_calls[call].at;
}

duration order_simulation::deadlineOf(std::size_t call, bool isInner) const
{
    auto const& given = m_calls[call];
    if (!isInner)
        return given.deadline;
    return std::min(given.innerDeadline, given.at + given.deadline - m_innerStart.at(call));
}

void order_simulation::request(std::size_t call, bool isInner)
{
    auto const& given = m_calls[call];
    if (m_now >= startOf(call, isInner) + deadlineOf(call, isInner)) {
        if (isInner)
            endOuter(call);
        return;
    }
    auto const targets = targetsOf(isInner ? given.innerService : given.service);
    if (!targets.empty())
        offer(call, isInner, targets.front(), false);
}

void order_simulation::offer(std::size_t call, bool isInner, std::size_t target, bool isSecond)
{
    auto const& given = m_calls[call];
    auto const start = startOf(call, isInner);
    admission_request request;
    request.id = "attempt" + std::to_string(++m_lastAttempt);
    request.kind = isInner ? given.kind + "-inner" : given.kind;
    request.tenant = isInner ? std::string() : given.tenant;
    request.priority = given.priority;
    request.deadline = start + deadlineOf(call, isInner);
    auto const objective = start + (isInner ? given.innerObjective : given.objective);
    request.isLate = objective <= m_now;
    request.objective = request.isLate ? time_point {} : objective;
    m_attempts[request.id] = { call, isInner, target, m_now, isSecond };
    apply(m_queues[target].offer(request, m_now));
}

void order_simulation::apply(std::vector<admission_decision> const& decisions)
{
    for (auto const& decision : decisions) {
        if (decision.verdict == admission_decision::kind::Run)
            didStart(decision.id);
        else if (decision.verdict != admission_decision::kind::Wait)
            at(m_now, [this, decision] { didRefuse(decision.id, decision.retryAfter); });
    }
}

void order_simulation::didStart(std::string const& id)
{
    auto const& attempt = m_attempts.at(id);
    auto const& given = m_calls[attempt.call];
    at(m_now + (attempt.isInner ? given.innerWork : given.work), [this, id] { didEnd(id); });
}

void order_simulation::didEnd(std::string const& id)
{
    auto const ended = m_attempts.at(id);
    auto const& given = m_calls[ended.call];
    if (given.hasInner && !ended.isInner) {
        m_outer[ended.call] = id;
        m_innerStart[ended.call] = m_now;
        request(ended.call, true);
        return;
    }
    auto& result = m_results[ended.call];
    auto const took = m_now - given.at;
    if (took <= given.deadline)
        result.answeredAfter = took;
    m_attempts.erase(id);
    apply(m_queues[ended.target].release(id, admission_queue::learning::Learn, m_now));
    if (ended.isInner)
        endOuter(ended.call);
}

void order_simulation::endOuter(std::size_t call)
{
    auto const found = m_outer.find(call);
    if (found == m_outer.end())
        return;
    auto const id = found->second;
    m_outer.erase(found);
    auto const target = m_attempts.at(id).target;
    m_attempts.erase(id);
    apply(m_queues[target].release(id, admission_queue::learning::Learn, m_now));
}

void order_simulation::didRefuse(std::string const& id, milliseconds retryAfter)
{
    auto const refused = m_attempts.at(id);
    m_attempts.erase(id);
    auto const call = refused.call;
    auto const targets = targetsOf(refused.isInner ? m_calls[call].innerService : m_calls[call].service);
    auto const next
        = std::find_if(targets.begin(), targets.end(), [&](std::size_t target) { return target != refused.target; });
    if (next != targets.end() && !refused.isSecond) {
        offer(call, refused.isInner, *next, true);
        return;
    }
    m_results[call].wasHeldAndRefused |= m_now - refused.offeredAt > tickPeriod;
    comeBack(call, refused.isInner, retryAfter);
}

void order_simulation::comeBack(std::size_t call, bool isInner, milliseconds retryAfter)
{
    auto& refusals = isInner ? m_innerRefusals[call] : m_results[call].refusals;
    ++refusals;
    auto const left = startOf(call, isInner) + deadlineOf(call, isInner) - m_now;
    bool const isImpatient = m_calls[call].isImpatient && !isInner;
    if (isImpatient && refusals <= impatientRepeats)
        at(m_now + impatience, [this, call] { request(call, false); });
    else if (!isImpatient && refusals == 1 && retryAfter * 3 <= left)
        at(m_now + retryAfter, [this, call, isInner] { request(call, isInner); });
    else if (isInner)
        endOuter(call);
}

double weightOf(std::uint32_t priority) { return std::pow(2.0, 2.0 - priority); }

double valueOf(order_call const& call, order_result const& result)
{
    if (!result.answeredAfter)
        return 0;
    return weightOf(call.priority) * (*result.answeredAfter <= call.objective ? 1 : valueOfLate);
}

double bestKnownAfterwards(
    std::vector<order_call> const& calls, std::vector<order_target> const& targets, std::size_t service)
{
    auto const begin = calls.front().at;
    std::map<std::int64_t, double> room;
    auto const roomIn = [&](std::int64_t bin) -> double& {
        auto const [found, isNew] = room.try_emplace(bin, 0);
        auto const at = begin + binLength * bin;
        for (auto const& target : targets) {
            if (isNew && target.service == service && at < target.goneFrom)
                found->second += target.slots * std::chrono::duration<double>(binLength).count();
        }
        return found->second;
    };
    std::vector<std::size_t> sorted(calls.size());
    std::iota(sorted.begin(), sorted.end(), 0);
    auto const density = [&](std::size_t call) {
        return weightOf(calls[call].priority) / std::chrono::duration<double>(calls[call].work).count();
    };
    std::stable_sort(sorted.begin(), sorted.end(),
        [&](std::size_t first, std::size_t second) { return density(first) > density(second); });
    std::vector<bool> isServed(calls.size(), false);
    double value = 0;
    for (bool const isLate : { false, true }) {
        for (auto const call : sorted) {
            auto const& given = calls[call];
            auto const due = isLate ? given.deadline : given.objective;
            if (isServed[call] || given.work > due)
                continue;
            auto const first = (given.at - begin) / binLength;
            auto left = std::chrono::duration<double>(given.work).count();
            // The latest room first, so that earlier room stays for calls that are due earlier.
            std::map<std::int64_t, double> taken;
            for (auto bin = (given.at + due - begin) / binLength - 1; bin >= first && left > 0; --bin) {
                auto const part = std::min(left, roomIn(bin));
                taken[bin] = part;
                left -= part;
            }
            if (left > 0)
                continue;
            for (auto const& [bin, part] : taken)
                room[bin] -= part;
            isServed[call] = true;
            value += weightOf(given.priority) * (isLate ? valueOfLate : 1);
        }
    }
    return value;
}

} // namespace merlinpier::fixture
