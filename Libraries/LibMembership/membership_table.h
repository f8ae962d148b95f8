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

// Number of buckets by which two tables are compared. VMs are distributed over the buckets by a hash of their name.
inline constexpr std::size_t membershipBucketCount = 64;

// What merging a record did to the table.
enum class merge_effect {
    None,
    // Only the highest version that the VM is known to have applied increased.
    AppliedVersion,
    Record,
};

// All member records that this daemon knows, keyed by VM. Merging is commutative, associative and idempotent: a record
// replaces another of the same VM if its incarnation is higher; with equal incarnations, if it is Gone and the other is
// not; if that is equal too, if its sequence is higher; remaining ties are broken by the content. The applied version
// is independent of that order: the highest one ever received for the VM is kept, whatever the incarnation, because a
// VM never goes back to an older version. A record of incarnation 0 carries nothing but an applied version.
class membership_table {
public:
    merge_effect merge(member_record const&);
    member_record const* find(std::string const& vm) const;
    std::map<std::string, member_record> const& records() const { return m_records; }
    // Counter that increases with every change.
    std::uint64_t changes() const { return m_changes; }
    // Counter that increases with every change of a record, but not with changes of applied versions only.
    std::uint64_t recordChanges() const { return m_recordChanges; }
    // Digest of the whole table, independent of the order of merging. Gone records are left out, because VMs drop them
    // at different times.
    std::uint64_t digest() const;
    // One digest per bucket over the records, followed by one per bucket over the applied versions.
    std::vector<std::uint64_t> bucketDigests() const;
    // The records of every bucket whose digest differs from the other table's, and the applied versions of its VMs
    // without a record. For buckets that differ only in the applied versions, records with nothing but the applied
    // version.
    std::vector<member_record> differingRecords(std::vector<std::uint64_t> const& otherBuckets) const;
    // Drops records that have been Gone, and applied versions without a live record, for longer than the retention
    // time, which runs from the first call of expire() that finds them so.
    void expire(time_point now, duration retention);
    // The highest claim of the licence in the table; 0 if there is none.
    std::uint64_t highestClaim(std::string const& licence) const;

private:
    using bucket_digests = std::array<std::uint64_t, membershipBucketCount>;
    // Adds a VM's record to the digests of its bucket, or removes it again: XOR does both.
    void toggleDigests(std::string const& vm);
    bool isLive(std::string const& vm) const;
    merge_effect raiseAppliedVersion(std::string const& vm, std::uint64_t version);

    std::map<std::string, member_record> m_records;
    // Highest applied version by VM, including VMs whose record is not known yet.
    std::map<std::string, std::uint64_t> m_appliedVersions;
    // When expire() first found the VM without a live record.
    std::map<std::string, time_point> m_goneSince;
    bucket_digests m_recordDigests {};
    bucket_digests m_appliedDigests {};
    std::uint64_t m_changes { 0 };
    std::uint64_t m_recordChanges { 0 };
};

// Returns a record that carries nothing but the VM's applied version.
member_record appliedVersionOnly(std::string const& vm, std::uint64_t version);

// Whether the first record replaces the second by the merge rule of membership_table.
bool supersedes(member_record const& first, member_record const& second);

// The Alive VMs of a zone in the order in which they become relays: by link bandwidth, highest first, and with equal
// bandwidth by rendezvous hash (Thaler and Ravishankar, 1998). A VM that joins or leaves does not change the order of
// the others.
std::vector<std::string> rankRelays(membership_table const&, std::string const& zone);

// The relays of a zone: the first VMs of rankRelays(). Daemons that know the same members choose the same relays.
std::vector<std::string> chooseRelays(membership_table const&, std::string const& zone, std::size_t count);

} // namespace merlinpier
