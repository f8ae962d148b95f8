#pragma once

#include <LibCore/time.h>
#include <LibMembership/membership_table.h>
#include <LibRollout/rollout_state_table.h>
#include <LibRouting/version_access.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace merlinpier {

// Derives which versions of a service may be called from the targets in the membership and the known rollouts. A
// version that appears beside the established one without an order is held back for a while, since its order may not
// have arrived yet. Services whose targets name one version at most and that have no rollout are not restricted.
class version_gate {
public:
    // Takes in the present state. Returns whether the rules have changed. For a daemon that lists the store itself, the
    // time of the last successful list is passed in.
    bool observe(
        membership_table const&, rollout_state_table const&, std::optional<time_point> lastListed, time_point now);
    version_rules const& rules() const { return m_rules; }
    // Whether the rules may change with time alone: a service has targets of two versions.
    bool dependsOnTime() const { return m_dependsOnTime; }

private:
    // How long a version without an order is held back, at daemons that list the store and at others, which learn of
    // orders by way of peers.
    static constexpr milliseconds holdTime { 4000 };
    static constexpr milliseconds holdTimeOfOthers { 6000 };
    // A daemon that has just started may know the new targets before the old ones; the new version takes over only
    // after it has been alone for this long.
    static constexpr milliseconds timeWithoutOthers { 2000 };

    // Versions remembered for each service before those without targets are forgotten.
    static constexpr std::size_t maximumVersions = 16;

    // The targets of one version: those that take calls, and those that are there at all.
    struct version_summary {
        std::size_t ready { 0 };
        std::uint64_t oldestStart { 0 };
        std::uint64_t newestStart { 0 };
    };
    using version_summaries = std::map<std::string, version_summary>;
    struct service_state {
        std::map<std::string, time_point> firstSeen;
        // When a target of another version than that of the rollout was last seen.
        time_point othersSeen {};
    };

    static std::map<std::string, version_summaries> summarize(membership_table const&);
    static std::string establishedVersion(version_summaries const&, std::string const& except);
    // The versions that appeared lately beside others; the one that is excepted is left out of account.
    static std::map<std::string, version_access> rulesWithoutOrder(service_state const&, version_summaries const&,
        std::string const& except, std::optional<time_point> lastListed, time_point now);
    static std::map<std::string, version_access> rulesOf(
        service_state&, version_summaries const&, rollout const*, std::optional<time_point> lastListed, time_point now);

    std::map<std::string, service_state> m_services;
    version_rules m_rules;
    bool m_dependsOnTime { false };
};

} // namespace merlinpier
