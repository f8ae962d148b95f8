#pragma once

#include <LibConfiguration/configuration_set.h>
#include <LibCore/time.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace merlinpier {

// Selects the peer to request a version from, one at a time. Each peer is asked once per round, and a new round starts
// one timeout after all have been tried.
class peer_requests {
public:
    explicit peer_requests(duration timeout)
        : m_timeout(timeout)
    {
    }

    // Records a version number that the peer has advertised.
    void recordVersion(std::string const& address, version_number);
    // The version that the peer is known to have, 0 for none.
    version_number advertisedVersion(std::string const& address) const;
    // This version has been applied: it and lower ones are no longer requested.
    void didApply(version_number);
    // This version is invalid and no longer requested.
    void exclude(version_number);
    // Whether the version is above the applied one and not excluded.
    bool isRequestable(version_number) const;
    // The highest requestable version that a peer has advertised, 0 for none.
    version_number highestRequestable() const;
    // The peer's answer could not be used; it is not asked again in this round.
    void didReceiveUnusableAnswer(std::string const& address);
    // The peer answered a request with a lower version, the highest one that it has.
    void didReceiveOlderVersion(std::string const& address, version_number);
    // Forgets the advertised versions of all other peers that are not above the applied version.
    void forgetPeersExcept(std::set<std::string> const& addresses);

    // Whether peers that have advertised a requestable version are asked before the given relays, or after them.
    enum class order { AdvertisedFirst, RelaysFirst };
    // Starts a request: returns the peer to ask now, or nothing while another request is pending, between two rounds or
    // if all have been tried. The relays may have a newer version without having advertised it.
    std::optional<std::string> nextPeer(std::vector<std::string> const& relays, order preferred, time_point now);
    bool hasPendingRequestTo(std::string const& address) const { return m_pending && m_pending->address == address; }

private:
    struct request {
        std::string address;
        time_point sentAt;
    };
    // How long to wait for the answer to the pending request.
    duration pendingTimeout() const;
    std::optional<std::string> choosePeer(std::vector<std::string> const& relays, order preferred) const;

    duration m_timeout;
    version_number m_appliedVersion { 0 };
    std::set<version_number> m_excluded;
    std::map<std::string, version_number> m_advertised;
    std::set<std::string> m_tried;
    std::optional<request> m_pending;
    time_point m_nextRoundAt {};
};

} // namespace merlinpier
