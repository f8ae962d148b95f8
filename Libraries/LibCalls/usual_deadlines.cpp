#include <LibCalls/usual_deadlines.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstddef>

namespace merlinpier {

namespace {

namespace accumulators = boost::accumulators;

// First attempts allow the most time, and more than one request in ten is one even when most come back.
constexpr double firstAttemptQuantile = 0.9;
constexpr std::size_t requestsToLearnFrom = 20;
// Callers of one kind differ by up to this share in the time that they allow at first.
constexpr double callerSpread = 0.15;
// Bounds the memory for kinds that no route names any more; far more than callers use at a time.
constexpr std::size_t maximumKinds = 4096;

} // namespace

struct usual_deadlines::estimate {
    accumulators::accumulator_set<double,
        accumulators::stats<accumulators::tag::count, accumulators::tag::p_square_quantile>>
        seconds { accumulators::quantile_probability = firstAttemptQuantile };
};

usual_deadlines::usual_deadlines() = default;
usual_deadlines::~usual_deadlines() = default;

duration usual_deadlines::didReceive(std::string const& kind, duration remaining)
{
    if (m_byKind.size() >= maximumKinds && !m_byKind.contains(kind))
        m_byKind.clear();
    auto& known = m_byKind[kind];
    if (!known)
        known = std::make_unique<estimate>();
    double const allowed = std::chrono::duration<double>(remaining).count();
    known->seconds(allowed);
    if (accumulators::count(known->seconds) < requestsToLearnFrom)
        return duration::zero();
    double const usual = accumulators::p_square_quantile(known->seconds);
    if (allowed >= usual * (1 - callerSpread))
        return duration::zero();
    double const spent = usual * (1 - callerSpread / 2) - allowed;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(spent));
}

} // namespace merlinpier
