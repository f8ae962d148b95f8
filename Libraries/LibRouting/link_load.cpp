#include <LibRouting/link_load.h>

namespace merlinpier {

namespace {

// The rest is taken by headers of packets and by all other messages of the VM.
constexpr double shareForAnswers = 0.85;
constexpr double bitsPerByte = 8;
constexpr double bitsPerMegabit = 1e6;

} // namespace

duration link_load::timeToPass(std::size_t bytes) const { return transferTime(m_mbps, m_bytes + bytes); }

duration link_load::transferTime(std::uint32_t mbps, std::size_t bytes)
{
    if (mbps == 0)
        return duration::zero();
    double const seconds = static_cast<double>(bytes) * bitsPerByte / (mbps * bitsPerMegabit * shareForAnswers);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace merlinpier
