#include <LibCalls/offered_work.h>

#include <algorithm>
#include <cmath>

namespace merlinpier {

namespace {

// Time constant of the decay. Bursts of demand last some seconds.
constexpr double decaySeconds = 2;
constexpr milliseconds decayPeriod { 100 };
// Tenants are forgotten when less than this many seconds of work are left of them.
constexpr double negligibleWork = 0.001;
// Work that waits was offered but not started, so that small differences are no sign of overload.
constexpr double shortageRatio = 0.9;
// A tenant that is served less than half as often as all comes first again, whatever its share; the bound that tenants
// rely on is a quarter.
constexpr double leastServedRatio = 0.5;
// Returned calls are served before their deadline while they take less than this share of the work started. Above it,
// new calls would all become late and return as well.
constexpr double returnedShare = 0.25;

double toSeconds(duration value) { return std::chrono::duration<double>(value).count(); }

} // namespace

void offered_work::didOffer(service_rank const& rank, std::string const& tenant, duration work, time_point now)
{
    decay(now);
    m_offeredByRank[rank] += toSeconds(work);
    if (tenant.empty())
        return;
    m_tenants[tenant].offered += toSeconds(work);
    m_allTenants.offered += toSeconds(work);
}

void offered_work::didStart(std::string const& tenant, duration work, bool hasReturned, time_point now)
{
    decay(now);
    m_started += toSeconds(work);
    m_startedReturned += hasReturned ? toSeconds(work) : 0;
    if (tenant.empty())
        return;
    m_tenants[tenant].started += toSeconds(work);
    m_allTenants.started += toSeconds(work);
}

bool offered_work::isBeyondShare(std::string const& tenant) const
{
    auto const found = m_tenants.find(tenant);
    if (m_fairShare < 0 || found == m_tenants.end())
        return false;
    auto const& work = found->second;
    return work.started >= m_fairShare
        && work.started * m_allTenants.offered >= leastServedRatio * work.offered * m_allTenants.started;
}

std::vector<std::string> offered_work::tenantsBeyondShare() const
{
    std::vector<std::string> tenants;
    for (auto const& [tenant, work] : m_tenants) {
        if (isBeyondShare(tenant))
            tenants.push_back(tenant);
    }
    return tenants;
}

std::vector<rank_load> offered_work::loads(std::uint32_t slots) const
{
    std::vector<rank_load> loads;
    auto const capacity = decaySeconds * std::max<std::uint32_t>(1, slots);
    for (auto const& [rank, offered] : m_offeredByRank)
        loads.push_back({ rank, offered / capacity });
    return loads;
}

bool offered_work::mayFavourReturned() const { return m_startedReturned <= returnedShare * m_started; }

void offered_work::decay(time_point now)
{
    if (now - m_decayedAt < decayPeriod)
        return;
    auto const factor = std::exp(-toSeconds(now - m_decayedAt) / decaySeconds);
    m_decayedAt = now;
    for (auto& [rank, offered] : m_offeredByRank)
        offered *= factor;
    for (auto& [tenant, work] : m_tenants)
        work = { work.offered * factor, work.started * factor };
    m_allTenants = { m_allTenants.offered * factor, m_allTenants.started * factor };
    m_started *= factor;
    m_startedReturned *= factor;
    std::erase_if(m_offeredByRank, [](auto const& item) { return item.second < negligibleWork; });
    std::erase_if(m_tenants, [](auto const& item) { return item.second.offered < negligibleWork; });
    updateFairShare();
}

// Fills the work that was started into the tenants' offered work from the smallest up.
void offered_work::updateFairShare()
{
    m_fairShare = -1;
    if (m_allTenants.started >= shortageRatio * m_allTenants.offered)
        return;
    std::vector<double> offered;
    offered.reserve(m_tenants.size());
    for (auto const& [tenant, work] : m_tenants)
        offered.push_back(work.offered);
    std::sort(offered.begin(), offered.end());
    auto left = m_allTenants.started;
    for (std::size_t filled = 0; filled < offered.size(); ++filled) {
        auto const share = left / static_cast<double>(offered.size() - filled);
        if (offered[filled] >= share) {
            m_fairShare = share;
            return;
        }
        left -= offered[filled];
    }
}

} // namespace merlinpier
