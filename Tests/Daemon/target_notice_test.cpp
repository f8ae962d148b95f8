#include <Services/Daemon/target_notice.h>

#include <gtest/gtest.h>

namespace merlinpier {

namespace {

constexpr notice_headers names { "Limit", "Leaving", "1" };

target_notice readLimit(std::string const& value)
{
    return readTargetNotice({ 200, { { "Limit", value } }, "" }, names);
}

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

} // namespace merlinpier
