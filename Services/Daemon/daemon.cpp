#include "daemon.h"

#include <LibCalls/request_fingerprint.h>
#include <LibCore/log.h>
#include <LibNet/endpoint.h>
#include <algorithm>
#include <random>
#include <utility>

namespace merlinpier {

namespace {

constexpr milliseconds quickTickPeriod { 25 };
constexpr milliseconds slowTickPeriod { 100 };
constexpr milliseconds routeDelayInRollouts { 50 };
constexpr milliseconds drainLogPeriod { 1000 };

// For how long a daemon that starts again waits for the store's word on departures before that of its peers suffices.
constexpr milliseconds storeWait { 1000 };

std::uint64_t drawNumber()
{
    std::random_device source;
    return (static_cast<std::uint64_t>(source()) << 32) | source();
}

} // namespace

daemon::daemon(daemon_settings settings, daemon_environment environment)
    : m_settings(std::move(settings))
    , m_environment(environment)
    , m_instance(drawNumber())
    , m_hub({ m_settings.vm, m_settings.zone, m_settings.advertisedAddress, m_instance }, *this)
    , m_configuration(m_settings.distribution, m_environment.store, m_hub, drawNumber())
    , m_membership(m_settings.membership, m_instance, m_hub, *this, drawNumber())
    , m_crashing(std::make_shared<crashing_requests>())
    , m_rollouts(m_settings.rollout, m_environment.rollouts, m_membership, drawNumber())
    , m_targets(
          [&] {
              auto server = m_settings.server;
              server.instance = m_instance;
              return server;
          }(),
          m_settings.targetLease, m_crashing, m_hub, m_environment.http, m_environment.targets, m_metrics)
    , m_calls(m_settings.client, m_settings.chooser, m_crashing, m_rollouts.exposure(), m_hub, m_metrics, drawNumber())
{
    m_membership.setDemandExchange(m_tenants.exchange());
    m_configuration.setChangeHandler([this] { didChangeConfiguration(); });
    m_calls.setDepartureHandler(
        [this](std::string const& target, std::uint64_t startedAt) { didLearnDeparture(target, startedAt); });
    m_rollouts.setRulesHandler([this] { markRoutesOld(); });
    if (m_rollouts.isEnabled())
        m_targets.setRolloutView({ [this](std::string const& service) { return m_rollouts.orderUnderWay(service); },
            [this](std::string const& service, std::string const& version) {
                return m_rollouts.refuses(service, version);
            },
            [this](std::string const& service) {
                return m_rollouts.mayRest(service);
            } });
    m_targets.setChangeHandler([this] { loop().post([this] { m_membership.setTargets(m_targets.records()); }); });
}

daemon::~daemon() { stop(); }

result<empty> daemon::start()
{
    transport_settings transportSettings;
    transportSettings.listenOn = TRY(parseEndpoint(m_settings.peerAddress));
    TRY(m_hub.start(loop(), transportSettings));
    renewRoutes();
    m_timers.push_back(loop().subscribe(quickTickPeriod, [this] { tickQuickly(); }));
    m_timers.push_back(loop().subscribe(slowTickPeriod, [this] { tickSlowly(); }));
    return empty {};
}

void daemon::stop()
{
    m_timers.clear();
    m_routeTimer.cancel();
    m_hub.stop();
}

bool daemon::isReady() const { return m_configuration.summary().isReady && !m_isDraining; }

void daemon::drain(std::function<void()> didDrain)
{
    if (m_isDraining)
        return;
    m_isDraining = true;
    m_drainBegan = currentTime();
    m_didDrain = std::move(didDrain);
    m_calls.beginStop(m_settings.drainTimeout);
    m_targets.drainAll();
    m_membership.setTargets(m_targets.records());
    m_membership.setLeaving();
}

void daemon::continueDrain()
{
    auto const spent = currentTime() - m_drainBegan;
    if (spent < std::min(m_settings.leaveNotice, m_settings.drainTimeout))
        return;
    bool const isOver = spent >= m_settings.drainTimeout;
    logWhatHoldsDrain();
    if (m_targets.unsettled() > 0 && !isOver)
        return;
    m_refusesCallers = true;
    if (m_calls.unsettled() > 0 && !isOver)
        return;
    if (isOver)
        logWarning("drain_timeout",
            { { "target_calls", static_cast<std::uint64_t>(m_targets.unsettled()) },
                { "own_calls", static_cast<std::uint64_t>(m_calls.unsettled()) } });
    if (auto const didDrain = std::exchange(m_didDrain, nullptr))
        didDrain();
}

void daemon::logWhatHoldsDrain()
{
    auto const now = currentTime();
    if (!m_didDrain || now < m_nextDrainLog)
        return;
    m_nextDrainLog = now + drainLogPeriod;
    auto const longest = m_calls.longestWaiting();
    logInfo("drain_waiting",
        { { "after_ms", toMilliseconds(now - m_drainBegan) },
            { "target_calls", static_cast<std::uint64_t>(m_targets.unsettled()) },
            { "own_calls", static_cast<std::uint64_t>(m_calls.unsettled()) },
            { "longest_call", longest ? longest->id : "" },
            { "waiting_ms", longest ? toMilliseconds(longest->waitingFor) : 0 } });
}

std::size_t daemon::liveMembers() const
{
    auto const& records = m_membership.table().records();
    return static_cast<std::size_t>(std::count_if(
        records.begin(), records.end(), [](auto const& entry) { return entry.second.state != member_state::Gone; }));
}

void daemon::didReceiveControl(std::string const& address, message content)
{
    bool const isConfiguration = std::holds_alternative<version_announce>(content)
        || std::holds_alternative<configuration_request>(content)
        || std::holds_alternative<configuration_answer>(content);
    if (isConfiguration)
        m_configuration.didReceive(address, content);
    else
        m_membership.didReceive(address, content);
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
    m_calls.didReceive(address, std::move(content));
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
    m_configuration.setHasContact(m_membership.hasContact());
    m_departedTargets.learn(m_membership.table(), currentTime());
    learnCrashReports();
    yieldLostClaims();
    markRoutesOldSoon();
}

void daemon::didChangeSubscribers() { m_configuration.setPeers(m_membership.peers()); }

void daemon::didLearnDeparture(std::string const& target, std::uint64_t startedAt)
{
    if (m_departedTargets.didDepart(target, startedAt, currentTime()))
        markRoutesOld();
}

void daemon::didHearVersion(std::string const& address, std::uint64_t version)
{
    if (version > m_configuration.applied()->version())
        m_configuration.didHearVersion(address, version);
}

void daemon::didMissPush(std::string const& address, std::uint64_t version)
{
    if (version > m_configuration.applied()->version())
        m_configuration.didMissPush(address, version);
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
    if (!std::exchange(m_routesAreOld, true))
        loop().post([this] { renewRoutes(); });
}

// Evidence about a rollout changes the records of targets many times a second, so routes follow after a short while
// then.
void daemon::markRoutesOldSoon()
{
    if (!m_rollouts.isAnyUnderWay()) {
        markRoutesOld();
        return;
    }
    if (!std::exchange(m_routesAreOldSoon, true))
        m_routeTimer = loop().subscribeOnce(routeDelayInRollouts, [this] {
            m_routesAreOldSoon = false;
            markRoutesOld();
        });
}

void daemon::renewRoutes()
{
    m_rollouts.refresh();
    m_routesAreOld = false;
    setRetryBudgetDaemons();
    m_membership.buildSnapshot(m_configuration.applied(), m_departedTargets, m_rollouts.rules(),
        [this](std::shared_ptr<routing_snapshot const> snapshot) {
            auto const before = m_calls.snapshot();
            bool const hasNewRoutes = !before || before->version() != snapshot->version();
            m_calls.setSnapshot(snapshot);
            if (hasNewRoutes && m_didRenewRoutes)
                m_didRenewRoutes(*snapshot);
        });
}

void daemon::setListedDaemons(std::size_t count)
{
    m_listedDaemons = count;
    setRetryBudgetDaemons();
}

void daemon::setRetryBudgetDaemons()
{
    if (m_listedDaemons > 0)
        m_calls.setDaemons(std::max(m_listedDaemons, liveMembers()));
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

void daemon::learnCrashReports()
{
    auto const now = currentTime();
    for (auto const& [vm, record] : m_membership.table().records()) {
        if (vm != m_settings.vm)
            m_crashing->learn(record.crashReports, crashing_requests::report_origin::Other, now);
    }
    m_crashing->learn(m_membership.takeCrashReportsBefore(), crashing_requests::report_origin::Own, now);
}

void daemon::publishCrashReports()
{
    if (m_crashing->ownRevision() == m_publishedCrashRevision)
        return;
    m_publishedCrashRevision = m_crashing->ownRevision();
    m_membership.setCrashReports(m_crashing->ownReports());
}

void daemon::logStandingChanges()
{
    for (auto const& change : m_crashing->takeChanges()) {
        auto const* event = change.standing == request_standing::Blocked ? "request_blocked"
            : change.standing == request_standing::Suspect               ? "request_suspected"
                                                                         : "request_cleared";
        logWarning(event,
            { { "request", fingerprintText(change.request) }, { "crashes", static_cast<std::uint64_t>(change.crashes) },
                { "tested", static_cast<std::uint64_t>(change.testedCrashes) },
                { "blocked_ms", toMilliseconds(m_crashing->blockedFor(change.request, currentTime())) } });
    }
}

void daemon::tickQuickly()
{
    m_targets.tick();
    m_calls.tick();
    publishCrashReports();
    logStandingChanges();
    if (m_isDraining)
        continueDrain();
}

void daemon::tickSlowly()
{
    // While it joins, a daemon that the store has told nothing knows far too few members.
    if (m_listedDaemons > 0)
        m_tenants.setDaemons(std::max(m_listedDaemons, liveMembers()), m_membership.table().records().size());
    m_membership.tick();
    m_rollouts.tick();
    m_tenants.tick();
    m_departedTargets.expire(currentTime());
    m_crashing->expire(currentTime());
    // Contacts age without a message, so the peers are taken anew with every tick.
    m_configuration.setPeers(m_membership.peers());
    m_configuration.raiseFloor(m_membership.appliedBefore());
    m_configuration.setHasContact(m_membership.hasContact());
    m_targets.didRestrictBefore(m_membership.restrictedBefore());
    bool const isRememberedByPeers = m_membership.appliedBefore() > 0;
    if (isRememberedByPeers && currentTime() - m_startedAt >= storeWait && !std::exchange(m_trustsPeers, true))
        m_targets.didDepartBefore({});
    m_configuration.tick();
}

} // namespace merlinpier
