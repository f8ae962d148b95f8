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

// Asks the owner to write this daemon's entry, and to report by didWrite().
struct write_entry {
    std::string key;
    std::string value;
    bool operator==(write_entry const&) const = default;
};
// Asks the owner to list all entries, and to report by didList().
struct list_entries {
    std::string prefix;
    bool operator==(list_entries const&) const = default;
};
// Asks the owner to remove the entry of a daemon that is gone, if it is still at that revision.
struct remove_entry {
    std::string key;
    std::uint64_t revision { 0 };
    bool operator==(remove_entry const&) const = default;
};
using registry_action = std::variant<write_entry, list_entries, remove_entry>;

// Keys of the entries: one for each daemon, named by its VM; the value is the address of its peer listener.
inline constexpr char const* memberEntryPrefix = "merlinpier-members/";

struct registry_settings {
    std::string vm;
    std::string address;
    // How often the entries are listed while no other daemon answers, and otherwise.
    milliseconds discoveryPeriod { 1000 };
    milliseconds refreshPeriod { 20000 };
    milliseconds firstBackOff { 200 };
    milliseconds longestBackOff { 2000 };
    // An entry whose daemon has not been a live member for this long is removed.
    milliseconds staleEntryRetention { 15000 };
};

// How daemons find each other at first: each keeps an entry in the platform's store, and reads those of the others as
// seeds for the membership. After that, the membership carries itself. Entries do not expire in the store, so those of
// daemons that are gone are removed by the relays. Holds no I/O, clock or random source.
class member_registry {
public:
    explicit member_registry(registry_settings);

    // Whether other daemons answer, and whether this daemon is one of the relays that clean up.
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
