#include <LibMembership/member.h>

#include <algorithm>
#include <utility>

namespace merlinpier {

namespace {

// A peer that leaves a heartbeat unanswered for this many periods is not answering.
constexpr int unansweredPeriods = 2;
// How often what needs a look at every record is reviewed.
constexpr milliseconds reviewPeriod { 100 };
// How many records one message holds at most.
constexpr std::size_t recordsPerUpdate = 128;
// A daemon that finds nobody by its seeds for this many suspicion timeouts begins to relay for itself.
constexpr int joinGraceTimeouts = 2;
// Silent members that a relay probes in one tick.
constexpr std::size_t probesPerTick = 16;
// Digests answered in one heartbeat period; the others try again, here or elsewhere.
constexpr std::size_t digestsPerPeriod = 32;

bool contains(std::vector<std::string> const& addresses, std::string const& address)
{
    return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

void sendRecords(
    std::vector<membership_action>& actions, std::string const& address, std::vector<member_record> const& records)
{
    for (std::size_t begin = 0; begin < records.size(); begin += recordsPerUpdate) {
        auto const end = std::min(begin + recordsPerUpdate, records.size());
        membership_update update;
        update.records.assign(
            records.begin() + static_cast<std::ptrdiff_t>(begin), records.begin() + static_cast<std::ptrdiff_t>(end));
        actions.emplace_back(send_message { address, std::move(update) });
    }
}

// Varies a period by a tenth either way, so that daemons started together drift apart.
duration jittered(duration period, generator& source)
{
    return period * 9 / 10 + duration(uniformBelow(source, static_cast<std::uint64_t>(period.count() / 5) + 1));
}

} // namespace

member::member(membership_settings settings, std::uint64_t instance)
    : m_settings(std::move(settings))
    , m_silence(m_settings.suspectTimeout, m_settings.cutShare)
    , m_joins(m_settings.address, m_settings.seeds)
{
    m_self.vm = m_settings.vm;
    m_self.zone = m_settings.zone;
    m_self.address = m_settings.address;
    m_self.httpAddress = m_settings.httpAddress;
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
    actions actions;
    if (now >= m_nextReview) {
        m_nextReview = now + reviewPeriod;
        m_peers.expire(now, m_settings.goneRetention);
        m_peers.avoidUnanswering(now, m_settings.heartbeatPeriod * unansweredPeriods);
        m_table.expire(now, m_settings.goneRetention);
        refreshRanking();
        judgeSilence(actions, now);
    }
    join(actions, now, source);
    sendHeartbeats(actions, now, source);
    flush(actions, now);
    return actions;
}

void member::join(actions& actions, time_point now, generator& source)
{
    if (!isInContact(now)) {
        if (auto seed = m_joins.nextAttempt(now, source))
            introduce(actions, *seed);
        return;
    }
    m_joins.didJoin();
    if (!m_joins.isStrangerDue(now, source))
        return;
    std::vector<std::string> known;
    for (auto const& [zone, members] : m_ranking) {
        for (auto const& member : members)
            known.push_back(member.address);
    }
    if (auto seed = m_joins.nextStranger(known))
        introduce(actions, *seed);
}

void member::introduce(actions& actions, std::string const& address)
{
    actions.emplace_back(send_message { address, membership_update { { m_self } } });
    actions.emplace_back(send_message { address, membership_digest { m_table.bucketDigests() } });
}

void member::sendHeartbeats(actions& actions, time_point now, generator& source)
{
    for (auto const& address : relays()) {
        if (!m_peers.isHeartbeatDue(address, now))
            continue;
        sendHeartbeat(actions, address, true);
        m_peers.didSendHeartbeat(address, now, jittered(m_settings.heartbeatPeriod, source));
    }
    if (!isRelay())
        return;
    for (auto const& address : remoteRelays()) {
        if (!m_peers.isHeartbeatDue(address, now))
            continue;
        sendHeartbeat(actions, address, false);
        m_peers.didSendHeartbeat(address, now, jittered(m_settings.repairPeriod, source));
    }
}

void member::sendHeartbeat(actions& actions, std::string const& address, bool subscribes) const
{
    heartbeat beat;
    beat.vm = m_self.vm;
    beat.incarnation = m_self.incarnation;
    beat.sequence = m_self.sequence;
    beat.appliedVersion = m_self.appliedVersion;
    beat.highestKnownVersion = m_appliedHere;
    beat.tableDigest = m_table.digest();
    beat.subscribes = subscribes;
    actions.emplace_back(send_message { address, std::move(beat) });
}

void member::judgeSilence(actions& actions, time_point now)
{
    if (!isRelay()) {
        m_silence.stop();
        return;
    }
    m_silence.observe(m_table, m_settings.zone, m_settings.vm, now);
    std::vector<std::string> changed;
    for (auto const& vm : m_silence.gone(m_table, now)) {
        auto record = *m_table.find(vm);
        record.state = member_state::Gone;
        if (m_table.merge(record) != merge_effect::Record)
            continue;
        m_queue.addRecord(vm, {});
        changed.push_back(vm);
    }
    if (!changed.empty())
        actions.emplace_back(membership_changed { std::move(changed) });
    refreshRanking();
    std::size_t probes = 0;
    for (auto const& vm : m_silence.suspects(now)) {
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
    m_peers.didHear(fromAddress, now);
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
    m_silence.didHear(beat.vm, now);
    heartbeat_answer answer { m_self.vm, m_appliedHere, m_table.digest(), false, 0 };
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
    actions.emplace_back(send_message { from, std::move(answer) });
    if (m_table.merge(appliedVersionOnly(beat.vm, beat.appliedVersion)) == merge_effect::AppliedVersion)
        m_queue.addAppliedVersion(beat.vm);
    if (beat.highestKnownVersion > m_appliedHere)
        actions.emplace_back(version_heard { from, beat.highestKnownVersion });
    considerSender(actions, from, beat, now);
}

void member::considerSender(actions& actions, std::string const& from, heartbeat const& beat, time_point now)
{
    auto const* record = m_table.find(beat.vm);
    // The sender has to learn that it is taken for gone, or for its former life, to refute it.
    bool const isRefutable = record
        && (record->incarnation > beat.incarnation
            || (record->incarnation == beat.incarnation && record->state == member_state::Gone));
    if (isRefutable) {
        actions.emplace_back(send_message { from, membership_update { { *record } } });
        return;
    }
    bool const isBehind = !record || record->incarnation < beat.incarnation || record->sequence < beat.sequence;
    if (isBehind && m_peers.takeDigestTurn(from, now, m_settings.heartbeatPeriod))
        actions.emplace_back(send_message { from, membership_digest { m_table.bucketDigests() } });
}

void member::didReceive(actions& actions, std::string const& from, heartbeat_answer const& answer, time_point now)
{
    m_silence.didHear(answer.vm, now);
    if (answer.retryAfterMs > 0)
        m_peers.avoidUntil(from, now + milliseconds(answer.retryAfterMs));
    if (answer.highestKnownVersion > m_appliedHere)
        actions.emplace_back(version_heard { from, answer.highestKnownVersion });
    bool const differs = answer.tableDigest != m_table.digest();
    // Daemons that start together introduce themselves to each other before any of them knows the others.
    m_hasJoined |= !differs;
    bool const needsRepair = m_peers.needsRepair(from, differs);
    if (needsRepair && m_peers.takeDigestTurn(from, now, m_settings.repairPeriod))
        actions.emplace_back(send_message { from, membership_digest { m_table.bucketDigests() } });
}

void member::didReceive(actions& actions, std::string const& from, membership_update const& update, time_point now)
{
    std::vector<std::string> changed;
    bool mustRefute = false;
    for (auto const& record : update.records) {
        if (record.vm == m_self.vm) {
            mustRefute |= considerOwn(record);
            continue;
        }
        auto const effect = m_table.merge(record);
        if (effect == merge_effect::AppliedVersion)
            m_queue.addAppliedVersion(record.vm);
        if (effect != merge_effect::Record)
            continue;
        m_queue.addRecord(record.vm, from);
        changed.push_back(record.vm);
        // Only its owner raises a live record, so the owner lives; the message may have come through others.
        if (record.state != member_state::Gone)
            m_silence.didHear(record.vm, now);
    }
    if (!changed.empty()) {
        refreshRanking();
        actions.emplace_back(membership_changed { std::move(changed) });
    }
    if (mustRefute)
        publishSelf(actions, now);
}

bool member::considerOwn(member_record const& record)
{
    m_appliedBefore = std::max(m_appliedBefore, record.appliedVersion);
    m_self.appliedVersion = std::max(m_self.appliedVersion, record.appliedVersion);
    m_table.merge(appliedVersionOnly(m_self.vm, m_self.appliedVersion));
    if (record.incarnation < m_self.incarnation || !supersedes(record, m_self))
        return false;
    m_self.incarnation = record.incarnation + 1;
    return true;
}

void member::didReceive(actions& actions, std::string const& from, membership_digest const& digest, time_point now)
{
    if (now - m_digestWindow >= m_settings.heartbeatPeriod) {
        m_digestWindow = now;
        m_digestsAnswered = 0;
    }
    if (++m_digestsAnswered > digestsPerPeriod)
        return;
    sendRecords(actions, from, m_table.recordsWhereDifferent(digest.buckets));
    // The sender may know what is missing here; the turns keep two daemons from asking each other for ever.
    if (digest.buckets != m_table.bucketDigests() && m_peers.takeDigestTurn(from, now, m_settings.repairPeriod))
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

std::vector<membership_action> member::setApplied(
    std::uint64_t version, std::uint64_t refusedVersion, std::string refusedReason, time_point now)
{
    actions actions;
    m_appliedHere = std::max(m_appliedHere, version);
    bool const isHigher = version > m_self.appliedVersion;
    m_self.appliedVersion = std::max(m_self.appliedVersion, version);
    if (refusedVersion != m_self.refusedVersion || refusedReason != m_self.refusedReason) {
        m_self.refusedVersion = refusedVersion;
        m_self.refusedReason = std::move(refusedReason);
        publishSelf(actions, now);
    } else if (isHigher) {
        m_table.merge(appliedVersionOnly(m_self.vm, version));
        m_queue.addAppliedVersion(m_self.vm);
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

void member::publishSelf(actions& actions, time_point now)
{
    m_now = std::max(m_now, now);
    ++m_self.sequence;
    m_table.merge(m_self);
    refreshRanking();
    m_queue.addRecord(m_self.vm, {});
    actions.emplace_back(membership_changed { { m_self.vm } });
}

void member::flush(actions& actions, time_point now)
{
    auto const own = relays();
    auto const recipients = subscribers();
    auto const remote = isRelay() ? remoteRelays() : std::vector<std::string>();
    std::map<std::string, std::map<std::string, member_record>> outgoing;
    auto const addRecord
        = [&](std::vector<std::string> const& addresses, std::string const& from, member_record const& record) {
              for (auto const& address : addresses) {
                  if (address != from)
                      outgoing[address].emplace(record.vm, record);
              }
          };
    for (auto const& [vm, from] : m_queue.takeRecords(now)) {
        auto const* record = m_table.find(vm);
        if (!record)
            continue;
        addRecord(recipients, from, *record);
        // What a relay told is known to the relays; what anybody else told may not be.
        if (!contains(own, from))
            addRecord(own, from, *record);
        if (record->zone == m_settings.zone)
            addRecord(remote, from, *record);
    }
    for (auto const& vm : m_queue.takeAppliedVersions(now)) {
        auto const* record = m_table.find(vm);
        if (!record)
            continue;
        auto const thin = appliedVersionOnly(vm, record->appliedVersion);
        addRecord(recipients, {}, thin);
        if (record->zone == m_settings.zone)
            addRecord(remote, {}, thin);
    }
    for (auto const& [address, records] : outgoing) {
        std::vector<member_record> list;
        for (auto const& [vm, record] : records)
            list.push_back(record);
        sendRecords(actions, address, list);
    }
}

void member::addSeeds(std::vector<std::string> const& seeds) { m_joins.addSeeds(seeds); }

void member::refreshRanking()
{
    if (m_rankedChanges == m_table.recordChanges())
        return;
    m_rankedChanges = m_table.recordChanges();
    std::map<std::string, std::vector<ranked_member>> ranking;
    for (auto const& [vm, record] : m_table.records())
        ranking[record.zone];
    for (auto& [zone, members] : ranking) {
        for (auto const& vm : rankRelays(m_table, zone))
            members.push_back({ vm, m_table.find(vm)->address });
    }
    m_ranking = std::move(ranking);
}

std::vector<member::ranked_member> member::reachable(std::string const& zone) const
{
    std::vector<ranked_member> members;
    auto const ranked = m_ranking.find(zone);
    if (ranked == m_ranking.end())
        return members;
    for (auto const& member : ranked->second) {
        if (members.size() == m_settings.relaysPerZone)
            break;
        if (member.vm == m_self.vm || !m_peers.isAvoided(member.address, m_now))
            members.push_back(member);
    }
    return members;
}

bool member::isChosenRelay() const
{
    if (isJoining())
        return false;
    auto const chosen = reachable(m_settings.zone);
    return std::any_of(chosen.begin(), chosen.end(), [&](auto const& member) { return member.vm == m_self.vm; });
}

bool member::isJoining() const
{
    if (m_hasJoined || !m_joins.hasSeeds())
        return false;
    return !m_startedAt || m_now - *m_startedAt < joinGraceTimeouts * m_settings.suspectTimeout;
}

bool member::isInContact(time_point now) const
{
    return m_hasJoined && m_peers.lastHeard() && now - *m_peers.lastHeard() < m_settings.suspectTimeout;
}

bool member::isRelay() const { return isChosenRelay() || m_peers.hasSubscribers(); }

std::vector<std::string> member::relays() const
{
    std::vector<std::string> addresses;
    for (auto const& relay : reachable(m_settings.zone)) {
        if (relay.vm != m_self.vm)
            addresses.push_back(relay.address);
    }
    return addresses;
}

std::vector<std::string> member::subscribers() const { return m_peers.subscribers(); }

std::vector<std::string> member::remoteRelays() const
{
    // The first relay of a zone talks to the first of each other zone, the second to the second: a record reaches a
    // zone by two ways without every relay sending to every other.
    auto const own = reachable(m_settings.zone);
    auto const place = static_cast<std::size_t>(std::distance(
        own.begin(), std::find_if(own.begin(), own.end(), [&](auto const& member) { return member.vm == m_self.vm; })));
    std::vector<std::string> addresses;
    for (auto const& [zone, members] : m_ranking) {
        if (zone == m_settings.zone)
            continue;
        auto const relays = reachable(zone);
        if (!relays.empty())
            addresses.push_back(relays[place % relays.size()].address);
    }
    return addresses;
}

bool member::hasContact(time_point now) const
{
    return m_peers.lastHeard() && now - *m_peers.lastHeard() < m_settings.suspectTimeout;
}

std::vector<std::string> member::suspects(time_point now) const { return m_silence.suspects(now); }

} // namespace merlinpier
