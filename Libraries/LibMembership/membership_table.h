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
inline constexpr std::size_t membershipBucketCount = 64;

// What merging a record did to the table.
enum class merge_effect {
    None,
    // Only the highest version that the VM is known to have applied rose.
    AppliedVersion,
    Record,
};

// All member records that this daemon knows, keyed by VM. Merging is commutative, associative and idempotent: a record
// replaces another of the same VM if its incarnation is higher; or, the incarnation being equal, if it is Gone and the
// other is not; or, both being the same in that, if its sequence is higher; remaining ties are broken by the content.
// The applied version is apart from that order: the highest ever heard for the VM is kept, whatever the incarnation,
// because a VM never goes back to an older version. A record of incarnation 0 carries an applied version and no more.
class membership_table {
public:
    merge_effect merge(member_record const&);
    member_record const* find(std::string const& vm) const;
    std::map<std::string, member_record> const& records() const { return m_records; }
    // Rises with every change.
    std::uint64_t changes() const { return m_changes; }
    // Rises with every change to a record, not with applied versions.
    std::uint64_t recordChanges() const { return m_recordChanges; }
    // Digest of the whole table, independent of the order of merging. Gone records do not count, because VMs forget
    // them at different times.
    std::uint64_t digest() const;
    // One digest a bucket over the records, then one a bucket over the applied versions.
    std::vector<std::uint64_t> bucketDigests() const;
    // The records of every bucket whose digest differs from the other's; of buckets that differ only in the applied
    // versions, just these.
    std::vector<member_record> differingRecords(std::vector<std::uint64_t> const& otherBuckets) const;
    // Forgets Gone records that have been so for longer than the retention time.
    void expire(time_point now, duration retention);
    // The licence's highest claim in the table, 0 if there is none.
    std::uint64_t highestClaim(std::string const& licence) const;

private:
    using bucket_digests = std::array<std::uint64_t, membershipBucketCount>;
    // Adds a VM's share to its buckets' digests, or takes it out again.
    void toggleDigests(std::string const& vm);
    bool isLive(std::string const& vm) const;
    merge_effect raiseAppliedVersion(std::string const& vm, std::uint64_t version);

    std::map<std::string, member_record> m_records;
    // Highest applied version by VM, also of VMs whose record is not known yet.
    std::map<std::string, std::uint64_t> m_appliedVersions;
    // When expire() first saw a VM without a live record.
    std::map<std::string, time_point> m_goneSince;
    bucket_digests m_recordDigests {};
    bucket_digests m_appliedDigests {};
    std::uint64_t m_changes { 0 };
    std::uint64_t m_recordChanges { 0 };
};

// A record that tells only which version a VM has applied.
member_record appliedVersionOnly(std::string const& vm, std::uint64_t version);

// Decides whether the first record replaces the second, by the rule of membership_table.
bool supersedes(member_record const& first, member_record const& second);

// The live VMs of a zone, the one that relays first in front: those with the widest links, and among equals by
// rendezvous hash (Thaler and Ravishankar, 1998). A VM that joins or leaves moves no other VM's place relative to the
// rest.
std::vector<std::string> rankRelays(membership_table const&, std::string const& zone);

// The VMs of a zone that relay for it: the highest by rendezvous hash among its live members. Every view of the same
// members gives the same relays.
std::vector<std::string> chooseRelays(membership_table const&, std::string const& zone, std::size_t count);

} // namespace merlinpier
