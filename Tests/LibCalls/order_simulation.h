#pragma once

#include <LibCalls/admission_queue.h>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

namespace merlinpier::fixture {

// What a caller asks for and what it needs. Times count from the first request.
struct order_call {
    time_point at {};
    std::string kind;
    std::string tenant;
    std::uint32_t priority { 0 };
    duration work { 0 };
    duration objective { 0 };
    duration deadline { 0 };
    // Does not wait for the retry-after time, but repeats several times at short intervals.
    bool isImpatient { false };
    // The index of the service that it calls; a call may make one inner call when its own work is done.
    std::size_t service { 0 };
    bool hasInner { false };
    std::size_t innerService { 0 };
    duration innerWork { 0 };
    duration innerObjective { 0 };
    duration innerDeadline { 0 };

    bool operator==(order_call const&) const = default;
};

// What became of a call.
struct order_result {
    // Time from the first request to the answer; nothing if there was none before the deadline.
    std::optional<duration> answeredAfter;
    std::uint32_t refusals { 0 };
    bool wasHeldAndRefused { false };

    bool operator==(order_result const&) const = default;
};

// A target's share of a service: when it is there, and its slots.
struct order_target {
    std::size_t service { 0 };
    std::uint32_t slots { 6 };
    std::uint32_t queueLimit { 24 };
    time_point goneFrom { time_point::max() };

    bool operator==(order_target const&) const = default;
};

// Serves calls by admission queues in virtual time, without a network: callers send to the target with the shortest
// queue and, when refused, to the next one; refused by all, they come back once if the retry-after time is at most a
// third of their time.
class order_simulation {
public:
    order_simulation(std::vector<order_target>, admission_order);

    // Lets the queues learn the service time of a kind before the load begins.
    void teach(std::string const& kind, duration work);
    std::vector<order_result> run(std::vector<order_call> const&);

private:
    struct attempt {
        std::size_t call { 0 };
        bool isInner { false };
        std::size_t target { 0 };
        time_point offeredAt {};
        bool isSecond { false };
    };
    struct event {
        time_point at;
        std::uint64_t order { 0 };
        std::function<void()> action;
        bool operator<(event const& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
    };

    void at(time_point, std::function<void()>);
    void request(std::size_t call, bool isInner);
    void offer(std::size_t call, bool isInner, std::size_t target, bool isSecond);
    void apply(std::vector<admission_decision> const&);
    void didStart(std::string const& id);
    void didEnd(std::string const& id);
    void didRefuse(std::string const& id, milliseconds retryAfter);
    void comeBack(std::size_t call, bool isInner, milliseconds retryAfter);
    void endOuter(std::size_t call);
    std::vector<std::size_t> targetsOf(std::size_t service) const;
    duration deadlineOf(std::size_t call, bool isInner) const;
    time_point startOf(std::size_t call, bool isInner) const;

    std::vector<order_target> m_targets;
    std::vector<admission_queue> m_queues;
    std::vector<order_call> m_calls;
    std::vector<order_result> m_results;
    std::map<std::string, attempt> m_attempts;
    // The running outer attempt of a call that waits for its inner call, and when that was first requested.
    std::map<std::size_t, std::string> m_outer;
    std::map<std::size_t, time_point> m_innerStart;
    std::map<std::size_t, std::uint32_t> m_innerRefusals;
    std::priority_queue<event> m_events;
    std::uint64_t m_order { 0 };
    std::uint64_t m_lastAttempt { 0 };
    time_point m_now { seconds(1000) };
};

// The value of a result: 1 in time, less when late, nothing otherwise; times the weight of the call's priority.
double valueOf(order_call const&, order_result const&);
// Weight of a priority: each is worth twice the next.
double weightOf(std::uint32_t priority);
// The value that an order gets which knows all calls and their work beforehand and may divide work at will: takes the
// calls of most value for their work first, as far as the slots have room between arrival and objective (or deadline).
double bestKnownAfterwards(std::vector<order_call> const&, std::vector<order_target> const&, std::size_t service = 0);

} // namespace merlinpier::fixture
