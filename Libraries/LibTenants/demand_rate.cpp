#include <LibTenants/demand_rate.h>

#include <algorithm>
#include <cmath>

namespace merlinpier {

namespace {

constexpr double slowSeconds = 2;
constexpr double fastSeconds = 0.3;
constexpr milliseconds stepDuration { 1000 };
// A difference of so many standard deviations of the fast mean, and of so many requests a second, is a step.
constexpr double stepDeviations = 3.5;
constexpr double smallestStep = 2;
// Silence that lasts as long as so many requests would is a step: by chance it comes once in 8,000 requests.
constexpr double silentRequests = 9;
constexpr double shortestSilence = 0.2;
// The mean of lower rates rests on too few requests; it falls by itself.
constexpr double smallestSilentRate = 4;
// The weight that the slow mean begins with: of nothing after a silence, and of the fast mean after a step.
constexpr double startWeight = 0.18;
constexpr double stepWeight = 0.1;

double inSeconds(duration time) { return std::chrono::duration<double>(time).count(); }

} // namespace

void demand_rate::begin(time_point now)
{
    m_slow = 0;
    m_fast = 0;
    m_slowWeight = startWeight;
    m_advancedTo = now;
}

void demand_rate::advance(time_point now)
{
    if (now <= m_advancedTo)
        return;
    auto const spent = inSeconds(now - m_advancedTo);
    m_advancedTo = now;
    auto const kept = std::exp(-spent / slowSeconds);
    m_slow *= kept;
    m_slowWeight = 1 - (1 - m_slowWeight) * kept;
    m_fast *= std::exp(-spent / fastSeconds);
}

void demand_rate::detectStep(time_point now)
{
    // The variance of the mean of a Poisson process is its rate divided by twice the time constant.
    auto const slow = m_slow / m_slowWeight;
    auto const deviation = std::sqrt(std::max(slow, m_fast) / (2 * fastSeconds));
    bool const isStep = std::abs(m_fast - slow) > stepDeviations * deviation + smallestStep;
    auto const silence = inSeconds(now - m_lastArrival);
    // The rate at the last request, which the silence itself has not lowered.
    auto const before = slow * std::exp(silence / slowSeconds);
    bool const isSilent = before >= smallestSilentRate && silence > std::max(shortestSilence, silentRequests / before);
    if (isStep || isSilent)
        m_stepUntil = now + stepDuration;
    if (isSilent)
        m_fast = 0;
    if (isStep || isSilent) {
        m_slow = m_fast * stepWeight;
        m_slowWeight = stepWeight;
    }
}

void demand_rate::didArrive(time_point now)
{
    // After a silence, the weight of which is nothing, the mean begins with the first request.
    if (m_slow == 0 && m_fast == 0)
        begin(now);
    advance(now);
    m_lastArrival = now;
    m_slow += 1 / slowSeconds;
    m_fast += 1 / fastSeconds;
    detectStep(now);
}

double demand_rate::perSecond(time_point now)
{
    advance(now);
    detectStep(now);
    return m_slow / m_slowWeight;
}

} // namespace merlinpier
