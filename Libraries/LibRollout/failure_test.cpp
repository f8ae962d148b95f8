#include <LibRollout/failure_test.h>

#include <algorithm>
#include <cmath>

namespace merlinpier {

namespace {

// A finding costs a good version its rollout and a miss exposes callers; 1 in 400 for each test kept the false alarms
// of all kinds together, over all evaluations of a rollout, below 1 in 200 in simulations.
double const findingScore = std::log(400.0);
constexpr double doubtfulScore = 2;
// Above this, the version is 20 times as likely to be bad.
double const leaningScore = std::log(20.0);
constexpr double lowestAcceptableRate = 0.005;
// How much more often than the old version a good one may fail by chance or by its place.
constexpr double toleratedIncrease = 0.005;
constexpr double increaseOfBad = 0.04;
constexpr std::size_t targetsToTellApart = 3;

} // namespace

failure_test::rates failure_test::ratesFor(double failuresOfOld)
{
    double const acceptable = std::clamp(failuresOfOld + toleratedIncrease, lowestAcceptableRate, 0.9);
    return { acceptable, std::min(acceptable + increaseOfBad, 0.95) };
}

double failure_test::scoreOf(counts const& counted, rates const& given)
{
    double const ofFailure = std::log(given.bad / given.acceptable);
    double const ofSuccess = std::log((1 - given.bad) / (1 - given.acceptable));
    return static_cast<double>(counted.failures) * ofFailure
        + static_cast<double>(counted.runs - counted.failures) * ofSuccess;
}

void failure_test::add(std::string const& target, std::uint64_t runs, std::uint64_t failures, rates const& given)
{
    m_rates = given;
    m_whole.add(target, { runs, failures });
    m_recent.add(target, { runs, failures });
    if (scoreOf(m_recent.all, m_rates) <= 0)
        m_recent = {};
}

void failure_test::sum::add(std::string const& target, counts const& added)
{
    auto& of = byTarget[target];
    for (auto* counted : { &all, &of }) {
        counted->runs += added.runs;
        counted->failures += added.failures;
    }
}

bool failure_test::sum::reaches(double wanted, std::size_t targets, rates const& given) const
{
    if (all.failures == 0 || scoreOf(all, given) < wanted)
        return false;
    if (targets < targetsToTellApart)
        return true;
    auto const worst = std::max_element(byTarget.begin(), byTarget.end(),
        [](auto const& first, auto const& second) { return first.second.failures < second.second.failures; });
    bool const isOneTarget = worst->second.failures * 2 > all.failures;
    counts const others { all.runs - worst->second.runs, all.failures - worst->second.failures };
    return !isOneTarget || scoreOf(others, given) >= wanted;
}

bool failure_test::isBad(std::size_t targets) const { return m_recent.reaches(findingScore, targets, m_rates); }

bool failure_test::isLeaningBad(std::size_t targets) const { return m_whole.reaches(leaningScore, targets, m_rates); }

bool failure_test::isDoubtful() const
{
    return scoreOf(m_recent.all, m_rates) >= doubtfulScore || scoreOf(m_whole.all, m_rates) > -doubtfulScore;
}

} // namespace merlinpier
