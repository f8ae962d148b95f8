#include <platform/client_key.h>
#include <platform/configuration_document.h>
#include <platform/tenant_document.h>

#include <LibTenants/tenant_fragment.h>
#include <chrono>
#include <fstream>
#include <gtest/gtest.h>
#include <limits>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace merlinpier::platform {

namespace {

using json = nlohmann::json;

json makeTenant(std::string const& name, std::vector<std::string> const& keys, json const& rate = 557)
{
    return { { "name", name }, { "api_keys", keys }, { "priority", 1 }, { "rate_per_s", rate }, { "burst", 557 } };
}

json makeDocument(json const& tenants, bool allowsAnonymous = false)
{
    json document { { "version", "0000000c" }, { "services", { { { "name", "slots" } } } },
        { "routes",
            { { { "name", "r" }, { "host", "h.example" }, { "path_prefix", "/p/" }, { "kind", "idempotent" },
                { "service", "slots" }, { "no_auth", allowsAnonymous } } } } };
    if (!tenants.is_null())
        document["tenants"] = tenants;
    return document;
}

std::shared_ptr<configuration_set const> read(json const& document)
{
    auto parsed = configuration_document::tryRead(document);
    if (parsed.isError())
        throw std::invalid_argument(parsed.failure().text());
    auto set = configuration_set::tryCreate(parsed.value().contents, parsed.value().fragments);
    if (set.isError())
        throw std::invalid_argument(set.failure().text());
    return set.releaseValue();
}

tenant const& onlyTenant(json const& tenant)
{
    static std::shared_ptr<configuration_set const> set;
    set = read(makeDocument(json::array({ tenant })));
    return set->tenants().tenants().at(0);
}

http_request makeRequest(std::vector<http_field> headers)
{
    http_request request;
    request.headers = std::move(headers);
    return request;
}

tenant_identity identify(
    tenant_directory const& tenants, std::vector<http_field> headers, request_circumstances circumstances = {})
{
    auto const request = makeRequest(std::move(headers));
    return identifyTenant(tenants, readCredential(request), circumstances);
}

std::string holderOf(tenant_directory const& tenants, std::string const& value)
{
    auto const identity = identify(tenants, { { "Authorization", value } });
    auto const* known = std::get_if<known_tenant>(&identity);
    return known ? known->holder->name : "";
}

std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * 4096;
}

} // namespace

TEST(TenantDocument, NamesTheTenantOfEveryKey)
{
    auto const set
        = read(makeDocument({ makeTenant("hule930", { "key-a", "key-b" }), makeTenant("vint", { "key-c" }) }));
    auto const& tenants = set->tenants();
    EXPECT_EQ(holderOf(tenants, "Token key-a"), "hule930");
    EXPECT_EQ(holderOf(tenants, "Token key-b"), "hule930");
    EXPECT_EQ(holderOf(tenants, "token   key-c "), "vint") << "the scheme is the same in any case of letters";
    auto const* found = tenants.findByName("hule930");
    ASSERT_NE(found, nullptr);
    EXPECT_EQ(*found, (tenant { "hule930", 1, 557000, 557000 }));
    EXPECT_EQ(tenants.findByHash(tenantHash("vint"))->name, "vint");
    EXPECT_EQ(tenants.findByName("hule"), nullptr);
}

// Guards against requests without a proper key that reach a target, and against a defect in reading what clients send.
TEST(TenantDocument, RefusesWhatIsNoKeyOfATenant)
{
    auto const set = read(makeDocument(json::array({ makeTenant("hule930", { "key-a" }), makeTenant("none", {}) })));
    std::vector<std::string> const bad { "", "Token", "Token ", "Token unknown", "Bearer key-a", "key-a", "Tokenkey-a",
        "Token key-a, Token key-a", "Token " + std::string(8192, 'k'), "Token \xff\xfe\x80",
        std::string("Token key-a\0", 12), "Token KEY-A", "Basic aGk6aGk=" };
    for (auto const& value : bad) {
        auto const identity = identify(set->tenants(), { { "Authorization", value } });
        EXPECT_TRUE(std::holds_alternative<not_authorized>(identity)) << value;
        auto const inner = identify(set->tenants(), { { "Authorization", value } }, { .mayBeInner = true });
        EXPECT_TRUE(std::holds_alternative<not_authorized>(inner)) << "targets send no such header: " << value;
    }
    EXPECT_TRUE(std::holds_alternative<not_authorized>(identify(set->tenants(), {})));
    EXPECT_TRUE(std::holds_alternative<not_authorized>(
        identify(set->tenants(), { { "Authorization", "Token key-a" }, { "authorization", "Token key-a" } })));
}

TEST(TenantDocument, RunsCallsByTargetsAndAnonymousRoutesWithoutAKey)
{
    auto const set = read(makeDocument(json::array({ makeTenant("hule930", { "key-a" }) }), true));
    auto const& tenants = set->tenants();
    EXPECT_TRUE(std::holds_alternative<no_tenant>(identify(tenants, {}, { .mayBeInner = true })));
    EXPECT_TRUE(std::holds_alternative<no_tenant>(identify(tenants, {}, { .allowsAnonymous = true })));
    EXPECT_TRUE(std::holds_alternative<no_tenant>(
        identify(tenants, { { "Authorization", "Bearer x" } }, { .allowsAnonymous = true })));
    EXPECT_TRUE(std::holds_alternative<known_tenant>(
        identify(tenants, { { "Authorization", "Token key-a" } }, { .allowsAnonymous = true })));
    EXPECT_TRUE(std::holds_alternative<not_authorized>(
        identify(tenants, { { "Authorization", "Token other" } }, { .allowsAnonymous = true })))
        << "no target runs a request with a key that no configuration has";
}

// Guards against a key or a forged tenant that reaches a target.
TEST(TenantDocument, PassesOnNeitherTheKeyNorAForgedTenant)
{
    std::vector<http_field> const headers { { "Host", "h" }, { "AUTHORIZATION", "Token key-a" }, { "tenant", "forged" },
        { "Tenant", "forged" }, { "Connection", "close" }, { "X-Other", "kept" } };
    EXPECT_EQ(passedHeaders(headers, true), (std::vector<header_field> { { "Host", "h" }, { "X-Other", "kept" } }));
    EXPECT_EQ(passedHeaders(headers, false).size(), 5u) << "without tenants, these headers are the client's own";
}

TEST(TenantDocument, LeavesADeploymentWithoutTenantsAsItWas)
{
    EXPECT_TRUE(read(makeDocument(nullptr))->tenants().isEmpty());
    EXPECT_TRUE(read(makeDocument(json::array()))->tenants().isEmpty());
    EXPECT_EQ(configuration_document::tryRead(makeDocument(nullptr)).value(),
        configuration_document::tryRead(makeDocument(json::array())).value());
}

// Guards against one bad entry that takes the whole configuration down, and against a tenant that loses its keys for a
// wrong number.
TEST(TenantDocument, ReadsWhatItCanOfBadEntries)
{
    EXPECT_EQ(onlyTenant(makeTenant("t", { "k" }, -3)).milliPerSecond, 0u);
    EXPECT_EQ(onlyTenant(makeTenant("t", { "k" }, "557")).milliPerSecond, 0u);
    EXPECT_EQ(onlyTenant(makeTenant("t", { "k" }, nullptr)).milliPerSecond, 0u);
    EXPECT_EQ(onlyTenant(makeTenant("t", { "k" }, 0)).milliPerSecond, 0u);
    EXPECT_EQ(onlyTenant(makeTenant("t", { "k" }, 2.5)).milliPerSecond, 2500u);
    EXPECT_EQ(onlyTenant(makeTenant("t", { "k" }, 0.00001)).milliPerSecond, 1u) << "a limit remains a limit";
    EXPECT_EQ(onlyTenant(makeTenant("t", { "k" }, 1e308)).milliPerSecond, 1'000'000'000'000'000u);
    EXPECT_EQ(onlyTenant(makeTenant("t", { "k" }, 18446744073709551615u)).milliPerSecond, 1'000'000'000'000'000u);
    EXPECT_FALSE(onlyTenant({ { "name", "t" }, { "api_keys", { "k" } } }).priority);
    EXPECT_FALSE(onlyTenant({ { "name", "t" }, { "api_keys", { "k" } } }).isLimited());
    auto const mixed = read(makeDocument(json::array({ 3, json::object(), { { "name", 5 }, { "api_keys", { "a" } } },
        { { "name", "" }, { "api_keys", { "b" } } }, { { "name", "t" }, { "api_keys", "c" } },
        { { "name", "u" }, { "api_keys", { "d", 4, nullptr, "", "d" } } }, { { "name", "v" } } })));
    EXPECT_EQ(mixed->tenants().tenants().size(), 2u);
    EXPECT_EQ(holderOf(mixed->tenants(), "Token d"), "u");
}

TEST(TenantDocument, RefusesTenantsThatContradictEachOther)
{
    EXPECT_TRUE(configuration_document::tryRead(makeDocument({ makeTenant("a", { "k" }), makeTenant("b", { "k" }) }))
                    .isError());
    EXPECT_TRUE(configuration_document::tryRead(makeDocument({ makeTenant("a", { "k" }), makeTenant("a", { "l" }) }))
                    .isError());
    EXPECT_TRUE(configuration_document::tryRead(makeDocument("all")).isError());
    EXPECT_TRUE(configuration_document::tryRead(makeDocument(json::array({ 3 }))).isError())
        << "without any tenant, all requests would run";
}

// Guards against keys in what daemons send each other, and against bytes for a change that concerns no tenant.
TEST(TenantDocument, HoldsNoKeyAndChangesOnlyWithItsTenants)
{
    auto source = makeDocument(json::array({ makeTenant("hule930", { "jvz48wuakn2ftimaj3nr" }) }));
    auto const before = configuration_document::tryRead(source).releaseValue();
    source["version"] = "0000000d";
    source["routes"][0]["timeout_ms"] = 5;
    auto const after = configuration_document::tryRead(source).releaseValue();
    auto const fragmentOf = [](configuration_document const& document) {
        for (auto const& fragment : document.fragments) {
            if (fragment.service == tenantsFragment)
                return fragment;
        }
        return wire_fragment {};
    };
    EXPECT_EQ(fragmentOf(before), fragmentOf(after));
    EXPECT_FALSE(fragmentOf(before).content.empty());
    for (auto const& fragment : before.fragments)
        EXPECT_EQ(fragment.content.find("jvz48wuakn2ftimaj3nr"), std::string::npos) << fragment.service;
    auto const first = configuration_set::tryCreate(before.contents, before.fragments).releaseValue();
    auto const second = configuration_set::tryCreate(after.contents, after.fragments, first.get()).releaseValue();
    EXPECT_EQ(&first->tenants(), &second->tenants()) << "an unchanged fragment is not read again";
}

TEST(TenantDocument, RefusesDamagedFragments)
{
    auto const document
        = readTenants(makeDocument({ makeTenant("a", { "k" }), makeTenant("b", { "l" }) })).releaseValue();
    auto const content = serializeTenants(document->salt, document->entries);
    EXPECT_FALSE(parseTenants(content).isError());
    for (std::size_t length = 0; length < content.size(); ++length)
        EXPECT_TRUE(parseTenants(content.substr(0, length)).isError()) << length;
    EXPECT_TRUE(parseTenants(content + "x").isError());
}

// Guards against a request that runs under the name of a tenant whose key it does not carry.
RC_GTEST_PROP(TenantDocument, AlwaysNamesTheHolderOfTheKey, ())
{
    auto const count = *rc::gen::inRange(1, 40);
    std::vector<std::pair<std::string, std::string>> holders;
    auto tenants = json::array();
    for (int i = 0; i < count; ++i) {
        std::vector<std::string> keys;
        for (int k = *rc::gen::inRange(0, 6); k > 0; --k) {
            keys.push_back("k" + std::to_string(*rc::gen::inRange(0, 1000)) + "-" + std::to_string(i));
            holders.emplace_back(keys.back(), "t" + std::to_string(i));
        }
        tenants.push_back(makeTenant("t" + std::to_string(i), keys));
    }
    auto const set = read(makeDocument(tenants));
    for (auto const& [key, name] : holders)
        RC_ASSERT(holderOf(set->tenants(), "Token " + key) == name);
    auto const garbage = *rc::gen::arbitrary<std::string>();
    bool const isKey = std::any_of(
        holders.begin(), holders.end(), [&](auto const& entry) { return "Token " + entry.first == garbage; });
    RC_ASSERT(isKey || holderOf(set->tenants(), garbage).empty());
    RC_ASSERT(isKey || holderOf(set->tenants(), "Token " + garbage + "!").empty());
}

// Guards against a configuration that a daemon with a tenth of a core and 160 MB cannot apply.
TEST(TenantDocument, AppliesTenThousandTenants)
{
    auto tenants = json::array();
    for (int i = 0; i < 10000; ++i) {
        std::vector<std::string> keys;
        for (int k = 0; k < 5; ++k)
            keys.push_back("0123456789abcdef" + std::to_string(i * 5 + k));
        tenants.push_back(makeTenant("tenant" + std::to_string(i), keys));
    }
    auto const source = makeDocument(tenants);
    auto const start = std::chrono::steady_clock::now();
    auto const document = configuration_document::tryRead(source).releaseValue();
    auto const readAt = std::chrono::steady_clock::now();
    auto const memoryBefore = residentBytes();
    auto const set = configuration_set::tryCreate(document.contents, document.fragments).releaseValue();
    auto const memory = residentBytes() - memoryBefore;
    auto const appliedAt = std::chrono::steady_clock::now();
    int found = 0;
    for (int i = 0; i < 10000; ++i)
        found += holderOf(set->tenants(), "Token 0123456789abcdef" + std::to_string(i * 5))
            == "tenant" + std::to_string(i);
    auto const lookedUpAt = std::chrono::steady_clock::now();
    EXPECT_EQ(found, 10000);
    std::size_t bytes = 0;
    for (auto const& fragment : document.fragments)
        bytes += fragment.content.size();
    auto const microsecondsOf = [](auto time) {
        return static_cast<int>(std::chrono::duration_cast<std::chrono::microseconds>(time).count());
    };
    RecordProperty("read_us", microsecondsOf(readAt - start));
    std::cout << "10,000 tenants with 5 keys each: read_us=" << microsecondsOf(readAt - start)
              << " apply_us=" << microsecondsOf(appliedAt - readAt) << " apply_bytes=" << memory
              << " fragment_bytes=" << bytes << " lookup_ns=" << microsecondsOf(lookedUpAt - appliedAt) / 10 << "\n";
    EXPECT_LT(bytes, 2'000'000u) << "fits into a frame between daemons";
    EXPECT_LT(memory, 16'000'000u);
}

} // namespace merlinpier::platform
