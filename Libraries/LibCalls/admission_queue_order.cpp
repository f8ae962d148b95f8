#include <LibCalls/admission_queue.h>

#include <algorithm>
#include <set>
#include <utility>

// The part of admission_queue that follows the service order.

namespace merlinpier {

namespace {

// A caller comes back after a refusal only if the retry-after time is at most this fraction of the time that it has.
constexpr int returnFraction = 3;
constexpr milliseconds longestRetryAfter { 5000 };
// Retry-after time while no service time has been measured.
constexpr milliseconds retryAfterWithoutEstimate { 100 };
// One slot of six is reserved for the most urgent rank, rounded to the nearest; one or two slots are not divided.
constexpr std::uint32_t slotsPerReserve = 6;
constexpr std::uint32_t leastSlotsForReserve = 3;
// The time until a slot is free is about exponentially distributed; 95 in 100 waits are below three times its mean.
constexpr int longWaitFactor = 3;
// A rank is not the most urgent one any more if no call of it was offered for this time.
constexpr milliseconds urgencyLifetime { 2000 };
// Service that a rank got earlier than this counts no longer against its minimum share, nor for it.
constexpr std::chrono::duration<double> creditMemory { 2 };

} // namespace

service_rank rankOf(admission_request const& request)
{
    return { request.callClass == call_class::Report, request.tenantPriority.value_or(0), request.priority };
}

std::vector<admission_decision> admission_queue::offerInServiceOrder(admission_request const& request, time_point now)
{
    std::vector<admission_decision> decisions;
    m_offered.didOffer(rankOf(request), request.tenant, serviceTime(request), now);
    m_orderTotals.returnedOffered += request.isLate;
    noteUrgency(request, now);
    waiting_call offered { .request = request };
    if (m_limits.isUnlimited || (m_waiting.empty() && mayStart(request, now))) {
        // As in offer(), a free slot is granted regardless of the estimated service time.
        if (!m_limits.isUnlimited && now + m_limits.deadlineMargin >= request.deadline)
            giveUp(offered, duration::zero(), now, decisions);
        else
            startWaitingCall(offered, now, decisions);
        return decisions;
    }
    m_waiting.push_back(std::move(offered));
    settle(now, decisions);
    auto const own = std::find_if(
        decisions.begin(), decisions.end(), [&](auto const& decision) { return decision.id == request.id; });
    if (own == decisions.end())
        decisions.insert(decisions.begin(), { request.id, admission_decision::kind::Wait, milliseconds(0) });
    else
        std::rotate(decisions.begin(), own, own + 1);
    return decisions;
}

admission_outlook admission_queue::outlook(admission_request const& request, time_point now) const
{
    // A copy decides, so that the outlook is the decision itself.
    auto copy = *this;
    admission_outlook outlook;
    outlook.callsAhead = callsAheadOf(request, now);
    outlook.wait = canStart(request, now) ? duration::zero() : expectedWait(outlook.callsAhead, now);
    outlook.standing = missesObjective(request, outlook.wait, now) ? service_standing::Late : service_standing::InTime;
    if (m_order == admission_order::ServiceOrder && !canStart(request, now)) {
        copy.m_offered.didOffer(rankOf(request), request.tenant, serviceTime(request), now);
        copy.m_waiting.push_back({ .request = request });
        auto const places = copy.plan(now);
        auto const own = std::find_if(
            places.begin(), places.end(), [&](auto const& place) { return place.call == m_waiting.size(); });
        outlook.callsAhead = static_cast<std::size_t>(own - places.begin());
        outlook.standing = own->standing;
        outlook.wait = own->wait;
        copy = *this;
    }
    outlook.decision = copy.offer(request, now).front();
    if (isRefusal(outlook.decision))
        outlook.standing = service_standing::Unservable;
    return outlook;
}

pending_call admission_queue::pendingCall(admission_request const& request, bool isHeld, time_point now) const
{
    pending_call call;
    call.rank = rankOf(request);
    call.isBeyondShare = !request.tenant.empty() && m_offered.isBeyondShare(request.tenant);
    call.timeLeft = request.deadline - m_limits.deadlineMargin - now;
    if (request.objective != time_point {} && !request.isLate)
        call.objectiveLeft = request.objective - now;
    call.work = serviceTime(request);
    call.hasReturned = request.isLate;
    call.isRetry = request.isRetry;
    call.isHeld = isHeld;
    return call;
}

service_capacity admission_queue::capacity(time_point now) const
{
    service_capacity capacity;
    capacity.slots = m_limits.slots;
    bool const hasFreeSlot = running() < m_limits.slots;
    auto const wait = hasFreeSlot ? duration::zero() : expectedWaitForSlot(0);
    capacity.firstWait = std::max(wait, m_limiter.expectedWait(0, now));
    if (auto const limit = m_limiter.limit(); limit && *limit > 0)
        capacity.spacing = std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / *limit));
    capacity.loads = m_offered.loads(m_limits.slots);
    capacity.favoursReturned = m_offered.mayFavourReturned();
    return capacity;
}

std::vector<service_place> admission_queue::plan(time_point now) const
{
    std::vector<pending_call> calls;
    calls.reserve(m_waiting.size());
    for (auto const& waiting : m_waiting)
        calls.push_back(pendingCall(waiting.request, waiting.isHeld, now));
    return service_order(capacity(now)).plan(calls);
}

void admission_queue::settle(time_point now, std::vector<admission_decision>& decisions)
{
    if (m_waiting.empty())
        return;
    auto places = plan(now);
    auto const firstUnservable = std::find_if(places.begin(), places.end(),
        [](service_place const& place) { return place.standing == service_standing::Unservable; });
    std::vector<service_place> refused(firstUnservable, places.end());
    places.erase(firstUnservable, places.end());
    startInServiceOrder(places, now, decisions);
    while (places.size() > m_limits.queueLimit) {
        refused.push_back(places.back());
        places.pop_back();
    }
    for (auto const& place : refused)
        giveUp(m_waiting[place.call], place.wait, now, decisions);
    std::vector<bool> isKept(m_waiting.size(), false);
    for (auto const& place : places)
        isKept[place.call] = true;
    std::deque<waiting_call> kept;
    for (std::size_t i = 0; i < m_waiting.size(); ++i) {
        if (!isKept[i])
            continue;
        kept.push_back(std::move(m_waiting[i]));
        kept.back().isHeld = true;
    }
    m_waiting = std::move(kept);
}

void admission_queue::startInServiceOrder(
    std::vector<service_place>& places, time_point now, std::vector<admission_decision>& decisions)
{
    while (!places.empty()) {
        if (startByMinimumShare(places, now, decisions))
            continue;
        auto const& next = m_waiting[places.front().call];
        // The calls that follow are of the same or a lower rank, so none of them may start either.
        if (!mayStart(next.request, now))
            return;
        startWaitingCall(next, now, decisions);
        places.erase(places.begin());
        creditLowerRanks(next.request, places);
    }
}

// Ranks that wait while a call of a higher one starts earn a part of its work, so that all of them together get their
// minimum share.
void admission_queue::creditLowerRanks(admission_request const& started, std::vector<service_place> const& stillWaiting)
{
    auto const rank = rankOf(started);
    std::set<service_rank> lower;
    for (auto const& place : stillWaiting) {
        if (rank < rankOf(m_waiting[place.call].request))
            lower.insert(rankOf(m_waiting[place.call].request));
    }
    auto const work = serviceTime(started);
    auto const longest
        = std::chrono::duration_cast<duration>(creditMemory * m_limits.slots * service_order::minimumShare);
    auto& own = m_credits[rank];
    own = std::max(own - work, -longest);
    for (auto const& other : lower) {
        auto const earned = work * (service_order::minimumShare / (1 - service_order::minimumShare)) / lower.size();
        auto& credit = m_credits[other];
        credit = std::min(credit + std::chrono::duration_cast<duration>(earned), longest);
    }
}

// Starts the first call of a lower rank that has earned a slot by the starts of others.
bool admission_queue::startByMinimumShare(
    std::vector<service_place>& places, time_point now, std::vector<admission_decision>& decisions)
{
    auto const rank = rankOf(m_waiting[places.front().call].request);
    auto const hasEarnedSlot = [&](service_place const& place) {
        auto const& request = m_waiting[place.call].request;
        auto const credit = m_credits.find(rankOf(request));
        auto const work = serviceTime(request);
        return rank < rankOf(request) && work > duration::zero() && credit != m_credits.end() && credit->second >= work
            && mayStart(request, now);
    };
    auto const earned = std::find_if(places.begin(), places.end(), hasEarnedSlot);
    if (earned == places.end())
        return false;
    auto const& waiting = m_waiting[earned->call];
    m_credits[rankOf(waiting.request)] -= serviceTime(waiting.request);
    ++m_orderTotals.startedByMinimumShare;
    startWaitingCall(waiting, now, decisions);
    places.erase(earned);
    return true;
}

void admission_queue::startWaitingCall(
    waiting_call const& waiting, time_point now, std::vector<admission_decision>& decisions)
{
    auto const& request = waiting.request;
    m_offered.didStart(request.tenant, serviceTime(request), request.isLate, now);
    m_orderTotals.returnedStarted += request.isLate;
    start(request, now, decisions);
}

bool admission_queue::mayStart(admission_request const& request, time_point now) const
{
    return hasSlotFor(request.callClass) && m_limiter.maySend(now) && !isReservedAgainst(rankOf(request), now);
}

bool admission_queue::isReservedAgainst(service_rank const& rank, time_point now) const
{
    if (!m_urgent || !(m_urgent->rank < rank) || now - m_urgent->seenAt > urgencyLifetime
        || m_limits.slots < leastSlotsForReserve)
        return false;
    if (expectedWaitForSlot(0) * longWaitFactor <= m_urgent->slack)
        return false;
    auto const reserve = (m_limits.slots + slotsPerReserve / 2) / slotsPerReserve;
    auto const lower = std::count_if(
        m_running.begin(), m_running.end(), [&](auto const& item) { return m_urgent->rank < item.second.rank; });
    return static_cast<std::size_t>(lower) + reserve >= m_limits.slots;
}

void admission_queue::noteUrgency(admission_request const& request, time_point now)
{
    auto const rank = rankOf(request);
    bool const isOutdated = m_urgent && now - m_urgent->seenAt > urgencyLifetime;
    if (m_urgent && !isOutdated && m_urgent->rank < rank)
        return;
    auto const call = pendingCall(request, false, now);
    m_urgent = { rank, call.objectiveLeft.value_or(call.timeLeft) - call.work, now };
}

void admission_queue::giveUp(
    waiting_call const& waiting, duration wait, time_point now, std::vector<admission_decision>& decisions)
{
    auto const& request = waiting.request;
    auto const refusal = refusalInServiceOrder(request, wait, now);
    if (isInvitation(refusal, request, now)) {
        auto const rank = rankOf(request);
        auto const share = service_order(capacity(now)).shareLeftBy(rank);
        auto const slots = std::max<std::uint32_t>(1, m_limits.slots);
        auto const spacing
            = std::chrono::duration_cast<duration>(std::chrono::duration<double>(serviceTime(request)) / slots / share);
        m_nextRoom[rank] = now + refusal.retryAfter + spacing;
        ++m_orderTotals.invitedBack;
    }
    ++(waiting.isHeld ? m_orderTotals.displaced : m_orderTotals.refusedOnArrival);
    decisions.push_back(refusal);
}

admission_decision admission_queue::refusalInServiceOrder(
    admission_request const& request, duration wait, time_point now) const
{
    using kind = admission_decision::kind;
    bool const isHopeless = !canMeetDeadline(request, duration::zero(), now);
    auto const verdict = isHopeless ? kind::RefuseDeadline : capacityRefusal(queued(), now);
    auto room = wait;
    if (auto const next = m_nextRoom.find(rankOf(request)); next != m_nextRoom.end())
        room = std::max(room, next->second - now);
    if (serviceTime(request) <= duration::zero())
        room = std::max<duration>(room, retryAfterWithoutEstimate);
    auto const longest
        = std::clamp(std::chrono::floor<milliseconds>(request.deadline - now), milliseconds(1), longestRetryAfter);
    return { request.id, verdict, std::clamp(std::chrono::ceil<milliseconds>(room), milliseconds(1), longest) };
}

// Whether the caller can come back within its time.
bool admission_queue::isInvitation(admission_decision const& refusal, admission_request const& request, time_point now)
{
    return refusal.verdict != admission_decision::kind::RefuseDeadline
        && refusal.retryAfter * returnFraction <= request.deadline - now;
}

} // namespace merlinpier
