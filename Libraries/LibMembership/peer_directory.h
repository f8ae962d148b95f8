#pragma once

#include <LibCore/generator.h>
#include <LibCore/time.h>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace merlinpier {

// State of the exchanges with other daemons, by address: unanswered heartbeats, avoidance after failures,
// subscriptions, and the last exchange of digests.
class peer_directory {
public:
    // To be called when a message from the peer arrives. Ends its avoidance.
    void didReceiveFrom(std::string const& address, time_point now);
    std::optional<time_point> lastHeard() const { return m_lastHeard; }

    bool isHeartbeatDue(std::string const& address, time_point now) const;
    void didSendHeartbeat(std::string const& address, time_point now, duration untilNext);
    // Makes the next heartbeat to the peer due at once.
    void hastenHeartbeat(std::string const& address);
    // Whether the peer has left a heartbeat unanswered for the timeout, or has not been heard from since it failed.
    // Time before listeningSince does not count: this process may have stood still.
    bool isLate(std::string const& address, time_point now, duration timeout, time_point listeningSince) const;
    // Avoids each peer that has not answered a heartbeat within the timeout.
    void avoidUnresponsive(time_point now, duration timeout);
    // To be called after this daemon itself was paused: missing answers then do not indicate failed peers.
    void clearUnanswered();
    // Avoids the peer for a time that doubles with each consecutive failure, up to a limit.
    void avoidAfterFailure(std::string const& address, time_point now);
    void avoidUntil(std::string const& address, time_point);
    bool isAvoided(std::string const& address, time_point now) const;

    enum class subscription { Accepted, Full };
    // Adds or renews a subscription that lapses at the given time. Full if there are already maximum subscribers.
    subscription subscribe(std::string const& address, time_point until, std::size_t maximum);
    void unsubscribe(std::string const& address);
    bool isSubscribed(std::string const& address) const;
    std::vector<std::string> subscribers() const;
    bool hasSubscribers() const;

    // Records the result of a digest comparison with the peer, and returns whether to repair the difference now. The
    // first difference after equal digests may be an update still in flight, so it is repaired only if the next
    // comparison differs too.
    bool needsRepair(std::string const& address, bool digestsDiffer);
    // Returns whether a digest may be sent to the peer now, at most once per period, and records that it is sent.
    bool tryBeginDigestExchange(std::string const& address, time_point now, duration period);

    // Removes lapsed subscriptions, and peers that have not been used for longer than the retention time.
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
