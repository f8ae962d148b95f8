#pragma once

#include <LibCore/time.h>

namespace merlinpier {

// A token bucket that limits the rate of calls to the platform. Not thread-safe; the caller passes the time, and an
// earlier time than before adds no tokens.
class call_budget {
public:
    // Allows callsPerMinute on average and up to burst calls at once, with the whole burst available at first. Both
    // must be above zero; a burst below one counts as one.
    call_budget(double callsPerMinute, double burst, time_point now);

    // Spends one call; returns false and spends nothing if none is available now.
    bool tryTake(time_point now);
    // Returns the time until a call is available; zero if one is available now.
    duration timeUntilAvailable(time_point now) const;

private:
    // Calls available at the time, with fractions.
    double availableAt(time_point now) const;

    double m_callsPerMinute;
    double m_burst;
    double m_available;
    time_point m_updatedAt;
};

} // namespace merlinpier
