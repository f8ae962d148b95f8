#pragma once

#include <LibCore/time.h>
#include <LibWire/call_messages.h>
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace merlinpier {

// Number of the values of call_class.
inline constexpr std::size_t callClasses = 3;

// What a target's queue is bounded by; from the configuration of its service.
struct admission_limits {
    std::uint32_t slots { 1 };
    std::uint32_t queueLimit { 0 };
    // A call is refused when its expected end is later than its deadline less this.
    duration deadlineMargin { 0 };
    bool isUnlimited { false };

    bool operator==(admission_limits const&) const = default;
};

// A call that asks for a slot.
struct admission_request {
    std::string id;
    call_class callClass { call_class::Interactive };
    time_point deadline {};

    bool operator==(admission_request const&) const = default;
};

// What was decided about a call that asked for a slot, or that waited for one.
struct admission_decision {
    enum class kind { Run, Wait, RefuseOverloaded, RefuseDeadline };

    std::string id;
    kind what { kind::Run };
    // With a refusal: when a slot is likely to be free for such a call, at least one millisecond.
    milliseconds retryAfter { 0 };

    bool operator==(admission_decision const&) const = default;
};

// The slots of one target and the short queue before them. It refuses at once a call that would miss its deadline by
// the service time learnt so far, and lets reports wait behind interactive calls and confirmations. A slot is held
// until the end of its call is reported.
class admission_queue {
public:
    void setLimits(admission_limits const& limits) { m_limits = limits; }
    admission_limits const& limits() const { return m_limits; }

    // Decides about a new call; the first decision is about it, further ones about reports that had to make room.
    std::vector<admission_decision> offer(admission_request const&, time_point now);
    // Frees the slot of a call that has ended, and learns from its service time if it ended by itself.
    enum class learning { Learn, Ignore };
    std::vector<admission_decision> release(std::string const& id, learning, time_point now);
    // Takes a waiting call out; false if it does not wait here.
    bool withdraw(std::string const& id);
    // Refuses waiting calls that can no longer meet their deadline.
    std::vector<admission_decision> tick(time_point now);

    std::size_t running() const { return m_running.size(); }
    std::size_t queued() const { return m_urgent.size() + m_reports.size(); }
    std::uint32_t loadPermille() const;
    // Mean service time of a class as learnt so far; zero before its first call has ended.
    duration serviceTime(call_class) const;

private:
    struct running_call {
        call_class callClass { call_class::Interactive };
        time_point since {};
    };

    bool hasSlotFor(call_class) const;
    duration expectedWait(std::size_t callsAhead) const;
    duration serviceTimeOfRunning() const;
    admission_decision refuse(std::string const& id, admission_decision::kind, time_point now);
    milliseconds retryAfter(time_point now);
    void start(admission_request const&, time_point now, std::vector<admission_decision>&);
    void startWaiting(time_point now, std::vector<admission_decision>&);
    void dropLate(std::deque<admission_request>&, time_point now, std::vector<admission_decision>&);
    bool canStillEnd(admission_request const&, duration wait, time_point now) const;
    void learn(call_class, duration);

    admission_limits m_limits;
    std::map<std::string, running_call> m_running;
    // Interactive calls and confirmations, in order of arrival.
    std::deque<admission_request> m_urgent;
    std::deque<admission_request> m_reports;
    std::array<duration, callClasses> m_serviceTimes {};
    // Refusals, each fading with time.
    double m_recentRefusals { 0 };
    time_point m_refusedAt {};
};

} // namespace merlinpier
