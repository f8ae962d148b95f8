#pragma once

#include <LibRollout/rollout.h>
#include <LibRollout/stored_rollout.h>
#include <map>
#include <string>
#include <vector>

namespace merlinpier {

// The rollouts that this daemon knows of, one for each service. States only rise; an order with a higher revision
// replaces the one before. Done is learnt from the store only, directly or through peers, and therefore also replaces
// a finding of this daemon that has not been stored. Learning is commutative and idempotent, so daemons that have the
// same reports agree.
class rollout_state_table {
public:
    // Takes in an order with its status. Returns whether anything changed.
    bool learn(stored_rollout const&, time_point now, std::uint64_t wallClockMs);
    // Takes in what a peer reports. Returns whether anything changed.
    bool learn(rollout_report const&, time_point now);
    // Records that this daemon has found the new version bad, or was told to abort. Returns false if the rollout is
    // not known under this order or has ended.
    bool rollBack(std::string const& service, std::uint64_t order, time_point now);

    rollout const* find(std::string const& service) const;
    std::map<std::string, rollout> const& rollouts() const { return m_rollouts; }
    // Whether a rollout is neither done nor rolled back.
    bool isAnyUnderWay() const;
    // What this daemon publishes.
    std::vector<rollout_report> reports(time_point now) const;
    // Counter that increases with every change of an order or a state.
    std::uint64_t changes() const { return m_changes; }

private:
    // How many rollouts are kept. A deployment has fewer services with rollouts; the bound is against a faulty peer.
    static constexpr std::size_t maximumRollouts = 256;

    bool merge(rollout const&, time_point now);

    std::map<std::string, rollout> m_rollouts;
    std::uint64_t m_changes { 0 };
};

} // namespace merlinpier
