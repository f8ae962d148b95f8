#include <LibRouting/departed_targets.h>
#include <LibRouting/routing_snapshot.h>
#include <Tests/LibRouting/fleet_fixture.h>
#include <gtest/gtest.h>

namespace merlinpier {

namespace {

constexpr auto start = time_point(seconds(100));

target_record recordOf(std::uint64_t startedAt, std::uint64_t departedStart = 0)
{
    target_record record { "t", "slots", "L", 1, target_state::Ready, 6, departedStart };
    record.startedAt = startedAt;
    return record;
}

membership_table tableOf(target_record const& target)
{
    membership_table table;
    table.merge(fixture::makeMember("vm", "a", 1, { target }));
    return table;
}

} // namespace

TEST(DepartedTargets, KnowsTheIncarnationThatLeftAndEarlierOnes)
{
    departed_targets departed;
    EXPECT_FALSE(departed.contains(recordOf(5)));
    EXPECT_TRUE(departed.didDepart("t", 5, start));
    EXPECT_FALSE(departed.didDepart("t", 5, start));
    EXPECT_FALSE(departed.didDepart("t", 4, start));
    EXPECT_FALSE(departed.didDepart("t", 0, start));
    EXPECT_TRUE(departed.contains(recordOf(5)));
    EXPECT_TRUE(departed.contains(recordOf(4)));
    EXPECT_FALSE(departed.contains(recordOf(6)));
    EXPECT_FALSE(departed.contains(recordOf(0)));
    departed.expire(start + seconds(119));
    EXPECT_TRUE(departed.contains(recordOf(5)));
    departed.expire(start + seconds(121));
    EXPECT_FALSE(departed.contains(recordOf(5)));
}

// Guards against new calls to a target that has left, after a restart of its daemon, whose first record shows the
// target as ready.
TEST(DepartedTargets, StayOutOfTheRoutesWhateverALaterRecordShows)
{
    auto const configuration = fixture::makeConfiguration({ fixture::makeService("slots", { "L" }) });
    departed_targets departed;
    departed.learn(tableOf(recordOf(5, 5)), start);
    auto const later = routing_snapshot::build(configuration, tableOf(recordOf(5)), departed);
    EXPECT_TRUE(later->service("slots")->targets.empty());
    EXPECT_EQ(later->service("slots")->leaving.size(), 1u) << "it still answers repeats of what it ran";
    auto const restarted = routing_snapshot::build(configuration, tableOf(recordOf(6)), departed);
    EXPECT_EQ(restarted->service("slots")->targets.size(), 1u);
}

} // namespace merlinpier
