#pragma once

#include <LibCore/time.h>
#include <LibRouting/routing_snapshot.h>
#include <LibRouting/service_times.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace merlinpier {

// A target refused a call for want of room.
struct load_refusal {
    // Its load then, in thousandths of the slots.
    std::uint32_t loadPermille { 0 };
    time_point at {};
    // When it said that such a call may come back.
    time_point comeBackAt {};
};

// What this daemon has seen of one target by its own calls.
struct target_observation {
    // Attempts sent and not ended.
    std::size_t outstanding { 0 };
    // Load carried by the last answer or refusal, in thousandths of the slots, and when it was heard.
    std::uint32_t loadPermille { 0 };
    std::optional<time_point> loadHeardAt;
    std::uint32_t failuresInRow { 0 };
    // How often in a row the target was ejected; each time lasts twice as long as the last.
    std::uint32_t ejections { 0 };
    time_point ejectedUntil {};
    // When a snapshot named the target first; it starts slowly from then on.
    time_point knownSince {};
    duration slowStart { 0 };
    // What the target has lately needed for calls, as its daemon told.
    service_times serviceTimes;
    // Attempts sent since load was heard.
    std::size_t sentSinceHeard { 0 };

    // Refusals of kinds of calls for want of room.
    std::map<std::string, load_refusal> refusals;

    bool isEjected(time_point now) const { return now < ejectedUntil; }
};

} // namespace merlinpier
