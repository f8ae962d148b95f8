#pragma once

#include "membership_part.h"
#include "rollout_store.h"

#include <LibCore/generator.h>
#include <LibRollout/rollout_controller.h>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace merlinpier {

// Rollouts as a process part: drives rollout_controller with the membership, the store and time, and carries out its
// actions. Does nothing unless rollouts are enabled.
class rollout_part {
public:
    // The store may be null, and rollouts are then disabled; otherwise it must outlive the part.
    rollout_part(rollout_settings, rollout_store*, membership_part&, std::uint64_t seed);

    bool isEnabled() const { return m_settings.isEnabled && m_store; }
    // Called when the versions that may be called have changed.
    void setRulesHandler(std::function<void()> didChange) { m_didChangeRules = std::move(didChange); }
    void tick();
    // The membership has changed: takes in what it tells before routes are built from it.
    void refresh();
    result<empty> abort(std::string const& service);

    rollout_controller const& controller() const { return m_controller; }
    version_rules const& rules() const { return m_controller.rules(); }
    std::shared_ptr<rollout_exposure> const& exposure() const { return m_controller.exposure(); }
    bool isAnyUnderWay() const { return isEnabled() && m_controller.rollouts().isAnyUnderWay(); }
    // The order of the service's rollout that is under way; 0 if there is none.
    std::uint64_t orderUnderWay(std::string const& service) const;
    bool refuses(std::string const& service, std::string const& version) const;
    bool mayRest(std::string const& service) const;

private:
    void carryOut(std::vector<rollout_action>);
    void learn();
    void publish();
    void logSteps();

    rollout_settings m_settings;
    rollout_store* m_store;
    membership_part& m_membership;
    rollout_controller m_controller;
    generator m_generator;
    std::function<void()> m_didChangeRules;
    // Shared with callbacks of the store, which do nothing once the part is gone.
    std::shared_ptr<bool> m_isAlive;
};

} // namespace merlinpier
