#pragma once

#include "call_gateway.h"
#include "configuration_part.h"
#include "daemon_settings.h"
#include "membership_part.h"
#include "peer_hub.h"
#include "target_gateway.h"

#include <LibCore/timer_service.h>
#include <LibCore/worker_pool.h>
#include <LibHttp/http_client.h>
#include <LibMetrics/metrics.h>
#include <LibPlatform/object_store.h>
#include <atomic>
#include <memory>

namespace merlinpier {

// All parts of one daemon and the wires between them. Parts never call each other while holding their locks, but for
// handing a routing snapshot on, which follows the stated lock order.
class daemon final : private hub_listener, private membership_listener {
public:
    explicit daemon(daemon_settings);
    ~daemon() override;

    // Listens for peers and joins the membership. The HTTP server is started by the owner.
    result<empty> start();
    // Stops taking new work for the own targets, tells everybody, and waits until no call is in flight or the drain
    // timeout has passed.
    void drain();
    void stop();

    daemon_settings const& settings() const { return m_settings; }
    peer_hub& hub() { return m_hub; }
    configuration_part& configuration() { return m_configuration; }
    membership_part& membership() { return m_membership; }
    target_gateway& targets() { return m_targets; }
    call_gateway& calls() { return m_calls; }
    metrics& figures() { return m_metrics; }
    object_store& store() { return *m_store; }
    timer_service& timers() { return m_timers; }
    worker_pool& workers() { return m_workers; }
    http_client& http() { return *m_http; }
    std::uint64_t instance() const { return m_instance; }
    // Ready for callers: a configuration at or above the floor is applied, and no stop is under way.
    bool isReady() const;
    bool isDraining() const { return m_isDraining; }
    // Callers are refused during the last part of a planned stop.
    bool refusesCallers() const { return m_refusesCallers; }

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
    void didHearVersion(std::string const& address, std::uint64_t version) override;

    void didChangeConfiguration();
    void renewRoutes();
    void markRoutesOld();
    void yieldLostClaims();
    void tickSlowly();
    void tickQuickly();
    bool waitUntilSettled(time_point deadline, std::function<bool()> const& isSettled) const;

    daemon_settings m_settings;
    std::uint64_t m_instance;
    metrics m_metrics;
    timer_service m_timers;
    worker_pool m_workers;
    std::unique_ptr<http_client> m_http;
    std::unique_ptr<object_store> m_store;
    peer_hub m_hub;
    configuration_part m_configuration;
    membership_part m_membership;
    target_gateway m_targets;
    call_gateway m_calls;
    mutex m_routeMutex { lock_rank::Routing };
    std::uint64_t m_routesBuilt ABSL_GUARDED_BY(m_routeMutex) { 0 };
    std::atomic<bool> m_routesAreOld { false };
    std::atomic<bool> m_isDraining { false };
    std::atomic<bool> m_refusesCallers { false };
};

} // namespace merlinpier
