#pragma once

#include <LibCalls/offered_work.h>
#include <LibCalls/request_limiter.h>
#include <LibCalls/service_order.h>
#include <LibCore/time.h>
#include <LibRouting/pace_estimate.h>
#include <LibRouting/service_times.h>
#include <LibWire/call_messages.h>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace merlinpier {

// Limits of one target's slots and queue, from the configuration of its service.
struct admission_limits {
    std::uint32_t slots { 1 };
    std::uint32_t queueLimit { 0 };
    // A call is refused when its expected completion time is later than its deadline minus this margin.
    duration deadlineMargin { 0 };
    bool isUnlimited { false };
    // A call that would miss its objective is admitted only if its expected completion time is within this many
    // thousandths of the time left until the objective: later calls would only take slots from calls that can still
    // meet theirs.
    std::uint32_t lateAllowancePermille { 1200 };

    bool operator==(admission_limits const&) const = default;
};

// A call that requests a slot.
struct admission_request {
    std::string id;
    call_class callClass { call_class::Interactive };
    time_point deadline {};
    // Name under which service times are estimated; the call class is used if it is empty.
    std::string kind;
    // 0 is the most urgent.
    std::uint32_t priority { 0 };
    // Time by which the call should complete to meet its latency objective; the epoch if it has none.
    time_point objective {};
    // Whether the objective had already passed when the caller's request arrived.
    bool isLate { false };
    // The following count in the service order only. The tenant is empty if the call belongs to none.
    std::string tenant {};
    std::optional<std::uint32_t> tenantPriority {};
    // An earlier attempt of the call may have reached a target.
    bool isRetry { false };

    bool operator==(admission_request const&) const = default;
};

service_rank rankOf(admission_request const&);

// The decision about a call that requested a slot or was waiting for one.
struct admission_decision {
    // RefuseLimit: the target has free slots, but its announced limit on requests is used up.
    enum class kind { Run, Wait, RefuseOverloaded, RefuseLimit, RefuseDeadline };

    std::string id;
    kind verdict { kind::Run };
    // For refusals: the estimated time until a slot is free for such a call, at least one millisecond.
    milliseconds retryAfter { 0 };

    bool operator==(admission_decision const&) const = default;
};

inline bool isRefusal(admission_decision const& decision)
{
    return decision.verdict != admission_decision::kind::Run && decision.verdict != admission_decision::kind::Wait;
}

// What would become of a call that was offered now, without offering it.
struct admission_outlook {
    admission_decision decision;
    service_standing standing { service_standing::InTime };
    // Expected wait for a slot, and the number of waiting calls that would be served before.
    duration wait { 0 };
    std::size_t callsAhead { 0 };

    bool operator==(admission_outlook const&) const = default;
};

// Decisions of the service order, since the daemon started.
struct service_order_totals {
    std::uint64_t refusedOnArrival { 0 };
    // Refused after waiting.
    std::uint64_t displaced { 0 };
    // Refusals whose retry-after time leaves the caller enough of its time to come back.
    std::uint64_t invitedBack { 0 };
    std::uint64_t returnedOffered { 0 };
    std::uint64_t returnedStarted { 0 };
    // Starts out of turn by the minimum share of lower ranks.
    std::uint64_t startedByMinimumShare { 0 };

    bool operator==(service_order_totals const&) const = default;
};

// Admission control of one target: its slots, the limit on requests that it has announced, and a short queue in front
// of both. A call that is expected to miss its deadline, or to miss its latency objective by more than the late
// allowance, is refused at once; the expectation is based on the service times measured so far.
//
// Queue order: calls of class Report come after interactive calls and confirmations, then calls are ordered by
// priority. Among equals the earliest objective is served first (EDF, Liu and Layland 1973), and calls that will miss
// their objective come last, so that after an outage retrying callers use only the capacity that new calls leave. A
// late call that has been overtaken by as many calls as there are slots is refused, since it would most likely wait
// until its deadline without being served; for one service time after that, late calls that would have to wait are
// refused at once, so that their callers need not wait for the same refusal. A slot is held until release() is called
// for its call.
//
// With admission_order::ServiceOrder, class service_order decides instead of the queue order and these refusals: a call
// without a place is refused at once, and its retry-after time is a time at which its rank has room, spread over
// callers. Where calls of lower ranks would hold all slots for longer than the most urgent rank can wait, a sixth of
// the slots is reserved for that rank.
class admission_queue {
public:
    void setLimits(admission_limits const& limits) { m_limits = limits; }
    admission_limits const& limits() const { return m_limits; }
    // The limit on requests that the target has announced, in requests a second; nothing ends it.
    void setRequestLimit(std::optional<double> requestsPerSecond, time_point now)
    {
        m_limiter.setLimit(requestsPerSecond, now);
    }
    std::optional<double> requestLimit() const { return m_limiter.limit(); }
    // The pace that the target has announced. Expected times are those at this pace; what is learnt about service times
    // is converted to the usual pace.
    void setPace(pace_estimate const& pace) { m_pace = pace; }
    pace_estimate const& pace() const { return m_pace; }
    void setOrder(admission_order order) { m_order = order; }
    admission_order order() const { return m_order; }

    // Decides about a new call. The first decision is about this call, further ones are about waiting calls that it
    // displaced from the full queue.
    std::vector<admission_decision> offer(admission_request const&, time_point now);
    // Whether a call offered now would start at once.
    bool canStart(call_class, time_point now) const;
    bool canStart(admission_request const&, time_point now) const;
    // What offer() would decide about the call.
    admission_outlook outlook(admission_request const&, time_point now) const;
    // Frees the slot of a call that has ended and starts waiting calls. With Learn, the call's service time is added to
    // the estimate; use Ignore for calls that were aborted, refused or lost.
    enum class learning { Learn, Ignore };
    std::vector<admission_decision> release(std::string const& id, learning, time_point now);
    // Refuses every waiting call, because the target accepts no new work.
    std::vector<admission_decision> refuseWaiting(time_point now);
    // Removes a waiting call from the queue; returns false if it is not waiting.
    bool withdraw(std::string const& id);
    // Refuses waiting calls that can no longer meet their deadline or are starving, and starts others in free slots, as
    // far as the request limit allows.
    std::vector<admission_decision> tick(time_point now);

    std::size_t running() const { return m_running.size(); }
    std::size_t queued() const { return m_waiting.size(); }
    // Slots in use and calls queued, in thousandths of the slots; or more if the request limit makes a call wait: the
    // load under which slots alone would make it wait as long.
    std::uint32_t loadPermille(time_point now) const;
    // Estimated mean service time at the usual pace; zero before the first call of the kind or class has ended.
    duration serviceTime(std::string const& kind, call_class) const;
    service_order_totals const& orderTotals() const { return m_orderTotals; }
    // What was offered lately; empty unless the service order is in force.
    offered_work const& offeredWork() const { return m_offered; }

private:
    struct running_call {
        std::string kind;
        time_point since {};
        std::uint32_t pacePercent { 0 };
        service_rank rank;
    };
    struct waiting_call {
        admission_request request;
        // Number of calls that arrived later but were started first.
        std::uint32_t overtakenBy { 0 };
        // In the service order: whether the call has been given a place.
        bool isHeld { false };
    };
    // The most urgent rank that was offered lately, and how long its calls can wait.
    struct urgent_rank {
        service_rank rank;
        duration slack { 0 };
        time_point seenAt {};
    };

    bool hasSlotFor(call_class) const;
    duration expectedWait(std::size_t callsAhead, time_point now) const;
    duration expectedWaitForSlot(std::size_t callsAhead) const;
    // The reason to refuse a call that would have to wait too long.
    admission_decision::kind capacityRefusal(std::size_t callsAhead, time_point now) const;
    // Both at the pace of the target.
    duration serviceTimeOfRunning() const;
    duration serviceTime(admission_request const&) const;
    admission_decision refuse(std::string const& id, admission_decision::kind, time_point now);
    milliseconds retryAfter(time_point now);
    void start(admission_request const&, time_point now, std::vector<admission_decision>&);
    void startWaiting(time_point now, std::vector<admission_decision>&);
    void refuseUnservable(time_point now, std::vector<admission_decision>&);
    // Whether the call is late and has been overtaken by as many calls as the target has slots.
    bool isStarving(waiting_call const&, time_point now) const;
    // Whether a late call that has to wait is expected to starve, as another one did just now.
    bool isExpectedToStarve(admission_request const&, time_point now) const;
    bool canMeetDeadline(admission_request const&, duration wait, time_point now) const;
    bool missesObjective(admission_request const&, duration wait, time_point now) const;
    bool exceedsLateAllowance(admission_request const&, duration wait, time_point now) const;
    // Whether the first call is served before the second if both are waiting.
    bool precedes(admission_request const&, admission_request const&, time_point now) const;
    std::size_t callsAheadOf(admission_request const&, time_point now) const;

    // The part for the service order.
    std::vector<admission_decision> offerInServiceOrder(admission_request const&, time_point now);
    pending_call pendingCall(admission_request const&, bool isHeld, time_point now) const;
    service_capacity capacity(time_point now) const;
    // The places of the waiting calls, by their index.
    std::vector<service_place> plan(time_point now) const;
    // Refuses the waiting calls that have no place, starts others in free slots, and shortens the queue to its limit.
    void settle(time_point now, std::vector<admission_decision>&);
    // Starts the calls whose turn it is and removes their places.
    void startInServiceOrder(std::vector<service_place>&, time_point now, std::vector<admission_decision>&);
    void creditLowerRanks(admission_request const& started, std::vector<service_place> const& stillWaiting);
    bool startByMinimumShare(std::vector<service_place>&, time_point now, std::vector<admission_decision>&);
    void startWaitingCall(waiting_call const&, time_point now, std::vector<admission_decision>&);
    bool mayStart(admission_request const&, time_point now) const;
    bool isReservedAgainst(service_rank const&, time_point now) const;
    void noteUrgency(admission_request const&, time_point now);
    void giveUp(waiting_call const&, duration wait, time_point now, std::vector<admission_decision>&);
    admission_decision refusalInServiceOrder(admission_request const&, duration wait, time_point now) const;
    static bool isInvitation(admission_decision const&, admission_request const&, time_point now);

    admission_limits m_limits;
    request_limiter m_limiter;
    std::map<std::string, running_call> m_running;
    // In order of arrival; precedes() gives the order of service.
    std::deque<waiting_call> m_waiting;
    service_times m_serviceTimes;
    pace_estimate m_pace;
    // The time of the last event, for which the pace is estimated.
    time_point m_lastEventAt {};
    // When a late call was last refused because of starvation.
    std::optional<time_point> m_starvedAt;
    // Exponentially decaying count of refusals, as of m_refusedAt.
    double m_recentRefusals { 0 };
    time_point m_refusedAt {};

    admission_order m_order { admission_order::ObjectiveFirst };
    offered_work m_offered;
    std::optional<urgent_rank> m_urgent;
    // When the next refused caller of a rank finds room.
    std::map<service_rank, time_point> m_nextRoom;
    // Work that calls of a rank may start out of turn, since they got less than their minimum share; negative if they
    // got more.
    std::map<service_rank, duration> m_credits;
    service_order_totals m_orderTotals;
};

} // namespace merlinpier
