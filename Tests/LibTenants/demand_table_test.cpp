#include <LibTenants/demand_table.h>
#include <LibTenants/tenant_quotas.h>

#include <gtest/gtest.h>

namespace merlinpier {

namespace {

constexpr time_point start { seconds(1000) };

std::vector<tenant_demand> one(std::uint64_t milli) { return { { 7, milli } }; }

} // namespace

TEST(DemandTable, AddsUpVmsAndZones)
{
    demand_table table;
    table.clear(start);
    table.didReport("a", one(4000), start);
    table.didReportZone("west", one(10000), start);
    EXPECT_EQ(table.didReport("b", one(6000), start), one(20000));
    EXPECT_EQ(table.takeZoneReport("west", start), one(10000));
    EXPECT_EQ(table.didReport("b", one(1000), start), one(15000)) << "a later report replaces the earlier one";
    EXPECT_EQ(table.sum(8, start), 0u);
}

// Guards against VMs that learn late of a change elsewhere because their own demand has not changed.
TEST(DemandTable, TellsAChangedSumWithoutBeingAsked)
{
    demand_table table;
    table.clear(start);
    table.didReport("a", one(4000), start);
    EXPECT_TRUE(table.didReport("a", {}, start).empty());
    table.didReport("b", one(40000), start);
    EXPECT_EQ(table.didReport("a", {}, start), one(44000));
    EXPECT_TRUE(table.didReport("a", {}, start).empty());
}

// Guards against a VM that is gone and keeps a part of the limit.
TEST(DemandTable, ForgetsVmsThatAreSilent)
{
    demand_table table;
    table.clear(start);
    table.didReport("a", one(4000), start);
    table.didReport("b", one(6000), start + seconds(5));
    table.expire(start + seconds(10));
    EXPECT_EQ(table.sum(7, start + seconds(10)), 6000u);
}

// Guards against two sides of a partition that each use the whole limit.
TEST(DemandTable, KeepsTheSharesOfZonesThatAreCutOff)
{
    demand_table table;
    table.clear(start);
    table.didReport("a", one(10000), start);
    table.didReportZone("west", one(30000), start);
    auto const later = start + seconds(8);
    table.didReport("a", one(10000), later);
    EXPECT_EQ(table.sum(7, later), 40000u);
    table.didReport("a", one(50000), later);
    EXPECT_EQ(table.sum(7, later), 200000u) << "the other side is taken to rise as this one";
    table.didReport("a", one(2000), later);
    EXPECT_EQ(table.sum(7, later), 32000u) << "a fall here says nothing of the other side";
}

// Guards against a relay that has just begun and whose first sums lack most VMs.
TEST(DemandTable, IsCompleteWhenAllHadTimeToReport)
{
    demand_table table;
    table.clear(start);
    table.didReport("a", one(4000), start);
    EXPECT_FALSE(table.isComplete(start + seconds(1)));
    EXPECT_TRUE(table.isComplete(start + milliseconds(1400)));
    table.takeZoneReport("west", start);
    EXPECT_FALSE(table.isComplete(start + milliseconds(1400))) << "that zone has not reported";
    EXPECT_TRUE(table.isComplete(start + milliseconds(3400)));
}

// Guards against bytes between zones for what has not changed.
TEST(DemandTable, SendsAZoneOnlyWhatHasChanged)
{
    demand_table table;
    table.clear(start);
    table.didReport("a", one(40000), start);
    ASSERT_TRUE(table.isZoneReportDue("west", start));
    table.takeZoneReport("west", start);
    table.didReport("a", one(41000), start);
    EXPECT_FALSE(table.isZoneReportDue("west", start + seconds(2)));
    EXPECT_TRUE(table.isZoneReportDue("west", start + seconds(4))) << "in case a message was lost";
    table.didReport("a", one(90000), start);
    EXPECT_FALSE(table.isZoneReportDue("west", start + milliseconds(100)));
    EXPECT_TRUE(table.isZoneReportDue("west", start + milliseconds(300))) << "a step is sent at once";
}

TEST(TenantQuotas, DoesNothingWithoutLimits)
{
    tenant_quotas quotas(start);
    for (int i = 0; i < 1000; ++i)
        EXPECT_FALSE(quotas.take({ "free", {}, 0, 0 }, start));
    EXPECT_FALSE(quotas.isActive());
    EXPECT_TRUE(quotas.takeReport(start).empty());
    EXPECT_FALSE(quotas.isReportUrgent(start + seconds(1)));
    auto const use = quotas.use("free", start);
    ASSERT_TRUE(use);
    EXPECT_EQ(use->allowed, 1000u);
    EXPECT_FALSE(quotas.use("none", start));
}

TEST(TenantQuotas, TakesANewLimitWithTheNextRequest)
{
    tenant_quotas quotas(start);
    tenant holder { "t", {}, 1'000'000, 1'000'000 };
    auto const now = start + seconds(10);
    for (int i = 0; i < 50; ++i)
        EXPECT_FALSE(quotas.take(holder, now));
    holder.milliPerSecond = 1000;
    holder.burstMilli = 1000;
    int allowed = 0;
    for (int i = 0; i < 100; ++i)
        allowed += !quotas.take(holder, now);
    EXPECT_LE(allowed, 10);
    holder.milliPerSecond = 0;
    EXPECT_FALSE(quotas.take(holder, now)) << "no limit";
    EXPECT_TRUE(quotas.uses(now).front().limited > 0);
}

// Guards against reports that stop while a relay that has just begun does not answer yet.
TEST(TenantQuotas, AsksUntilTheSumIsKnown)
{
    tenant_quotas quotas(start);
    quotas.take({ "t", {}, 1000, 1000 }, start);
    EXPECT_EQ(quotas.takeReport(start).size(), 1u);
    EXPECT_EQ(quotas.takeReport(start + seconds(1)).size(), 1u);
    quotas.didReceiveSums({ { quotas.takeReport(start + seconds(2)).front().tenant, 5000 } }, start + seconds(2));
    EXPECT_TRUE(quotas.takeReport(start + milliseconds(2100)).empty());
}

} // namespace merlinpier
