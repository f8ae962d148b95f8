#pragma once

#include "peer_hub.h"

#include <LibDistribution/distributor.h>
#include <LibPlatform/object_store.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace merlinpier {

// What the configuration part knows, for status and the state dump.
struct configuration_summary {
    version_number applied { 0 };
    version_number highestKnown { 0 };
    version_number floor { 0 };
    version_number refused { 0 };
    std::string refusedReason;
    bool isReady { false };
    std::optional<milliseconds> platformSilentFor;

    bool operator==(configuration_summary const&) const = default;
};

// Brings configuration versions into force in this process: drives the distributor with the platform's answers and the
// peers' messages, and carries out its actions.
class configuration_part {
public:
    configuration_part(distribution_settings, object_store&, peer_hub&, std::uint64_t seed);

    // Called after a version was applied or refused.
    void setChangeHandler(std::function<void()>);

    std::shared_ptr<configuration_set const> applied() const;
    configuration_summary summary() const;
    void setPeers(distribution_peers);
    void raiseFloor(version_number);
    void setHasContact(bool hasContact) { m_distributor.setHasContact(hasContact); }
    void didHearVersion(std::string const& address, version_number);
    void didMissPush(std::string const& address, version_number);
    void didReceive(std::string const& address, message const&);
    void tick();

private:
    void carryOut(std::vector<distribution_action>);

    object_store& m_store;
    peer_hub& m_hub;
    std::function<void()> m_didChange;
    distributor m_distributor;
    generator m_generator;
};

} // namespace merlinpier
