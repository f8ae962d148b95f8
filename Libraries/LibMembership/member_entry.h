#pragma once

#include <LibCore/result.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace merlinpier {

// A target whose leaving was acknowledged.
struct target_departure {
    std::string target;
    // Start time of the incarnation that leaves, by the target's own clock; 0 if only the target's id is known.
    std::uint64_t startedAt { 0 };

    bool operator==(target_departure const&) const = default;
};

// What a daemon keeps about itself in the platform's store.
struct member_entry {
    // Of the daemon's peer listener.
    std::string address;
    // The targets of its VM that were leaving of late, oldest first.
    std::vector<target_departure> departures;

    bool operator==(member_entry const&) const = default;
};

// The entry as text: the address, followed by the id and the start time of each departure, separated by spaces. An
// entry without departures is the address alone, as daemons wrote it before they recorded departures.
std::string serializeMemberEntry(member_entry const&);
// BadInput for anything that no daemon writes, such as an address that cannot be one.
result<member_entry> parseMemberEntry(std::string_view);

} // namespace merlinpier
