#include <Services/Daemon/status_report.h>

#include <gtest/gtest.h>

namespace merlinpier {

// A relay of another version, or something else at its address, may answer anything.
TEST(StatusReport, AMalformedViewOfAZoneIsUnreadable)
{
    for (auto const* view : { "", "[]", "no json", "{}", R"({"members":[5]})", R"({"members":[{"vm":7}]})",
             R"({"members":[],"silent":"a"})", R"({"members":[],"highest_known":"b"})",
             R"({"members":[{"applied_version":"c"}]})", R"({"members":[{"request_limits":5}]})" })
        EXPECT_FALSE(status_report::readView(view)) << view;
}

TEST(StatusReport, ReadsTheViewOfAZone)
{
    auto const view = status_report::readView(
        R"({"members":[{"vm":"a-1","zone":"a","state":"alive","applied_version":7,"request_limits":{"t":20500}}],"silent":["a-2"],"highest_known":8})");
    ASSERT_TRUE(view);
    EXPECT_TRUE(view->isReachable);
    ASSERT_EQ(view->members.size(), 1u);
    EXPECT_EQ(view->members[0].appliedVersion, 7u);
    ASSERT_EQ(view->members[0].targets.size(), 1u);
    EXPECT_EQ(view->members[0].targets[0].id, "t");
    EXPECT_EQ(view->members[0].targets[0].requestLimitMilli, 20500u);
    EXPECT_EQ(view->silent, (std::vector<std::string> { "a-2" }));
    EXPECT_EQ(view->highestKnown, 8u);
}

} // namespace merlinpier
