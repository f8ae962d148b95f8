#include <Utilities/Load/latency_summary.h>

#include <algorithm>
#include <cmath>

namespace merlinpier {

namespace {

double nearestRank(std::vector<duration> const& sorted, double portion)
{
    auto const rank = static_cast<std::size_t>(std::ceil(portion * static_cast<double>(sorted.size())));
    auto const sample = sorted.at(std::clamp<std::size_t>(rank, 1, sorted.size()) - 1);
    return std::chrono::duration<double, std::milli>(sample).count();
}

} // namespace

latency_summary summarizeLatencies(std::vector<duration> samples)
{
    if (samples.empty())
        return {};
    std::sort(samples.begin(), samples.end());
    return { nearestRank(samples, 0.5), nearestRank(samples, 0.9), nearestRank(samples, 0.99),
        nearestRank(samples, 0.999), nearestRank(samples, 1) };
}

} // namespace merlinpier
