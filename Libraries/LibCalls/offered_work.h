#pragma once

#include <LibCalls/service_order.h>
#include <LibCore/time.h>
#include <map>
#include <string>
#include <vector>

namespace merlinpier {

// The work that was offered to a target and started there lately, by rank and by tenant, as sums that decay
// exponentially. Does no I/O and has no clock.
class offered_work {
public:
    // Records a call that requested a slot. Calls without a tenant count towards none.
    void didOffer(service_rank const&, std::string const& tenant, duration work, time_point now);
    // Records that a call got a slot.
    void didStart(std::string const& tenant, duration work, bool hasReturned, time_point now);

    // Whether the tenant's calls come after those of others: the target cannot serve all of its tenants, this one was
    // served more than an equal (max-min fair) share, and it was served at least half as often as all.
    bool isBeyondShare(std::string const& tenant) const;
    // The offered work of each rank, as a share of the slots.
    std::vector<rank_load> loads(std::uint32_t slots) const;
    // The tenants whose calls come after those of others now.
    std::vector<std::string> tenantsBeyondShare() const;
    // Whether returned calls got less than their share of the slots.
    bool mayFavourReturned() const;

private:
    struct tenant_work {
        double offered { 0 };
        double started { 0 };
    };

    void decay(time_point now);
    void updateFairShare();

    std::map<service_rank, double> m_offeredByRank;
    std::map<std::string, tenant_work> m_tenants;
    // Of all tenants together; then of all calls and of the returned ones among them.
    tenant_work m_allTenants;
    double m_started { 0 };
    double m_startedReturned { 0 };
    // The largest work that a tenant gets if all tenants share what was started; negative if all get what they offer.
    double m_fairShare { -1 };
    time_point m_decayedAt {};
};

} // namespace merlinpier
