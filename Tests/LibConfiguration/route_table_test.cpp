#include <LibConfiguration/configuration_set.h>
#include <LibConfiguration/route_fragment.h>
#include <LibConfiguration/route_table.h>
#include <LibCore/digest.h>

#include <gtest/gtest.h>

namespace merlinpier {

namespace {

route makeRoute(std::string name, std::string host, std::string prefix, std::string service = "slots")
{
    route made { std::move(host), std::move(prefix), { { std::move(service), 1 } }, {} };
    made.policy.name = std::move(name);
    made.policy.timeout = milliseconds(800);
    made.policy.latencyObjective = milliseconds(200);
    made.policy.priority = 2;
    made.policy.maximumAttempts = 3;
    return made;
}

wire_fragment makeFragment(std::string name, std::string content)
{
    auto digest = contentDigest(content);
    return { std::move(name), std::move(digest), std::move(content) };
}

result<std::shared_ptr<configuration_set const>> makeSet(std::vector<wire_fragment> const& fragments)
{
    manifest versionManifest { 7, 0, {} };
    for (auto const& fragment : fragments)
        versionManifest.entries.push_back({ fragment.service, 1, fragment.digest });
    return configuration_set::tryCreate(versionManifest, fragments);
}

} // namespace

TEST(RouteTable, MatchesTheLongestPrefixOfTheHost)
{
    auto const table = route_table::tryCreate(
        { makeRoute("all", "a.example", "/"), makeRoute("orders", "a.example", "/orders/"),
            makeRoute("old", "a.example", "/orders/old/"), makeRoute("other", "b.example", "/orders/") })
                           .releaseValue();
    EXPECT_EQ(table.match("a.example", "/orders/old/1")->policy.name, "old");
    EXPECT_EQ(table.match("a.example", "/orders/1?next=/orders/old/")->policy.name, "orders");
    EXPECT_EQ(table.match("a.example", "/orders")->policy.name, "all")
        << "a path without the prefix's final slash does not match it";
    EXPECT_EQ(table.match("A.Example:8080", "/orders/")->policy.name, "orders");
    EXPECT_EQ(table.match("b.example", "/"), nullptr);
    EXPECT_EQ(table.match("c.example", "/orders/"), nullptr);
    EXPECT_EQ(table.match("a.example", "*"), nullptr);
}

TEST(RouteTable, RefusesDuplicatePrefixesAndPrefixesWithoutSlashes)
{
    EXPECT_TRUE(route_table::tryCreate({ makeRoute("x", "a", "/p/"), makeRoute("y", "a", "/p/") }).isError());
    EXPECT_TRUE(route_table::tryCreate({ makeRoute("x", "a", "/p") }).isError());
    EXPECT_TRUE(route_table::tryCreate({ makeRoute("x", "a", "p/") }).isError());
}

TEST(RouteTable, RoundTripsRoutesAndSettings)
{
    std::vector<route> const routes { makeRoute("x", "a.example", "/p/"), makeRoute("y", "b.example", "/") };
    EXPECT_EQ(parseRoutes(serializeRoutes(routes)).value(), routes);
    mesh_settings const settings { { { "slots", 110 } }, { 100, 200, milliseconds(300), milliseconds(400) } };
    EXPECT_EQ(parseMeshSettings(serializeMeshSettings(settings)).value(), settings);
    for (std::string const bytes : { "", "{}", "{\"routes\":[{\"name\":1}]}" })
        EXPECT_EQ(parseRoutes(bytes).failure().kind, error_kind::Corrupt);
    EXPECT_TRUE(parseMeshSettings("[]").isError());
}

TEST(RouteTable, RefusesFragmentsThatAreTruncatedOrFollowedByMoreBytes)
{
    auto const content = serializeRoutes({ makeRoute("x", "a.example", "/p/"), makeRoute("y", "b.example", "/") });
    for (std::size_t size = 0; size < content.size(); ++size)
        EXPECT_TRUE(parseRoutes(content.substr(0, size)).isError()) << size << " bytes";
    EXPECT_TRUE(parseRoutes(content + "x").isError());
    // The content needs no alignment.
    EXPECT_FALSE(parseRoutes(std::string_view(" " + content).substr(1)).isError());
}

TEST(RouteTable, IsPartOfAConfigurationSetAndValidatedWithIt)
{
    auto const settings = makeFragment("mesh/settings", serializeMeshSettings({ { { "slots", 110 } }, {} }));
    auto const routes = makeFragment("mesh/routes/00", serializeRoutes({ makeRoute("x", "a.example", "/p/") }));
    auto const created = makeSet({ routes, settings });
    ASSERT_FALSE(created.isError()) << created.failure().text();
    EXPECT_EQ(created.value()->routes().match("a.example", "/p/1")->policy.name, "x");
    EXPECT_TRUE(created.value()->isLicensed("slots", "any"))
        << "copies of services placed by the platform need no listed licence";
    EXPECT_FALSE(created.value()->isLicensed("bookings", "any"));
    auto const dangling = makeFragment("mesh/routes/00", serializeRoutes({ makeRoute("x", "a", "/p/", "bookings") }));
    EXPECT_EQ(makeSet({ dangling, settings }).failure().kind, error_kind::BadInput);
}

} // namespace merlinpier
