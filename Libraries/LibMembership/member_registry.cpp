#include <LibMembership/member_registry.h>

#include <algorithm>
#include <utility>

namespace merlinpier {

namespace {

constexpr unsigned maximumDoublings = 5;

// Varies a period by up to 25 % in either direction, so that daemons that start together do not stay synchronized.
duration jittered(duration period, generator& source)
{
    return period * 3 / 4 + duration(uniformBelow(source, static_cast<std::uint64_t>(period.count() / 2) + 1));
}

std::string vmOf(std::string const& key) { return key.substr(std::char_traits<char>::length(memberEntryPrefix)); }

bool isDeparted(membership_table const& table, std::string const& vm, std::string const& address)
{
    auto const* record = table.find(vm);
    return record && record->state == member_state::Gone && record->address == address;
}

// Adds the departures of the VM's targets that its daemon has published.
std::vector<target_departure> withDepartures(std::vector<target_departure> departures, member_record const& record)
{
    for (auto const& target : record.targets) {
        target_departure const published { target.id, target.departedStart };
        bool const isKnown = std::find(departures.begin(), departures.end(), published) != departures.end();
        if (target.departedStart > 0 && !isKnown)
            departures.push_back(published);
    }
    return departures;
}

bool isLiveMember(membership_table const& table, std::string const& vm, std::string const& address)
{
    auto const* record = table.find(vm);
    return record && record->state != member_state::Gone && record->address == address;
}

} // namespace

member_registry::member_registry(registry_settings settings)
    : m_settings(std::move(settings))
{
}

std::vector<registry_action> member_registry::tick(
    membership_table const& table, status current, time_point now, generator& source)
{
    std::vector<registry_action> actions;
    dropUnnumberedDepartures([&](auto const& recent) { return now - recent.at >= m_settings.departureRetention; });
    if (current.storeEra != m_storeEra && std::exchange(m_storeEra, current.storeEra) > 0)
        didRestoreStore(now, source);
    if (current.isRelay) {
        removeStaleEntries(table, now, actions);
        restoreLostEntries(table, actions);
    }
    if (m_isRequestPending || (now < m_nextRequestTime && !m_isUrgent))
        return actions;
    m_isUrgent = false;
    if (m_mustRemoveOwn && !m_mustList && m_ownRevision > 0) {
        m_isRequestPending = true;
        m_mustRemoveOwn = false;
        actions.emplace_back(remove_own_entry { ownKey(), m_ownRevision });
    } else if (!m_isRegistered && !m_mustList) {
        m_isRequestPending = true;
        m_pendingValue = ownValue();
        actions.emplace_back(write_entry { ownKey(), m_pendingValue, m_ownRevision });
    } else if (m_mustList || isListingDue(current, now)) {
        m_isRequestPending = true;
        m_nextRefresh = now + jittered(m_settings.refreshPeriod, source);
        actions.emplace_back(list_entries { memberEntryPrefix });
    }
    return actions;
}

bool member_registry::isListingDue(status current, time_point now) const
{
    return m_settings.findsOthers && !m_isStopped
        && (!m_hasListedEntries || !current.hasContact || now >= m_nextRefresh);
}

std::string member_registry::ownValue() const
{
    member_entry entry { m_settings.address, {} };
    for (auto const& recent : m_departures)
        entry.departures.push_back(recent.departure);
    return serializeMemberEntry(entry);
}

void member_registry::didWrite(result<std::uint64_t> const& revision, time_point now, generator& source)
{
    m_isRequestPending = false;
    if (revision.isError()) {
        // Somebody else has written the entry: an earlier process of this daemon, a relay that restored it, or a
        // request of this process whose answer was lost.
        m_mustList = revision.failure().kind == error_kind::Conflict;
        m_isUrgent = m_mustList && m_failures == 0;
        backOff(now, source);
        return;
    }
    m_failures = 0;
    // The first write succeeds only if there was no entry, and so no departure to know of.
    m_knowsEarlierDepartures = true;
    m_ownRevision = revision.value();
    m_isRegistered = m_pendingValue == ownValue();
}

void member_registry::didRemoveOwn(result<empty> const& outcome, time_point now, generator& source)
{
    m_isRequestPending = false;
    if (!outcome.isError()) {
        m_ownRevision = 0;
        return;
    }
    m_mustRemoveOwn = !hasRecentDepartures(now);
    m_mustList = outcome.failure().kind == error_kind::Conflict;
    backOff(now, source);
}

void member_registry::didDepart(target_departure const& departure, time_point now)
{
    std::erase_if(m_departures, [&](auto const& recent) { return now - recent.at >= m_settings.departureRetention; });
    auto const known = std::find_if(
        m_departures.begin(), m_departures.end(), [&](auto const& recent) { return recent.departure == departure; });
    if (known != m_departures.end()) {
        known->at = now;
        return;
    }
    keepDeparture(departure, now);
    m_isRegistered = false;
    m_mustRemoveOwn = false;
    m_isUrgent = true;
}

void member_registry::endUnnumberedDeparture(std::string const& target)
{
    dropUnnumberedDepartures([&](auto const& recent) { return recent.departure.target == target; });
}

void member_registry::dropUnnumberedDepartures(std::function<bool(recent_departure const&)> const& isOver)
{
    auto const dropped = std::erase_if(
        m_departures, [&](auto const& recent) { return recent.departure.startedAt == 0 && isOver(recent); });
    if (dropped > 0 && !m_isStopped)
        m_isRegistered = false;
}

std::vector<std::string> member_registry::unnumberedDepartures() const
{
    std::vector<std::string> targets;
    for (auto const& recent : m_departures) {
        if (recent.departure.startedAt == 0)
            targets.push_back(recent.departure.target);
    }
    return targets;
}

void member_registry::keepDeparture(target_departure const& departure, time_point now)
{
    m_departures.push_back({ departure, now });
    if (m_departures.size() > m_settings.maximumDepartures)
        m_departures.erase(m_departures.begin());
}

bool member_registry::hasRecentDepartures(time_point now) const
{
    return std::any_of(m_departures.begin(), m_departures.end(),
        [&](auto const& recent) { return now - recent.at < m_settings.departureRetention; });
}

void member_registry::prepareToEnd(time_point now)
{
    m_isEnding = true;
    m_isUrgent |= hasUnstoredDepartures(now);
}

void member_registry::stop()
{
    m_isStopped = true;
    m_mustRemoveOwn = true;
    m_isRegistered = true;
    m_isUrgent = true;
}

void member_registry::didListOwn(stored_object const* own, time_point now)
{
    m_ownRevision = own ? own->revision : 0;
    auto const read = own ? parseMemberEntry(own->value) : result<member_entry>(member_entry {});
    if (!std::exchange(m_knowsEarlierDepartures, true) && !read.isError()) {
        m_earlierDepartures = read.value().departures;
        for (auto const& departure : m_earlierDepartures)
            keepDeparture(departure, now);
    }
    bool const isAsExpected = own && own->value == ownValue();
    m_isRegistered = isAsExpected || (m_isStopped && !hasRecentDepartures(now));
}

std::vector<std::string> member_registry::didList(
    result<std::vector<stored_object>> const& outcome, membership_table const& table, time_point now, generator& source)
{
    m_isRequestPending = false;
    if (outcome.isError()) {
        backOff(now, source);
        return {};
    }
    // After a conflict only a write that succeeds shows that nobody else keeps writing the entry.
    if (!m_mustList)
        m_failures = 0;
    m_hasListedEntries = true;
    m_nextRequestTime = now + jittered(m_settings.discoveryPeriod, source);
    m_mustList = false;
    m_unreadableEntries.clear();
    stored_object const* own = nullptr;
    std::map<std::string, entry> listed;
    std::vector<std::string> addresses;
    for (auto const& object : outcome.value()) {
        if (object.key == ownKey()) {
            own = &object;
            continue;
        }
        if (!m_settings.findsOthers)
            continue;
        auto const read = parseMemberEntry(object.value);
        if (read.isError()) {
            m_unreadableEntries.push_back(object.key);
            continue;
        }
        auto const& address = read.value().address;
        auto const known = m_entries.find(object.key);
        auto const notLiveSince
            = known != m_entries.end() && known->second.revision == object.revision ? known->second.notLiveSince : now;
        listed.emplace(object.key, entry { address, object.revision, read.value().departures, notLiveSince });
        if (!isDeparted(table, vmOf(object.key), address))
            addresses.push_back(address);
    }
    didListOwn(own, now);
    m_isUrgent = !m_isRegistered;
    m_entries = std::move(listed);
    m_listedDaemons = m_settings.findsOthers ? m_entries.size() + 1 : 0;
    if (std::exchange(m_findsLostEntries, false))
        findLostEntries(table);
    return addresses;
}

void member_registry::didRestoreStore(time_point now, generator& source)
{
    // The revisions of the former era may belong to other writes now, so no removal may name them.
    m_entries.clear();
    m_lostEntries.clear();
    m_ownRevision = 0;
    m_hasListedEntries = false;
    m_findsLostEntries = m_settings.findsOthers;
    m_mustList |= !m_settings.findsOthers;
    auto const spread = static_cast<std::uint64_t>(duration(m_settings.restoreSpread).count());
    m_nextRequestTime = now + duration(uniformBelow(source, spread + 1));
}

void member_registry::findLostEntries(membership_table const& table)
{
    auto const* self = table.find(m_settings.vm);
    for (auto const& [vm, record] : table.records()) {
        bool const isInOwnZone = self && record.zone == self->zone && vm != m_settings.vm;
        if (!isInOwnZone || record.state != member_state::Alive)
            continue;
        auto const known = m_entries.find(memberEntryPrefix + vm);
        if (known == m_entries.end() || lacksDepartures(known->second, record))
            m_lostEntries.push_back(vm);
    }
}

bool member_registry::lacksDepartures(entry const& listed, member_record const& record)
{
    return listed.address == record.address && withDepartures(listed.departures, record) != listed.departures;
}

restore_entry member_registry::restoredEntry(member_record const& record) const
{
    auto const key = memberEntryPrefix + record.vm;
    auto const known = m_entries.find(key);
    auto const listed = known == m_entries.end() ? entry {} : known->second;
    member_entry const restored { record.address, withDepartures(listed.departures, record) };
    return { key, serializeMemberEntry(restored), listed.revision };
}

void member_registry::restoreLostEntries(membership_table const& table, std::vector<registry_action>& actions)
{
    std::size_t const count = std::min(m_lostEntries.size(), m_settings.restoredEntriesPerTick);
    for (std::size_t i = 0; i < count; ++i) {
        auto const* record = table.find(m_lostEntries.back());
        if (record && record->state == member_state::Alive)
            actions.emplace_back(restoredEntry(*record));
        m_lostEntries.pop_back();
    }
}

void member_registry::removeStaleEntries(
    membership_table const& table, time_point now, std::vector<registry_action>& actions)
{
    for (auto found = m_entries.begin(); found != m_entries.end();) {
        auto& [key, known] = *found;
        if (isLiveMember(table, vmOf(key), known.address))
            known.notLiveSince = now;
        if (now - known.notLiveSince < m_settings.staleEntryRetention) {
            ++found;
            continue;
        }
        actions.emplace_back(remove_entry { key, known.revision });
        found = m_entries.erase(found);
    }
}

void member_registry::backOff(time_point now, generator& source)
{
    bool const isHurried = m_isEnding && hasUnstoredDepartures(now);
    unsigned const doublings = isHurried ? 0 : std::min(m_failures, maximumDoublings);
    ++m_failures;
    auto const ceiling = std::min(m_settings.firstBackOff * (1U << doublings), m_settings.longestBackOff);
    m_nextRequestTime = now + jittered(ceiling, source);
}

} // namespace merlinpier
