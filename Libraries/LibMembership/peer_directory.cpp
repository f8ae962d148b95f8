#include <LibMembership/peer_directory.h>

#include <algorithm>

namespace merlinpier {

namespace {

constexpr seconds initialAvoidance { 2 };
constexpr seconds maximumAvoidance { 30 };
constexpr unsigned maximumDoublings = 4;

} // namespace

void peer_directory::didReceiveFrom(std::string const& address, time_point now)
{
    auto& peer = m_peers[address];
    peer.lastUsed = now;
    peer.unansweredSince.reset();
    peer.failures = 0;
    peer.avoidedUntil = {};
    m_lastHeard = now;
}

bool peer_directory::isHeartbeatDue(std::string const& address, time_point now) const
{
    auto const known = m_peers.find(address);
    return known == m_peers.end() || !known->second.nextHeartbeat || now >= *known->second.nextHeartbeat;
}

void peer_directory::didSendHeartbeat(std::string const& address, time_point now, duration untilNext)
{
    auto& peer = m_peers[address];
    peer.lastUsed = now;
    peer.nextHeartbeat = now + untilNext;
    if (!peer.unansweredSince)
        peer.unansweredSince = now;
}

void peer_directory::hastenHeartbeat(std::string const& address)
{
    if (auto known = m_peers.find(address); known != m_peers.end())
        known->second.nextHeartbeat.reset();
}

bool peer_directory::isLate(
    std::string const& address, time_point now, duration timeout, time_point listeningSince) const
{
    auto const known = m_peers.find(address);
    if (known == m_peers.end())
        return false;
    auto const& peer = known->second;
    return peer.failures > 0
        || (peer.unansweredSince && now - std::max(*peer.unansweredSince, listeningSince) >= timeout);
}

void peer_directory::avoidUnresponsive(time_point now, duration timeout)
{
    for (auto const& [address, peer] : m_peers) {
        if (peer.unansweredSince && now - *peer.unansweredSince >= timeout)
            avoidAfterFailure(address, now);
    }
}

void peer_directory::clearUnanswered()
{
    for (auto& [address, peer] : m_peers)
        peer.unansweredSince.reset();
}

void peer_directory::avoidAfterFailure(std::string const& address, time_point now)
{
    auto& peer = m_peers[address];
    peer.lastUsed = now;
    peer.unansweredSince.reset();
    peer.nextHeartbeat.reset();
    peer.hasMatched = false;
    auto const avoidance
        = std::min(initialAvoidance * (1U << std::min(peer.failures, maximumDoublings)), maximumAvoidance);
    ++peer.failures;
    peer.avoidedUntil = now + avoidance;
}

void peer_directory::avoidUntil(std::string const& address, time_point until)
{
    auto& peer = m_peers[address];
    peer.avoidedUntil = until;
    peer.nextHeartbeat.reset();
}

bool peer_directory::isAvoided(std::string const& address, time_point now) const
{
    auto const known = m_peers.find(address);
    return known != m_peers.end() && now < known->second.avoidedUntil;
}

peer_directory::subscription peer_directory::subscribe(
    std::string const& address, time_point until, std::size_t maximum)
{
    auto& peer = m_peers[address];
    if (!peer.subscribedUntil && subscribers().size() >= maximum)
        return subscription::Full;
    peer.subscribedUntil = until;
    return subscription::Accepted;
}

void peer_directory::unsubscribe(std::string const& address)
{
    if (auto known = m_peers.find(address); known != m_peers.end())
        known->second.subscribedUntil.reset();
}

bool peer_directory::isSubscribed(std::string const& address) const
{
    auto const known = m_peers.find(address);
    return known != m_peers.end() && known->second.subscribedUntil.has_value();
}

std::vector<std::string> peer_directory::subscribers() const
{
    std::vector<std::string> addresses;
    for (auto const& [address, peer] : m_peers) {
        if (peer.subscribedUntil)
            addresses.push_back(address);
    }
    return addresses;
}

bool peer_directory::hasSubscribers() const
{
    return std::any_of(
        m_peers.begin(), m_peers.end(), [](auto const& entry) { return entry.second.subscribedUntil.has_value(); });
}

bool peer_directory::needsRepair(std::string const& address, bool digestsDiffer)
{
    auto& peer = m_peers[address];
    if (!digestsDiffer) {
        peer.hasMatched = true;
        peer.differedLast = false;
        return false;
    }
    bool const isPersistent = peer.differedLast || !peer.hasMatched;
    peer.differedLast = true;
    return isPersistent;
}

bool peer_directory::tryBeginDigestExchange(std::string const& address, time_point now, duration period)
{
    auto& peer = m_peers[address];
    if (peer.lastDigest && now - *peer.lastDigest < period)
        return false;
    peer.lastDigest = now;
    peer.lastUsed = now;
    return true;
}

void peer_directory::expire(time_point now, duration retention)
{
    for (auto entry = m_peers.begin(); entry != m_peers.end();) {
        auto& peer = entry->second;
        if (peer.subscribedUntil && now >= *peer.subscribedUntil)
            peer.subscribedUntil.reset();
        bool const isIdle = !peer.subscribedUntil && now - peer.lastUsed > retention;
        entry = isIdle ? m_peers.erase(entry) : std::next(entry);
    }
}

} // namespace merlinpier
