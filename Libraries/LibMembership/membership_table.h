#pragma once

#include <LibCore/time.h>
#include <LibWire/membership_messages.h>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace merlinpier {

// Number of buckets that the VM names are spread over to find what differs between two tables.
inline constexpr std::size_t membershipBuckets = 64;

// All member records that this daemon knows, keyed by VM. Merging is commutative, associative and idempotent: a record
// replaces another of the same VM if its incarnation is higher; or, the incarnation being equal, if it is Gone and the
// other is not; or, both being the same in that, if its sequence is higher.
class membership_table {
public:
    // Takes in a record; true if the table changed.
    bool merge(member_record const&);
    member_record const* find(std::string const& vm) const;
    std::map<std::string, member_record> const& records() const { return m_records; }
    // Rises with every change.
    std::uint64_t changes() const { return m_changes; }
    // Digest of the whole table, independent of the order of merging.
    std::uint64_t digest() const;
    std::vector<std::uint64_t> bucketDigests() const;
    // The records of every bucket whose digest differs from the other's.
    std::vector<member_record> recordsWhereDifferent(std::vector<std::uint64_t> const& otherBuckets) const;
    // Forgets Gone records that have been so for longer than the retention time.
    void expire(time_point now, duration retention);
    // The licence's highest claim in the table, 0 if there is none.
    std::uint64_t highestClaim(std::string const& licence) const;

private:
    std::map<std::string, member_record> m_records;
    std::map<std::string, time_point> m_goneSince;
    std::array<std::uint64_t, membershipBuckets> m_bucketDigests {};
    std::uint64_t m_changes { 0 };
};

// Decides whether the first record replaces the second, by the rule of membership_table.
bool supersedes(member_record const& first, member_record const& second);

// The VMs of a zone that relay for it: the highest by rendezvous hash among its live members. Every view of the same
// members gives the same relays.
std::vector<std::string> chooseRelays(membership_table const&, std::string const& zone, std::size_t count);

} // namespace merlinpier
