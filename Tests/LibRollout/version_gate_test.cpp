#include <LibRollout/version_gate.h>

#include <gtest/gtest.h>

namespace merlinpier {

namespace {

time_point const start { seconds(1000) };

// A service with targets of the given versions, one on each VM; each target starts later than the one before.
membership_table fleetOf(std::vector<std::string> const& versions)
{
    membership_table table;
    std::uint64_t number = 0;
    for (auto const& version : versions) {
        ++number;
        member_record member;
        member.vm = "vm-" + std::to_string(number);
        member.zone = "a";
        member.incarnation = 1;
        member.instance = number;
        target_record target { "t" + std::to_string(number), "slots", "l" + std::to_string(number), 1,
            target_state::Ready, 4, 0, number };
        target.version = version;
        member.targets = { target };
        table.merge(member);
    }
    return table;
}

rollout_state_table ordered(rollout_state state)
{
    rollout_state_table table;
    table.learn(rollout_report { "slots", 41, "v2", state, 0, 12'000 }, start);
    return table;
}

class VersionGateTest : public testing::Test {
protected:
    void observe(membership_table const& fleet, rollout_state_table const& rollouts, duration after)
    {
        m_gate.observe(fleet, rollouts, m_lastListed, start + after);
    }
    version_access access(std::string const& version) const { return accessOf(m_gate.rules(), "slots", version); }

    version_gate m_gate;
    std::optional<time_point> m_lastListed { start };
};

} // namespace

// Guards against any change of routing where versions play no part.
TEST_F(VersionGateTest, LeavesServicesWithOneVersionOrNoneAlone)
{
    observe(fleetOf({ "v1", "v1", "v1" }), {}, seconds(0));
    EXPECT_TRUE(m_gate.rules().empty());
    observe(fleetOf({ "", "", "v1" }), {}, seconds(1));
    EXPECT_TRUE(m_gate.rules().empty());
    // An operator replaces all targets at once.
    observe(fleetOf({ "v7", "v7" }), {}, seconds(100));
    EXPECT_TRUE(m_gate.rules().empty());
}

// Guards against calls to a new version whose order has not arrived yet.
TEST_F(VersionGateTest, HoldsAVersionThatNobodyOrderedUntilAListShowsNoOrder)
{
    observe(fleetOf({ "v1", "v1" }), {}, seconds(0));
    observe(fleetOf({ "v1", "v1", "v2", "v2", "v2" }), {}, seconds(10));
    EXPECT_EQ(access("v2"), version_access::Held);
    EXPECT_EQ(access("v1"), version_access::Stable);
    observe(fleetOf({ "v1", "v1", "v2", "v2", "v2" }), {}, seconds(15));
    EXPECT_EQ(access("v2"), version_access::Held) << "the last list is older than the version";
    m_lastListed = start + seconds(14);
    observe(fleetOf({ "v1", "v1", "v2", "v2", "v2" }), {}, seconds(15));
    EXPECT_EQ(access("v2"), version_access::Stable);
}

// Guards against a daemon that has just started and takes the new version for the established one.
TEST_F(VersionGateTest, TakesTheVersionOfTheMostAndOldestTargetsForEstablishedAfterAStart)
{
    observe(fleetOf({ "v1", "v1", "v2", "v2" }), {}, seconds(0));
    EXPECT_EQ(access("v1"), version_access::Stable);
    EXPECT_EQ(access("v2"), version_access::Held);
}

TEST_F(VersionGateTest, GrantsAnOrderedVersionCanaryCallsOnly)
{
    observe(fleetOf({ "v1", "v1" }), {}, seconds(0));
    observe(fleetOf({ "v1", "v1", "v2" }), ordered(rollout_state::Running), seconds(10));
    EXPECT_EQ(access("v2"), version_access::Canary);
    EXPECT_EQ(access("v1"), version_access::Stable);
}

// Guards against a service without any target while a rollout runs, and against a daemon that knows the new targets
// before the old ones and sends them everything.
TEST_F(VersionGateTest, LetsTheNewVersionTakeOverOnlyAfterItHasBeenAloneForAWhile)
{
    observe(fleetOf({ "v2" }), ordered(rollout_state::Running), seconds(0));
    EXPECT_EQ(access("v2"), version_access::Canary);
    observe(fleetOf({ "v2" }), ordered(rollout_state::Running), seconds(3));
    EXPECT_EQ(access("v2"), version_access::Stable);
}

TEST_F(VersionGateTest, MovesAllCallsAtTheSwitchAndBackAfterARollback)
{
    auto const fleet = fleetOf({ "v1", "v1", "v2" });
    observe(fleet, ordered(rollout_state::Switching), seconds(10));
    EXPECT_EQ(access("v1"), version_access::Replaced);
    EXPECT_EQ(access("v2"), version_access::Stable);
    observe(fleet, ordered(rollout_state::RolledBack), seconds(11));
    EXPECT_EQ(access("v1"), version_access::Stable);
    EXPECT_EQ(access("v2"), version_access::Held);
    // Also while its targets are out of sight, and when nothing else is left.
    observe(fleetOf({ "v1" }), ordered(rollout_state::RolledBack), seconds(12));
    EXPECT_EQ(access("v2"), version_access::Held);
    observe(fleetOf({ "v2" }), ordered(rollout_state::RolledBack), seconds(60));
    EXPECT_EQ(access("v2"), version_access::Held);
}

// Guards against old targets that get calls again in the moments before they are stopped, and against a later plain
// replacement that is held back for good.
TEST_F(VersionGateTest, HoldsTheReplacedVersionAfterDoneButNotALaterOne)
{
    observe(fleetOf({ "v1", "v1", "v2" }), ordered(rollout_state::Done), seconds(0));
    EXPECT_EQ(access("v1"), version_access::Replaced);
    m_lastListed = start + seconds(30);
    observe(fleetOf({ "v1", "v1", "v2" }), ordered(rollout_state::Done), seconds(30));
    EXPECT_EQ(access("v1"), version_access::Replaced);
    observe(fleetOf({ "v2", "v2", "v3" }), ordered(rollout_state::Done), seconds(40));
    EXPECT_EQ(access("v3"), version_access::Held);
    m_lastListed = start + seconds(45);
    observe(fleetOf({ "v2", "v2", "v3" }), ordered(rollout_state::Done), seconds(46));
    EXPECT_EQ(access("v3"), version_access::Stable);
    EXPECT_EQ(access("v2"), version_access::Stable);
}

} // namespace merlinpier
