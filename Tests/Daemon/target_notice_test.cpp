#include <Services/Daemon/target_notice.h>

#include <gtest/gtest.h>

namespace merlinpier {

namespace {

constexpr notice_headers names { "Limit", "Leaving", "1", "Load" };

target_notice readLimit(std::string const& value)
{
    return readTargetNotice({ 200, { { "Limit", value } }, "" }, names);
}

target_notice readLoad(std::string const& value) { return readTargetNotice({ 200, { { "load", value } }, "" }, names); }

} // namespace

TEST(TargetNotice, ReadsLimitAndDeparture)
{
    EXPECT_EQ(readTargetNotice({ 200, {}, "" }, names), target_notice {});
    EXPECT_EQ(readTargetNotice({ 503, { { "limit", "18.6" }, { "leaving", "1" } }, "" }, names),
        (target_notice { 18.6, true, {} }));
    EXPECT_FALSE(readTargetNotice({ 200, { { "Leaving", "0" } }, "" }, names).isLeaving);
    EXPECT_EQ(readLimit("0").requestLimit, 0);
}

TEST(TargetNotice, RefusesLimitsThatAreNoRate)
{
    for (auto const* value : { "", "-1", "nan", "inf", "1e308", "20 a second", "twenty", "20,5" }) {
        auto const notice = readLimit(value);
        EXPECT_EQ(notice.requestLimit, std::nullopt) << value;
        EXPECT_TRUE(notice.limitError) << value;
    }
    auto const two = readTargetNotice({ 200, { { "Limit", "20" }, { "Limit", "30" } }, "" }, names);
    EXPECT_EQ(two.requestLimit, std::nullopt);
    EXPECT_TRUE(two.limitError);
}

TEST(TargetNotice, ReadsLoadAndPace)
{
    EXPECT_EQ(readLoad("3,1,18").load, (announced_load { 3, 1, 18, {} }));
    EXPECT_EQ(readLoad("3,1,18,250").load, (announced_load { 3, 1, 18, 250 }));
    EXPECT_EQ(readLoad("0, 0, 18, 87.6").load, (announced_load { 0, 0, 18, 88 }));
    EXPECT_EQ(readLoad("0,0,18,10000").load->pacePercent, 10000u);
    EXPECT_FALSE(readLoad("3,1,18,250").loadError);
}

// Guards against decisions by a pace that is none: the target then counts as one that announces no pace.
TEST(TargetNotice, RefusesPacesThatAreNone)
{
    for (auto const* value : { "", "0", "-250", "10001", "nan", "inf", "1e300", "fast", "250 %" }) {
        auto const notice = readLoad(std::string("3,1,18,") + value);
        EXPECT_EQ(notice.load, (announced_load { 3, 1, 18, {} })) << value;
        EXPECT_TRUE(notice.loadError) << value;
    }
}

TEST(TargetNotice, RefusesLoadsThatAreNone)
{
    for (auto const* value : { "", "3", "3,1", "3,1,18,100,5", "-3,1,18,250", "3,1,x,250", "99999999999,1,18" }) {
        auto const notice = readLoad(value);
        EXPECT_EQ(notice.load, std::nullopt) << value;
        EXPECT_TRUE(notice.loadError) << value;
    }
    for (auto const* first : { "3,1,18,250", "none" }) {
        auto const two = readTargetNotice({ 200, { { "Load", first }, { "Load", "3,1,18,100" } }, "" }, names);
        EXPECT_EQ(two.load, std::nullopt);
        EXPECT_TRUE(two.loadError);
    }
}

} // namespace merlinpier
