#include <LibRouting/service_times.h>

namespace merlinpier {

namespace {

// Weight of a new sample in the moving average.
constexpr double newSampleWeight = 0.1;

void updateMean(duration& mean, duration measured)
{
    if (mean == duration::zero()) {
        mean = measured;
        return;
    }
    auto const change = std::chrono::duration<double, duration::period>(measured - mean) * newSampleWeight;
    mean += std::chrono::duration_cast<duration>(change);
}

} // namespace

void service_times::addSample(std::string const& kind, duration measured)
{
    updateMean(m_meanByKind[kind], measured);
    updateMean(m_overallMean, measured);
}

duration service_times::meanOf(std::string const& kind) const
{
    auto const found = m_meanByKind.find(kind);
    return found == m_meanByKind.end() ? duration::zero() : found->second;
}

} // namespace merlinpier
