#include <LibMembership/member.h>

#include <algorithm>
#include <utility>

namespace merlinpier {

namespace {

// Maximum number of records in one message.
constexpr std::size_t recordsPerUpdate = 128;
// Limit of the digests answered in one heartbeat period; senders beyond it retry, here or with another daemon.
constexpr std::size_t digestsPerPeriod = 32;

bool contains(std::vector<std::string> const& addresses, std::string const& address)
{
    return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

} // namespace

void member::sendRecords(actions& actions, std::string const& address, std::vector<member_record> const& records)
{
    for (std::size_t begin = 0; begin < records.size(); begin += recordsPerUpdate) {
        auto const end = std::min(begin + recordsPerUpdate, records.size());
        membership_update update;
        update.records.assign(
            records.begin() + static_cast<std::ptrdiff_t>(begin), records.begin() + static_cast<std::ptrdiff_t>(end));
        actions.emplace_back(send_message { address, std::move(update) });
    }
}

void member::didReceive(actions& actions, std::string const& from, membership_update const& update, time_point now)
{
    std::vector<std::string> changed;
    bool mustRefute = false;
    for (auto const& record : update.records) {
        if (record.vm == m_self.vm) {
            mustRefute |= mergeOwnRecord(record);
            continue;
        }
        auto const effect = m_table.merge(record);
        if (effect == merge_effect::AppliedVersion)
            m_updateQueue.addAppliedVersion(record.vm);
        if (effect != merge_effect::Record)
            continue;
        m_updateQueue.addRecord(record.vm, from);
        changed.push_back(record.vm);
        // Only the member itself publishes a newer live record, so it is alive, even if the message came through a
        // relay.
        if (record.state != member_state::Gone)
            m_failureDetector.didReceiveFrom(record.vm, now);
    }
    if (!changed.empty()) {
        refreshRanking();
        actions.emplace_back(membership_changed { std::move(changed) });
    }
    if (mustRefute)
        publishSelf(actions, now);
}

bool member::mergeOwnRecord(member_record const& record)
{
    m_appliedBefore = std::max(m_appliedBefore, record.appliedVersion);
    m_self.appliedVersion = std::max(m_self.appliedVersion, record.appliedVersion);
    m_table.merge(appliedVersionOnly(m_self.vm, m_self.appliedVersion));
    bool const isOfEarlierProcess = record.instance != m_self.instance;
    for (auto const& target : record.targets) {
        bool const isKnown
            = std::find(m_restrictedBefore.begin(), m_restrictedBefore.end(), target) != m_restrictedBefore.end();
        bool const isRestricted = target.departedStart > 0 || target.requestLimitMilli;
        if (isOfEarlierProcess && isRestricted && !isKnown)
            m_restrictedBefore.push_back(target);
    }
    if (isOfEarlierProcess)
        m_crashReportsBefore.insert(m_crashReportsBefore.end(), record.crashReports.begin(), record.crashReports.end());
    if (record.incarnation < m_self.incarnation || !supersedes(record, m_self))
        return false;
    m_self.incarnation = record.incarnation + 1;
    return true;
}

void member::didReceive(actions& actions, std::string const& from, membership_digest const& digest, time_point now)
{
    if (now - m_digestWindowStart >= m_settings.heartbeatPeriod) {
        m_digestWindowStart = now;
        m_digestsAnswered = 0;
    }
    if (++m_digestsAnswered > digestsPerPeriod)
        return;
    sendRecords(actions, from, m_table.differingRecords(digest.buckets));
    // The sender may have records that are missing here. The limit of one digest per repairPeriod prevents two daemons
    // from sending each other digests endlessly.
    if (digest.buckets != m_table.bucketDigests() && m_peers.tryBeginDigestExchange(from, now, m_settings.repairPeriod))
        actions.emplace_back(send_message { from, membership_digest { m_table.bucketDigests() } });
}

void member::publishSelf(actions& actions, time_point now)
{
    m_now = std::max(m_now, now);
    ++m_self.sequence;
    m_table.merge(m_self);
    refreshRanking();
    m_updateQueue.addRecord(m_self.vm, {});
    actions.emplace_back(membership_changed { { m_self.vm } });
}

void member::flush(actions& actions, time_point now)
{
    auto const zoneRelays = relays();
    auto const recipients = subscribers();
    auto const otherZonesRelays = remoteRelays();
    std::map<std::string, std::map<std::string, member_record>> outgoing;
    auto const addRecord
        = [&](std::vector<std::string> const& addresses, std::string const& from, member_record const& record) {
              for (auto const& address : addresses) {
                  if (address != from)
                      outgoing[address].emplace(record.vm, record);
              }
          };
    for (auto const& [vm, from] : m_updateQueue.takeRecords(now)) {
        auto const* record = m_table.find(vm);
        if (!record)
            continue;
        addRecord(recipients, from, *record);
        // A record from a relay of the own zone reaches the zone's other relays from there; other records may not.
        if (!contains(zoneRelays, from))
            addRecord(zoneRelays, from, *record);
        if (record->zone == m_settings.zone)
            addRecord(otherZonesRelays, from, *record);
    }
    for (auto const& vm : m_updateQueue.takeAppliedVersions(now)) {
        auto const* record = m_table.find(vm);
        if (!record)
            continue;
        auto const appliedVersionRecord = appliedVersionOnly(vm, record->appliedVersion);
        addRecord(recipients, {}, appliedVersionRecord);
        if (record->zone == m_settings.zone)
            addRecord(otherZonesRelays, {}, appliedVersionRecord);
    }
    for (auto const& [address, records] : outgoing) {
        std::vector<member_record> list;
        for (auto const& [vm, record] : records)
            list.push_back(record);
        sendRecords(actions, address, list);
    }
}

} // namespace merlinpier
