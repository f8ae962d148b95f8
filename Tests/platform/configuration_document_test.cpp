#include <platform/configuration_document.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <set>

namespace merlinpier::platform {

namespace {

nlohmann::json sampleRoute(std::string const& name, std::string const& host)
{
    return { { "name", name }, { "host", host }, { "path_prefix", "/p/" }, { "kind", "idempotent" },
        { "timeout_ms", 1200 }, { "target_latency_ms", 200 }, { "priority", 2 }, { "max_attempts", 2 },
        { "service", "slots" } };
}

nlohmann::json sample(int routes = 3)
{
    nlohmann::json document { { "version", "0000000c" },
        { "services", { { { "name", "slots" }, { "max_connections", 110 } }, { { "name", "halls" } } } },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 67108864 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } },
        { "routes", nlohmann::json::array() } };
    for (int i = 0; i < routes; ++i)
        document["routes"].push_back(sampleRoute("r" + std::to_string(i), "h" + std::to_string(i) + ".example"));
    return document;
}

std::set<std::string> digestsOf(configuration_document const& document)
{
    std::set<std::string> digests;
    for (auto const& fragment : document.fragments)
        digests.insert(fragment.digest);
    return digests;
}

} // namespace

TEST(ConfigurationDocument, BecomesAVersionOfTheProduct)
{
    auto source = sample();
    source["routes"][1].erase("service");
    source["routes"][1]["kind"] = "non_idempotent";
    source["routes"][1]["weighted_services"]
        = { { { "service", "slots" }, { "weight", 90 } }, { { "service", "halls" }, { "weight", 10 } } };
    auto const document = configuration_document::tryRead(source);
    ASSERT_FALSE(document.isError()) << document.failure().text();
    auto const set = configuration_set::tryCreate(document.value().contents, document.value().fragments);
    ASSERT_FALSE(set.isError()) << set.failure().text();
    EXPECT_EQ(set.value()->version(), 12u);
    EXPECT_EQ(set.value()->limits().idleTimeout, milliseconds(15000));
    auto const* plain = set.value()->routes().match("h0.example", "/p/x");
    ASSERT_NE(plain, nullptr);
    EXPECT_TRUE(plain->policy.isIdempotent);
    EXPECT_EQ(plain->policy.timeout, milliseconds(1200));
    EXPECT_EQ(plain->policy.latencyObjective, milliseconds(200));
    EXPECT_EQ(plain->policy.maximumAttempts, 2u);
    auto const* split = set.value()->routes().match("h1.example", "/p/x");
    EXPECT_FALSE(split->policy.isIdempotent);
    EXPECT_EQ(split->services, (std::vector<weighted_service> { { "slots", 90 }, { "halls", 10 } }));
}

TEST(ConfigurationDocument, ChangesOneFragmentForOneRoute)
{
    auto source = sample(300);
    auto const before = configuration_document::tryRead(source).releaseValue();
    source["version"] = "0000000d";
    source["routes"][7]["timeout_ms"] = 900;
    auto const after = configuration_document::tryRead(source).releaseValue();
    auto const known = digestsOf(before);
    int changed = 0;
    for (auto const& digest : digestsOf(after))
        changed += !known.contains(digest);
    EXPECT_EQ(changed, 1);
}

// One route of kind "download" made the whole configuration invalid, so that no daemon of the fleet became ready.
TEST(ConfigurationDocument, TreatsDownloadsAsIdempotentAndLarge)
{
    auto source = sample();
    source["routes"][1]["kind"] = "download";
    source["routes"][1]["no_auth"] = true;
    auto const document = configuration_document::tryRead(source).releaseValue();
    auto const set = configuration_set::tryCreate(document.contents, document.fragments).releaseValue();
    auto const* download = set->routes().match("h1.example", "/p/x");
    ASSERT_NE(download, nullptr);
    EXPECT_TRUE(download->policy.isIdempotent);
    EXPECT_TRUE(download->policy.isBulk);
    EXPECT_TRUE(download->policy.allowsAnonymous);
    EXPECT_FALSE(set->routes().match("h0.example", "/p/x")->policy.isBulk);
}

// A kind that a newer operator writes must neither take the other routes down nor run more often than once.
TEST(ConfigurationDocument, RunsRequestsOfAnUnknownKindAtMostOnce)
{
    auto source = sample();
    source["routes"][1]["kind"] = "sometimes";
    auto const document = configuration_document::tryRead(source).releaseValue();
    auto const set = configuration_set::tryCreate(document.contents, document.fragments).releaseValue();
    auto const* unknown = set->routes().match("h1.example", "/p/x");
    ASSERT_NE(unknown, nullptr);
    EXPECT_FALSE(unknown->policy.isIdempotent);
    EXPECT_TRUE(set->routes().match("h0.example", "/p/x")->policy.isIdempotent);
}

TEST(ConfigurationDocument, TakesNothingOfADocumentThatItCannotRead)
{
    std::vector<nlohmann::json> broken(7, sample());
    broken[0].erase("version");
    broken[1]["version"] = "latest";
    broken[2]["routes"] = "none";
    broken[3]["routes"][1].erase("host");
    broken[4]["routes"][1].erase("service");
    broken[5]["services"] = 3;
    broken[6]["routes"][1]["timeout_ms"] = -5;
    for (std::size_t i = 0; i < broken.size(); ++i)
        EXPECT_TRUE(configuration_document::tryRead(broken[i]).isError()) << i;
    EXPECT_TRUE(configuration_document::tryParse("{\"version\":").isError());
}

} // namespace merlinpier::platform
