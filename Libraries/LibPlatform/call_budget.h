#pragma once

#include <LibCore/time.h>

namespace merlinpier {

// A limit on the rate of calls (token bucket): so many a minute on average, and at most a burst at once. Holds no
// clock; the caller passes the time, which must not go back.
class call_budget {
public:
    // Starts with the whole burst available. Both numbers must be above zero.
    call_budget(double callsPerMinute, double burst, time_point now);

    // Takes one call if the budget has it.
    bool tryTake(time_point now);
    // Returns how long until one call is available; zero if it is now.
    duration timeUntilAvailable(time_point now) const;

private:
    double availableAt(time_point now) const;

    double m_callsPerMinute;
    double m_burst;
    double m_available;
    time_point m_updatedAt;
};

} // namespace merlinpier
