#pragma once

#include "daemon.h"

#include <LibMembership/member_registry.h>
#include <LibPlatform/object_store.h>
#include <functional>
#include <string>
#include <vector>

namespace merlinpier {

// Whether the store holds what is acknowledged.
enum class durability { Stored, NotStored };

// Lets a daemon find the others by their entries in the platform's store, unless seeds are configured, and keeps the
// departures of its targets there: drives member_registry and hands what it finds to the membership and to the targets.
class discovery {
public:
    discovery(daemon&, registry_settings, object_store&);

    void start();
    // Removes the own entry and searches no more.
    void stop();
    // Stores that the target is leaving, and calls back: at once if it is stored already, and otherwise when the store
    // has it or has not answered in time. Then the write is tried again until it succeeds.
    void recordDeparture(target_departure const&, std::function<void(durability)>);
    // The target has left, or is used again: the order to drain it, which names no incarnation, ends.
    void endOrder(std::string const& target);
    bool hasRecentDepartures() const { return m_registry.hasRecentDepartures(currentTime()); }
    // Whether there are departures that the store is not known to hold.
    bool hasUnstoredDepartures() const { return m_registry.hasUnstoredDepartures(currentTime()); }
    // The process ends soon: departures that are not stored are written at once, and again soon after a failure.
    void prepareToEnd();

private:
    struct waiting_acknowledgement {
        std::string target;
        time_point until {};
        std::function<void(durability)> acknowledge;
    };

    void tick();
    void carryOut(write_entry const&);
    void carryOut(list_entries const&);
    void carryOut(remove_entry const&);
    void carryOut(restore_entry const&);
    void carryOut(remove_own_entry const&);
    // Orders to drain hold as long as the target is here, and end when it is used again.
    void followOrders();
    void acknowledgeDepartures();
    void learnEarlierDepartures();
    void carryOut(std::vector<registry_action>);

    daemon& m_daemon;
    object_store& m_store;
    std::string m_ownKey;
    member_registry m_registry;
    generator m_generator;
    timer_subscription m_timer;
    std::vector<waiting_acknowledgement> m_waiting;
    bool m_hasLearntDepartures { false };
};

} // namespace merlinpier
