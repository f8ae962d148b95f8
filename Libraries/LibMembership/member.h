#pragma once

#include <LibCore/generator.h>
#include <LibCore/time.h>
#include <LibMembership/failure_detector.h>
#include <LibMembership/join_schedule.h>
#include <LibMembership/membership_table.h>
#include <LibMembership/peer_directory.h>
#include <LibMembership/update_queue.h>
#include <LibTenants/demand_exchange.h>
#include <LibWire/message.h>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace merlinpier {

struct membership_settings {
    std::string vm;
    std::string zone;
    std::string address;
    std::string httpAddress;
    // Addresses of daemons that are contacted to join.
    std::vector<std::string> seeds;
    // Primary relays of a zone: they watch the platform and exchange updates with other zones. Large zones have
    // additional relays, which only take over part of the sending within the zone.
    std::size_t relaysPerZone { 2 };
    // In a zone of at most this many members, all of them are primary relays.
    std::size_t maximumSmallZoneSize { 0 };
    // Bandwidth of the VM's own link; 0 if not known.
    std::uint32_t linkMbps { 0 };
    // At this limit, a relay rejects further subscriptions and answers with the time after which to retry.
    std::size_t maximumSubscribers { 128 };
    milliseconds heartbeatPeriod { 1000 };
    // A peer that has not answered a heartbeat within this time is late: another one is asked as well, until it
    // answers.
    milliseconds answerTimeout { 250 };
    // A member of the own zone that has been silent for this long is suspected; after twice this time it is set Gone.
    milliseconds suspectTimeout { 3000 };
    // When at least this share of a zone's members is silent at the same time, a network partition is assumed, and no
    // member is set Gone unless it had announced that it leaves.
    double partitionThreshold { 0.5 };
    // Interval of the heartbeats between relays of different zones; minimum time from a digest sent to a peer to the
    // next one in answer to its heartbeat answer or digest (heartbeatPeriod if its heartbeat shows a newer record);
    // range of the random part of the time after which a rejected subscriber retries.
    milliseconds repairPeriod { 5000 };
    // How long Gone records and the state of unused peers are kept.
    milliseconds goneRetention { 600000 };
};

// Asks the caller to send a message to a daemon, and to open a connection if there is none.
struct send_message {
    std::string address;
    message content;
    bool operator==(send_message const&) const = default;
};
// Records of the listed VMs changed, so routes may have to be rebuilt.
struct membership_changed {
    std::vector<std::string> vms;
    bool operator==(membership_changed const&) const = default;
};
// A peer reported a configuration version higher than the one applied here.
struct newer_version_reported {
    std::string address;
    std::uint64_t version { 0 };
    // The peer is the relay that this member subscribes to: it has sent the version on the same connection before, if
    // it has sent it at all.
    bool isPushMissed { false };
    bool operator==(newer_version_reported const&) const = default;
};
// A daemon has subscribed to this one, or has ended its subscription. It was answered with the version that is applied
// now, so it has to receive the next one.
struct subscribers_changed {
    bool operator==(subscribers_changed const&) const = default;
};
using membership_action = std::variant<send_message, membership_changed, newer_version_reported, subscribers_changed>;

// Runs the membership protocol for one VM: joins through seeds, sends heartbeats to the relays of its zone, relays
// updates to its subscribers, detects failed members, repairs lost updates by comparing digests, and refutes outdated
// records of itself with a higher incarnation. Does no I/O and has no clock, lock or random source of its own: the
// caller passes in time, randomness and received messages, and carries out the returned actions.
class member {
public:
    member(membership_settings, std::uint64_t instance);

    membership_table const& table() const { return m_table; }
    member_record const& self() const { return m_self; }
    // Whether this VM relays updates to others: it is a relay in its own view, or other daemons subscribe to it.
    bool isRelay() const;
    // Whether this VM is a primary relay of its zone in its own view. Only primary relays watch the platform and
    // exchange updates with other zones; the other members learn of new versions from them.
    bool isPrimaryRelay() const;
    // This VM's position among the primary relays of its own zone and of all zones, in its own view; nullopt if it is
    // none. Of all zones, the first relays of each zone come before the second ones.
    struct relay_position {
        std::size_t inZone { 0 };
        std::size_t inFleet { 0 };

        bool operator==(relay_position const&) const = default;
    };
    std::optional<relay_position> primaryRelayPosition() const;
    // Addresses of the relays of the own zone that this member sends heartbeats to; itself is left out.
    std::vector<std::string> relays() const;
    // Those of relays() that are not late with an answer.
    std::vector<std::string> answeringRelays() const;
    // Address of the only relay that this member subscribes to; nullopt if it subscribes to all of relays(). A relay
    // that is late is replaced until it answers.
    std::optional<std::string> subscribedRelay() const;
    // Addresses of the daemons that subscribe to this one as their relay.
    std::vector<std::string> subscribers() const;
    // The subscribers that this daemon sends new configuration versions to: a member that subscribes to several relays
    // is assigned to one of them, so that it does not receive each version twice. All subscribers if this VM is not a
    // relay in its own view.
    std::vector<std::string> versionReceivers() const;
    // Addresses of one relay of each other zone; empty unless this VM is a primary relay.
    std::vector<std::string> remoteRelays() const;
    // Whether a message from any other daemon arrived within the suspect timeout.
    bool hasContact(time_point now) const;
    // VMs of the own zone that are suspected to have failed; empty unless this VM is a relay. For the state dump.
    std::vector<std::string> suspects(time_point now) const;
    // The highest configuration version that an earlier run of this VM's daemon is known to have applied; 0 if none is
    // known. Increases as peers' records of this VM arrive.
    std::uint64_t appliedBefore() const { return m_appliedBefore; }
    // The targets of this VM that were leaving, or had a limit on requests, in records of earlier processes of this
    // daemon.
    std::vector<target_record> const& restrictedBefore() const { return m_restrictedBefore; }
    // The crash reports that earlier processes of this daemon published; the list is emptied.
    std::vector<crash_report> takeCrashReportsBefore() { return std::exchange(m_crashReportsBefore, {}); }

    std::vector<membership_action> tick(time_point now, generator&);
    std::vector<membership_action> didReceive(
        std::string const& fromAddress, message const&, time_point now, generator&);
    // To be called when a connection to the address could not be opened, or was closed.
    void didFailToReach(std::string const& address, time_point now);

    // Change the own record and send the change to the relays and subscribers. The record's sequence increases,
    // unless only the applied version changed.
    std::vector<membership_action> setTargets(std::vector<target_record>, time_point now);
    std::vector<membership_action> setApplied(
        std::uint64_t version, std::uint64_t refusedVersion, std::string refusedReason, time_point now);
    std::vector<membership_action> setCrashReports(std::vector<crash_report>, time_point now);
    std::vector<membership_action> setRollouts(std::vector<rollout_report>, time_point now);
    std::vector<membership_action> setLeaving(time_point now);
    // What heartbeats carry about tenants; must outlive the member. Without one, they carry nothing.
    void setDemandExchange(demand_exchange& exchange) { m_demand = &exchange; }
    // Adds addresses to join through, such as those listed in the platform's store.
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
    // Which of the addresses this member prefers: one that is not late, if there is any. Empty if there is no address.
    std::string preferredAnswering(std::vector<std::string> candidates) const;
    // Asks all relays for the version at once when the subscription moves to another relay.
    void followSubscribedRelay();
    // Asks a relay of another zone when no relay of the own zone answers.
    void askOtherZone(actions&, time_point now, generator&);
    bool isLate(std::string const& address) const;
    // Whether the own zone is small enough for its members to subscribe to all of its relays.
    bool membersSubscribeToAllRelays() const;
    void sendHeartbeat(actions&, std::string const& address, bool subscribes, std::vector<tenant_demand> = {}) const;
    // Whether this daemon adds up the demand of tenants for its zone: it is the zone's first relay in its own view.
    bool addsUpDemand() const;
    // Address of the relay of the own zone that adds up the demand of tenants; empty if that is this daemon, or no
    // demand is to be reported here.
    std::string demandRelay() const;
    void sendZoneDemand(actions&, time_point now);
    std::vector<tenant_demand> takeDemand(heartbeat const&, time_point now);
    void detectFailures(actions&, time_point now);
    void flush(actions&, time_point now);

    void didReceive(actions&, std::string const& from, heartbeat const&, time_point now, generator&);
    void didReceive(actions&, std::string const& from, heartbeat_answer const&, time_point now);
    void didReceive(actions&, std::string const& from, membership_update const&, time_point now);
    void didReceive(actions&, std::string const& from, membership_digest const&, time_point now);
    void compareWithSender(actions&, std::string const& from, heartbeat const&, time_point now);
    // Merges a record of this VM received from a peer: takes over the applied version of an earlier run, and returns
    // true if the record has to be refuted by publishing the own one with a higher incarnation.
    bool mergeOwnRecord(member_record const&);

    // Sends the records, split into messages of a limited number of records.
    static void sendRecords(actions&, std::string const& address, std::vector<member_record> const&);
    void publishSelf(actions&, time_point now);
    void refreshRanking();
    // The zone's highest ranked members that are not avoided at present, primary relays first.
    std::vector<ranked_member> reachableRelays(std::string const& zone) const;
    // How many of the zone's relays are primary relays.
    std::size_t primaryRelayCount(std::string const& zone) const;
    // This VM's index among the relays of its zone in its own view; nullopt if it is not a relay.
    std::optional<std::size_t> relayIndex() const;
    // Whether this daemon has not found other members yet and must not act as a relay meanwhile.
    bool isJoining() const;
    // Whether this daemon has joined and a message from another one arrived within the suspect timeout.
    bool isInContact(time_point now) const;

    membership_settings m_settings;
    member_record m_self;
    membership_table m_table;
    peer_directory m_peers;
    failure_detector m_failureDetector;
    update_queue m_updateQueue;
    demand_exchange* m_demand { nullptr };
    join_schedule m_joinSchedule;
    // What subscribedRelay() returned last.
    std::optional<std::string> m_subscribedTo;
    // The members of each zone in the order of rankRelays().
    std::map<std::string, std::vector<ranked_member>> m_ranking;
    // The table's recordChanges() when m_ranking was computed.
    std::uint64_t m_rankedAtRecordChanges { 0 };
    // The highest version applied by this run of the daemon, whose configuration peers can therefore request from it.
    std::uint64_t m_appliedInThisRun { 0 };
    std::uint64_t m_appliedBefore { 0 };
    std::vector<target_record> m_restrictedBefore;
    std::vector<crash_report> m_crashReportsBefore;
    // Whether the table's digest has ever been equal to a peer's.
    bool m_hasJoined { false };
    std::optional<time_point> m_startedAt;
    std::optional<time_point> m_tickedAt;
    // Time before this does not count as time that a peer has left a heartbeat unanswered.
    time_point m_listeningSince {};
    // When the first message of another daemon arrived.
    std::optional<time_point> m_firstContact;
    time_point m_now {};
    time_point m_nextCheck {};
    time_point m_nextExpiry {};
    time_point m_digestWindowStart {};
    std::size_t m_digestsAnswered { 0 };
};

} // namespace merlinpier
