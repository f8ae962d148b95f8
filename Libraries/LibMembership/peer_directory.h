#pragma once

#include <LibCore/generator.h>
#include <LibCore/time.h>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace merlinpier {

// What this daemon knows about its exchanges with other daemons, by address: who answers, who is to be left alone for a
// while, who subscribes, and when digests were last exchanged.
class peer_directory {
public:
    // A frame came from the peer.
    void didReceiveFrom(std::string const& address, time_point now);
    std::optional<time_point> lastHeard() const { return m_lastHeard; }

    // Whether the next heartbeat to the peer is due.
    bool isHeartbeatDue(std::string const& address, time_point now) const;
    void didSendHeartbeat(std::string const& address, time_point now, duration untilNext);
    // Leaves alone each peer that has not answered a heartbeat within the timeout.
    void avoidUnresponsive(time_point now, duration timeout);
    // This daemon itself was paused, so that missing answers say nothing about the peers.
    void clearUnanswered();
    // Leaves a peer alone, twice as long after each failure in a row.
    void avoidAfterFailure(std::string const& address, time_point now);
    void avoidUntil(std::string const& address, time_point);
    bool isAvoided(std::string const& address, time_point now) const;

    enum class subscription { Accepted, Full };
    // Renews or takes a subscription that holds until the time given.
    subscription subscribe(std::string const& address, time_point until, std::size_t maximum);
    void unsubscribe(std::string const& address);
    std::vector<std::string> subscribers() const;
    bool hasSubscribers() const;

    // Compares digests with the peer's: true when a difference is to be repaired now. A first difference after equality
    // may be a change still under way, so it is repaired only if the next comparison differs too.
    bool needsRepair(std::string const& address, bool digestsDiffer);
    // Takes the permission to send a digest to the peer, given once a period.
    bool tryBeginDigestExchange(std::string const& address, time_point now, duration period);

    // Ends lapsed subscriptions and forgets peers not dealt with for the retention time.
    void expire(time_point now, duration retention);

private:
    struct peer {
        time_point lastUsed {};
        std::optional<time_point> unansweredSince;
        std::optional<time_point> nextHeartbeat;
        std::optional<time_point> lastDigest;
        std::optional<time_point> subscribedUntil;
        time_point avoidedUntil {};
        unsigned failures { 0 };
        bool hasMatched { false };
        bool differedLast { false };
    };
    std::map<std::string, peer> m_peers;
    std::optional<time_point> m_lastHeard;
};

} // namespace merlinpier
