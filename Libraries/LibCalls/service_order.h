#pragma once

#include <LibCore/time.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

namespace merlinpier {

// How a target's daemon orders the calls that wait for its slots. ObjectiveFirst: by priority, then by objective.
// ServiceOrder: by class service_order.
enum class admission_order { ObjectiveFirst, ServiceOrder };

// The name of the order in the state dump and in log lines.
inline char const* orderName(admission_order order)
{
    return order == admission_order::ServiceOrder ? "value" : "deadline";
}

// Which order the targets of a daemon get. Automatic: the service order once a call names a tenant or the target
// announces its pace, otherwise the objective first.
enum class order_choice { Automatic, Value, Deadline };

// Urgency of a call: smaller ranks are served first. A missing tenant priority counts as 0, since calls without a
// tenant are mostly made by calls that already run.
struct service_rank {
    bool isReport { false };
    std::uint32_t tenantPriority { 0 };
    std::uint32_t priority { 0 };

    bool operator==(service_rank const&) const = default;
    bool operator<(service_rank const& other) const
    {
        return std::tie(isReport, tenantPriority, priority)
            < std::tie(other.isReport, other.tenantPriority, other.priority);
    }
};

// What the order of service depends on of a call that waits for a slot or requests one. Durations count from now.
struct pending_call {
    service_rank rank;
    // Whether the call's tenant has been served more than its share lately.
    bool isBeyondShare { false };
    duration timeLeft { 0 };
    // Time left of the latency objective; nothing if the call has none.
    std::optional<duration> objectiveLeft;
    // Expected time in a slot; zero if it is not known.
    duration work { 0 };
    // Whether the caller came back after a refusal: the objective had passed when the request arrived.
    bool hasReturned { false };
    // Whether an earlier attempt may have reached a target.
    bool isRetry { false };
    // Whether the call is already waiting, so that a refusal would come late.
    bool isHeld { false };

    bool operator==(pending_call const&) const = default;
};

// The work that is offered to a target in one rank, as a share of what its slots can do.
struct rank_load {
    service_rank rank;
    double share { 0 };

    bool operator==(rank_load const&) const = default;
};

// What a target can do for the calls that wait for it.
struct service_capacity {
    std::uint32_t slots { 1 };
    // Expected time until the next slot is free.
    duration firstWait { 0 };
    // Time between two starts that a limit on requests imposes; zero without one.
    duration spacing { 0 };
    // In the order of ranks; ranks without load may be missing.
    std::vector<rank_load> loads;
    // Whether returned calls are served before they miss their deadline; otherwise they come after calls in time.
    bool favoursReturned { true };

    bool operator==(service_capacity const&) const = default;
};

// InTime: expected to end within the objective, or within the deadline if there is no objective.
enum class service_standing { InTime, Late, Unservable };

// The place of a call in the order of service.
struct service_place {
    // Index of the call among those that were passed in.
    std::size_t call { 0 };
    service_standing standing { service_standing::InTime };
    // Expected time until the call gets a slot.
    duration wait { 0 };

    bool operator==(service_place const&) const = default;
};

// Decides which calls a target serves and in which order. Ranks are strictly ordered, but each waiting rank can count
// on minimumShare of the slots. Within a rank, calls that can meet their objective come first, those of tenants within
// their share before others, each by earliest due time. Where not all can be in time, the calls with the most expected
// work for their value give way (Moore 1968), so that the largest number is in time. A call that is late is planned
// into the capacity that its rank is expected to leave; a call that does not fit in before its deadline is unservable.
// A pure function of its arguments.
class service_order {
public:
    // The share of the slots that calls of lower ranks get while they wait.
    static constexpr double minimumShare = 0.1;

    explicit service_order(service_capacity capacity);

    // Returns the places of all calls: the calls to serve in the order of service, then the unservable ones. Calls that
    // arrived earlier come first in the argument.
    std::vector<service_place> plan(std::vector<pending_call> const&) const;
    // The share of the slots that is left for calls of the rank if all load up to it, its own included, is served.
    double shareLeftBy(service_rank const&) const;
    // Whether an attempt elsewhere, after a refusal, is worth a place in a queue: a call that ends after its deadline
    // has no value, and one that will be late must not displace calls that can be in time.
    static bool isRetryWorthwhile(pending_call const&, duration expectedFinish);

private:
    struct section;
    double shareLeftAbove(service_rank const&) const;
    duration startTime(section const&) const;
    void planRank(
        std::vector<pending_call> const&, std::vector<std::size_t>, section&, std::vector<service_place>&) const;
    // Adds those of the calls that can be served before they are due; returns the others.
    std::vector<std::size_t> schedule(std::vector<pending_call> const&, std::vector<std::size_t>, service_standing,
        section&, std::vector<service_place>&) const;

    service_capacity m_capacity;
};

} // namespace merlinpier
