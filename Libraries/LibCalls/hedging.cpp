#include <LibCalls/hedging.h>

#include <algorithm>

namespace merlinpier {

namespace {

using fractional_duration = std::chrono::duration<double, duration::period>;

constexpr std::size_t longRunPercent = 95;
// The runs whose percentile is taken: enough for it to be steady, few enough to follow a change of load.
constexpr std::size_t recentRuns = 100;
// Fewer runs say little about their 95th percentile.
constexpr std::size_t minimumRuns = 20;
// A run that has taken less than this part of its objective gets no second one.
constexpr int minimumObjectiveDivisor = 3;
// A rescue starts when this multiple of the expected time is left, so that it tolerates a slower run than expected.
constexpr int rescueFactor = 2;
// Saved-up early second runs, so that a quiet hour does not allow a burst of them.
constexpr double maximumEarlyBalance = 5;

} // namespace

std::optional<duration> hedging::earliest(std::string const& kind, duration objective) const
{
    auto const found = m_recentRuns.find(kind);
    if (found == m_recentRuns.end() || found->second.times.size() < minimumRuns)
        return std::nullopt;
    return objective / minimumObjectiveDivisor;
}

hedging_verdict hedging::decide(hedging_question const& question) const
{
    auto const longEnough = longRun(question.kind, question.expected);
    if (!longEnough || question.elapsed < question.objective / minimumObjectiveDivisor)
        return hedging_verdict::None;
    bool const isLong = question.elapsed >= *longEnough;
    if (isLong && m_earlyBalance >= 1 && question.expectedFinish <= question.leftOfObjective)
        return hedging_verdict::Early;
    bool const isLastMoment = question.leftOfDeadline <= rescueFactor * question.expectedFinish;
    if (isLastMoment && isLong && question.expectedFinish <= question.leftOfDeadline)
        return hedging_verdict::Rescue;
    return hedging_verdict::None;
}

std::optional<duration> hedging::longRun(std::string const& kind, duration expected) const
{
    auto const found = m_recentRuns.find(kind);
    if (found == m_recentRuns.end() || found->second.times.size() < minimumRuns)
        return std::nullopt;
    return std::chrono::duration_cast<duration>(fractional_duration(expected) * found->second.longRun);
}

void hedging::didStartCall() { m_earlyBalance = std::min(maximumEarlyBalance, m_earlyBalance + maximumEarlyShare); }

void hedging::didEndRun(std::string const& kind, duration taken, duration expected)
{
    if (expected <= duration::zero())
        return;
    double const relative = fractional_duration(taken) / expected;
    auto& runs = m_recentRuns[kind];
    if (runs.times.size() < recentRuns)
        runs.times.push_back(relative);
    else
        runs.times[runs.next] = relative;
    runs.next = (runs.next + 1) % recentRuns;
    auto sorted = runs.times;
    auto const rank = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() * longRunPercent / 100);
    std::nth_element(sorted.begin(), rank, sorted.end());
    runs.longRun = *rank;
}

void hedging::didHedge(hedging_verdict verdict)
{
    if (verdict == hedging_verdict::Early)
        m_earlyBalance -= 1;
}

} // namespace merlinpier
