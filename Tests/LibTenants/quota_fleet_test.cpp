#include "quota_simulation.h"

#include <gtest/gtest.h>
#include <iostream>

// The limits of tenants over whole fleets: daemons with their membership, without a network. The figures that the tests
// print stand in docs/design/tenants.md.

namespace merlinpier {

namespace {

struct fleet_size {
    int zones { 1 };
    int daemons { 1 };
};

// The rule that operators count with, and what these tests allow on top of it.
constexpr double windowTolerance = 1.05;
constexpr double usualShareOfLimit = 0.625;

tenant makeTenant(double perSecond, double burst)
{
    return { "hule930", 1, static_cast<std::uint64_t>(perSecond * 1000), static_cast<std::uint64_t>(burst * 1000) };
}

std::string nameOf(testing::TestParamInfo<fleet_size> const& info)
{
    return std::to_string(info.param.daemons) + "Daemons";
}

class QuotaFleetTest : public testing::TestWithParam<fleet_size> {
protected:
    QuotaFleetTest()
        : m_fleet(20261204, GetParam().zones, GetParam().daemons)
    {
        m_tenant = m_fleet.addTenant(makeTenant(limit(), limit()));
        m_fleet.run(seconds(5));
    }
    static double limit() { return 557; }
    static double usual() { return limit() * usualShareOfLimit; }
    void report(std::string const& what, double value) const
    {
        std::cout << GetParam().daemons << " daemons: " << what << "=" << value << "\n";
    }
    double refusedShare(quota_simulation::outcome const& before) const
    {
        auto const total = m_fleet.total(m_tenant);
        auto const offered = static_cast<double>(total.offered - before.offered);
        return 1 - static_cast<double>(total.allowed - before.allowed) / offered;
    }
    // The most requests in any 5 s, as a part of what the rule allows.
    void expectWithinRule()
    {
        report("worst_window", m_fleet.worstWindow(m_tenant));
        EXPECT_LE(m_fleet.worstWindow(m_tenant), windowTolerance);
    }

    quota_simulation m_fleet;
    std::size_t m_tenant { 0 };
};

} // namespace

// Guards against requests that are refused although the tenant stays below its limit.
TEST_P(QuotaFleetTest, RefusesNothingInCalm)
{
    m_fleet.setRateEvenly(m_tenant, usual());
    m_fleet.run(seconds(60));
    report("refused_in_calm", refusedShare({}));
    EXPECT_LT(refusedShare({}), 0.0001);
    expectWithinRule();
}

// Guards against a limit that is exceeded, or not used, while the tenant keeps sending twice as much.
TEST_P(QuotaFleetTest, UsesTheLimitAtTwiceTheLimit)
{
    m_fleet.setRateEvenly(m_tenant, 2 * limit());
    m_fleet.run(seconds(10));
    auto const before = m_fleet.total(m_tenant);
    m_fleet.run(seconds(30));
    auto const used = static_cast<double>(m_fleet.total(m_tenant).allowed - before.allowed) / 30 / limit();
    report("used_at_twice_the_limit", used);
    EXPECT_GE(used, 0.97);
    EXPECT_LE(used, 1.1);
    expectWithinRule();
}

// Guards against a hot tenant whose requests pass everywhere before the daemons know of each other's.
TEST_P(QuotaFleetTest, BoundsATenantAtManyTimesItsUsualRate)
{
    for (double const factor : { 3.0, 5.0, 7.5 }) {
        m_fleet.setRateEvenly(m_tenant, usual());
        m_fleet.run(seconds(15));
        m_fleet.resetWorstWindow();
        m_fleet.setRateEvenly(m_tenant, factor * usual());
        m_fleet.run(seconds(12));
        report("hot_" + std::to_string(factor) + "_used", m_fleet.allowedLately(m_tenant, seconds(4)) / limit());
        EXPECT_GE(m_fleet.allowedLately(m_tenant, seconds(4)), 0.97 * limit());
        expectWithinRule();
    }
}

// Guards against a tenant that becomes hot in one zone only, so that the others learn of it last.
TEST_P(QuotaFleetTest, BoundsATenantThatIsHotInOneZone)
{
    m_fleet.setRateEvenly(m_tenant, usual());
    m_fleet.run(seconds(15));
    m_fleet.resetWorstWindow();
    for (int i = 0; i < GetParam().daemons; i += GetParam().zones)
        m_fleet.setRate(m_tenant, i, 10 * usual() / GetParam().daemons);
    m_fleet.run(seconds(12));
    expectWithinRule();
}

// Guards against clients that are refused, below the limit, for having moved to another zone.
TEST_P(QuotaFleetTest, FollowsClientsToAnotherZoneInCalm)
{
    m_fleet.setRateInZone(m_tenant, 0, usual());
    m_fleet.run(seconds(15));
    m_fleet.resetWorstWindow();
    for (int zone = 1; zone < GetParam().zones; ++zone) {
        auto const before = m_fleet.total(m_tenant);
        m_fleet.setRateInZone(m_tenant, zone, usual());
        m_fleet.run(seconds(6));
        report("refused_after_a_shift", refusedShare(before));
        EXPECT_LT(refusedShare(before), 0.005);
    }
    expectWithinRule();
}

// Guards against a limit that lies idle, or is used twice, after the clients of an overloaded tenant have moved.
TEST_P(QuotaFleetTest, FollowsClientsToAnotherZoneInOverload)
{
    m_fleet.setRateInZone(m_tenant, 0, 2 * limit());
    m_fleet.run(seconds(15));
    m_fleet.resetWorstWindow();
    m_fleet.setRateInZone(m_tenant, 1, 2 * limit());
    for (int quarter = 1; quarter <= 8; ++quarter) {
        m_fleet.run(milliseconds(250));
        report("used_after_" + std::to_string(quarter * 250) + "_ms",
            m_fleet.allowedLately(m_tenant, milliseconds(250)) / limit());
    }
    // From a second after the shift on, for a second.
    EXPECT_GE(m_fleet.allowedLately(m_tenant, seconds(1)), 0.95 * limit());
    m_fleet.run(seconds(5));
    expectWithinRule();
}

// Guards against a lower limit that binds late, or that refuses everything for a while.
TEST_P(QuotaFleetTest, KeepsALimitThatFallsFarBelowTheDemand)
{
    m_fleet.setRateEvenly(m_tenant, usual());
    m_fleet.run(seconds(15));
    m_fleet.at(m_tenant) = makeTenant(limit() / 10, limit() / 10);
    m_fleet.run(seconds(6));
    m_fleet.resetWorstWindow();
    m_fleet.run(seconds(15));
    auto const used = m_fleet.allowedLately(m_tenant, seconds(4)) / (limit() / 10);
    report("used_of_the_lower_limit", used);
    EXPECT_GE(used, 0.97);
    expectWithinRule();
}

// Guards against zones that cannot reach each other and each use the whole limit.
TEST_P(QuotaFleetTest, KeepsTheLimitDuringAPartition)
{
    m_fleet.setRateEvenly(m_tenant, usual());
    m_fleet.run(seconds(15));
    m_fleet.isPartitioned = true;
    auto const before = m_fleet.total(m_tenant);
    m_fleet.run(seconds(20));
    report("refused_in_a_calm_partition", refusedShare(before));
    EXPECT_LT(refusedShare(before), 0.0001);
    m_fleet.resetWorstWindow();
    m_fleet.setRateEvenly(m_tenant, 5 * usual());
    m_fleet.run(seconds(30));
    expectWithinRule();
    m_fleet.isPartitioned = false;
    m_fleet.run(seconds(15));
    EXPECT_GE(m_fleet.allowedLately(m_tenant, seconds(4)), 0.97 * limit());
    expectWithinRule();
}

// Guards against a hot tenant that gets its whole burst again, and shares that nobody knows, after a restart of all
// daemons.
TEST_P(QuotaFleetTest, KeepsTheLimitWhenAllDaemonsRestart)
{
    m_fleet.setRateEvenly(m_tenant, usual());
    m_fleet.run(seconds(10));
    m_fleet.resetWorstWindow();
    for (int i = 0; i < GetParam().daemons; ++i)
        m_fleet.restart(i);
    auto const before = m_fleet.total(m_tenant);
    m_fleet.run(seconds(10));
    report("refused_after_restart_of_all", refusedShare(before));
    m_fleet.setRateEvenly(m_tenant, 5 * usual());
    m_fleet.run(seconds(10));
    report("used_before_restart", m_fleet.allowedLately(m_tenant, seconds(5)) / limit());
    for (int i = 0; i < GetParam().daemons; ++i)
        m_fleet.restart(i);
    m_fleet.resetWorstWindow();
    m_fleet.run(seconds(15));
    EXPECT_GE(m_fleet.allowedLately(m_tenant, seconds(4)), 0.97 * limit());
    expectWithinRule();
}

INSTANTIATE_TEST_SUITE_P(Sizes, QuotaFleetTest, testing::Values(fleet_size { 3, 12 }, fleet_size { 4, 66 }), nameOf);
// Left out under sanitizers (Meta/test.sh), where they would take minutes.
INSTANTIATE_TEST_SUITE_P(LargeFleet, QuotaFleetTest, testing::Values(fleet_size { 5, 194 }), nameOf);

} // namespace merlinpier
