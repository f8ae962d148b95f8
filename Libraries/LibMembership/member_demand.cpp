#include <LibMembership/member.h>

// The part of member that carries the demand of tenants between daemons.

namespace merlinpier {

bool member::addsUpDemand() const { return !isJoining() && relayIndex() == std::optional<std::size_t>(0); }

std::string member::demandRelay() const
{
    if (!m_demand || !m_demand->isActive())
        return {};
    auto const relays = reachableRelays(m_settings.zone);
    return relays.empty() || relays.front().vm == m_self.vm ? std::string() : relays.front().address;
}

void member::sendZoneDemand(actions& actions, time_point now)
{
    if (!m_demand || !addsUpDemand())
        return;
    for (auto const& [zone, members] : m_ranking) {
        if (zone == m_settings.zone || !m_demand->isZoneReportDue(zone, now))
            continue;
        auto const relays = reachableRelays(zone);
        if (!relays.empty())
            sendHeartbeat(actions, relays.front().address, false, m_demand->takeZoneReport(zone, now));
    }
}

std::vector<tenant_demand> member::takeDemand(heartbeat const& beat, time_point now)
{
    auto const* sender = m_table.find(beat.vm);
    if (!m_demand || !sender)
        return {};
    if (sender->zone == m_settings.zone)
        return m_demand->didReceiveReport(beat.vm, beat.tenantDemand, now);
    if (!beat.tenantDemand.empty())
        m_demand->didReceiveZoneReport(sender->zone, beat.tenantDemand, now);
    return {};
}

} // namespace merlinpier
