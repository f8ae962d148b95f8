#include <LibRouting/routing_snapshot.h>

#include <Tests/LibRouting/fleet_fixture.h>
#include <gtest/gtest.h>

namespace merlinpier {

namespace {

using namespace fixture;

target_record makeTarget(std::string id, std::string licence, std::string version)
{
    target_record target { std::move(id), "slots", std::move(licence), 1, target_state::Ready, 6 };
    target.version = std::move(version);
    return target;
}

std::vector<std::string> idsOf(std::vector<route_target> const& targets)
{
    std::vector<std::string> ids;
    for (auto const& target : targets)
        ids.push_back(target.id);
    return ids;
}

using id_list = std::vector<std::string>;

class VersionRulesTest : public testing::Test {
protected:
    VersionRulesTest()
    {
        m_members.merge(makeMember("vm1", "a", 1, { makeTarget("t1", "L1", "v1") }));
        m_members.merge(makeMember("vm2", "a", 2, { makeTarget("t2", "L2", "v2") }));
        m_members.merge(makeMember("vm3", "a", 3, { makeTarget("t3", "L3", "") }));
    }
    std::shared_ptr<routing_snapshot const> build(version_rules const& rules) const
    {
        return routing_snapshot::build(m_configuration, m_members, {}, rules);
    }

    membership_table m_members;
    std::shared_ptr<configuration_set const> m_configuration
        = makeConfiguration({ makeService("slots", { "L1", "L2", "L3" }) });
};

} // namespace

// Guards against any change of routing for deployments without rollouts.
TEST_F(VersionRulesTest, RoutesToAllVersionsWithoutRules)
{
    auto const snapshot = build({});
    EXPECT_EQ(idsOf(snapshot->service("slots")->targets), (id_list { "t1", "t2", "t3" }));
    EXPECT_EQ(snapshot->canary("slots"), nullptr);
}

// Guards against a new version that gets ordinary calls beside its share.
TEST_F(VersionRulesTest, ListsCanaryTargetsApart)
{
    auto const snapshot = build({ { "slots", { { "v2", version_access::Canary } } } });
    EXPECT_EQ(idsOf(snapshot->service("slots")->targets), (id_list { "t1", "t3" }));
    ASSERT_NE(snapshot->canary("slots"), nullptr);
    EXPECT_EQ(idsOf(snapshot->canary("slots")->targets), id_list { "t2" });
    EXPECT_EQ(snapshot->canary("slots")->configuration, snapshot->service("slots")->configuration);
    EXPECT_FALSE(snapshot->verify(*m_configuration, m_members).isError());
}

// Guards against calls, keyed ones included, to a version that was rolled back or has no order.
TEST_F(VersionRulesTest, LeavesHeldTargetsOutAndKeepsReplacedOnesForRepeats)
{
    auto const held = build({ { "slots", { { "v2", version_access::Held } } } });
    EXPECT_EQ(idsOf(held->service("slots")->targets), (id_list { "t1", "t3" }));
    EXPECT_TRUE(held->service("slots")->leaving.empty());
    EXPECT_EQ(held->canary("slots"), nullptr);
    auto const replaced = build({ { "slots", { { "v1", version_access::Replaced } } } });
    EXPECT_EQ(idsOf(replaced->service("slots")->targets), (id_list { "t2", "t3" }));
    EXPECT_EQ(idsOf(replaced->service("slots")->leaving), id_list { "t1" });
    ASSERT_NE(replaced->replaced("slots"), nullptr);
    EXPECT_EQ(idsOf(replaced->replaced("slots")->targets), id_list { "t1" });
}

} // namespace merlinpier
