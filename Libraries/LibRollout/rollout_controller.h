#pragma once

#include <LibCore/generator.h>
#include <LibCore/result.h>
#include <LibCore/time.h>
#include <LibMembership/membership_table.h>
#include <LibRollout/rollout_evidence.h>
#include <LibRollout/rollout_exposure.h>
#include <LibRollout/rollout_settings.h>
#include <LibRollout/rollout_state_table.h>
#include <LibRollout/target_ages.h>
#include <LibRollout/version_gate.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace merlinpier {

// This daemon's part in rollouts: primary relays list the orders and write their status.
struct rollout_role {
    bool isPrimaryRelay { false };
    // Position among the primary relays of all zones, and of the own zone.
    std::size_t rank { 0 };
    std::size_t rankInZone { 0 };

    bool operator==(rollout_role const&) const = default;
};

// Asks the owner to list the orders and to call didList().
struct list_orders {
    bool operator==(list_orders const&) const = default;
};
// Asks the owner to write the status on condition that the object still has its revision, and to call didWrite().
struct write_status {
    stored_rollout known;
    stored_status wanted;

    bool operator==(write_status const&) const = default;
};
using rollout_action = std::variant<list_orders, write_status>;

// A change of a rollout's state, for the log.
struct rollout_step {
    rollout known;
    std::optional<rollout_finding> finding;
    std::uint64_t newRuns { 0 };

    bool operator==(rollout_step const&) const = default;
};

// Decides on the rollouts of a mesh at one daemon: which versions may be called, whether a new version is bad, when all
// requests move to it and when the old targets may be stopped. The status of the order in the store is the commit
// point for switching and done; a finding against the new version holds at this daemon at once. Does no I/O and has no
// clock or random source of its own.
class rollout_controller {
public:
    explicit rollout_controller(rollout_settings);

    std::vector<rollout_action> tick(
        rollout_role const&, membership_table const&, time_point now, std::uint64_t wallClockMs, generator&);
    // Takes in the rollouts that members report, and the versions of their targets. Returns whether the rules for
    // routing have changed.
    bool learn(membership_table const&, time_point now, generator&);
    void didList(result<std::vector<stored_rollout>> const&, time_point now, std::uint64_t wallClockMs);
    // The object as it is in the store after a write, or after a conflict with another one.
    void didWrite(std::string const& service, result<stored_rollout> const&, time_point now, std::uint64_t wallClockMs);
    // An operator rolls back. NotFound if no rollout of the service is under way.
    result<empty> abort(std::string const& service, time_point now);

    rollout_state_table const& rollouts() const { return m_table; }
    version_rules const& rules() const { return m_gate.rules(); }
    // Counts which calls go to new versions; shared with the side of calls.
    std::shared_ptr<rollout_exposure> const& exposure() const { return m_exposure; }
    // The evidence about a rollout that is under way; null if there is none.
    rollout_evidence const* evidence(std::string const& service) const;
    // This daemon's finding against the service's new version; null if there is none.
    rollout_finding const* finding(std::string const& service) const;
    // Whether targets of the version on this VM refuse calls.
    bool refuses(std::string const& service, std::string const& version, time_point now) const;
    // Whether targets of a version that refuses calls may be shown as drained once they have none.
    bool mayRest(std::string const& service, time_point now) const;
    // Reports that are to be published with this daemon's record; nothing if they have not changed.
    std::optional<std::vector<rollout_report>> takeReports(membership_table const&, time_point now);
    // Changes since the last call.
    std::vector<rollout_step> takeSteps();

private:
    struct stored_state {
        stored_rollout object;
        std::uint32_t olderListings { 0 };
    };
    struct write_state {
        rollout_state wanted { rollout_state::Running };
        time_point wantedSince {};
        time_point nextTry {};
        bool isUnderWay { false };
    };

    void takeStored(stored_rollout const&, time_point now, std::uint64_t wallClockMs);
    void followStates(std::size_t daemons, generator&);
    void judge(membership_table const&, rollout_role const&, time_point now);
    void rollBack(rollout const&, rollout_finding, time_point now);
    bool isListDue(rollout_role const&, time_point now) const;
    rollout_state wantedState(rollout const&, membership_table const&, time_point now) const;
    std::optional<write_status> nextWrite(
        rollout const&, rollout_role const&, membership_table const&, time_point now, std::uint64_t wallClockMs);
    bool isFindingKnownToOthers(rollout const&, membership_table const&) const;

    rollout_settings m_settings;
    rollout_state_table m_table;
    version_gate m_gate;
    target_ages m_ages;
    std::shared_ptr<rollout_exposure> m_exposure;
    std::map<std::string, rollout_evidence> m_evidence;
    // The orders of m_evidence, and the findings of this daemon.
    std::map<std::string, std::uint64_t> m_evidenceOrders;
    std::map<std::string, rollout_finding> m_findings;
    std::map<std::string, stored_state> m_stored;
    std::map<std::string, write_state> m_writes;
    std::map<std::string, std::pair<std::uint64_t, rollout_state>> m_loggedStates;
    std::vector<rollout_step> m_steps;
    bool m_isListing { false };
    bool m_isPrimaryRelay { false };
    bool m_publishes { false };
    std::optional<time_point> m_lastListed;
    std::optional<time_point> m_lastListStarted;
    time_point m_nextJudgement {};
    std::uint64_t m_followedChanges { 0 };
    std::uint64_t m_publishedChanges { 0 };
    // The table's and the rollouts' changes that the rules are based on.
    std::pair<std::uint64_t, std::uint64_t> m_gatedChanges;
};

} // namespace merlinpier
