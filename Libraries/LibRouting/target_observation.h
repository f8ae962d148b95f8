#pragma once

#include <LibCore/time.h>
#include <LibRouting/pace_estimate.h>
#include <LibRouting/routing_snapshot.h>
#include <LibRouting/service_times.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace merlinpier {

// The last refusal of a kind of call by an overloaded target.
struct load_refusal {
    // The target's load at the refusal, in thousandths of its slots.
    std::uint32_t loadPermille { 0 };
    time_point refusedAt {};
    // When a call of the kind may be retried, by the refusal's retry-after time.
    time_point retryAt {};
};

// What this daemon has observed of one target through its own calls.
struct target_observation {
    // Attempts in flight.
    std::size_t outstanding { 0 };
    // Load reported by the last answer or refusal, in thousandths of the slots, and when the report arrived.
    std::uint32_t loadPermille { 0 };
    std::optional<time_point> loadReportedAt;
    std::uint32_t consecutiveFailures { 0 };
    // Ejections since the target last answered while not ejected; each lasts twice as long as the one before.
    std::uint32_t ejections { 0 };
    time_point ejectedUntil {};
    // When a snapshot first named the target; its slow start begins then.
    time_point firstSeenAt {};
    // Over how long the target's share of calls rises after it was first seen; zero for no slow start.
    duration slowStart { 0 };
    // Service times of calls at the target, as reported by its daemon.
    service_times serviceTimes;
    // The pace that the target has announced; service times are those at the usual pace.
    pace_estimate pace;
    // Attempts sent since the last load report.
    std::size_t sentSinceLoadReport { 0 };

    // The last refusal for overload of each kind of call.
    std::map<std::string, load_refusal> refusals;

    bool isEjected(time_point now) const { return now < ejectedUntil; }
};

} // namespace merlinpier
