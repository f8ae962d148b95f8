#include <LibRouting/service_times.h>

namespace merlinpier {

namespace {

// Weight of the newest measurement.
constexpr double learningShare = 0.1;

void blend(duration& mean, duration measured)
{
    if (mean == duration::zero()) {
        mean = measured;
        return;
    }
    auto const change = std::chrono::duration<double, duration::period>(measured - mean) * learningShare;
    mean += std::chrono::duration_cast<duration>(change);
}

} // namespace

void service_times::addSample(std::string const& kind, duration measured)
{
    blend(m_byKind[kind], measured);
    blend(m_overall, measured);
}

duration service_times::meanOf(std::string const& kind) const
{
    auto const found = m_byKind.find(kind);
    return found == m_byKind.end() ? duration::zero() : found->second;
}

} // namespace merlinpier
