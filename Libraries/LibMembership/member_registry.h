#pragma once

#include <LibCore/generator.h>
#include <LibCore/result.h>
#include <LibCore/time.h>
#include <LibMembership/membership_table.h>
#include <LibPlatform/object_store.h>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace merlinpier {

// Asks the caller to write this daemon's entry, and to report the outcome through didWrite().
struct write_entry {
    std::string key;
    std::string value;
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
using registry_action = std::variant<write_entry, list_entries, remove_entry>;

// Prefix of the entries' keys, followed by the daemon's VM. The value is the address of the daemon's peer listener.
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
};

// Initial discovery of other daemons: each daemon keeps an entry in the platform's store and reads the entries of the
// others as seeds to join through. Once a daemon has contact with others, its membership no longer depends on the
// store. Entries do not expire in the store, so relays remove those of daemons that are gone. Failed requests are
// retried with backoff. Does no I/O and has no clock or random source of its own.
class member_registry {
public:
    explicit member_registry(registry_settings);

    // Whether other daemons answer, and whether this daemon is a relay and therefore removes stale entries.
    struct status {
        bool hasContact { false };
        bool isRelay { false };
    };
    std::vector<registry_action> tick(membership_table const&, status, time_point now, generator&);
    void didWrite(result<empty> const&, time_point now, generator&);
    // Returns the addresses of the daemons listed, other than this one.
    std::vector<std::string> didList(result<std::vector<stored_object>> const&, time_point now, generator&);

private:
    struct entry {
        std::string address;
        std::uint64_t revision { 0 };
        time_point notLiveSince {};
    };

    std::string ownKey() const { return memberEntryPrefix + m_settings.vm; }
    void backOff(time_point now, generator&);
    void removeStaleEntries(membership_table const&, time_point now, std::vector<registry_action>&);

    registry_settings m_settings;
    std::map<std::string, entry> m_entries;
    bool m_isRegistered { false };
    bool m_isRequestPending { false };
    time_point m_nextRequestTime {};
    time_point m_nextRefresh {};
    bool m_hasListedEntries { false };
    unsigned m_failures { 0 };
};

} // namespace merlinpier
