#pragma once

#include "peer_hub.h"

#include <LibDistribution/distributor.h>
#include <LibMembership/member.h>
#include <LibRouting/routing_snapshot.h>
#include <functional>
#include <string>
#include <vector>

namespace merlinpier {

// Told of what the membership learns.
class membership_listener {
public:
    virtual ~membership_listener() = default;
    virtual void didChangeMembership() = 0;
    virtual void didChangeSubscribers() = 0;
    virtual void didHearVersion(std::string const& address, std::uint64_t version) = 0;
    // The relay that pushes versions to this daemon has this one, and its push has not arrived.
    virtual void didMissPush(std::string const& address, std::uint64_t version) = 0;
};

// This VM's part in the membership as a process part: drives member with messages and time, and carries out its
// actions.
class membership_part {
public:
    membership_part(membership_settings, std::uint64_t instance, peer_hub&, membership_listener&, std::uint64_t seed);

    void didReceive(std::string const& address, message const&);
    void didFailToReach(std::string const& address);
    void tick();
    void setTargets(std::vector<target_record>);
    void setApplied(std::uint64_t version, std::uint64_t refused, std::string reason);
    void setCrashReports(std::vector<crash_report>);
    std::vector<crash_report> takeCrashReportsBefore() { return m_member.takeCrashReportsBefore(); }
    void setRollouts(std::vector<rollout_report>);
    std::optional<member::relay_position> primaryRelayPosition() const { return m_member.primaryRelayPosition(); }
    void setLeaving();
    void setDemandExchange(demand_exchange& exchange) { m_member.setDemandExchange(exchange); }
    void addSeeds(std::vector<std::string> const&);

    membership_table const& table() const { return m_member.table(); }
    member_record self() const;
    std::vector<std::string> suspects() const;
    bool hasContact() const;
    distribution_peers peers() const;
    std::uint64_t highestClaim(std::string const& licence) const;
    // The version that this VM is known to have applied in an earlier life.
    std::uint64_t appliedBefore() const;
    // The targets that were leaving or had a limit on requests when earlier processes of this VM's daemon published
    // them.
    std::vector<target_record> const& restrictedBefore() const { return m_member.restrictedBefore(); }
    // Builds a routing snapshot of the table as it is now, and hands it on before the table can change again.
    void buildSnapshot(std::shared_ptr<configuration_set const> const&, departed_targets const&, version_rules const&,
        std::function<void(std::shared_ptr<routing_snapshot const>)> const&) const;

private:
    void carryOut(std::vector<membership_action>);
    void logRelays();
    void logReportedVersion(newer_version_reported const&);

    peer_hub& m_hub;
    membership_listener& m_listener;
    member m_member;
    generator m_generator;
    // What was logged last; each is logged when it changes.
    std::string m_loggedRelays;
    newer_version_reported m_loggedReport;
};

} // namespace merlinpier
