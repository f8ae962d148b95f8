#include <LibRollout/rollout_exposure.h>

namespace merlinpier {

void rollout_exposure::begin(std::string const& service, std::uint64_t order, double share, double credit)
{
    auto& allowed = m_allowances[service];
    if (allowed.counted.order != order)
        allowed = { { order, 0, 0 }, share, credit };
    allowed.isOpen = true;
}

void rollout_exposure::end(std::string const& service)
{
    auto const found = m_allowances.find(service);
    if (found != m_allowances.end())
        found->second.isOpen = false;
}

bool rollout_exposure::mayExpose(std::string const& service) const
{
    auto const found = m_allowances.find(service);
    if (found == m_allowances.end() || !found->second.isOpen)
        return false;
    auto const& allowed = found->second;
    return static_cast<double>(allowed.counted.sent + 1)
        <= allowed.share * static_cast<double>(allowed.counted.answered) + allowed.credit;
}

void rollout_exposure::didSend(std::string const& service)
{
    auto const found = m_allowances.find(service);
    if (found != m_allowances.end())
        ++found->second.counted.sent;
}

void rollout_exposure::didNotRun(std::string const& service)
{
    auto const found = m_allowances.find(service);
    if (found != m_allowances.end() && found->second.counted.sent > 0)
        --found->second.counted.sent;
}

void rollout_exposure::didAnswer(std::string const& service)
{
    auto const found = m_allowances.find(service);
    if (found != m_allowances.end() && found->second.isOpen)
        ++found->second.counted.answered;
}

rollout_exposure::counters rollout_exposure::countersOf(std::string const& service) const
{
    auto const found = m_allowances.find(service);
    return found == m_allowances.end() ? counters {} : found->second.counted;
}

} // namespace merlinpier
