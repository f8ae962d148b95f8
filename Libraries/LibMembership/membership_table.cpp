#include <LibMembership/membership_table.h>

#include <LibCore/digest.h>
#include <algorithm>
#include <tuple>

namespace merlinpier {

namespace {

void appendNumber(std::string& bytes, std::uint64_t number)
{
    for (int shift = 0; shift < 64; shift += 8)
        bytes.push_back(static_cast<char>(number >> shift));
}

void appendText(std::string& bytes, std::string const& text)
{
    appendNumber(bytes, text.size());
    bytes += text;
}

void appendTarget(std::string& bytes, target_record const& target)
{
    appendText(bytes, target.id);
    appendText(bytes, target.service);
    appendText(bytes, target.licence);
    appendNumber(bytes, target.claim);
    appendNumber(bytes, static_cast<std::uint64_t>(target.state));
    appendNumber(bytes, target.slots);
    appendNumber(bytes, target.departedStart);
    appendNumber(bytes, target.startedAt);
    appendNumber(bytes, target.requestLimitMilli ? *target.requestLimitMilli + 1 : 0);
}

// Hashes all fields that are ordered by incarnation and sequence, which excludes the applied version.
std::uint64_t recordHash(member_record const& record)
{
    std::string bytes;
    appendText(bytes, record.vm);
    appendText(bytes, record.zone);
    appendText(bytes, record.address);
    appendText(bytes, record.httpAddress);
    appendNumber(bytes, record.incarnation);
    appendNumber(bytes, record.sequence);
    appendNumber(bytes, record.instance);
    appendNumber(bytes, static_cast<std::uint64_t>(record.state));
    appendNumber(bytes, record.refusedVersion);
    appendText(bytes, record.refusedReason);
    appendNumber(bytes, record.linkMbps);
    for (auto const& target : record.targets)
        appendTarget(bytes, target);
    for (auto const& report : record.crashReports) {
        appendNumber(bytes, report.request);
        appendNumber(bytes, report.crash);
        appendNumber(bytes, static_cast<std::uint64_t>(report.finding));
    }
    return hash64(bytes);
}

std::size_t bucketIndex(std::string const& vm) { return hash64(vm) % membershipBucketCount; }

} // namespace

bool supersedes(member_record const& first, member_record const& second)
{
    auto order = [](member_record const& record) {
        return std::make_tuple(
            record.incarnation, record.state == member_state::Gone, record.sequence, record.instance);
    };
    if (order(first) != order(second))
        return order(first) > order(second);
    return recordHash(first) > recordHash(second);
}

member_record appliedVersionOnly(std::string const& vm, std::uint64_t version)
{
    member_record record;
    record.vm = vm;
    record.appliedVersion = version;
    return record;
}

merge_effect membership_table::merge(member_record const& record)
{
    auto const appliedEffect = raiseAppliedVersion(record.vm, record.appliedVersion);
    auto const* known = find(record.vm);
    if (record.incarnation == 0 || (known && !supersedes(record, *known)))
        return appliedEffect;
    toggleDigests(record.vm);
    auto& stored = m_records[record.vm];
    stored = record;
    if (auto applied = m_appliedVersions.find(record.vm); applied != m_appliedVersions.end())
        stored.appliedVersion = applied->second;
    toggleDigests(record.vm);
    ++m_changes;
    ++m_recordChanges;
    return merge_effect::Record;
}

merge_effect membership_table::raiseAppliedVersion(std::string const& vm, std::uint64_t version)
{
    auto const applied = m_appliedVersions.find(vm);
    if (version == 0 || (applied != m_appliedVersions.end() && version <= applied->second))
        return merge_effect::None;
    toggleDigests(vm);
    m_appliedVersions[vm] = version;
    if (auto known = m_records.find(vm); known != m_records.end())
        known->second.appliedVersion = version;
    toggleDigests(vm);
    ++m_changes;
    return merge_effect::AppliedVersion;
}

void membership_table::toggleDigests(std::string const& vm)
{
    // Gone records are not part of the digests, so dropping one does not change them.
    if (!isLive(vm))
        return;
    auto const& record = m_records.at(vm);
    m_recordDigests[bucketIndex(vm)] ^= recordHash(record);
    m_appliedDigests[bucketIndex(vm)] ^= hash64(vm, record.appliedVersion + 1);
}

bool membership_table::isLive(std::string const& vm) const
{
    auto const* record = find(vm);
    return record && record->state != member_state::Gone;
}

member_record const* membership_table::find(std::string const& vm) const
{
    auto const known = m_records.find(vm);
    return known == m_records.end() ? nullptr : &known->second;
}

std::uint64_t membership_table::digest() const
{
    std::string bytes;
    for (auto const bucket : bucketDigests())
        appendNumber(bytes, bucket);
    return hash64(bytes);
}

std::vector<std::uint64_t> membership_table::bucketDigests() const
{
    std::vector<std::uint64_t> digests(m_recordDigests.begin(), m_recordDigests.end());
    digests.insert(digests.end(), m_appliedDigests.begin(), m_appliedDigests.end());
    return digests;
}

std::vector<member_record> membership_table::differingRecords(std::vector<std::uint64_t> const& otherBuckets) const
{
    auto const own = bucketDigests();
    auto const differs = [&](std::size_t index) {
        return index >= otherBuckets.size() || otherBuckets[index] != own[index];
    };
    std::vector<member_record> different;
    for (auto const& [vm, record] : m_records) {
        auto const bucket = bucketIndex(vm);
        if (differs(bucket))
            different.push_back(record);
        else if (differs(membershipBucketCount + bucket) && record.appliedVersion > 0)
            different.push_back(appliedVersionOnly(vm, record.appliedVersion));
    }
    for (auto const& [vm, version] : m_appliedVersions) {
        if (!find(vm) && differs(bucketIndex(vm)))
            different.push_back(appliedVersionOnly(vm, version));
    }
    return different;
}

void membership_table::expire(time_point now, duration retention)
{
    for (auto const& [vm, record] : m_records) {
        if (record.state == member_state::Gone)
            m_goneSince.try_emplace(vm, now);
    }
    for (auto const& [vm, version] : m_appliedVersions) {
        if (!isLive(vm))
            m_goneSince.try_emplace(vm, now);
    }
    for (auto entry = m_goneSince.begin(); entry != m_goneSince.end();) {
        bool const isDue = now - entry->second > retention;
        if (isDue && !isLive(entry->first)) {
            m_records.erase(entry->first);
            m_appliedVersions.erase(entry->first);
            ++m_changes;
            ++m_recordChanges;
        }
        entry = isDue || isLive(entry->first) ? m_goneSince.erase(entry) : std::next(entry);
    }
}

std::uint64_t membership_table::highestClaim(std::string const& licence) const
{
    std::uint64_t highest = 0;
    for (auto const& [vm, record] : m_records) {
        for (auto const& target : record.targets) {
            if (target.licence == licence)
                highest = std::max(highest, target.claim);
        }
    }
    return highest;
}

std::vector<std::string> rankRelays(membership_table const& table, std::string const& zone)
{
    std::vector<std::tuple<std::uint32_t, std::uint64_t, std::string>> ranked;
    auto const seed = hash64(zone);
    for (auto const& [vm, record] : table.records()) {
        if (record.zone == zone && record.state == member_state::Alive)
            ranked.emplace_back(record.linkMbps, hash64(vm, seed), vm);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<std::string> vms;
    vms.reserve(ranked.size());
    for (auto& [bandwidth, score, vm] : ranked)
        vms.push_back(std::move(vm));
    return vms;
}

std::vector<std::string> chooseRelays(membership_table const& table, std::string const& zone, std::size_t count)
{
    auto vms = rankRelays(table, zone);
    vms.resize(std::min(count, vms.size()));
    return vms;
}

} // namespace merlinpier
