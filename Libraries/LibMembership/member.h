#pragma once

#include <LibCore/generator.h>
#include <LibCore/time.h>
#include <LibMembership/failure_detector.h>
#include <LibMembership/join_schedule.h>
#include <LibMembership/membership_table.h>
#include <LibMembership/peer_directory.h>
#include <LibMembership/update_queue.h>
#include <LibWire/message.h>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace merlinpier {

struct membership_settings {
    std::string vm;
    std::string zone;
    std::string address;
    std::string httpAddress;
    // Addresses of daemons to join by.
    std::vector<std::string> seeds;
    // Relays of a zone that watch the platform and talk to other zones. Large zones have further ones to share the
    // sending.
    std::size_t relaysPerZone { 2 };
    // In a zone of at most so many members, all of them are relays.
    std::size_t maximumSmallZoneSize { 0 };
    // Bandwidth of the VM's own link; 0 if not known.
    std::uint32_t linkMbps { 0 };
    // A relay answers further heartbeats with a time to come back.
    std::size_t maximumSubscribers { 128 };
    milliseconds heartbeatPeriod { 1000 };
    // A member of the own zone not heard of for this long is suspected, then gone after as long again.
    milliseconds suspectTimeout { 3000 };
    // When at least this share of a zone's members fall silent together, it is taken for a cut: nobody is set Gone.
    double partitionThreshold { 0.5 };
    // How often two relays of different zones, or a member and its relay, compare digests.
    milliseconds repairPeriod { 5000 };
    milliseconds goneRetention { 600000 };
};

// Asks the owner to send a message to a daemon, opening a connection if there is none.
struct send_message {
    std::string address;
    message content;
    bool operator==(send_message const&) const = default;
};
// The table changed: routes may have to be built again.
struct membership_changed {
    std::vector<std::string> vms;
    bool operator==(membership_changed const&) const = default;
};
// A peer knows of a configuration version above the applied one.
struct newer_version_reported {
    std::string address;
    std::uint64_t version { 0 };
    bool operator==(newer_version_reported const&) const = default;
};
using membership_action = std::variant<send_message, membership_changed, newer_version_reported>;

// One VM's part in the membership: joins by seeds, sends heartbeats to the relays of its zone, relays for those that
// subscribe, detects silent members, repairs losses by digests, and keeps the own record above whatever it hears of
// itself. Holds no socket, clock, lock or random source.
class member {
public:
    member(membership_settings, std::uint64_t instance);

    membership_table const& table() const { return m_table; }
    member_record const& self() const { return m_self; }
    // Whether this VM relays for others: its own view says so, or another daemon subscribes to it.
    bool isRelay() const;
    // Whether it is among the first relays by its own view. These alone watch the platform and talk to other zones; the
    // others hear of new versions from them.
    bool isPrimaryRelay() const;
    // Addresses of the relays of the own zone that this member reports to.
    std::vector<std::string> relays() const;
    // Addresses that subscribe to this daemon as their relay.
    std::vector<std::string> subscribers() const;
    // The subscribers that this daemon hands new configuration versions to, so that a member of two relays is not sent
    // each version twice. All subscribers of a daemon that its own view does not count among the zone's relays.
    std::vector<std::string> versionReceivers() const;
    // Addresses of one relay of each other zone; empty unless this is a chosen relay.
    std::vector<std::string> remoteRelays() const;
    // Whether the own zone's relays or any other daemon has been heard of lately.
    bool hasContact(time_point now) const;
    // Silent members of the own zone, for the state dump.
    std::vector<std::string> suspects(time_point now) const;
    // The highest configuration version that this VM is known to have applied in an earlier life; 0 if none is known.
    // Rises as peers' records of this VM arrive.
    std::uint64_t appliedBefore() const { return m_appliedBefore; }

    std::vector<membership_action> tick(time_point now, generator&);
    std::vector<membership_action> didReceive(
        std::string const& fromAddress, message const&, time_point now, generator&);
    // A connection to the address could not be opened or ended.
    void didFailToReach(std::string const& address, time_point now);

    // Changes to the own record; each raises its sequence and is pushed.
    std::vector<membership_action> setTargets(std::vector<target_record>, time_point now);
    std::vector<membership_action> setApplied(
        std::uint64_t version, std::uint64_t refusedVersion, std::string refusedReason, time_point now);
    std::vector<membership_action> setLeaving(time_point now);
    // Further addresses to join by, such as the relay addresses kept in the platform.
    void addSeeds(std::vector<std::string> const&);

private:
    struct ranked_member {
        std::string vm;
        std::string address;
    };
    using actions = std::vector<membership_action>;

    void join(actions&, time_point now, generator&);
    void sendIntroduction(actions&, std::string const& address);
    void sendHeartbeats(actions&, time_point now, generator&);
    // The one of these relays that this member subscribes to; nothing if to all of them.
    std::optional<std::string> subscribedRelay(std::vector<std::string> const& own) const;
    // Whether the members of the own zone subscribe to all of its relays.
    bool membersSubscribeToAllRelays() const;
    void sendHeartbeat(actions&, std::string const& address, bool subscribes) const;
    void detectFailures(actions&, time_point now);
    void flush(actions&, time_point now);

    void didReceive(actions&, std::string const& from, heartbeat const&, time_point now, generator&);
    void didReceive(actions&, std::string const& from, heartbeat_answer const&, time_point now);
    void didReceive(actions&, std::string const& from, membership_update const&, time_point now);
    void didReceive(actions&, std::string const& from, membership_digest const&, time_point now);
    void compareWithSender(actions&, std::string const& from, heartbeat const&, time_point now);
    // Takes what others say of this VM: a former life's version, or a record that has to be refuted.
    bool mergeOwnRecord(member_record const&);

    // Sends records in messages of a bounded size.
    static void sendRecords(actions&, std::string const& address, std::vector<member_record> const&);
    void publishSelf(actions&, time_point now);
    void refreshRanking();
    std::vector<ranked_member> reachableRelays(std::string const& zone) const;
    // How many of the zone's relays watch the platform.
    std::size_t primaryRelayCount(std::string const& zone) const;
    // This VM's place among the relays of its zone, by its own view.
    std::optional<std::size_t> relayIndex() const;
    bool isJoining() const;
    bool isInContact(time_point now) const;

    membership_settings m_settings;
    member_record m_self;
    membership_table m_table;
    peer_directory m_peers;
    failure_detector m_failureDetector;
    update_queue m_updateQueue;
    join_schedule m_joinSchedule;
    std::map<std::string, std::vector<ranked_member>> m_ranking;
    std::uint64_t m_rankedAtRecordChanges { 0 };
    // Applied in this life of the daemon, so that peers can be sent it.
    std::uint64_t m_appliedInThisRun { 0 };
    std::uint64_t m_appliedBefore { 0 };
    // Whether the table has been the same as another's.
    bool m_hasJoined { false };
    std::optional<time_point> m_startedAt;
    time_point m_now {};
    time_point m_nextReview {};
    time_point m_nextExpiry {};
    time_point m_digestWindowStart {};
    std::size_t m_digestsAnswered { 0 };
};

} // namespace merlinpier
