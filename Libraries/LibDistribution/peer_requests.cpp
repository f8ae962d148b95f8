#include <LibDistribution/peer_requests.h>

#include <algorithm>

namespace merlinpier {

namespace {

constexpr std::size_t maximumRememberedPeers = 256;
constexpr std::size_t maximumExcludedVersions = 64;
// A peer that has not advertised the version may not have it or not respond. When another peer has advertised it, the
// request is given up after this fraction of the timeout.
constexpr int unconfirmedTimeoutDivisor = 4;

} // namespace

void peer_requests::recordVersion(std::string const& address, version_number version)
{
    if (version <= advertisedVersion(address))
        return;
    bool const isRemembered = m_advertised.contains(address) || m_advertised.size() < maximumRememberedPeers;
    if (!isRemembered)
        return;
    m_advertised[address] = version;
    // The peer has a newer version than before: it may be asked again in this round, or when the round has ended.
    m_tried.erase(address);
    if (isRequestable(version))
        m_nextRoundAt = {};
}

version_number peer_requests::advertisedVersion(std::string const& address) const
{
    auto const known = m_advertised.find(address);
    return known == m_advertised.end() ? 0 : known->second;
}

void peer_requests::didApply(version_number version)
{
    if (version <= m_appliedVersion)
        return;
    m_appliedVersion = version;
    m_excluded.erase(m_excluded.begin(), m_excluded.upper_bound(version));
    m_pending.reset();
    m_tried.clear();
    m_nextRoundAt = {};
}

void peer_requests::exclude(version_number version)
{
    if (version > m_appliedVersion)
        m_excluded.insert(version);
    if (m_excluded.size() > maximumExcludedVersions)
        m_excluded.erase(m_excluded.begin());
    m_pending.reset();
}

bool peer_requests::isRequestable(version_number version) const
{
    return version > m_appliedVersion && !m_excluded.contains(version);
}

version_number peer_requests::highestRequestable() const
{
    version_number highest = 0;
    for (auto const& [address, version] : m_advertised) {
        if (isRequestable(version))
            highest = std::max(highest, version);
    }
    return highest;
}

void peer_requests::didReceiveOlderVersion(std::string const& address, version_number version)
{
    m_advertised[address] = version;
    didReceiveUnusableAnswer(address);
    // The lower version may still be newer than the applied one.
    if (isRequestable(version))
        m_tried.erase(address);
}

void peer_requests::didReceiveUnusableAnswer(std::string const& address)
{
    m_tried.insert(address);
    if (hasPendingRequestTo(address))
        m_pending.reset();
}

void peer_requests::forgetPeersExcept(std::set<std::string> const& addresses)
{
    std::erase_if(m_advertised,
        [&](auto const& peer) { return peer.second <= m_appliedVersion && !addresses.contains(peer.first); });
}

std::optional<std::string> peer_requests::nextPeer(
    std::vector<std::string> const& relays, order preferred, time_point now)
{
    if (now < m_nextRoundAt)
        return {};
    if (m_pending && now - m_pending->sentAt < pendingTimeout())
        return {};
    m_pending.reset();
    auto const address = choosePeer(relays, preferred);
    if (!address) {
        m_tried.clear();
        m_nextRoundAt = now + m_timeout;
        return {};
    }
    m_tried.insert(*address);
    m_pending = request { *address, now };
    return address;
}

duration peer_requests::pendingTimeout() const
{
    if (isRequestable(advertisedVersion(m_pending->address)))
        return m_timeout;
    bool const hasBetterPeer = std::any_of(m_advertised.begin(), m_advertised.end(),
        [&](auto const& peer) { return isRequestable(peer.second) && !m_tried.contains(peer.first); });
    return hasBetterPeer ? m_timeout / unconfirmedTimeoutDivisor : m_timeout;
}

std::optional<std::string> peer_requests::choosePeer(std::vector<std::string> const& relays, order preferred) const
{
    auto const isUntried = [&](std::string const& relay) {
        return !m_tried.contains(relay);
    };
    // A relay that has advertised a wanted version is alive and has it.
    auto untried = std::find_if(relays.begin(), relays.end(),
        [&](auto const& relay) { return isUntried(relay) && isRequestable(advertisedVersion(relay)); });
    if (untried == relays.end())
        untried = std::find_if(relays.begin(), relays.end(), isUntried);
    if (preferred == order::RelaysFirst && untried != relays.end())
        return *untried;
    std::optional<std::string> best;
    version_number highest = m_appliedVersion;
    for (auto const& [address, version] : m_advertised) {
        if (version > highest && isRequestable(version) && !m_tried.contains(address)) {
            best = address;
            highest = version;
        }
    }
    if (best)
        return best;
    return untried == relays.end() ? std::nullopt : std::optional<std::string>(*untried);
}

} // namespace merlinpier
