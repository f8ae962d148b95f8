#include <LibTenants/demand_table.h>

#include <algorithm>

namespace merlinpier {

namespace {

// Changes below both bounds wait for the next regular report.
constexpr std::uint64_t changePercent = 20;
constexpr std::uint64_t smallestChange = 3000;
// Changes of a zone's sum above both bounds are sent at once.
constexpr std::uint64_t urgentPercent = 30;
constexpr std::uint64_t smallestUrgentChange = 10000;
constexpr milliseconds shortestZonePeriod { 250 };
constexpr milliseconds zonePeriod { 1000 };
// Sums that have not changed are sent again after this time, in case a message was lost or a relay is new.
constexpr milliseconds refreshPeriod { 3000 };
// Reports are repeated at least every refreshPeriod.
constexpr milliseconds entryLifetime { 9000 };
constexpr milliseconds silenceOfZone { 6000 };
// A relay that has just begun answers after this time: every VM and zone has reported by then.
constexpr milliseconds settlingTime { 1300 };
constexpr milliseconds longestSettlingTime { 3300 };
constexpr milliseconds expiryPeriod { 500 };

bool hasChanged(std::uint64_t from, std::uint64_t to, std::uint64_t percent, std::uint64_t smallest)
{
    auto const change = from > to ? from - to : to - from;
    return change >= smallest && change * 100 >= std::max(from, to) * percent;
}

} // namespace

void demand_table::clear(time_point now)
{
    *this = demand_table();
    m_since = now;
}

void demand_table::setDemand(vm_entry& entry, std::uint64_t tenant, std::uint64_t demand)
{
    auto const sum = m_zoneSums.try_emplace(tenant, 0).first;
    sum->second += demand;
    sum->second -= entry.demand;
    entry.demand = demand;
}

std::vector<tenant_demand> demand_table::didReport(
    std::string const& vm, std::vector<tenant_demand> const& report, time_point now)
{
    auto& entries = m_vms[vm];
    for (auto const& reported : report) {
        auto& entry = entries[reported.tenant];
        setDemand(entry, reported.tenant, reported.milliPerSecond);
        entry.at = now;
        entry.told.reset();
    }
    std::vector<tenant_demand> answer;
    for (auto& [tenant, entry] : entries) {
        auto const total = sum(tenant, now);
        if (entry.told && !hasChanged(*entry.told, total, changePercent, smallestChange))
            continue;
        entry.told = total;
        answer.push_back({ tenant, total });
    }
    return answer;
}

void demand_table::didReportZone(std::string const& zone, std::vector<tenant_demand> const& report, time_point now)
{
    auto& remote = m_remote[zone];
    remote.lastHeard = now;
    for (auto const& reported : report) {
        if (reported.milliPerSecond > 0)
            remote.demand[reported.tenant] = { reported.milliPerSecond, zoneSum(reported.tenant), now };
        else
            remote.demand.erase(reported.tenant);
    }
}

bool demand_table::isZoneReportDue(std::string const& zone, time_point now) const
{
    auto const found = m_sent.find(zone);
    if (found == m_sent.end())
        return !m_zoneSums.empty();
    auto const& sent = found->second;
    if (now - sent.lastSent < shortestZonePeriod)
        return false;
    bool const isRegular = now - sent.lastSent >= zonePeriod;
    return std::any_of(m_zoneSums.begin(), m_zoneSums.end(), [&](auto const& entry) {
        auto const known = sent.demand.find(entry.first);
        auto const before = known == sent.demand.end() ? 0 : known->second.demand;
        if (hasChanged(before, entry.second, urgentPercent, smallestUrgentChange))
            return true;
        bool const isRefreshDue = known == sent.demand.end() || now - known->second.at >= refreshPeriod;
        return isRegular && (isRefreshDue || hasChanged(before, entry.second, changePercent, smallestChange));
    });
}

std::vector<tenant_demand> demand_table::takeZoneReport(std::string const& zone, time_point now)
{
    auto& sent = m_sent[zone];
    std::vector<tenant_demand> report;
    for (auto const& [tenant, demand] : m_zoneSums) {
        auto const [known, isNew] = sent.demand.try_emplace(tenant);
        auto& entry = known->second;
        bool const isDue = isNew || now - entry.at >= refreshPeriod
            || hasChanged(entry.demand, demand, changePercent, smallestChange);
        if (!isDue)
            continue;
        entry = { demand, now };
        report.push_back({ tenant, demand });
    }
    sent.lastSent = now;
    return report;
}

std::uint64_t demand_table::zoneSum(std::uint64_t tenant) const
{
    auto const found = m_zoneSums.find(tenant);
    return found == m_zoneSums.end() ? 0 : found->second;
}

std::uint64_t demand_table::sum(std::uint64_t tenant, time_point now) const
{
    auto const own = zoneSum(tenant);
    auto total = own;
    for (auto const& [zone, remote] : m_remote) {
        auto const found = remote.demand.find(tenant);
        if (found == remote.demand.end())
            continue;
        auto const& entry = found->second;
        bool const isSilent = now - remote.lastHeard >= silenceOfZone;
        if (!isSilent)
            total += entry.demand;
        else if (entry.ownThen == 0)
            total += std::max(entry.demand, own);
        else if (own > entry.ownThen)
            total += static_cast<std::uint64_t>(
                static_cast<double>(entry.demand) * static_cast<double>(own) / static_cast<double>(entry.ownThen));
        else
            total += entry.demand;
    }
    return total;
}

void demand_table::expire(time_point now)
{
    if (now < m_nextExpiry)
        return;
    m_nextExpiry = now + expiryPeriod;
    for (auto& [vm, entries] : m_vms) {
        for (auto it = entries.begin(); it != entries.end();) {
            if (now - it->second.at < entryLifetime) {
                ++it;
                continue;
            }
            setDemand(it->second, it->first, 0);
            it = entries.erase(it);
        }
    }
    std::erase_if(m_vms, [](auto const& entry) { return entry.second.empty(); });
    for (auto& entry : m_remote) {
        auto& remote = entry.second;
        std::erase_if(remote.demand,
            [&](auto const& reported) { return remote.lastHeard - reported.second.at >= entryLifetime; });
    }
    // A sum of 0 is sent to the other zones once before it is forgotten.
    std::erase_if(m_zoneSums, [&](auto const& sum) {
        return sum.second == 0 && std::all_of(m_sent.begin(), m_sent.end(), [&](auto const& sent) {
            auto const known = sent.second.demand.find(sum.first);
            return known == sent.second.demand.end() || known->second.demand == 0;
        });
    });
    for (auto& [zone, sent] : m_sent)
        std::erase_if(sent.demand, [&](auto const& entry) { return !m_zoneSums.contains(entry.first); });
}

bool demand_table::isComplete(time_point now) const
{
    auto const settling = now - m_since;
    bool const haveZonesReported
        = std::all_of(m_sent.begin(), m_sent.end(), [&](auto const& sent) { return m_remote.contains(sent.first); });
    return settling >= longestSettlingTime || (settling >= settlingTime && haveZonesReported);
}

} // namespace merlinpier
