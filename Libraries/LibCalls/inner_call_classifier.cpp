#include <LibCalls/inner_call_classifier.h>

namespace merlinpier {

namespace {

// A target may go on for a moment with a call that was aborted and is no longer counted, so a few arrivals without a
// running call are not enough.
constexpr std::uint64_t minimumIdleArrivals = 3;
constexpr std::uint64_t minimumIdlePercent = 2;

} // namespace

bool inner_call_classifier::didReceive(std::string const& kind, std::size_t runningCalls)
{
    auto& counts = m_arrivals[kind];
    ++counts.all;
    if (runningCalls == 0)
        ++counts.whileIdle;
    bool const isMadeByClients
        = counts.whileIdle >= minimumIdleArrivals && counts.whileIdle * 100 >= counts.all * minimumIdlePercent;
    return runningCalls > 0 && !isMadeByClients;
}

} // namespace merlinpier
