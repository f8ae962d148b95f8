#include <LibConfiguration/retry_back_off.h>

#include <algorithm>

namespace merlinpier {

duration retry_back_off::didFail(generator& source)
{
    constexpr unsigned maximumDoublings = 16;
    auto const bound
        = std::min(m_maximumBound, m_initialBound * (1 << std::min(m_consecutiveFailures, maximumDoublings)));
    ++m_consecutiveFailures;
    auto const drawn = duration(static_cast<duration::rep>(uniformUnit(source) * static_cast<double>(bound.count())));
    return std::max<duration>(milliseconds(1), drawn);
}

} // namespace merlinpier
