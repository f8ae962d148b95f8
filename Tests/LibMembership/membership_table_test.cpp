#include <LibCore/generator.h>
#include <LibMembership/membership_table.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace merlinpier {

namespace {

member_record record(std::string const& vm, std::uint64_t incarnation, std::uint64_t sequence,
    member_state state = member_state::Alive, std::uint64_t applied = 0)
{
    member_record made;
    made.vm = vm;
    made.zone = "a";
    made.address = vm;
    made.incarnation = incarnation;
    made.sequence = sequence;
    made.state = state;
    made.appliedVersion = applied;
    return made;
}

// Records of three VMs with few values each, so that ties and duplicates are frequent.
rc::Gen<member_record> arbitraryRecord()
{
    return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(0, 3), rc::gen::inRange(0, 3),
                            rc::gen::inRange(0, 3), rc::gen::inRange(0, 3)),
        [](auto const& values) {
            auto const [vm, incarnation, sequence, state, extra] = values;
            auto made
                = record("vm" + std::to_string(vm), incarnation, sequence, static_cast<member_state>(state), extra);
            // Two runs of a VM's daemon may publish the same incarnation and sequence with different content.
            made.instance = static_cast<std::uint64_t>(extra) % 2;
            made.httpAddress = extra == 2 ? "x" : "y";
            return made;
        });
}

membership_table merged(std::vector<member_record> const& records)
{
    membership_table table;
    for (auto const& each : records)
        table.merge(each);
    return table;
}

} // namespace

RC_GTEST_PROP(MembershipTable, MergeIsIndependentOfOrderAndDuplicates, ())
{
    auto const records = *rc::gen::container<std::vector<member_record>>(arbitraryRecord());
    auto shuffled = records;
    shuffled.insert(shuffled.end(), records.begin(), records.end());
    std::shuffle(shuffled.begin(), shuffled.end(), generator(*rc::gen::arbitrary<std::uint64_t>()));
    auto const first = merged(records);
    auto const second = merged(shuffled);
    RC_ASSERT(first.records() == second.records());
    RC_ASSERT(first.bucketDigests() == second.bucketDigests());
}

RC_GTEST_PROP(MembershipTable, MergingTablesEqualsMergingTheirRecords, ())
{
    auto const left = *rc::gen::container<std::vector<member_record>>(arbitraryRecord());
    auto const right = *rc::gen::container<std::vector<member_record>>(arbitraryRecord());
    auto both = left;
    both.insert(both.end(), right.begin(), right.end());
    auto table = merged(left);
    auto const others = merged(right);
    for (auto const& each : others.differingRecords({}))
        table.merge(each);
    auto const expected = merged(both);
    for (auto const& [vm, each] : expected.records())
        RC_ASSERT(table.find(vm) && *table.find(vm) == each);
}

RC_GTEST_PROP(MembershipTable, DifferingRecordsMakeTablesEqual, ())
{
    auto mine = merged(*rc::gen::container<std::vector<member_record>>(arbitraryRecord()));
    auto others = merged(*rc::gen::container<std::vector<member_record>>(arbitraryRecord()));
    for (auto const& each : mine.differingRecords(others.bucketDigests()))
        others.merge(each);
    for (auto const& each : others.differingRecords(mine.bucketDigests()))
        mine.merge(each);
    RC_ASSERT(mine.digest() == others.digest());
}

// Guards against an applied version that is known before its VM's record and stays unknown to the table that has the
// record.
TEST(MembershipTable, SendsAnAppliedVersionWithoutARecord)
{
    membership_table mine;
    mine.merge(appliedVersionOnly("vm", 7));
    membership_table others;
    others.merge(record("vm", 1, 1));
    EXPECT_EQ(
        mine.differingRecords(others.bucketDigests()), (std::vector<member_record> { appliedVersionOnly("vm", 7) }));
    EXPECT_TRUE(mine.differingRecords(mine.bucketDigests()).empty());
}

TEST(MembershipTable, KeepsTheAppliedVersionAcrossARestart)
{
    membership_table table;
    table.merge(record("vm", 1, 5, member_state::Alive, 7));
    EXPECT_EQ(table.merge(record("vm", 2, 1)), merge_effect::Record);
    EXPECT_EQ(table.find("vm")->appliedVersion, 7u);
    EXPECT_EQ(table.merge(appliedVersionOnly("vm", 6)), merge_effect::None);
    EXPECT_EQ(table.merge(appliedVersionOnly("vm", 8)), merge_effect::AppliedVersion);
    EXPECT_EQ(table.find("vm")->incarnation, 2u);
}

TEST(MembershipTable, SendsOnlyTheAppliedVersionIfNothingElseDiffers)
{
    membership_table mine;
    mine.merge(record("vm", 1, 1, member_state::Alive, 7));
    membership_table others;
    others.merge(record("vm", 1, 1, member_state::Alive, 6));
    EXPECT_EQ(
        mine.differingRecords(others.bucketDigests()), std::vector<member_record> { appliedVersionOnly("vm", 7) });
}

TEST(MembershipTable, DropsGoneRecordsWithoutChangingTheDigest)
{
    membership_table table;
    table.merge(record("old", 1, 1, member_state::Gone, 3));
    table.merge(record("vm", 1, 1));
    auto const digest = merged({ record("vm", 1, 1) }).digest();
    EXPECT_EQ(table.digest(), digest);
    table.expire(time_point(seconds(1)), seconds(10));
    EXPECT_TRUE(table.find("old"));
    table.expire(time_point(seconds(12)), seconds(10));
    EXPECT_FALSE(table.find("old"));
    EXPECT_EQ(table.digest(), digest);
    EXPECT_TRUE(table.find("vm"));
}

TEST(MembershipTable, KeepsTheOrderOfOtherRelaysWhenOneLeaves)
{
    membership_table table;
    for (int i = 0; i < 20; ++i)
        table.merge(record("vm" + std::to_string(i), 1, 1));
    auto ranked = rankRelays(table, "a");
    ASSERT_EQ(ranked.size(), 20u);
    EXPECT_EQ(chooseRelays(table, "a", 2), std::vector<std::string>(ranked.begin(), ranked.begin() + 2));
    table.merge(record(ranked[0], 1, 2, member_state::Leaving));
    ranked.erase(ranked.begin());
    EXPECT_EQ(rankRelays(table, "a"), ranked);
    EXPECT_TRUE(rankRelays(table, "b").empty());
}

} // namespace merlinpier
