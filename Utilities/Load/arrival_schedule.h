#pragma once

#include <LibCore/generator.h>
#include <LibCore/time.h>
#include <optional>

namespace merlinpier {

// How the times between arrivals are spread.
enum class arrival_spread {
    // Independent arrivals, as from many callers (Poisson process).
    Random,
    // The same time between any two.
    Even,
};

// The intended starts of calls: an open loop, which does not wait for answers, so that a stall shows in the latencies
// of the calls that it holds up.
class arrival_schedule {
public:
    // The rate is in calls a second and above zero.
    arrival_schedule(double rate, duration length, arrival_spread, std::uint64_t seed);

    // Returns the next start, counted from the start of the schedule; nothing once its length has passed.
    std::optional<duration> next();

private:
    double const m_rate;
    duration const m_length;
    arrival_spread const m_spread;
    generator m_source;
    double m_atSeconds { 0 };
};

} // namespace merlinpier
