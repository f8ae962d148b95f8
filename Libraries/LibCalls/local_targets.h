#pragma once

#include <LibCore/result.h>
#include <LibCore/time.h>
#include <LibRouting/routing_snapshot.h>
#include <LibWire/membership_messages.h>
#include <map>
#include <string>
#include <vector>

namespace merlinpier {

// What a target says about itself when it announces. The announcement is a lease: it has to be renewed.
struct target_announcement {
    std::string id;
    std::string service;
    std::string licence;
    // HTTP address of the target on this VM, "127.0.0.1:9000".
    std::string address;
    // Whether it takes calls yet, and whether it wants no more.
    target_state state { target_state::Ready };
    // Calls that it runs at once; 0 if the service's answers say it.
    std::uint32_t slots { 0 };
    // When this life of the target began, in milliseconds of its own clock, and the number of the announcement within
    // that life. An announcement that is not above what is known is late news; both 0 if the target does not count.
    std::uint64_t startedAt { 0 };
    std::uint64_t sequence { 0 };

    bool operator==(target_announcement const&) const = default;
};

// The targets of this VM, which announce themselves to its daemon. Holds no I/O, clock or lock.
class local_targets {
public:
    // How long an announcement holds without being renewed.
    explicit local_targets(milliseconds lease = milliseconds(3000));

    // Takes in an announcement or a renewal. Late news changes nothing. A target that has begun to leave stays leaving
    // for the rest of its life. BadInput for missing fields or an address that is no IP number; Conflict
    // if another target of this VM uses the licence. The highest claim known elsewhere comes from the membership.
    result<empty> announce(target_announcement const&, std::uint64_t highestKnownClaim, time_point now);
    // The target gets no new calls from now on.
    result<empty> drain(std::string const& id, time_point now);
    result<empty> leave(std::string const& id, time_point now);
    // The target gets no new calls and is forgotten when its lease ends; until then it may finish what it has. A target
    // that is not known yet, as after a restart of the daemon, counts as leaving when it is announced.
    result<empty> retire(std::string const& id, time_point now);
    void drainAll(time_point now);
    // Ends announcements whose lease has run out.
    void tick(time_point now);
    // Somebody else holds a higher claim on the licence: the copy here is Gone until it leaves, or until its lease has
    // run out, and announces again. A mere renewal does not claim the licence back, or two copies would take it from
    // each other for ever.
    void didLoseClaim(std::string const& licence, std::uint64_t claim);

    target_announcement const* find(std::string const& id) const;
    // The records to publish, with the slots of the service's configuration; sorted by id.
    std::vector<target_record> records(configuration_set const&) const;

private:
    struct entry {
        target_announcement announcement;
        std::uint64_t claim { 0 };
        time_point leaseUntil {};
        bool isDrainOrdered { false };
        bool isClaimLost { false };

        void drain();
    };

    // The newest life of the copy with a licence, kept after its announcement has ended.
    struct target_incarnation {
        std::string id;
        std::uint64_t startedAt { 0 };
        std::uint64_t sequence { 0 };
        bool isLeaving { false };
    };

    // Whether the announcement is late news of the copy with its licence.
    bool isOutdated(target_announcement const&) const;
    void recordIncarnation(target_announcement const&);

    milliseconds m_lease;
    std::map<std::string, entry> m_entries;
    std::map<std::string, target_incarnation> m_incarnations;
    // Targets that said that they leave before anything was known of them, with the time of that.
    std::map<std::string, time_point> m_earlyDepartures;
};

} // namespace merlinpier
