#include <LibCalls/failure_rate.h>

namespace merlinpier {

namespace {

// Weight of the newest run: a target that fails two runs of five is noticed within some ten runs, and a single failure
// hardly changes where calls go.
constexpr double smoothingFactor = 0.08;

} // namespace

void failure_rate::add(run_result result)
{
    m_share += ((result == run_result::Failed ? 1 : 0) - m_share) * smoothingFactor;
}

} // namespace merlinpier
