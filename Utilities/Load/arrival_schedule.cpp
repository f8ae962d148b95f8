#include <Utilities/Load/arrival_schedule.h>

#include <cmath>

namespace merlinpier {

arrival_schedule::arrival_schedule(double rate, duration length, arrival_spread spread, std::uint64_t seed)
    : m_rate(rate)
    , m_length(length)
    , m_spread(spread)
    , m_source(seed)
{
}

std::optional<duration> arrival_schedule::next()
{
    double const gap = m_spread == arrival_spread::Even ? 1 : -std::log1p(-uniformUnit(m_source));
    m_atSeconds += gap / m_rate;
    auto const at = std::chrono::duration_cast<duration>(std::chrono::duration<double>(m_atSeconds));
    if (at >= m_length)
        return std::nullopt;
    return at;
}

} // namespace merlinpier
