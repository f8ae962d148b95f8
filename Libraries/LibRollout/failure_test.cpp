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

void failure_test::add(std::string const& target, std::uint64_t runs, std::uint64_t failures, rates const& given)
{
    double const ofFailure = std::log(given.bad / given.acceptable);
    double const ofSuccess = std::log((1 - given.bad) / (1 - given.acceptable));
    double const added = static_cast<double>(failures) * ofFailure + static_cast<double>(runs - failures) * ofSuccess;
    m_score += added;
    m_wholeScore += added;
    m_runs += runs;
    m_failures += failures;
    auto& of = m_byTarget[target];
    of.failures += failures;
    of.score += added;
    if (m_score > 0)
        return;
    m_score = 0;
    m_runs = 0;
    m_failures = 0;
    m_byTarget.clear();
}

bool failure_test::isBad(std::size_t targets) const { return reaches(findingScore, targets); }

bool failure_test::isLeaningBad(std::size_t targets) const { return reaches(leaningScore, targets); }

bool failure_test::reaches(double score, std::size_t targets) const
{
    if (m_score < score)
        return false;
    if (targets < targetsToTellApart)
        return true;
    auto const worst = std::max_element(m_byTarget.begin(), m_byTarget.end(),
        [](auto const& first, auto const& second) { return first.second.failures < second.second.failures; });
    bool const isOneTarget = worst->second.failures * 2 > m_failures;
    return !isOneTarget || m_score - worst->second.score >= score;
}

bool failure_test::isDoubtful() const { return m_score >= doubtfulScore || m_wholeScore > -doubtfulScore; }

} // namespace merlinpier
