#include <LibCalls/elapsed_time_estimator.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstddef>

namespace merlinpier {

namespace {

namespace accumulators = boost::accumulators;

// First attempts allow the most time, and they are more than one request in ten even when most requests are retries.
constexpr double firstAttemptQuantile = 0.9;
constexpr std::size_t minimumSampleCount = 20;
// The time allowed by first attempts of one kind varies by up to this fraction.
constexpr double firstAttemptSpread = 0.15;
// Bounds the memory used for kinds that no route names any more; far more than are in use at a time.
constexpr std::size_t maximumKinds = 4096;

} // namespace

struct elapsed_time_estimator::estimate {
    accumulators::accumulator_set<double,
        accumulators::stats<accumulators::tag::count, accumulators::tag::p_square_quantile>>
        seconds { accumulators::quantile_probability = firstAttemptQuantile };
};

elapsed_time_estimator::elapsed_time_estimator() = default;
elapsed_time_estimator::~elapsed_time_estimator() = default;

duration elapsed_time_estimator::didReceive(std::string const& kind, duration remaining)
{
    if (m_byKind.size() >= maximumKinds && !m_byKind.contains(kind))
        m_byKind.clear();
    auto& known = m_byKind[kind];
    if (!known)
        known = std::make_unique<estimate>();
    double const allowed = std::chrono::duration<double>(remaining).count();
    known->seconds(allowed);
    if (accumulators::count(known->seconds) < minimumSampleCount)
        return duration::zero();
    double const usual = accumulators::p_square_quantile(known->seconds);
    if (allowed >= usual * (1 - firstAttemptSpread))
        return duration::zero();
    double const spent = usual * (1 - firstAttemptSpread / 2) - allowed;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(spent));
}

} // namespace merlinpier
