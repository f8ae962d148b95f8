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
    if (current.storeEra != m_storeEra && std::exchange(m_storeEra, current.storeEra) > 0)
        didRestoreStore(now, source);
    if (current.isRelay) {
        removeStaleEntries(table, now, actions);
        restoreLostEntries(table, actions);
    }
    if (m_isRequestPending || now < m_nextRequestTime)
        return actions;
    if (!m_isRegistered) {
        m_isRequestPending = true;
        actions.emplace_back(write_entry { ownKey(), m_settings.address });
        return actions;
    }
    if (!m_hasListedEntries || !current.hasContact || now >= m_nextRefresh) {
        m_isRequestPending = true;
        m_nextRefresh = now + jittered(m_settings.refreshPeriod, source);
        actions.emplace_back(list_entries { memberEntryPrefix });
    }
    return actions;
}

void member_registry::didWrite(result<empty> const& outcome, time_point now, generator& source)
{
    m_isRequestPending = false;
    if (outcome.isError()) {
        backOff(now, source);
        return;
    }
    m_failures = 0;
    m_isRegistered = true;
}

std::vector<std::string> member_registry::didList(
    result<std::vector<stored_object>> const& outcome, membership_table const& table, time_point now, generator& source)
{
    m_isRequestPending = false;
    if (outcome.isError()) {
        backOff(now, source);
        return {};
    }
    m_failures = 0;
    m_hasListedEntries = true;
    m_nextRequestTime = now + jittered(m_settings.discoveryPeriod, source);
    m_isRegistered = false;
    std::map<std::string, entry> listed;
    std::vector<std::string> addresses;
    for (auto const& object : outcome.value()) {
        if (object.key == ownKey()) {
            m_isRegistered = object.value == m_settings.address;
            continue;
        }
        auto const known = m_entries.find(object.key);
        auto const notLiveSince
            = known != m_entries.end() && known->second.revision == object.revision ? known->second.notLiveSince : now;
        listed.emplace(object.key, entry { object.value, object.revision, notLiveSince });
        if (!isDeparted(table, vmOf(object.key), object.value))
            addresses.push_back(object.value);
    }
    m_entries = std::move(listed);
    m_listedDaemons = m_entries.size() + 1;
    if (std::exchange(m_findsLostEntries, false))
        findLostEntries(table);
    return addresses;
}

void member_registry::didRestoreStore(time_point now, generator& source)
{
    // The revisions of the former era may belong to other writes now, so no removal may name them.
    m_entries.clear();
    m_lostEntries.clear();
    m_hasListedEntries = false;
    m_findsLostEntries = true;
    auto const spread = static_cast<std::uint64_t>(duration(m_settings.restoreSpread).count());
    m_nextRequestTime = now + duration(uniformBelow(source, spread + 1));
}

void member_registry::findLostEntries(membership_table const& table)
{
    auto const* self = table.find(m_settings.vm);
    for (auto const& [vm, record] : table.records()) {
        bool const isInOwnZone = self && record.zone == self->zone && vm != m_settings.vm;
        if (isInOwnZone && record.state == member_state::Alive && !m_entries.contains(memberEntryPrefix + vm))
            m_lostEntries.push_back(vm);
    }
}

void member_registry::restoreLostEntries(membership_table const& table, std::vector<registry_action>& actions)
{
    std::size_t const count = std::min(m_lostEntries.size(), m_settings.restoredEntriesPerTick);
    for (std::size_t i = 0; i < count; ++i) {
        auto const* record = table.find(m_lostEntries.back());
        if (record && record->state == member_state::Alive)
            actions.emplace_back(restore_entry { memberEntryPrefix + record->vm, record->address });
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
    auto const ceiling = std::min(
        m_settings.firstBackOff * (1U << std::min(m_failures++, maximumDoublings)), m_settings.longestBackOff);
    m_nextRequestTime = now + jittered(ceiling, source);
}

} // namespace merlinpier
