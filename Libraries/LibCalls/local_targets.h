#pragma once

#include <LibCore/result.h>
#include <LibCore/time.h>
#include <LibRouting/routing_snapshot.h>
#include <LibWire/membership_messages.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace merlinpier {

// A target's announcement of itself to the daemon of its VM. The announcement is a lease that has to be renewed.
struct target_announcement {
    std::string id;
    std::string service;
    std::string licence;
    // HTTP address of the target on this VM, such as "127.0.0.1:9000".
    std::string address;
    // Starting, ready for calls, or draining.
    target_state state { target_state::Ready };
    // Number of calls that it runs concurrently; 0 if the service's questionnaire answers configure it.
    std::uint32_t slots { 0 };
    // Start time of this incarnation of the target, in milliseconds of its own clock, and the sequence number of the
    // announcement within the incarnation. An announcement that is not newer than the last known one is outdated; both
    // are 0 if the target does not number its announcements.
    std::uint64_t startedAt { 0 };
    std::uint64_t sequence { 0 };
    // Version of the target's software; empty if it does not name one.
    std::string version {};

    bool operator==(target_announcement const&) const = default;
};

// The targets of this VM, which announce themselves to its daemon. Does no I/O and has no clock or lock.
class local_targets {
public:
    // The lease is the time that an announcement holds without renewal.
    explicit local_targets(milliseconds lease = milliseconds(3000));

    // Records an announcement or a renewal; an outdated one changes nothing. A target that has begun to leave stays
    // draining for the rest of its incarnation. Fails with BadInput for missing fields or an address that is not an
    // IPv4 address with a port, and with Conflict if another target of this VM uses the licence. The highest claim on
    // the licence in the membership table is passed in, so that a new announcement can claim a higher one.
    result<empty> announce(target_announcement const&, std::uint64_t highestKnownClaim, time_point now);
    // The target gets no new calls from now on. NotFound if it is not announced here, as with leave() and retire().
    result<empty> drain(std::string const& id, time_point now);
    result<empty> leave(std::string const& id, time_point now);
    // The target gets no new calls and is removed when its lease expires; until then it may finish its running calls.
    // If the target is not known yet, as after a restart of the daemon, it starts out draining when it announces
    // itself. Given the start time of the incarnation that leaves, a later one is not affected.
    result<empty> retire(std::string const& id, time_point now, std::uint64_t startedAt = 0);
    // The target said in an answer that it leaves: it is retired, also if it was only draining because its daemon
    // stops. Returns whether this was not known.
    bool didAnnounceDeparture(std::string const& id, time_point now);
    // An earlier process of this daemon has acknowledged that the target's incarnation with this start time is leaving.
    // It gets no new calls, whatever announcement of it arrives late.
    void didDepartBefore(std::string const& id, std::uint64_t startedAt, time_point now);
    // Earlier processes of this daemon may have acknowledged departures that nobody remembers. So the first report that
    // this process gets of a target may be one that was sent before it began to leave and arrives late, and the target
    // is shown as starting. A further report with a higher sequence number confirms it: only one may arrive late. Later
    // incarnations need no confirmation, since this process knows what it has acknowledged itself. A target that does
    // not number its reports is confirmed by didLearnEarlierDepartures().
    void awaitEarlierDepartures();
    void didLearnEarlierDepartures();
    // Whether the target is shown as starting until a further report confirms it.
    bool isUnconfirmed(std::string const& id) const;
    // The target's process was found to have ended. It gets no calls until it announces itself again.
    void didEnd(std::string const& id);
    void drainAll(time_point now);
    // The target named its limit on requests in an answer, in requests a second, or named none. The call that it
    // answered was sent to it at the given time: a limit ends only with an answer to a call that was sent after the
    // limit was last named, since answers may overtake each other. Returns whether the limit has changed.
    bool setRequestLimit(
        std::string const& id, std::optional<double> requestsPerSecond, time_point sentAt, time_point now);
    // An earlier process of this daemon knew this limit of the target's incarnation with this start time. It holds
    // until the target names its limit to this process. Returns whether the limit has changed.
    bool didLimitBefore(std::string const& id, std::uint64_t startedAt, double requestsPerSecond, time_point now);
    // The start time of the target's incarnation if it leaves on its own account; otherwise 0.
    std::uint64_t departedStart(std::string const& id) const;
    // The target's limit on requests, in requests a second.
    std::optional<double> requestLimit(std::string const& id) const;
    // Removes announcements whose lease has expired.
    void tick(time_point now);
    // Another copy holds a higher claim on the licence: the copy here stays Gone until it leaves or its lease expires,
    // and it announces itself again. A renewal does not reclaim the licence, since two copies would then take it from
    // each other indefinitely.
    void didLoseClaim(std::string const& licence, std::uint64_t claim);

    // The rollout of the service excludes the target's version: it refuses calls until it is opened again, and its
    // record shows it as draining once it is at rest.
    enum class closure { Open, Closed, AtRest };
    void setClosure(std::string const& id, closure);
    bool isClosed(std::string const& id) const;

    target_announcement const* find(std::string const& id) const;
    // The ids of the announced targets.
    std::vector<std::string> ids() const;
    // The records to publish, sorted by id. Slots come from the service's configuration if it sets them.
    std::vector<target_record> records(configuration_set const&) const;

private:
    struct entry {
        target_announcement announcement;
        std::uint64_t claim { 0 };
        time_point leaseUntil {};
        bool isDrainOrdered { false };
        // Announced as ready by a report that may be a late one.
        bool isUnconfirmed { false };
        bool isClaimLost { false };
        closure closed { closure::Open };

        void drain();
        void confirm();
    };

    // The newest incarnation of the copy with a licence, kept after its announcement has ended.
    struct target_incarnation {
        std::string id;
        std::uint64_t startedAt { 0 };
        std::uint64_t sequence { 0 };
        bool isLeaving { false };
        // Whether two reports of it, or of an incarnation before it, have arrived in this process.
        bool isConfirmed { false };
    };

    // A target that was retired before it was known here. The start time is 0 if the incarnation is not known.
    struct early_departure {
        std::uint64_t startedAt { 0 };
        time_point at {};
    };

    bool hasDepartedEarly(target_announcement const&, time_point now) const;
    // The limit on requests of a target's incarnation.
    struct request_limit {
        std::uint64_t startedAt { 0 };
        std::optional<double> requestsPerSecond;
        // The limit that the records show. It follows the limit in large steps only, since each change of a record is
        // sent to every daemon.
        std::optional<double> published;
        // When the target last named a limit; the epoch if only an earlier process of this daemon knew it.
        time_point namedAt {};
    };

    request_limit* findLimit(std::string const& id);
    // Whether a newer announcement of the copy with this licence is known, or the copy has left.
    bool isOutdated(target_announcement const&) const;
    void recordIncarnation(target_announcement const&);
    bool needsConfirmation(target_announcement const&) const;
    void confirm(entry&);

    milliseconds m_lease;
    bool m_knowsEarlierDepartures { true };
    bool m_confirmsFirstReports { false };
    std::map<std::string, entry> m_entries;
    std::map<std::string, target_incarnation> m_incarnations;
    // By the target's id.
    std::map<std::string, early_departure> m_earlyDepartures;
    // By the target's id; kept beyond the lease, for the same incarnation.
    std::map<std::string, request_limit> m_requestLimits;
};

} // namespace merlinpier
