#pragma once

#include "call_gateway.h"
#include "configuration_part.h"
#include "daemon_settings.h"
#include "membership_part.h"
#include "peer_hub.h"
#include "rollout_part.h"
#include "target_gateway.h"
#include "tenant_part.h"

#include <LibHttp/http_client.h>
#include <LibLoop/event_loop.h>
#include <LibMetrics/metrics.h>
#include <LibPlatform/object_store.h>
#include <functional>
#include <memory>

namespace merlinpier {

// What a daemon reaches the world with. All of it must outlive the daemon and call back on the loop.
struct daemon_environment {
    event_loop& loop;
    http_client& http;
    object_store& store;
    target_dialect const& targets;
    // Null if the deployment has no rollouts.
    rollout_store* rollouts { nullptr };
};

// All parts of one daemon and the wires between them, on one thread. A part reports to another only when its own state
// is settled; what would reach back into a running part is posted to the loop.
class daemon final : private hub_listener, private membership_listener {
public:
    daemon(daemon_settings, daemon_environment);
    ~daemon() override;

    // Listens for peers and joins the membership. The HTTP servers are started by the owner.
    result<empty> start();
    // Stops taking new work for the own targets and tells everybody. Calls back when no call is in flight or the drain
    // timeout has passed.
    void drain(std::function<void()> didDrain);
    void stop();

    daemon_settings const& settings() const { return m_settings; }
    peer_hub& hub() { return m_hub; }
    configuration_part& configuration() { return m_configuration; }
    membership_part& membership() { return m_membership; }
    target_gateway& targets() { return m_targets; }
    call_gateway& calls() { return m_calls; }
    rollout_part& rollouts() { return m_rollouts; }
    crashing_requests& crashing() { return *m_crashing; }
    tenant_part& tenants() { return m_tenants; }
    metrics& figures() { return m_metrics; }
    object_store& store() { return m_environment.store; }
    event_loop& loop() { return m_environment.loop; }
    http_client& http() { return m_environment.http; }
    std::uint64_t instance() const { return m_instance; }
    // Called when the routes of another configuration are in force.
    void setRoutesHandler(std::function<void(routing_snapshot const&)> handler)
    {
        m_didRenewRoutes = std::move(handler);
    }
    // Ready for callers: a configuration at or above the floor is applied, and no stop is under way.
    bool isReady() const;
    bool isDraining() const { return m_isDraining; }
    // Callers are refused during the last part of a planned stop.
    bool refusesCallers() const { return m_refusesCallers; }
    // The number of daemons that the platform's store lists. Until it is known, no daemon can tell how many others
    // share the retry budgets, since a daemon that has just started does not know all members.
    void setListedDaemons(std::size_t);

private:
    void didReceiveControl(std::string const& address, message) override;
    void didFailToReachControl(std::string const& address) override;
    void didAcceptCalls(std::uint64_t instance, std::uint64_t generation) override;
    void didReceiveFromOrigin(
        std::string const& address, std::uint64_t instance, std::uint64_t generation, message) override;
    void didReceiveFromTarget(std::string const& address, message) override;
    void didBecomeReadyForCalls(std::string const& address, std::uint64_t instance, std::uint64_t generation) override;
    void didBecomeUnreachableForCalls(std::string const& address) override;
    void didChangeMembership() override;
    void didChangeSubscribers() override;
    void didHearVersion(std::string const& address, std::uint64_t version) override;
    void didMissPush(std::string const& address, std::uint64_t version) override;

    void didChangeConfiguration();
    void renewRoutes();
    void logWhatHoldsDrain();
    void markRoutesOld();
    void markRoutesOldSoon();
    void didLearnDeparture(std::string const& target, std::uint64_t startedAt);
    void yieldLostClaims();
    void tickSlowly();
    void tickQuickly();
    void learnCrashReports();
    void publishCrashReports();
    void logStandingChanges();
    void continueDrain();
    std::size_t liveMembers() const;
    void setRetryBudgetDaemons();

    daemon_settings m_settings;
    daemon_environment m_environment;
    std::uint64_t m_instance;
    metrics m_metrics;
    peer_hub m_hub;
    configuration_part m_configuration;
    membership_part m_membership;
    // Shared by the two sides of calls: what one learns of crashes binds the other.
    std::shared_ptr<crashing_requests> m_crashing;
    rollout_part m_rollouts;
    target_gateway m_targets;
    call_gateway m_calls;
    tenant_part m_tenants { m_metrics };
    std::vector<timer_subscription> m_timers;
    timer_subscription m_routeTimer;
    std::function<void(routing_snapshot const&)> m_didRenewRoutes;
    std::function<void()> m_didDrain;
    time_point m_startedAt { currentTime() };
    // Whether what peers know of departures that earlier processes of this daemon acknowledged suffices.
    bool m_trustsPeers { false };
    time_point m_drainBegan;
    std::size_t m_listedDaemons { 0 };
    bool m_routesAreOld { false };
    bool m_routesAreOldSoon { false };
    time_point m_nextDrainLog {};
    departed_targets m_departedTargets;
    std::uint64_t m_publishedCrashRevision { 0 };
    bool m_isDraining { false };
    bool m_refusesCallers { false };
};

} // namespace merlinpier
