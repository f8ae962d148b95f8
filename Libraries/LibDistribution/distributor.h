#pragma once

#include <LibConfiguration/configuration_head.h>
#include <LibConfiguration/version_store.h>
#include <LibCore/generator.h>
#include <LibCore/time.h>
#include <LibDistribution/distribution_settings.h>
#include <LibDistribution/peer_requests.h>
#include <LibDistribution/platform_calls.h>
#include <LibDistribution/version_assembly.h>
#include <LibMembership/member.h>
#include <LibPlatform/object_store.h>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace merlinpier {

// A new set has been applied to the version store; the owner rebuilds its routing snapshot from it.
struct version_applied {
    std::shared_ptr<configuration_set const> set;
    bool operator==(version_applied const&) const = default;
};
// A version was rejected as invalid; the applied one stays in force. The number is 0 if the platform's head cannot be
// parsed.
struct version_refused {
    version_number version { 0 };
    error reason;
    bool operator==(version_refused const&) const = default;
};
using distribution_action
    = std::variant<send_message, read_platform_object, watch_platform_head, version_applied, version_refused>;

// The peers that a daemon currently exchanges versions with. The owner updates them from the membership.
struct distribution_peers {
    bool isRelay { false };
    // Addresses of the relays of the own zone that this daemon reports to and that answer.
    std::vector<std::string> relays;
    // Addresses that this daemon propagates new versions to.
    std::vector<std::string> subscribers;
    // Addresses of relays in other zones.
    std::vector<std::string> remoteRelays;

    // The peers in the member's present view.
    static distribution_peers of(member const&);

    bool operator==(distribution_peers const&) const = default;
};

// Fetches accepted versions from the platform or from peers, applies them to the version store and propagates them.
// Relays watch the head within a call budget, fetch the fragments that they lack, push or announce new versions to
// their subscribers and announce them to the relays of other zones.
//
// A state machine without I/O, clock, lock or random source: the owner passes in events, the time and a generator, and
// performs the returned actions.
class distributor {
public:
    explicit distributor(distribution_settings);

    version_store const& store() const { return m_store; }
    version_number highestKnown() const { return m_highestKnown; }
    // When the platform stopped answering; nothing while it answers or if this daemon does not watch it.
    std::optional<time_point> platformSilentSince() const { return m_platformCalls.silentSince(); }

    void setPeers(distribution_peers);
    // Raises the lowest acceptable version. The owner passes the version that this VM had applied before a restart, as
    // recorded by peers.
    void raiseFloor(version_number);
    // Tells whether any peer has answered this daemon.
    void setHasContact(bool hasContact) { m_hasContact = hasContact; }
    // Starts the calls and requests that are due. To be called periodically.
    std::vector<distribution_action> tick(time_point now, generator&);
    // A peer advertised a version number in a heartbeat or in the frame of a call.
    std::vector<distribution_action> didHearVersion(std::string const& address, version_number, time_point now);
    // The relay that pushes versions to this daemon has this one, and its push has not arrived: it is requested at
    // once.
    std::vector<distribution_action> didMissPush(std::string const& address, version_number, time_point now);
    // Handles a version_announce, configuration_request or configuration_answer; other messages are ignored.
    std::vector<distribution_action> didReceive(std::string const& fromAddress, message const&, time_point now);
    // Reports the outcome of a read_platform_object action; no object means that the key does not exist.
    std::vector<distribution_action> didReadPlatform(
        std::string const& key, result<std::optional<stored_object>> const&, time_point now, generator&);
    // Reports the outcome of a watch_platform_head action.
    std::vector<distribution_action> didWatchPlatform(
        result<std::optional<stored_object>> const&, time_point now, generator&);

private:
    using actions = std::vector<distribution_action>;

    bool watches() const { return m_peers.isRelay || m_settings.mode == distribution_mode::Baseline; }
    // Whether a version is to be fetched: above the applied one, not refused before, and not below the floor.
    bool isWanted(version_number) const;
    // The highest known version that is wanted, 0 for none.
    version_number wantedVersion() const;
    bool isReadingPlatform() const;

    void startDueWatch(actions&, time_point now);
    void startDueReads(actions&, time_point now);
    void sendDueRequest(actions&, time_point now);
    void didReceiveHead(actions&, stored_object const&, time_point now);
    void didReadObject(std::string const& key, std::string const& content, time_point now, generator&);

    void didReceive(actions&, std::string const& from, version_announce const&, time_point now);
    void didReceive(actions&, std::string const& from, configuration_request const&) const;
    void didReceive(actions&, std::string const& from, configuration_answer const&, time_point now);

    // Creates the assembly of a version from the fragments that are already held.
    version_assembly startAssembly(version_number) const;
    // Applies the version that is being read from the platform if it is complete and need not be held back.
    void applyIfComplete(actions&, time_point now);
    bool isHeldBack(version_number, time_point now);
    // Validates a complete version and applies it, or refuses it as a whole. The address is that of the peer that sent
    // it, empty for the platform.
    void applyOrRefuse(actions&, version_assembly const&, std::string const& fromAddress, time_point now);
    void didFailPlatformCall(error const&, time_point now, generator&);
    // Sends the applied version to the peers that are not known to have it, except the one that it came from.
    void propagate(actions&, configuration_set const& previous, std::string const& fromAddress);
    void recordPeerVersion(std::string const& address, version_number);

    distribution_settings m_settings;
    version_store m_store;
    version_number m_highestKnown { 0 };
    // The highest version whose push has not arrived although it was sent.
    version_number m_missedPush { 0 };
    distribution_peers m_peers;
    platform_calls m_platformCalls;
    peer_requests m_peerRequests;
    std::optional<version_assembly> m_assembly;
    // When a wanted version was first known; nothing while there is none.
    std::optional<time_point> m_behindSince;
    // While this version is read from the platform, peers are asked only after part of the request timeout.
    time_point m_assemblyStartedAt {};
    configuration_head m_head;
    store_position m_headPosition;
    bool m_hasContact { false };
    // When the first version read from the platform was complete.
    std::optional<time_point> m_heldBackSince;
};

} // namespace merlinpier
