#pragma once

#include <LibCore/generator.h>
#include <LibCore/result.h>
#include <LibCore/time.h>
#include <LibMembership/member_entry.h>
#include <LibMembership/membership_table.h>
#include <LibPlatform/object_store.h>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace merlinpier {

// Asks the caller to write this daemon's entry on condition that it has the revision, or that it does not exist if that
// is 0, and to report the outcome through didWrite().
struct write_entry {
    std::string key;
    std::string value;
    std::uint64_t expectedRevision { 0 };
    bool operator==(write_entry const&) const = default;
};
// Asks the caller to list all entries, and to report the outcome through didList().
struct list_entries {
    std::string prefix;
    bool operator==(list_entries const&) const = default;
};
// Asks the caller to remove the entry of a daemon that is gone, provided that it still has this revision. The outcome
// is not reported.
struct remove_entry {
    std::string key;
    std::uint64_t revision { 0 };
    bool operator==(remove_entry const&) const = default;
};
// Asks the caller to write the entry of another live daemon on condition that it has the revision, or that it does not
// exist if that is 0. The outcome is not reported.
struct restore_entry {
    std::string key;
    std::string value;
    std::uint64_t expectedRevision { 0 };
    bool operator==(restore_entry const&) const = default;
};
// Asks the caller to remove this daemon's own entry, provided that it still has this revision, and to report the
// outcome through didRemoveOwn().
struct remove_own_entry {
    std::string key;
    std::uint64_t revision { 0 };
    bool operator==(remove_own_entry const&) const = default;
};
using registry_action = std::variant<write_entry, list_entries, remove_entry, restore_entry, remove_own_entry>;

// Prefix of the entries' keys, followed by the daemon's VM. The value is a member_entry.
inline constexpr char const* memberEntryPrefix = "merlinpier-members/";

struct registry_settings {
    std::string vm;
    std::string address;
    // The entries are listed every discoveryPeriod while no other daemon answers, and every refreshPeriod otherwise.
    milliseconds discoveryPeriod { 1000 };
    milliseconds refreshPeriod { 20000 };
    milliseconds firstBackOff { 200 };
    milliseconds longestBackOff { 2000 };
    // Relays remove an entry whose daemon has not been a live member for this long.
    milliseconds staleEntryRetention { 15000 };
    // After a restore of the store, the daemons that notice it list the entries within this time, at random moments.
    milliseconds restoreSpread { 500 };
    // The number of lost entries that a relay writes again per tick, so that all relays together stay below the store's
    // rate of writes.
    std::size_t restoredEntriesPerTick { 8 };
    // For how long the entry keeps a departure, and how many of them, the newest ones. Targets end well within this
    // time after they began to leave.
    milliseconds departureRetention { 30000 };
    std::size_t maximumDepartures { 8 };
    // Off where seeds are configured: then the entry only keeps departures, and entries are listed only when
    // the own one is not as expected.
    bool findsOthers { true };
};

// Initial discovery of other daemons: each daemon keeps an entry in the platform's store and reads the entries of the
// others as seeds to join through. Once a daemon has contact with others, its membership no longer depends on the
// store. Entries do not expire in the store, so relays remove those of daemons that are gone.
//
// A store that was restored from an older copy has lost the newest entries and departures and has the entries of
// departed daemons again. The relays of each zone notice the new era, list the entries and write what is missing of
// their zone's live members, as most daemons have no reason to call the store themselves. Entries of known departed
// daemons are not returned as seeds. Failed requests are retried with backoff.
//
// The entry also keeps the departures of the VM's targets that were acknowledged, so that a daemon that starts again
// knows them even if no other daemon outlived it. The first write of a process succeeds only if there is no entry;
// otherwise the process reads the departures from the entry before it writes its own. Does no I/O and has no clock or
// random source of its own.
class member_registry {
public:
    explicit member_registry(registry_settings);

    // Whether other daemons answer, whether this daemon is a relay and therefore maintains the entries of others, and
    // the era of the store.
    struct status {
        bool hasContact { false };
        bool isRelay { false };
        std::uint64_t storeEra { 0 };
    };
    std::vector<registry_action> tick(membership_table const&, status, time_point now, generator&);
    // Takes the entry's new revision.
    void didWrite(result<std::uint64_t> const& revision, time_point now, generator&);
    void didRemoveOwn(result<empty> const&, time_point now, generator&);
    // Returns the addresses of the daemons listed, other than this one and those that the table has as Gone.
    std::vector<std::string> didList(
        result<std::vector<stored_object>> const&, membership_table const&, time_point now, generator&);
    // The number of daemons with an entry at the last listing, this one included; 0 before the first listing.
    std::size_t listedDaemons() const { return m_listedDaemons; }
    // Keys of entries in the last listing that no daemon can have written. They are passed over.
    std::vector<std::string> const& unreadableEntries() const { return m_unreadableEntries; }

    // The entry has to keep this departure from now on, for departureRetention after the last call.
    void didDepart(target_departure const&, time_point now);
    // A departure without a start time would also bind the target's next incarnation. So it is taken out of the entry
    // by a write of its own: when it is over, or when its time has passed.
    void endUnnumberedDeparture(std::string const& target);
    // The targets of the departures without a start time.
    std::vector<std::string> unnumberedDepartures() const;
    // Whether the store is known to hold all departures that the entry has to keep.
    bool hasStoredDepartures() const { return m_isRegistered; }
    bool hasRecentDepartures(time_point now) const;
    // Whether there are departures that the entry has to keep and that the store is not known to hold.
    bool hasUnstoredDepartures(time_point now) const { return !m_isRegistered && hasRecentDepartures(now); }
    // The process ends soon: departures that are not stored are written at once, and failed writes are retried without
    // long waits.
    void prepareToEnd(time_point now);
    // Whether the departures that earlier processes of this daemon stored are known.
    bool knowsEarlierDepartures() const { return m_knowsEarlierDepartures; }
    std::vector<target_departure> const& earlierDepartures() const { return m_earlierDepartures; }
    // The daemon stops: its entry is removed, and written again only for a departure.
    void stop();

private:
    struct entry {
        std::string address;
        std::uint64_t revision { 0 };
        std::vector<target_departure> departures;
        time_point notLiveSince {};
    };

    struct recent_departure {
        target_departure departure;
        time_point at {};
    };

    bool isListingDue(status, time_point now) const;
    std::string ownKey() const { return memberEntryPrefix + m_settings.vm; }
    std::string ownValue() const;
    // Takes in the own entry as listed; null if there is none.
    void didListOwn(stored_object const*, time_point now);
    void keepDeparture(target_departure const&, time_point now);
    void dropUnnumberedDepartures(std::function<bool(recent_departure const&)> const& isOver);
    void backOff(time_point now, generator&);
    // Starts over with the entries of a store that was restored from an older copy.
    void didRestoreStore(time_point now, generator&);
    // Notes the live members of the own zone that have no entry, or whose entry lacks a departure.
    void findLostEntries(membership_table const&);
    static bool lacksDepartures(entry const& listed, member_record const&);
    restore_entry restoredEntry(member_record const&) const;
    void restoreLostEntries(membership_table const&, std::vector<registry_action>&);
    void removeStaleEntries(membership_table const&, time_point now, std::vector<registry_action>&);

    registry_settings m_settings;
    std::map<std::string, entry> m_entries;
    // Whether the store holds the entry as it should be.
    bool m_isRegistered { false };
    // Whether the next request has to be a listing, since the own entry is not as expected.
    bool m_mustList { false };
    // The own entry's revision; 0 if it is not known to exist.
    std::uint64_t m_ownRevision { 0 };
    // The value that is being written.
    std::string m_pendingValue;
    std::vector<recent_departure> m_departures;
    bool m_knowsEarlierDepartures { false };
    std::vector<target_departure> m_earlierDepartures;
    std::vector<std::string> m_unreadableEntries;
    bool m_isStopped { false };
    bool m_isEnding { false };
    bool m_mustRemoveOwn { false };
    bool m_isRequestPending { false };
    time_point m_nextRequestTime {};
    // Whether the next request need not wait until then.
    bool m_isUrgent { false };
    time_point m_nextRefresh {};
    bool m_hasListedEntries { false };
    std::size_t m_listedDaemons { 0 };
    std::uint64_t m_storeEra { 0 };
    // Whether the next listing is the first after a restore of the store.
    bool m_findsLostEntries { false };
    // VMs whose entries, or departures in them, a restore has lost and that are still to be written again.
    std::vector<std::string> m_lostEntries;
    unsigned m_failures { 0 };
};

} // namespace merlinpier
