#pragma once

#include <LibCore/time.h>

namespace merlinpier {

// The rate at which requests come, as an exponential moving mean. A second, faster mean tells a step of the rate from
// chance, as does a silence that is too long for it; after a step, the mean begins anew.
class demand_rate {
public:
    void didArrive(time_point now);
    // Requests a second.
    double perSecond(time_point now);
    // Whether the rate has just changed by more than chance explains.
    bool isStepping(time_point now) const { return now < m_stepUntil; }

private:
    void advance(time_point now);
    void detectStep(time_point now);
    void begin(time_point now);

    double m_slow { 0 };
    double m_fast { 0 };
    // The weight of the time since the slow mean began; 1 once that is long ago.
    double m_slowWeight { 1 };
    time_point m_advancedTo {};
    time_point m_lastArrival {};
    time_point m_stepUntil {};
};

} // namespace merlinpier
