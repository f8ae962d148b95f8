#include "daemon.h"

#include <LibCore/log.h>
#include <LibNet/endpoint.h>
#include <LibPlatform/http_object_store.h>
#include <random>
#include <thread>

namespace merlinpier {

namespace {

constexpr milliseconds quickTickPeriod { 10 };
constexpr milliseconds slowTickPeriod { 50 };
constexpr milliseconds settlePollPeriod { 10 };
// Callers and peers get this long to hear of a planned stop before the process goes.
constexpr milliseconds leaveNotice { 500 };

std::uint64_t drawNumber()
{
    std::random_device source;
    return (static_cast<std::uint64_t>(source()) << 32) | source();
}

} // namespace

daemon::daemon(daemon_settings settings)
    : m_settings(std::move(settings))
    , m_instance(drawNumber())
    , m_workers(m_settings.workerThreads)
    , m_http(http_client::create())
    , m_store(std::make_unique<http_object_store>(*m_http, m_settings.platformAddress))
    , m_hub({ m_settings.vm, m_settings.zone, m_settings.advertisedAddress, m_instance }, *this)
    , m_configuration(m_settings.distribution, *m_store, m_hub, drawNumber())
    , m_membership(m_settings.membership, m_instance, m_hub, *this, drawNumber())
    , m_targets(
          [&] {
              auto server = m_settings.server;
              server.instance = m_instance;
              return server;
          }(),
          m_settings.targetLease, m_hub, m_metrics)
    , m_calls(m_settings.client, m_settings.chooser, m_hub, m_metrics, drawNumber())
{
    m_configuration.setChangeHandler([this] { didChangeConfiguration(); });
    m_targets.setChangeHandler([this] { m_workers.post([this] { m_membership.setTargets(m_targets.records()); }); });
}

daemon::~daemon() { stop(); }

result<empty> daemon::start()
{
    transport_settings transportSettings;
    transportSettings.listenOn = TRY(parseEndpoint(m_settings.peerAddress));
    TRY(m_hub.start(transportSettings, m_timers));
    renewRoutes();
    m_timers.subscribe(quickTickPeriod, [this] { tickQuickly(); });
    m_timers.subscribe(slowTickPeriod, [this] { tickSlowly(); });
    return empty {};
}

void daemon::stop()
{
    // What starts work ends before what carries it out, so that no callback meets a part that is gone.
    m_timers.stop();
    m_hub.stop();
    m_workers.stop();
    m_http.reset();
}

bool daemon::isReady() const { return m_configuration.summary().isReady && !m_isDraining; }

void daemon::drain()
{
    auto const deadline = currentTime() + m_settings.drainTimeout;
    m_isDraining = true;
    m_targets.drainAll();
    m_membership.setTargets(m_targets.records());
    m_membership.setLeaving();
    std::this_thread::sleep_for(std::min<duration>(leaveNotice, m_settings.drainTimeout));
    bool const targetsSettled = waitUntilSettled(deadline, [this] { return m_targets.unsettled() == 0; });
    m_refusesCallers = true;
    bool const callsSettled = waitUntilSettled(deadline, [this] { return m_calls.unsettled() == 0; });
    if (!targetsSettled || !callsSettled)
        logWarning("drain_timeout",
            { { "target_calls", static_cast<std::uint64_t>(m_targets.unsettled()) },
                { "own_calls", static_cast<std::uint64_t>(m_calls.unsettled()) } });
}

bool daemon::waitUntilSettled(time_point deadline, std::function<bool()> const& isSettled) const
{
    while (!isSettled()) {
        if (currentTime() >= deadline)
            return false;
        std::this_thread::sleep_for(settlePollPeriod);
    }
    return true;
}

void daemon::didReceiveControl(std::string const& address, message content)
{
    m_workers.post([this, address, content = std::move(content)] {
        bool const isConfiguration = std::holds_alternative<version_announce>(content)
            || std::holds_alternative<configuration_request>(content)
            || std::holds_alternative<configuration_answer>(content);
        if (isConfiguration)
            m_configuration.didReceive(address, content);
        else
            m_membership.didReceive(address, content);
    });
}

void daemon::didFailToReachControl(std::string const& address) { m_membership.didFailToReach(address); }

void daemon::didAcceptCalls(std::uint64_t instance, std::uint64_t generation)
{
    m_targets.raiseFence(instance, generation);
}

void daemon::didReceiveFromOrigin(
    std::string const& address, std::uint64_t instance, std::uint64_t generation, message content)
{
    if (auto const* call = std::get_if<call_request>(&content))
        didHearVersion(address, call->version);
    m_targets.didReceive(instance, generation, content);
}

void daemon::didReceiveFromTarget(std::string const& address, message content)
{
    if (auto const* answer = std::get_if<call_answer>(&content))
        didHearVersion(address, answer->version);
    else if (auto const* refusal = std::get_if<call_refused>(&content))
        didHearVersion(address, refusal->version);
    m_calls.didReceive(address, content);
}

void daemon::didBecomeReadyForCalls(std::string const& address, std::uint64_t instance, std::uint64_t generation)
{
    m_calls.didBecomeReady(address, instance, generation);
}

void daemon::didBecomeUnreachableForCalls(std::string const& address) { m_calls.didBecomeUnreachable(address); }

void daemon::didChangeMembership()
{
    m_configuration.setPeers(m_membership.peers());
    m_configuration.raiseFloor(m_membership.appliedBefore());
    yieldLostClaims();
    markRoutesOld();
}

void daemon::didHearVersion(std::string const& address, std::uint64_t version)
{
    if (version <= m_configuration.applied()->version())
        return;
    m_workers.post([this, address, version] { m_configuration.didHearVersion(address, version); });
}

void daemon::didChangeConfiguration()
{
    auto const summary = m_configuration.summary();
    m_targets.setConfiguration(m_configuration.applied());
    renewRoutes();
    m_membership.setApplied(summary.applied, summary.refused, summary.refusedReason);
}

void daemon::markRoutesOld()
{
    if (!m_routesAreOld.exchange(true))
        m_workers.post([this] { renewRoutes(); });
}

void daemon::renewRoutes()
{
    m_routesAreOld = false;
    auto const configuration = m_configuration.applied();
    m_membership.buildSnapshot(*configuration, [this](std::shared_ptr<routing_snapshot const> snapshot) {
        mutex_lock lock(m_routeMutex);
        // A thread that read an older configuration must not put it back.
        if (snapshot->version() < m_routesBuilt)
            return;
        m_routesBuilt = snapshot->version();
        m_calls.setSnapshot(std::move(snapshot));
    });
}

void daemon::yieldLostClaims()
{
    auto const own = m_targets.records();
    for (auto const& target : own) {
        auto const highest = m_membership.highestClaim(target.licence);
        if (highest > target.claim)
            m_targets.didLoseClaim(target.licence, highest);
    }
}

void daemon::tickQuickly()
{
    m_targets.tick();
    m_calls.tick();
}

void daemon::tickSlowly()
{
    m_membership.tick();
    // Contacts age without a message, so the peers are taken anew with every tick.
    m_configuration.setPeers(m_membership.peers());
    m_configuration.raiseFloor(m_membership.appliedBefore());
    m_configuration.tick();
}

} // namespace merlinpier
