#include <LibCalls/stop_schedule.h>

#include <algorithm>

namespace merlinpier {

namespace {

// Answers are written within this time.
constexpr milliseconds answerPeriod { 100 };
// A daemon that is alive answers a recall within this time.
constexpr milliseconds recallPeriod { 300 };

} // namespace

stop_schedule::stop_schedule(time_point begin, time_point end)
    : m_begin(begin)
    , m_end(end)
{
}

std::optional<duration> stop_schedule::timeFor(duration limit, bool isIdempotent, time_point now) const
{
    auto const left = recallTime() - now;
    if (limit <= left)
        return limit;
    // Nearly all calls end long before their time limit. One that does not can be repeated elsewhere if it is
    // idempotent.
    bool const isFirstHalf = now - m_begin < (m_end - m_begin) / 2;
    if (isIdempotent && isFirstHalf && left > duration::zero())
        return left;
    return std::nullopt;
}

time_point stop_schedule::recallTime() const { return std::max(m_begin, lastAnswerTime() - recallPeriod); }

time_point stop_schedule::lastAnswerTime() const { return std::max(m_begin, m_end - answerPeriod); }

} // namespace merlinpier
