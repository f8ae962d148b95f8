#include <LibMembership/member.h>

#include <LibCore/digest.h>
#include <algorithm>
#include <utility>

// The part of member that ranks the relays and decides which of them this member uses.

namespace merlinpier {

namespace {

// Members of a larger zone subscribe to one relay only, which halves what relays send; see docs/design/membership.md.
constexpr std::size_t maximumFullySubscribedZoneSize = 16;
// Number of members per additional relay of a zone. Additional relays share the sending, but do not watch the platform.
constexpr std::size_t membersPerAdditionalRelay = 24;

} // namespace

void member::refreshRanking()
{
    if (m_rankedAtRecordChanges == m_table.recordChanges())
        return;
    m_rankedAtRecordChanges = m_table.recordChanges();
    std::map<std::string, std::vector<ranked_member>> ranking;
    for (auto const& [vm, record] : m_table.records())
        ranking[record.zone];
    for (auto& [zone, members] : ranking) {
        for (auto const& vm : rankRelays(m_table, zone))
            members.push_back({ vm, m_table.find(vm)->address });
    }
    m_ranking = std::move(ranking);
}

std::vector<member::ranked_member> member::reachableRelays(std::string const& zone) const
{
    std::vector<ranked_member> members;
    auto const ranked = m_ranking.find(zone);
    if (ranked == m_ranking.end())
        return members;
    auto const count = primaryRelayCount(zone) + ranked->second.size() / membersPerAdditionalRelay;
    for (auto const& member : ranked->second) {
        if (members.size() == count)
            break;
        if (member.vm == m_self.vm || !m_peers.isAvoided(member.address, m_now))
            members.push_back(member);
    }
    return members;
}

std::size_t member::primaryRelayCount(std::string const& zone) const
{
    auto const ranked = m_ranking.find(zone);
    bool const isSmall = ranked != m_ranking.end() && ranked->second.size() <= m_settings.maximumSmallZoneSize;
    return isSmall ? std::max(m_settings.relaysPerZone, ranked->second.size()) : m_settings.relaysPerZone;
}

std::optional<std::size_t> member::relayIndex() const
{
    auto const chosen = reachableRelays(m_settings.zone);
    auto const self
        = std::find_if(chosen.begin(), chosen.end(), [&](auto const& member) { return member.vm == m_self.vm; });
    if (self == chosen.end())
        return {};
    return static_cast<std::size_t>(std::distance(chosen.begin(), self));
}

bool member::isPrimaryRelay() const
{
    if (isJoining())
        return false;
    auto const index = relayIndex();
    return index && *index < primaryRelayCount(m_settings.zone);
}

std::optional<member::relay_position> member::primaryRelayPosition() const
{
    auto const index = relayIndex();
    if (!index || !isPrimaryRelay())
        return std::nullopt;
    relay_position position { *index, 0 };
    for (auto const& [zone, members] : m_ranking) {
        auto const relays = std::min(primaryRelayCount(zone), members.size());
        position.inFleet += std::min(*index, relays);
        position.inFleet += zone < m_settings.zone && relays > *index;
    }
    return position;
}

bool member::isRelay() const { return (!isJoining() && relayIndex()) || m_peers.hasSubscribers(); }

std::vector<std::string> member::relays() const
{
    std::vector<std::string> addresses;
    for (auto const& relay : reachableRelays(m_settings.zone)) {
        if (relay.vm != m_self.vm)
            addresses.push_back(relay.address);
    }
    return addresses;
}

bool member::isLate(std::string const& address) const
{
    return m_peers.isLate(address, m_now, m_settings.answerTimeout, m_listeningSince);
}

std::vector<std::string> member::answeringRelays() const
{
    auto addresses = relays();
    std::erase_if(addresses, [&](auto const& address) { return isLate(address); });
    return addresses;
}

// Rendezvous hashing (Thaler and Ravishankar, 1998): members with the same candidates spread over them evenly.
std::string member::preferredAnswering(std::vector<std::string> candidates) const
{
    if (candidates.empty())
        return {};
    auto const firstLate = std::stable_partition(
        candidates.begin(), candidates.end(), [&](auto const& address) { return !isLate(address); });
    if (firstLate != candidates.begin())
        candidates.erase(firstLate, candidates.end());
    auto const score = [&](std::string const& address) {
        return hash64(address, hash64(m_self.address));
    };
    return *std::max_element(candidates.begin(), candidates.end(),
        [&](auto const& left, auto const& right) { return score(left) < score(right); });
}

bool member::membersSubscribeToAllRelays() const
{
    auto const zone = m_ranking.find(m_settings.zone);
    return zone == m_ranking.end() || zone->second.size() <= maximumFullySubscribedZoneSize;
}

std::optional<std::string> member::subscribedRelay() const
{
    auto zoneRelays = relays();
    // Each relay of a zone subscribes to all the others, so that every one receives all updates.
    if (zoneRelays.empty() || membersSubscribeToAllRelays() || relayIndex())
        return {};
    return preferredAnswering(std::move(zoneRelays));
}

void member::followSubscribedRelay()
{
    auto const subscribedTo = subscribedRelay();
    if (subscribedTo == m_subscribedTo)
        return;
    m_subscribedTo = subscribedTo;
    // Until its heartbeat arrives, the new relay sends this member no updates. The others are asked as well: the new
    // one may not respond either.
    for (auto const& address : answeringRelays())
        m_peers.hastenHeartbeat(address);
}

std::vector<std::string> member::subscribers() const { return m_peers.subscribers(); }

std::vector<std::string> member::versionReceivers() const
{
    auto receivers = subscribers();
    if (!relayIndex())
        return receivers;
    auto const relays = reachableRelays(m_settings.zone);
    auto const isRelay = [&](std::string const& address) {
        return std::any_of(relays.begin(), relays.end(), [&](auto const& relay) { return relay.address == address; });
    };
    // Rendezvous hashing (Thaler and Ravishankar, 1998): relays with the same view divide the subscribers among them
    // without coordination. While views differ, a member may receive a version twice, or only after its next heartbeat.
    std::erase_if(receivers, [&](std::string const& receiver) {
        // In a large zone, a member that is not a relay subscribes to this relay only.
        if (!membersSubscribeToAllRelays() && !isRelay(receiver))
            return false;
        std::string best;
        std::uint64_t bestScore = 0;
        for (auto const& relay : relays) {
            auto const score = hash64(relay.address, hash64(receiver));
            if (relay.address != receiver && (best.empty() || score > bestScore)) {
                best = relay.address;
                bestScore = score;
            }
        }
        return best != m_settings.address;
    });
    return receivers;
}

std::vector<std::string> member::remoteRelays() const
{
    // The first relay of a zone exchanges updates with the first relay of each other zone, the second with the second:
    // a record reaches a zone on two paths without every relay sending to every other one.
    std::vector<std::string> addresses;
    if (!isPrimaryRelay())
        return addresses;
    auto const index = *relayIndex();
    for (auto const& [zone, members] : m_ranking) {
        if (zone == m_settings.zone)
            continue;
        auto const relays = reachableRelays(zone);
        if (!relays.empty())
            addresses.push_back(relays[index % relays.size()].address);
    }
    return addresses;
}

} // namespace merlinpier
