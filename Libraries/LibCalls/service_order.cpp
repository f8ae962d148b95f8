#include <LibCalls/service_order.h>

#include <algorithm>
#include <functional>
#include <numeric>
#include <utility>

namespace merlinpier {

namespace {

using fractional = std::chrono::duration<double, duration::period>;

// A new call is planned to end within this share of the time that it has, since service times vary. In the tests of
// ServiceValue, a larger share makes more calls late, and a smaller one leaves too few waiting calls to choose from.
constexpr double plannedShareOfTime = 0.75;
// What a call counts for against its work when not all can be served. Refusing a call after it was held, or after it
// came back, costs its caller more than refusing a new one.
constexpr double valueOfNew = 1;
constexpr double valueOfHeld = 1.5;
constexpr double valueOfReturned = 2;
// A late attempt elsewhere is worth a place only if it ends within this share of the time left.
constexpr double retryShareOfTime = 0.5;

duration scale(duration value, double factor)
{
    return std::chrono::duration_cast<duration>(fractional(value) * factor);
}

// The time at which the call has to have ended for the standing.
duration dueTime(pending_call const& call, service_standing standing)
{
    bool const hasOwnDue = standing == service_standing::InTime && !call.hasReturned;
    return hasOwnDue ? call.objectiveLeft.value_or(call.timeLeft) : call.timeLeft;
}

// The time by which the call is planned to end.
duration plannedEnd(pending_call const& call, service_standing standing)
{
    auto const due = dueTime(call, standing);
    return call.isHeld ? due : scale(due, plannedShareOfTime);
}

double workPerValue(pending_call const& call)
{
    auto const value = call.hasReturned ? valueOfReturned : call.isHeld || call.isRetry ? valueOfHeld : valueOfNew;
    return static_cast<double>(call.work.count()) / value;
}

} // namespace

// The calls planned so far, as far as the start of the next one depends on them.
struct service_order::section {
    duration workAhead { 0 };
    std::size_t callsAhead { 0 };
    // The work of the calls of the same rank among them.
    duration workAheadInRank { 0 };
    // The share of the slots that the calls can use.
    double share { 1 };

    void add(pending_call const& call)
    {
        workAhead += call.work;
        workAheadInRank += call.work;
        ++callsAhead;
    }
    void remove(pending_call const& call)
    {
        workAhead -= call.work;
        workAheadInRank -= call.work;
        --callsAhead;
    }
};

service_order::service_order(service_capacity capacity)
    : m_capacity(std::move(capacity))
{
}

double service_order::shareLeftAbove(service_rank const& rank) const
{
    double left = 1;
    for (auto const& load : m_capacity.loads) {
        if (load.rank < rank)
            left -= load.share;
    }
    return std::max(left, minimumShare);
}

double service_order::shareLeftBy(service_rank const& rank) const
{
    double left = 1;
    for (auto const& load : m_capacity.loads) {
        if (!(rank < load.rank))
            left -= load.share;
    }
    return std::max(left, minimumShare);
}

duration service_order::startTime(section const& planned) const
{
    auto const slots = std::max<std::uint32_t>(1, m_capacity.slots);
    auto const inOrder = scale(planned.workAhead / slots, 1 / planned.share);
    // Whatever higher ranks are planned, the rank gets its minimum share.
    auto const byMinimumShare = scale(planned.workAheadInRank / slots, 1 / minimumShare);
    auto const bySlots = m_capacity.firstWait + std::min(inOrder, byMinimumShare);
    return std::max(bySlots, m_capacity.spacing * static_cast<std::int64_t>(planned.callsAhead));
}

std::vector<service_place> service_order::plan(std::vector<pending_call> const& calls) const
{
    std::vector<std::size_t> sorted(calls.size());
    std::iota(sorted.begin(), sorted.end(), 0);
    std::stable_sort(sorted.begin(), sorted.end(),
        [&](std::size_t first, std::size_t second) { return calls[first].rank < calls[second].rank; });
    std::vector<service_place> places;
    places.reserve(calls.size());
    section planned;
    for (auto begin = sorted.begin(); begin != sorted.end();) {
        auto const& rank = calls[*begin].rank;
        auto const end = std::find_if(begin, sorted.end(), [&](std::size_t call) { return calls[call].rank != rank; });
        planned.workAheadInRank = duration::zero();
        planRank(calls, { begin, end }, planned, places);
        begin = end;
    }
    std::stable_partition(places.begin(), places.end(),
        [](service_place const& place) { return place.standing != service_standing::Unservable; });
    return places;
}

void service_order::planRank(std::vector<pending_call> const& calls, std::vector<std::size_t> ranked, section& planned,
    std::vector<service_place>& places) const
{
    auto const& rank = calls[ranked.front()].rank;
    auto const take = [&](auto const& isTaken) {
        auto const rest = std::stable_partition(ranked.begin(), ranked.end(), std::not_fn(isTaken));
        std::vector<std::size_t> taken(rest, ranked.end());
        ranked.erase(rest, ranked.end());
        return taken;
    };
    planned.share = shareLeftAbove(rank);
    auto late = take([&](std::size_t call) { return calls[call].hasReturned && !m_capacity.favoursReturned; });
    auto beyondShare = take([&](std::size_t call) { return calls[call].isBeyondShare; });
    for (auto& group : { std::move(ranked), std::move(beyondShare) }) {
        auto const rest = schedule(calls, group, service_standing::InTime, planned, places);
        late.insert(late.end(), rest.begin(), rest.end());
    }
    std::sort(late.begin(), late.end());
    // Calls that arrive later and can be in time overtake those that are late. A call that already waits is given up
    // only when it could not be served even without them.
    auto const isHeld = [&](std::size_t call) {
        return calls[call].isHeld;
    };
    auto const firstNew = std::stable_partition(late.begin(), late.end(), isHeld);
    auto rest = schedule(calls, { late.begin(), firstNew }, service_standing::Late, planned, places);
    planned.share = shareLeftBy(rank);
    auto const others = schedule(calls, { firstNew, late.end() }, service_standing::Late, planned, places);
    rest.insert(rest.end(), others.begin(), others.end());
    for (auto const call : rest)
        places.push_back({ call, service_standing::Unservable, startTime(planned) });
}

// Moore's algorithm for the largest number of calls that end when they are due: takes them by due time, and whenever
// one would end too late, drops the one of most work for its value; among equals the newest.
std::vector<std::size_t> service_order::schedule(std::vector<pending_call> const& calls,
    std::vector<std::size_t> candidates, service_standing standing, section& planned,
    std::vector<service_place>& places) const
{
    std::stable_sort(candidates.begin(), candidates.end(), [&](std::size_t first, std::size_t second) {
        return dueTime(calls[first], standing) < dueTime(calls[second], standing);
    });
    std::vector<std::size_t> kept;
    std::vector<std::size_t> dropped;
    auto const before = planned;
    auto const fits = [&](section const& ahead, std::size_t call) {
        return startTime(ahead) + calls[call].work <= plannedEnd(calls[call], standing);
    };
    auto const isLessCostly = [&](std::size_t first, std::size_t second) {
        return std::pair(workPerValue(calls[first]), first) < std::pair(workPerValue(calls[second]), second);
    };
    for (auto const call : candidates) {
        // The calls that give way are dropped only if the call then fits.
        auto remaining = planned;
        std::vector<std::size_t> givingWay;
        if (fits(before, call)) {
            auto others = kept;
            while (!fits(remaining, call) && !others.empty()) {
                auto const most = std::max_element(others.begin(), others.end(), isLessCostly);
                if (isLessCostly(*most, call))
                    break;
                remaining.remove(calls[*most]);
                givingWay.push_back(*most);
                others.erase(most);
            }
        }
        if (!fits(remaining, call)) {
            dropped.push_back(call);
            continue;
        }
        for (auto const other : givingWay)
            std::erase(kept, other);
        dropped.insert(dropped.end(), givingWay.begin(), givingWay.end());
        planned = remaining;
        planned.add(calls[call]);
        kept.push_back(call);
    }
    planned = before;
    for (auto const call : kept) {
        auto const own = calls[call].hasReturned ? service_standing::Late : standing;
        places.push_back({ call, own, startTime(planned) });
        planned.add(calls[call]);
    }
    return dropped;
}

bool service_order::isRetryWorthwhile(pending_call const& call, duration expectedFinish)
{
    if (expectedFinish <= call.objectiveLeft.value_or(call.timeLeft))
        return true;
    return expectedFinish <= scale(call.timeLeft, retryShareOfTime);
}

} // namespace merlinpier
