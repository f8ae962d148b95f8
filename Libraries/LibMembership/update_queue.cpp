#include <LibMembership/update_queue.h>

#include <utility>

namespace merlinpier {

namespace {

constexpr milliseconds minimumRecordInterval { 50 };
// Applied versions are needed only by operators and status --wait, so a longer delay is acceptable. All VMs apply a
// version at almost the same time, so a longer interval combines more changes into one message.
constexpr milliseconds minimumAppliedVersionInterval { 250 };

bool isDue(std::optional<time_point> const& last, time_point now, duration period)
{
    return !last || now - *last >= period;
}

} // namespace

std::map<std::string, std::string> update_queue::takeRecords(time_point now)
{
    if (m_records.empty() || !isDue(m_recordsTakenAt, now, minimumRecordInterval))
        return {};
    m_recordsTakenAt = now;
    return std::exchange(m_records, {});
}

std::set<std::string> update_queue::takeAppliedVersions(time_point now)
{
    if (m_appliedVersions.empty() || !isDue(m_appliedVersionsTakenAt, now, minimumAppliedVersionInterval))
        return {};
    m_appliedVersionsTakenAt = now;
    return std::exchange(m_appliedVersions, {});
}

} // namespace merlinpier
