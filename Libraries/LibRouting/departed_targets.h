#pragma once

#include <LibCore/time.h>
#include <LibMembership/membership_table.h>
#include <cstdint>
#include <map>
#include <string>

namespace merlinpier {

// Remembers which incarnations of targets have begun to leave, from records and from answers that passed this daemon. A
// later record that shows such a target as ready does not bring it back: its daemon may have restarted and not know
// yet.
class departed_targets {
public:
    // The target's incarnation with this start time leaves; a start time of 0 names no incarnation and is ignored.
    // Returns whether this was not known.
    bool didDepart(std::string const& target, std::uint64_t startedAt, time_point now);
    // Takes in the departures that the records show.
    void learn(membership_table const&, time_point now);
    // Whether the record's incarnation, or a later one, has begun to leave.
    bool contains(target_record const&) const;
    // Forgets departures that are older than any target runs on after it has begun to leave.
    void expire(time_point now);

private:
    struct departure {
        std::uint64_t startedAt { 0 };
        time_point at {};
    };

    std::map<std::string, departure> m_departures;
};

} // namespace merlinpier
