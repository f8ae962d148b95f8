#include <LibCalls/local_targets.h>

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cmath>
#include <utility>

namespace merlinpier {

namespace {

// How long the retirement of a target that is not known yet is remembered. The platform lets some retired targets run
// on for many seconds; they end within this time.
constexpr milliseconds departureRetention { 30000 };
// A change of a target's limit is published if it is larger than this share of the published one.
constexpr double publishedLimitStep = 0.25;

bool isIpv4AddressWithPort(std::string const& text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    in_addr parsed {};
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &parsed) != 1)
        return false;
    unsigned port = 0;
    auto const* const end = text.data() + text.size();
    auto const [last, failure] = std::from_chars(text.data() + colon + 1, end, port);
    return failure == std::errc() && last == end && port > 0 && port <= 65535;
}

result<empty> check(target_announcement const& announcement)
{
    if (announcement.id.empty() || announcement.service.empty() || announcement.licence.empty())
        return error { error_kind::BadInput, "announcement lacks an id, service or licence",
            "give all three, the licence as listed in the service's answers" };
    if (!isIpv4AddressWithPort(announcement.address))
        return error { error_kind::BadInput, "\"" + announcement.address + "\" is not an IPv4 address:port",
            "announce the address as IP:PORT, such as 127.0.0.1:9000" };
    return empty {};
}

error unknownTargetError(std::string const& id)
{
    return { error_kind::NotFound, "no target " + id + " is announced on this VM",
        "look up its VM in the status, or announce the target first" };
}

} // namespace

local_targets::local_targets(milliseconds lease)
    : m_lease(lease)
{
}

result<empty> local_targets::announce(target_announcement const& given, std::uint64_t highestKnownClaim, time_point now)
{
    TRY(check(given));
    auto announcement = given;
    if (hasDepartedEarly(given, now))
        announcement.state = target_state::Draining;
    if (isOutdated(announcement))
        return empty {};
    recordIncarnation(announcement);
    // A copy that was restarted under another id has ended its earlier incarnation.
    std::erase_if(m_entries, [&](auto const& item) {
        auto const& other = item.second.announcement;
        return item.first != announcement.id && other.licence == announcement.licence
            && other.startedAt < announcement.startedAt;
    });
    for (auto const& [id, other] : m_entries) {
        if (id != announcement.id && other.announcement.licence == announcement.licence)
            return error { error_kind::Conflict, "licence " + announcement.licence + " is in use by target " + id,
                "stop that target first, or assign another licence to this one" };
    }
    auto const known = m_entries.find(announcement.id);
    bool const isRenewal = known != m_entries.end() && known->second.announcement.licence == announcement.licence
        && known->second.announcement.startedAt == announcement.startedAt;
    if (!isRenewal) {
        auto const limit = m_requestLimits.find(announcement.id);
        bool const isSameIncarnation = limit != m_requestLimits.end() && announcement.startedAt > 0
            && limit->second.startedAt == announcement.startedAt;
        if (limit != m_requestLimits.end() && !isSameIncarnation)
            m_requestLimits.erase(limit);
        auto& added = m_entries[announcement.id] = { announcement, highestKnownClaim + 1, now + m_lease };
        if (announcement.state == target_state::Draining)
            added.drain();
        added.isUnconfirmed = announcement.state == target_state::Ready && needsConfirmation(announcement);
        if (added.isUnconfirmed)
            added.announcement.state = target_state::Starting;
        return empty {};
    }
    auto& entry = known->second;
    if (announcement.state == target_state::Draining && announcement.startedAt > 0)
        entry.drain();
    // A renewal, which may have been sent before the target learnt of it, undoes neither a drain nor a lost claim.
    bool const keepsState = entry.isDrainOrdered || entry.isClaimLost;
    auto const state = keepsState ? entry.announcement.state : announcement.state;
    entry.announcement = announcement;
    entry.announcement.state = state;
    entry.leaseUntil = now + m_lease;
    confirm(entry);
    return empty {};
}

result<empty> local_targets::drain(std::string const& id, time_point)
{
    auto const found = m_entries.find(id);
    if (found == m_entries.end())
        return unknownTargetError(id);
    auto const& target = found->second.announcement;
    if (target.startedAt > 0)
        m_incarnations[target.licence].isLeaving = true;
    found->second.drain();
    return empty {};
}

bool local_targets::isOutdated(target_announcement const& announcement) const
{
    auto const found = m_incarnations.find(announcement.licence);
    if (found == m_incarnations.end() || announcement.startedAt > found->second.startedAt)
        return false;
    auto const& known = found->second;
    if (announcement.startedAt < known.startedAt || announcement.id != known.id)
        return true;
    bool const isLate = announcement.sequence <= known.sequence;
    // An announcement must not bring back a leaving target that has already been removed here.
    bool const isRemoved = known.isLeaving && !m_entries.contains(announcement.id);
    return isLate || isRemoved;
}

void local_targets::recordIncarnation(target_announcement const& announcement)
{
    if (announcement.startedAt == 0)
        return;
    auto& known = m_incarnations[announcement.licence];
    bool const isSameIncarnation = known.startedAt == announcement.startedAt && known.id == announcement.id;
    bool const isLeaving = (isSameIncarnation && known.isLeaving) || announcement.state == target_state::Draining;
    known = { announcement.id, announcement.startedAt, announcement.sequence, isLeaving, known.isConfirmed };
}

bool local_targets::needsConfirmation(target_announcement const& announcement) const
{
    if (announcement.startedAt == 0)
        return !m_knowsEarlierDepartures;
    auto const known = m_incarnations.find(announcement.licence);
    return m_confirmsFirstReports && (known == m_incarnations.end() || !known->second.isConfirmed);
}

void local_targets::confirm(entry& confirmed)
{
    confirmed.isUnconfirmed = false;
    if (confirmed.announcement.startedAt > 0)
        m_incarnations[confirmed.announcement.licence].isConfirmed = true;
}

result<empty> local_targets::retire(std::string const& id, time_point now, std::uint64_t startedAt)
{
    bool isKnown = false;
    for (auto& [licence, known] : m_incarnations) {
        if (known.id != id || known.startedAt < startedAt)
            continue;
        if (startedAt > 0 && known.startedAt > startedAt)
            return empty {};
        known.isLeaving = true;
        isKnown = true;
    }
    if (!isKnown)
        m_earlyDepartures[id] = { startedAt, now };
    auto const found = m_entries.find(id);
    if (found == m_entries.end())
        return unknownTargetError(id);
    found->second.drain();
    return empty {};
}

bool local_targets::didAnnounceDeparture(std::string const& id, time_point now)
{
    auto const* target = find(id);
    if (!target)
        return false;
    bool const isKnown = target->startedAt > 0 ? departedStart(id) > 0 : target->state != target_state::Ready;
    return !isKnown && !retire(id, now).isError();
}

void local_targets::didDepartBefore(std::string const& id, std::uint64_t startedAt, time_point now)
{
    auto const known = m_earlyDepartures.find(id);
    if (known != m_earlyDepartures.end() && known->second.startedAt >= startedAt)
        return;
    m_earlyDepartures[id] = { startedAt, now };
    auto const found = m_entries.find(id);
    bool const isOtherIncarnation
        = found != m_entries.end() && startedAt > 0 && found->second.announcement.startedAt > startedAt;
    if (found == m_entries.end() || isOtherIncarnation)
        return;
    if (found->second.announcement.startedAt > 0)
        m_incarnations[found->second.announcement.licence].isLeaving = true;
    found->second.drain();
}

void local_targets::awaitEarlierDepartures()
{
    m_knowsEarlierDepartures = false;
    m_confirmsFirstReports = true;
}

void local_targets::didLearnEarlierDepartures()
{
    m_knowsEarlierDepartures = true;
    for (auto& [id, entry] : m_entries) {
        if (entry.announcement.startedAt == 0)
            entry.confirm();
    }
}

bool local_targets::isUnconfirmed(std::string const& id) const
{
    auto const found = m_entries.find(id);
    return found != m_entries.end() && found->second.isUnconfirmed;
}

bool local_targets::hasDepartedEarly(target_announcement const& announcement, time_point now) const
{
    auto const departed = m_earlyDepartures.find(announcement.id);
    if (departed == m_earlyDepartures.end() || now - departed->second.at >= departureRetention)
        return false;
    auto const startedAt = departed->second.startedAt;
    return startedAt == 0 || announcement.startedAt <= startedAt;
}

local_targets::request_limit* local_targets::findLimit(std::string const& id)
{
    auto const target = m_entries.find(id);
    if (target == m_entries.end())
        return nullptr;
    auto& limit = m_requestLimits[id];
    limit.startedAt = target->second.announcement.startedAt;
    return &limit;
}

bool local_targets::setRequestLimit(
    std::string const& id, std::optional<double> requestsPerSecond, time_point sentAt, time_point now)
{
    auto* limit = findLimit(id);
    if (!limit || (!requestsPerSecond && sentAt < limit->namedAt))
        return false;
    if (requestsPerSecond)
        limit->namedAt = now;
    bool const hasChanged = limit->requestsPerSecond != requestsPerSecond;
    limit->requestsPerSecond = requestsPerSecond;
    bool const isLargeStep = limit->published.has_value() != requestsPerSecond.has_value()
        || (requestsPerSecond
            && std::abs(*requestsPerSecond - *limit->published) > publishedLimitStep * *limit->published);
    if (isLargeStep)
        limit->published = requestsPerSecond;
    return hasChanged;
}

bool local_targets::didLimitBefore(
    std::string const& id, std::uint64_t startedAt, double requestsPerSecond, time_point now)
{
    auto const target = m_entries.find(id);
    bool const isOtherIncarnation = target != m_entries.end() && target->second.announcement.startedAt != startedAt;
    if (startedAt == 0 || isOtherIncarnation || m_requestLimits.contains(id))
        return false;
    m_requestLimits[id] = { startedAt, requestsPerSecond, requestsPerSecond, now };
    return true;
}

std::uint64_t local_targets::departedStart(std::string const& id) const
{
    auto const target = m_entries.find(id);
    if (target == m_entries.end())
        return 0;
    auto const incarnation = m_incarnations.find(target->second.announcement.licence);
    bool const isDeparting = incarnation != m_incarnations.end() && incarnation->second.isLeaving;
    return isDeparting ? target->second.announcement.startedAt : 0;
}

std::optional<double> local_targets::requestLimit(std::string const& id) const
{
    auto const found = m_requestLimits.find(id);
    return found == m_requestLimits.end() ? std::nullopt : found->second.requestsPerSecond;
}

result<empty> local_targets::leave(std::string const& id, time_point)
{
    m_earlyDepartures.erase(id);
    if (m_entries.erase(id) == 0)
        return unknownTargetError(id);
    return empty {};
}

void local_targets::drainAll(time_point)
{
    for (auto& [id, entry] : m_entries)
        entry.drain();
}

void local_targets::tick(time_point now)
{
    std::erase_if(m_entries, [&](auto const& item) {
        bool const hasRunOut = now >= item.second.leaseUntil;
        if (hasRunOut && item.second.announcement.startedAt == 0)
            m_earlyDepartures.erase(item.first);
        return hasRunOut;
    });
    std::erase_if(m_earlyDepartures, [&](auto const& item) { return now - item.second.at >= departureRetention; });
}

void local_targets::didLoseClaim(std::string const& licence, std::uint64_t claim)
{
    for (auto& [id, entry] : m_entries) {
        if (entry.announcement.licence != licence || entry.claim >= claim)
            continue;
        entry.isClaimLost = true;
        entry.announcement.state = target_state::Gone;
    }
}

void local_targets::didEnd(std::string const& id)
{
    auto const found = m_entries.find(id);
    if (found != m_entries.end() && found->second.announcement.state == target_state::Ready)
        found->second.announcement.state = target_state::Starting;
}

target_announcement const* local_targets::find(std::string const& id) const
{
    auto const found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second.announcement;
}

void local_targets::setClosure(std::string const& id, closure closed)
{
    auto const found = m_entries.find(id);
    if (found != m_entries.end())
        found->second.closed = closed;
}

bool local_targets::isClosed(std::string const& id) const
{
    auto const found = m_entries.find(id);
    return found != m_entries.end() && found->second.closed != closure::Open;
}

std::vector<std::string> local_targets::ids() const
{
    std::vector<std::string> ids;
    for (auto const& [id, entry] : m_entries)
        ids.push_back(id);
    return ids;
}

std::vector<target_record> local_targets::records(configuration_set const& configuration) const
{
    std::vector<target_record> records;
    for (auto const& [id, entry] : m_entries) {
        auto const& target = entry.announcement;
        auto const service = configuration.services().find(target.service);
        bool const isConfigured = service != configuration.services().end();
        std::uint32_t const configured = isConfigured ? service->second.answers.slotsPerCopy : 0;
        std::uint32_t const slots = configured > 0 ? configured : target.slots;
        target_record record { id, target.service, target.licence, entry.claim, target.state, slots, departedStart(id),
            target.startedAt };
        record.version = target.version;
        if (entry.closed == closure::AtRest && record.state == target_state::Ready)
            record.state = target_state::Draining;
        auto const limit = m_requestLimits.find(id);
        if (limit != m_requestLimits.end())
            record.setRequestLimit(limit->second.published);
        records.push_back(std::move(record));
    }
    return records;
}

void local_targets::entry::confirm()
{
    if (std::exchange(isUnconfirmed, false) && announcement.state == target_state::Starting)
        announcement.state = target_state::Ready;
}

void local_targets::entry::drain()
{
    isDrainOrdered = true;
    if (announcement.state != target_state::Gone)
        announcement.state = target_state::Draining;
}

} // namespace merlinpier
