#pragma once

#include <Services/Daemon/daemon_settings.h>
#include <Tests/LibDistribution/distribution_simulation.h>
#include <Tests/LibMembership/fleet.h>
#include <set>
#include <string>
#include <vector>

namespace merlinpier {

// Daemons of several zones in simulated time: the membership and the distribution of versions, connected as in the
// daemon, with its settings.
class relayed_fleet {
public:
    relayed_fleet(std::uint64_t seed, daemon_settings const&);

    // Adds the daemons "<zone>-0" to "<zone>-<count - 1>".
    void startZone(std::string const& zone, int count);
    void run(duration);
    // Accepts another version and returns its number.
    version_number commit();
    // From now on the daemon handles nothing.
    void freeze(std::string const& address);
    // From now on the daemon does not exist, and connections to its address are refused.
    void kill(std::string const& address);

    fleet& members() { return m_members; }
    // The relays of the zone that hold the daemons' subscriptions, in the order of their rank.
    std::vector<std::string> relaysOf(std::string const& zone);
    // The daemons of the zone that are not frozen and do not apply the version.
    std::vector<std::string> lacking(std::string const& zone, version_number);

private:
    void connect();

    fleet m_members;
    distribution_simulation m_versions;
    std::set<std::string> m_frozen;
    std::set<std::string> m_killed;
    time_point m_nextTick {};
    int m_commits { 0 };
};

} // namespace merlinpier
