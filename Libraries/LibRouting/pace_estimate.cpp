#include <LibRouting/pace_estimate.h>

#include <algorithm>
#include <cmath>

namespace merlinpier {

namespace {

using fractional_duration = std::chrono::duration<double, duration::period>;

constexpr double percentScale = pace_estimate::usualPercent;
// After this many half-lives nothing is left of an announcement that matters.
constexpr double meaningfulHalfLives = 10;
// Beyond this exponent, work outlasts the announced pace, and the exponential is not needed.
constexpr double longWorkExponent = 30;

double halfLivesOf(duration value) { return fractional_duration(value) / pace_estimate::paceHalfLife; }

} // namespace

pace_estimate::pace_estimate(std::uint32_t percent, time_point announcedAt)
    : m_percent(std::min(percent, maximumPercent))
    , m_announcedAt(announcedAt)
{
}

double pace_estimate::excessAt(time_point time) const
{
    if (!isKnown() || m_percent == usualPercent)
        return 0;
    auto const age = halfLivesOf(std::max(time - m_announcedAt, duration::zero()));
    return age >= meaningfulHalfLives ? 0 : (m_percent / percentScale - 1) * std::exp2(-age);
}

std::uint32_t pace_estimate::percentAt(time_point time) const
{
    if (!isKnown())
        return 0;
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::lround((1 + excessAt(time)) * percentScale)));
}

// With an excess a that decays at the rate k, work w is done after the time t at which the integral of
// 1 / (1 + a exp(-k t)) reaches w: t = ln((1 + a) exp(k w) - a) / k.
duration pace_estimate::timeFor(duration usual, time_point startedAt) const
{
    auto const excess = excessAt(startedAt);
    if (excess == 0 || usual <= duration::zero())
        return usual;
    double const exponent = halfLivesOf(usual) * std::log(2.0);
    double const halfLives = exponent > longWorkExponent ? halfLivesOf(usual) + std::log2(1 + excess)
                                                         : std::log2((1 + excess) * std::exp(exponent) - excess);
    return std::chrono::duration_cast<duration>(fractional_duration(pace_estimate::paceHalfLife) * halfLives);
}

duration usualTime(duration measured, std::uint32_t percentAtStart, std::uint32_t percentAtEnd)
{
    auto const orUsual = [](std::uint32_t percent) {
        return percent == 0 ? pace_estimate::usualPercent : percent;
    };
    auto const sum = orUsual(percentAtStart) + orUsual(percentAtEnd);
    return measured * (2 * pace_estimate::usualPercent) / sum;
}

} // namespace merlinpier
