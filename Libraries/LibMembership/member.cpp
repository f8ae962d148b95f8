#include <LibMembership/member.h>

#include <algorithm>
#include <utility>

namespace merlinpier {

namespace {

// A peer that leaves a heartbeat unanswered for this many heartbeat periods counts as unresponsive.
constexpr int unansweredHeartbeatPeriods = 2;
// Interval of the checks that iterate over all peers and records.
constexpr milliseconds checkPeriod { 100 };
// When ticks are further apart than this, this process itself stood still, and an answer may have arrived unread.
constexpr milliseconds stallAllowance { 200 };
// Interval of the check for Gone records whose retention time is over.
constexpr milliseconds expiryPeriod { 2000 };
// Heartbeat interval, in heartbeat periods, towards a relay that this member does not subscribe to. Must stay below the
// suspect timeout, or the relay would suspect the sender.
constexpr double standbyHeartbeatPeriods = 2.5;
// A daemon that has not joined through its seeds after this many suspect timeouts starts to act as a relay itself.
constexpr int joinGraceSuspectTimeouts = 2;
// Limit of the suspected members that a relay probes in one check.
constexpr std::size_t probesPerTick = 16;
// Varies a period by up to 10 % in either direction, so that daemons that start together do not stay synchronized.
duration jittered(duration period, generator& source)
{
    return period * 9 / 10 + duration(uniformBelow(source, static_cast<std::uint64_t>(period.count() / 5) + 1));
}

} // namespace

member::member(membership_settings settings, std::uint64_t instance)
    : m_settings(std::move(settings))
    , m_failureDetector(m_settings.suspectTimeout, m_settings.partitionThreshold)
    , m_joinSchedule(m_settings.address, m_settings.seeds)
{
    m_self.vm = m_settings.vm;
    m_self.zone = m_settings.zone;
    m_self.address = m_settings.address;
    m_self.httpAddress = m_settings.httpAddress;
    m_self.linkMbps = m_settings.linkMbps;
    m_self.incarnation = 1;
    m_self.sequence = 1;
    m_self.instance = instance;
    m_table.merge(m_self);
    refreshRanking();
}

std::vector<membership_action> member::tick(time_point now, generator& source)
{
    m_now = now;
    if (!m_startedAt)
        m_startedAt = now;
    if (m_tickedAt && now - *m_tickedAt > stallAllowance)
        m_listeningSince = now;
    m_tickedAt = now;
    actions actions;
    if (now >= m_nextCheck) {
        if (now - m_nextCheck > m_settings.suspectTimeout / 2)
            m_peers.clearUnanswered();
        m_nextCheck = now + checkPeriod;
        m_peers.expire(now, m_settings.goneRetention);
        m_peers.avoidUnresponsive(now, m_settings.heartbeatPeriod * unansweredHeartbeatPeriods);
        detectFailures(actions, now);
    }
    if (now >= m_nextExpiry) {
        m_nextExpiry = now + expiryPeriod;
        m_table.expire(now, m_settings.goneRetention);
        refreshRanking();
    }
    join(actions, now, source);
    if (m_demand)
        m_demand->setRelaying(addsUpDemand(), now);
    followSubscribedRelay();
    sendHeartbeats(actions, now, source);
    askOtherZone(actions, now, source);
    sendZoneDemand(actions, now);
    flush(actions, now);
    return actions;
}

void member::join(actions& actions, time_point now, generator& source)
{
    if (!isInContact(now)) {
        if (auto seed = m_joinSchedule.nextAttempt(now, source))
            sendIntroduction(actions, *seed);
        return;
    }
    m_joinSchedule.didJoin();
    if (!m_joinSchedule.isUnknownSeedDue(now, source))
        return;
    std::vector<std::string> known;
    for (auto const& [zone, members] : m_ranking) {
        for (auto const& member : members)
            known.push_back(member.address);
    }
    if (auto seed = m_joinSchedule.nextUnknownSeed(known))
        sendIntroduction(actions, *seed);
}

void member::sendIntroduction(actions& actions, std::string const& address)
{
    actions.emplace_back(send_message { address, membership_update { { m_self } } });
    actions.emplace_back(send_message { address, membership_digest { m_table.bucketDigests() } });
}

void member::sendHeartbeats(actions& actions, time_point now, generator& source)
{
    auto const zoneRelays = relays();
    auto const subscribedTo = subscribedRelay();
    auto const takesDemand = demandRelay();
    for (auto const& address : zoneRelays) {
        bool const isDemandRelay = address == takesDemand;
        if (!m_peers.isHeartbeatDue(address, now) && !(isDemandRelay && m_demand->isReportUrgent(now)))
            continue;
        bool const subscribes = !subscribedTo || address == *subscribedTo;
        sendHeartbeat(
            actions, address, subscribes, isDemandRelay ? m_demand->takeReport(now) : std::vector<tenant_demand> {});
        auto const standbyPeriod = duration(static_cast<std::int64_t>(
            standbyHeartbeatPeriods * static_cast<double>(duration(m_settings.heartbeatPeriod).count())));
        m_peers.didSendHeartbeat(address, now,
            jittered(subscribes || isDemandRelay ? duration(m_settings.heartbeatPeriod) : standbyPeriod, source));
    }
    for (auto const& address : remoteRelays()) {
        if (!m_peers.isHeartbeatDue(address, now))
            continue;
        sendHeartbeat(actions, address, false);
        m_peers.didSendHeartbeat(address, now, jittered(m_settings.repairPeriod, source));
    }
}

void member::askOtherZone(actions& actions, time_point now, generator& source)
{
    if (!m_hasJoined || relays().empty() || !answeringRelays().empty() || isPrimaryRelay())
        return;
    std::vector<std::string> candidates;
    for (auto const& [zone, members] : m_ranking) {
        if (zone == m_settings.zone)
            continue;
        for (auto const& relay : reachableRelays(zone))
            candidates.push_back(relay.address);
    }
    auto const address = preferredAnswering(std::move(candidates));
    if (address.empty())
        return;
    if (!m_peers.isHeartbeatDue(address, now))
        return;
    sendHeartbeat(actions, address, false);
    m_peers.didSendHeartbeat(address, now, jittered(m_settings.heartbeatPeriod, source));
}

void member::sendHeartbeat(
    actions& actions, std::string const& address, bool subscribes, std::vector<tenant_demand> demand) const
{
    heartbeat beat;
    beat.vm = m_self.vm;
    beat.incarnation = m_self.incarnation;
    beat.sequence = m_self.sequence;
    beat.appliedVersion = m_self.appliedVersion;
    beat.highestKnownVersion = m_appliedInThisRun;
    beat.tableDigest = m_table.digest();
    beat.subscribes = subscribes;
    beat.tenantDemand = std::move(demand);
    actions.emplace_back(send_message { address, std::move(beat) });
}

void member::detectFailures(actions& actions, time_point now)
{
    if (!isRelay()) {
        m_failureDetector.stop();
        return;
    }
    m_failureDetector.observe(m_table, m_settings.zone, m_settings.vm, now);
    std::vector<std::string> changed;
    for (auto const& vm : m_failureDetector.gone(m_table, now)) {
        auto record = *m_table.find(vm);
        record.state = member_state::Gone;
        if (m_table.merge(record) != merge_effect::Record)
            continue;
        m_updateQueue.addRecord(vm, {});
        changed.push_back(vm);
    }
    if (!changed.empty())
        actions.emplace_back(membership_changed { std::move(changed) });
    refreshRanking();
    std::size_t probes = 0;
    for (auto const& vm : m_failureDetector.suspects(now)) {
        auto const* record = m_table.find(vm);
        if (!record || record->state == member_state::Gone || !m_peers.isHeartbeatDue(record->address, now))
            continue;
        if (++probes > probesPerTick)
            return;
        sendHeartbeat(actions, record->address, false);
        m_peers.didSendHeartbeat(record->address, now, m_settings.heartbeatPeriod);
    }
}

std::vector<membership_action> member::didReceive(
    std::string const& fromAddress, message const& content, time_point now, generator& source)
{
    m_now = now;
    actions actions;
    if (fromAddress == m_settings.address)
        return actions;
    if (!m_firstContact)
        m_firstContact = now;
    m_peers.didReceiveFrom(fromAddress, now);
    if (auto const* beat = std::get_if<heartbeat>(&content))
        didReceive(actions, fromAddress, *beat, now, source);
    if (auto const* answer = std::get_if<heartbeat_answer>(&content))
        didReceive(actions, fromAddress, *answer, now);
    if (auto const* update = std::get_if<membership_update>(&content))
        didReceive(actions, fromAddress, *update, now);
    if (auto const* digest = std::get_if<membership_digest>(&content))
        didReceive(actions, fromAddress, *digest, now);
    flush(actions, now);
    return actions;
}

void member::didReceive(
    actions& actions, std::string const& from, heartbeat const& beat, time_point now, generator& source)
{
    m_failureDetector.didReceiveFrom(beat.vm, now);
    heartbeat_answer answer { m_self.vm, m_appliedInThisRun, m_table.digest(), false, 0 };
    bool const wasSubscribed = m_peers.isSubscribed(from);
    if (beat.subscribes) {
        auto const outcome = m_peers.subscribe(from, now + m_settings.suspectTimeout, m_settings.maximumSubscribers);
        if (outcome == peer_directory::subscription::Full)
            answer.retryAfterMs = static_cast<std::uint32_t>(toMilliseconds(m_settings.suspectTimeout)
                + static_cast<std::int64_t>(
                    uniformBelow(source, static_cast<std::uint64_t>(m_settings.repairPeriod.count()))));
    } else {
        m_peers.unsubscribe(from);
    }
    answer.isRelay = isRelay();
    answer.tenantDemand = takeDemand(beat, now);
    actions.emplace_back(send_message { from, std::move(answer) });
    if (m_peers.isSubscribed(from) != wasSubscribed)
        actions.emplace_back(subscribers_changed {});
    if (m_table.merge(appliedVersionOnly(beat.vm, beat.appliedVersion)) == merge_effect::AppliedVersion)
        m_updateQueue.addAppliedVersion(beat.vm);
    if (beat.highestKnownVersion > m_appliedInThisRun)
        actions.emplace_back(newer_version_reported { from, beat.highestKnownVersion });
    compareWithSender(actions, from, beat, now);
}

void member::compareWithSender(actions& actions, std::string const& from, heartbeat const& beat, time_point now)
{
    auto const* record = m_table.find(beat.vm);
    // The sender has to refute a record of itself that is Gone, or that has a higher incarnation published by an
    // earlier run, so it is sent that record.
    bool const isRefutable = record
        && (record->incarnation > beat.incarnation
            || (record->incarnation == beat.incarnation && record->state == member_state::Gone));
    if (isRefutable) {
        actions.emplace_back(send_message { from, membership_update { { *record } } });
        return;
    }
    bool const isBehind = !record || record->incarnation < beat.incarnation || record->sequence < beat.sequence;
    if (isBehind && m_peers.tryBeginDigestExchange(from, now, m_settings.heartbeatPeriod))
        actions.emplace_back(send_message { from, membership_digest { m_table.bucketDigests() } });
}

void member::didReceive(actions& actions, std::string const& from, heartbeat_answer const& answer, time_point now)
{
    m_failureDetector.didReceiveFrom(answer.vm, now);
    if (m_demand && !answer.tenantDemand.empty())
        m_demand->didReceiveSums(answer.tenantDemand, now);
    if (answer.retryAfterMs > 0)
        m_peers.avoidUntil(from, now + milliseconds(answer.retryAfterMs));
    if (answer.highestKnownVersion > m_appliedInThisRun) {
        auto const subscribedTo = subscribedRelay();
        bool const isPushMissed = answer.isRelay && (!subscribedTo || *subscribedTo == from || isLate(*subscribedTo));
        actions.emplace_back(newer_version_reported { from, answer.highestKnownVersion, isPushMissed });
    }
    bool const differs = answer.tableDigest != m_table.digest();
    // A message alone does not prove that the join succeeded: daemons that start together exchange introductions before
    // any of them knows the others. Equal digests do.
    m_hasJoined |= !differs;
    bool needsRepair = m_peers.needsRepair(from, differs);
    auto repairPeriod = m_settings.repairPeriod;
    // What a late relay has not sent on is not in flight.
    if (differs && answeringRelays().size() < relays().size()) {
        needsRepair = true;
        repairPeriod = m_settings.heartbeatPeriod;
    }
    if (needsRepair && m_peers.tryBeginDigestExchange(from, now, repairPeriod))
        actions.emplace_back(send_message { from, membership_digest { m_table.bucketDigests() } });
}

void member::didFailToReach(std::string const& address, time_point now)
{
    m_now = std::max(m_now, now);
    m_peers.avoidAfterFailure(address, now);
}

std::vector<membership_action> member::setTargets(std::vector<target_record> targets, time_point now)
{
    actions actions;
    if (targets == m_self.targets)
        return actions;
    m_self.targets = std::move(targets);
    publishSelf(actions, now);
    flush(actions, now);
    return actions;
}

std::vector<membership_action> member::setCrashReports(std::vector<crash_report> reports, time_point now)
{
    actions actions;
    if (reports == m_self.crashReports)
        return actions;
    m_self.crashReports = std::move(reports);
    publishSelf(actions, now);
    flush(actions, now);
    return actions;
}

std::vector<membership_action> member::setRollouts(std::vector<rollout_report> reports, time_point now)
{
    actions actions;
    if (reports == m_self.rollouts)
        return actions;
    m_self.rollouts = std::move(reports);
    publishSelf(actions, now);
    flush(actions, now);
    return actions;
}

std::vector<membership_action> member::setApplied(
    std::uint64_t version, std::uint64_t refusedVersion, std::string refusedReason, time_point now)
{
    actions actions;
    m_appliedInThisRun = std::max(m_appliedInThisRun, version);
    bool const isHigher = version > m_self.appliedVersion;
    m_self.appliedVersion = std::max(m_self.appliedVersion, version);
    if (refusedVersion != m_self.refusedVersion || refusedReason != m_self.refusedReason) {
        m_self.refusedVersion = refusedVersion;
        m_self.refusedReason = std::move(refusedReason);
        publishSelf(actions, now);
    } else if (isHigher) {
        m_table.merge(appliedVersionOnly(m_self.vm, version));
        m_updateQueue.addAppliedVersion(m_self.vm);
        for (auto const& address : relays())
            sendRecords(actions, address, { appliedVersionOnly(m_self.vm, version) });
    }
    flush(actions, now);
    return actions;
}

std::vector<membership_action> member::setLeaving(time_point now)
{
    actions actions;
    m_self.state = member_state::Leaving;
    publishSelf(actions, now);
    flush(actions, now);
    return actions;
}

void member::addSeeds(std::vector<std::string> const& seeds) { m_joinSchedule.addSeeds(seeds); }

bool member::isJoining() const
{
    if (m_hasJoined || !m_joinSchedule.hasSeeds())
        return false;
    // Only heartbeats show that the join succeeded, and without a relay in the own zone there is nobody to send them to
    // before this daemon acts as one. Other members of the zone are known within a heartbeat period of the first
    // contact.
    bool const isZoneSettled = m_firstContact && m_now - *m_firstContact >= m_settings.heartbeatPeriod;
    if (isZoneSettled && relays().empty())
        return false;
    return !m_startedAt || m_now - *m_startedAt < joinGraceSuspectTimeouts * m_settings.suspectTimeout;
}

bool member::isInContact(time_point now) const
{
    return m_hasJoined && m_peers.lastHeard() && now - *m_peers.lastHeard() < m_settings.suspectTimeout;
}

bool member::hasContact(time_point now) const
{
    return m_peers.lastHeard() && now - *m_peers.lastHeard() < m_settings.suspectTimeout;
}

std::vector<std::string> member::suspects(time_point now) const { return m_failureDetector.suspects(now); }

} // namespace merlinpier
