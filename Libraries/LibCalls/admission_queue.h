#pragma once

#include <LibCore/time.h>
#include <LibRouting/service_times.h>
#include <LibWire/call_messages.h>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace merlinpier {

// What a target's queue is bounded by; from the configuration of its service.
struct admission_limits {
    std::uint32_t slots { 1 };
    std::uint32_t queueLimit { 0 };
    // A call is refused when its expected end is later than its deadline less this.
    duration deadlineMargin { 0 };
    bool isUnlimited { false };
    // A call that would end after its objective is taken only if it would end within so many thousandths of the time
    // that it has until then: later ones only take room from calls that can still end in time.
    std::uint32_t lateAllowancePermille { 1200 };

    bool operator==(admission_limits const&) const = default;
};

// A call that asks for a slot.
struct admission_request {
    std::string id;
    call_class callClass { call_class::Interactive };
    time_point deadline {};
    // Service times are learnt by this name; by class if it is empty.
    std::string kind;
    // 0 is the most urgent.
    std::uint32_t priority { 0 };
    // Until when the call's end is worth most; the epoch if there is no such time.
    time_point objective {};
    // That time had passed when the caller's request came.
    bool isLate { false };

    bool operator==(admission_request const&) const = default;
};

// What was decided about a call that asked for a slot, or that waited for one.
struct admission_decision {
    enum class kind { Run, Wait, RefuseOverloaded, RefuseDeadline };

    std::string id;
    kind verdict { kind::Run };
    // With a refusal: when a slot is likely to be free for such a call, at least one millisecond.
    milliseconds retryAfter { 0 };

    bool operator==(admission_decision const&) const = default;
};

// The slots of one target and the short queue before them. It refuses at once a call that would miss its deadline, or
// miss its latency objective by much, by the service times learnt so far. Reports wait behind interactive calls and
// confirmations, less urgent calls behind more urgent ones; among equals the earliest objective goes first (EDF, Liu
// and Layland 1973), and calls that will miss theirs go last: after an outage, callers that come back take what new
// calls leave. A call that will be late and that a whole round of later ones has overtaken is refused, since it would
// most likely wait for its deadline in vain. A slot is held until the end of its call is reported.
class admission_queue {
public:
    void setLimits(admission_limits const& limits) { m_limits = limits; }
    admission_limits const& limits() const { return m_limits; }

    // Decides about a new call; the first decision is about it, further ones about reports that had to make room.
    std::vector<admission_decision> offer(admission_request const&, time_point now);
    // Whether a call that is offered now would begin at once.
    bool hasFreeSlot(call_class) const;
    // Frees the slot of a call that has ended, and learns from its service time if it ended by itself.
    enum class learning { Learn, Ignore };
    std::vector<admission_decision> release(std::string const& id, learning, time_point now);
    // Refuses every waiting call, since the target takes no new work.
    std::vector<admission_decision> refuseWaiting(time_point now);
    // Takes a waiting call out; false if it does not wait here.
    bool withdraw(std::string const& id);
    // Refuses waiting calls that can no longer meet their deadline.
    std::vector<admission_decision> tick(time_point now);

    std::size_t running() const { return m_running.size(); }
    std::size_t queued() const { return m_waiting.size(); }
    std::uint32_t loadPermille() const;
    // Mean service time as learnt so far; zero before the first call of the kind or class has ended.
    duration serviceTime(std::string const& kind, call_class) const;

private:
    struct running_call {
        std::string kind;
        time_point since {};
    };
    struct waiting_call {
        admission_request request;
        // Calls that came later and were started before it.
        std::uint32_t overtakenBy { 0 };
    };

    bool hasSlotFor(call_class) const;
    duration expectedWait(std::size_t callsAhead) const;
    duration serviceTimeOfRunning() const;
    duration serviceTime(admission_request const&) const;
    admission_decision refuse(std::string const& id, admission_decision::kind, time_point now);
    milliseconds retryAfter(time_point now);
    void start(admission_request const&, time_point now, std::vector<admission_decision>&);
    void startWaiting(time_point now, std::vector<admission_decision>&);
    void refuseUnservable(time_point now, std::vector<admission_decision>&);
    // Whether the call is late and is likely to go on being overtaken.
    bool isStarving(waiting_call const&, time_point now) const;
    bool canMeetDeadline(admission_request const&, duration wait, time_point now) const;
    bool missesObjective(admission_request const&, duration wait, time_point now) const;
    bool exceedsLateAllowance(admission_request const&, duration wait, time_point now) const;
    // Whether the first goes before the second, if both wait.
    bool precedes(admission_request const&, admission_request const&, time_point now) const;
    std::size_t callsAheadOf(admission_request const&, time_point now) const;

    admission_limits m_limits;
    std::map<std::string, running_call> m_running;
    // In order of arrival.
    std::deque<waiting_call> m_waiting;
    service_times m_serviceTimes;
    // Refusals, each fading with time.
    double m_recentRefusals { 0 };
    time_point m_refusedAt {};
};

} // namespace merlinpier
