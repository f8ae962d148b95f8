#include "quota_simulation.h"

#include <cmath>
#include <gtest/gtest.h>
#include <iostream>

// Fleets with many tenants whose sizes fall with their rank, as operators have them: bytes, processor time, and both
// directions of a wrong decision. The figures that the tests print stand in docs/design/tenants.md.

namespace merlinpier {

namespace {

constexpr std::size_t tenantCount = 75;
constexpr double sizeExponent = 1.2;
constexpr double limitFactor = 1.6;

struct fleet_load {
    int zones { 1 };
    int daemons { 1 };
    double requestsPerSecond { 2000 };
    seconds calm { 20 };
};

std::string nameOf(testing::TestParamInfo<fleet_load> const& info)
{
    return std::to_string(info.param.daemons) + "Daemons";
}

class ManyTenantsTest : public testing::TestWithParam<fleet_load> { };

// Gives a tenant as many clients as its size calls for, each at one VM.
void placeClients(quota_simulation& fleet, std::size_t tenant, double perSecond, generator& source)
{
    auto const clients = std::max(3, static_cast<int>(perSecond));
    std::vector<double> rates(static_cast<std::size_t>(fleet.daemons()), 0.0);
    for (int i = 0; i < clients; ++i)
        rates[uniformBelow(source, rates.size())] += perSecond / clients;
    for (std::size_t i = 0; i < rates.size(); ++i)
        fleet.setRate(tenant, static_cast<int>(i), rates[i]);
}

// Runs for a time, and returns the bytes that a daemon sent in a second, on average.
double bytesEach(quota_simulation& fleet, seconds time)
{
    auto const before = fleet.bytesSent();
    fleet.run(time);
    return static_cast<double>(fleet.bytesSent() - before) / static_cast<double>(time.count()) / fleet.daemons();
}

} // namespace

// Guards against refusals below the limits, windows above the rule, and an exchange that costs more than it is worth.
TEST_P(ManyTenantsTest, KeepTheirLimitsAtLittleCost)
{
    auto const load = GetParam();
    quota_simulation fleet(20261204, load.zones, load.daemons);
    generator source(7);
    double weights = 0;
    for (std::size_t rank = 1; rank <= tenantCount; ++rank)
        weights += std::pow(rank, -sizeExponent);
    std::vector<double> usual;
    for (std::size_t rank = 1; rank <= tenantCount; ++rank) {
        usual.push_back(load.requestsPerSecond * std::pow(rank, -sizeExponent) / weights);
        auto const limit = static_cast<std::uint64_t>(usual.back() * limitFactor * 1000);
        fleet.addTenant({ "tenant" + std::to_string(rank), {}, limit, limit });
    }
    // What the daemons send each other without any demand is no cost of the exchange.
    fleet.run(seconds(10));
    auto const bytesWithoutDemand = bytesEach(fleet, seconds(10));
    for (std::size_t tenant = 0; tenant < tenantCount; ++tenant)
        placeClients(fleet, tenant, usual[tenant], source);
    fleet.run(seconds(10));
    std::vector<quota_simulation::outcome> before;
    for (std::size_t tenant = 0; tenant < tenantCount; ++tenant)
        before.push_back(fleet.total(tenant));
    auto const bytes = bytesEach(fleet, load.calm) - bytesWithoutDemand;
    std::uint64_t offered = 0;
    std::uint64_t refused = 0;
    for (std::size_t tenant = 0; tenant < tenantCount; ++tenant) {
        auto const now = fleet.total(tenant);
        offered += now.offered - before[tenant].offered;
        refused += now.offered - before[tenant].offered - (now.allowed - before[tenant].allowed);
    }
    std::cout << load.daemons << " daemons: calm offered=" << offered << " refused=" << refused
              << " bytes_sent_per_daemon_and_second=" << bytes << " without_demand=" << bytesWithoutDemand << "\n";
    EXPECT_LT(static_cast<double>(refused), 0.0001 * static_cast<double>(offered));
    EXPECT_LT(bytes, 1000);

    // One large and one small tenant send five times as much.
    for (std::size_t const hot : { std::size_t { 1 }, std::size_t { 30 } }) {
        fleet.resetWorstWindow();
        placeClients(fleet, hot, 5 * usual[hot], source);
        auto const hotBytes = bytesEach(fleet, seconds(10)) - bytesWithoutDemand;
        auto const used = fleet.allowedLately(hot, seconds(5)) / (usual[hot] * limitFactor);
        std::cout << load.daemons << " daemons: hot rank " << hot + 1 << " used=" << used
                  << " worst_window=" << fleet.worstWindow(hot) << " bytes_sent_per_daemon_and_second=" << hotBytes
                  << "\n";
        EXPECT_GE(used, 0.97);
        EXPECT_LE(fleet.worstWindow(hot), 1.05);
        for (std::size_t tenant = 0; tenant < tenantCount; ++tenant)
            EXPECT_LE(fleet.worstWindow(tenant), 1.05) << tenant;
    }
}

INSTANTIATE_TEST_SUITE_P(Sizes, ManyTenantsTest,
    testing::Values(fleet_load { 3, 12, 400, seconds(100) }, fleet_load { 4, 66, 2000 }), nameOf);
// Left out under sanitizers (Meta/test.sh), where they would take minutes.
INSTANTIATE_TEST_SUITE_P(LargeFleet, ManyTenantsTest,
    testing::Values(fleet_load { 5, 194, 5000 }, fleet_load { 10, 1000, 20000, seconds(8) }), nameOf);

} // namespace merlinpier
