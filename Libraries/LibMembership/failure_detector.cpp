#include <LibMembership/failure_detector.h>

namespace merlinpier {

failure_detector::failure_detector(duration suspectTimeout, double partitionThreshold)
    : m_suspectTimeout(suspectTimeout)
    , m_partitionThreshold(partitionThreshold)
{
}

void failure_detector::didReceiveFrom(std::string const& vm, time_point now)
{
    if (auto known = m_lastHeard.find(vm); known != m_lastHeard.end())
        known->second = now;
}

void failure_detector::observe(
    membership_table const& table, std::string const& zone, std::string const& self, time_point now)
{
    // A daemon that was paused has received nothing meanwhile, so silence does not indicate failed members.
    if (m_lastObservation && now - *m_lastObservation > m_suspectTimeout)
        m_lastHeard.clear();
    m_lastObservation = now;
    std::map<std::string, time_point> current;
    for (auto const& [vm, record] : table.records()) {
        if (vm == self || record.zone != zone || record.state == member_state::Gone)
            continue;
        auto const known = m_lastHeard.find(vm);
        current.emplace(vm, known == m_lastHeard.end() ? now : known->second);
    }
    m_lastHeard = std::move(current);
}

void failure_detector::stop()
{
    m_lastHeard.clear();
    m_lastObservation.reset();
}

std::vector<std::string> failure_detector::suspects(time_point now) const
{
    std::vector<std::string> vms;
    for (auto const& [vm, lastHeard] : m_lastHeard) {
        if (now - lastHeard >= m_suspectTimeout)
            vms.push_back(vm);
    }
    return vms;
}

std::vector<std::string> failure_detector::gone(membership_table const& table, time_point now) const
{
    std::vector<std::string> vms;
    std::size_t silentNotLeaving = 0;
    std::size_t notLeaving = 1;
    for (auto const& [vm, lastHeard] : m_lastHeard) {
        auto const* record = table.find(vm);
        bool const isLeaving = record && record->state == member_state::Leaving;
        bool const isSilent = now - lastHeard >= m_suspectTimeout;
        if (!isLeaving)
            ++notLeaving;
        if (isSilent && !isLeaving)
            ++silentNotLeaving;
    }
    bool const looksLikePartition
        = static_cast<double>(silentNotLeaving) >= m_partitionThreshold * static_cast<double>(notLeaving);
    for (auto const& [vm, lastHeard] : m_lastHeard) {
        auto const* record = table.find(vm);
        bool const isLeaving = record && record->state == member_state::Leaving;
        // A leaving member is expected to become silent, so its silence does not indicate a partition.
        if (isLeaving ? now - lastHeard >= m_suspectTimeout
                      : !looksLikePartition && now - lastHeard >= 2 * m_suspectTimeout)
            vms.push_back(vm);
    }
    return vms;
}

} // namespace merlinpier
