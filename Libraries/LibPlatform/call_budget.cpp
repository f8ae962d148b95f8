#include <LibPlatform/call_budget.h>

#include <algorithm>

namespace merlinpier {

namespace {

using minutes = std::chrono::duration<double, std::ratio<60>>;

} // namespace

call_budget::call_budget(double callsPerMinute, double burst, time_point now)
    : m_callsPerMinute(callsPerMinute)
    , m_burst(std::max(burst, 1.0))
    , m_available(m_burst)
    , m_updatedAt(now)
{
}

double call_budget::availableAt(time_point now) const
{
    auto const elapsed = std::max(duration::zero(), now - m_updatedAt);
    return std::min(m_burst, m_available + minutes(elapsed).count() * m_callsPerMinute);
}

bool call_budget::tryTake(time_point now)
{
    m_available = availableAt(now);
    m_updatedAt = std::max(m_updatedAt, now);
    if (m_available < 1)
        return false;
    m_available -= 1;
    return true;
}

duration call_budget::timeUntilAvailable(time_point now) const
{
    double const missing = 1 - availableAt(now);
    if (missing <= 0)
        return duration::zero();
    // Rounded up, so that the call is available once the time has passed.
    return std::chrono::ceil<duration>(minutes(missing / m_callsPerMinute)) + duration(1);
}

} // namespace merlinpier
