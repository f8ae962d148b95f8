#include <LibConfiguration/configuration_head.h>
#include <LibCore/digest.h>
#include <platform/platform_store.h>

#include <deque>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace merlinpier::platform {

namespace {

// Answers each request with the next of the answers it was given.
class scripted_client final : public http_client {
public:
    http_exchange_id send(http_client_request request, http_callback callback) override
    {
        requests.push_back(std::move(request));
        auto answer = std::move(answers.front());
        answers.pop_front();
        callback(std::move(answer));
        return requests.size();
    }
    void cancel(http_exchange_id) override { }

    std::deque<result<http_response>> answers;
    std::vector<http_client_request> requests;
};

nlohmann::json operatorObject(std::uint64_t revision, std::string const& version)
{
    return { { "metadata", { { "name", "main" }, { "revision", revision } } },
        { "spec",
            { { "version", version }, { "routes", nlohmann::json::array() },
                { "services", { { { "name", "slots" } } } } } } };
}

class PlatformStoreTest : public testing::Test {
protected:
    void answer(int status, nlohmann::json const& body)
    {
        std::vector<http_field> headers;
        if (m_era > 0)
            headers.push_back({ "Store-Era", std::to_string(m_era) });
        m_client.answers.push_back(http_response { status, headers, body.dump() });
    }
    result<std::optional<stored_object>> watch(std::uint64_t after)
    {
        result<std::optional<stored_object>> outcome = std::optional<stored_object> {};
        m_store.watch(headKey, after, seconds(20), [&](auto const& answered) { outcome = answered; });
        return outcome;
    }
    std::string lastPath() const
    {
        return m_client.requests.back().url.substr(std::string("http://10.0.0.9:1").size());
    }

    scripted_client m_client;
    // The era that the following answers report; 0 for none.
    std::uint64_t m_era { 0 };
    platform_store m_store { m_client, "10.0.0.9:1" };
};

} // namespace

TEST_F(PlatformStoreTest, ReadsTheConfigurationAsHeadManifestAndFragments)
{
    answer(200, operatorObject(40, "00000007"));
    auto const seen = watch(0);
    ASSERT_FALSE(seen.isError());
    auto const head = parseHead(seen.value()->value).value();
    EXPECT_EQ(head.version, 7u);
    EXPECT_EQ(seen.value()->revision, 40u);
    std::optional<stored_object> manifestObject;
    m_store.read(manifestKey(head.manifestDigest), [&](auto const& read) { manifestObject = read.value(); });
    ASSERT_TRUE(manifestObject);
    auto const contents = parseManifest(manifestObject->value).value();
    std::vector<wire_fragment> fragments;
    for (auto const& entry : contents.entries)
        m_store.read(fragmentKey(entry.digest), [&](auto const& read) {
            fragments.push_back({ entry.service, entry.digest, read.value()->value });
        });
    EXPECT_FALSE(configuration_set::tryCreate(contents, fragments).isError());
    EXPECT_EQ(m_client.requests.size(), 1u) << "the parts of a version cost calls of their own";
}

TEST_F(PlatformStoreTest, WatchesFromTheRevisionOfTheAnswer)
{
    answer(200, operatorObject(40, "00000007"));
    ASSERT_FALSE(watch(0).isError());
    answer(200,
        { { "events", { { { "object", operatorObject(44, "00000009") }, { "deleted", false } } } },
            { "current_rev", 46 } });
    auto const seen = watch(40);
    EXPECT_EQ(lastPath(), "/v1/objects/config/main?watch=40&wait_ms=20000");
    EXPECT_EQ(parseHead(seen.value()->value).value().version, 9u);
    answer(200, { { "events", nlohmann::json::array() }, { "current_rev", 50 } });
    EXPECT_FALSE(watch(44).value());
    EXPECT_EQ(lastPath(), "/v1/objects/config/main?watch=46&wait_ms=20000");
}

TEST_F(PlatformStoreTest, ReadsAgainWhenTheHistoryIsGone)
{
    answer(200, operatorObject(40, "00000007"));
    ASSERT_FALSE(watch(0).isError());
    answer(410, nlohmann::json::object());
    answer(200, operatorObject(90, "0000000f"));
    EXPECT_EQ(parseHead(watch(40).value()->value).value().version, 15u);
}

TEST_F(PlatformStoreTest, WaitsForTheFirstConfiguration)
{
    answer(404, { { "current_rev", 3 } });
    answer(200, { { "events", { { { "object", operatorObject(5, "00000001") } } } }, { "current_rev", 5 } });
    EXPECT_EQ(parseHead(watch(0).value()->value).value().version, 1u);
    EXPECT_EQ(lastPath(), "/v1/objects/config/main?watch=3&wait_ms=20000");
}

TEST_F(PlatformStoreTest, TellsFailuresApart)
{
    answer(429, nlohmann::json::object());
    EXPECT_EQ(watch(0).failure().kind, error_kind::RateLimited);
    answer(503, nlohmann::json::object());
    EXPECT_EQ(watch(0).failure().kind, error_kind::Unavailable);
    m_client.answers.push_back(error { error_kind::OutcomeUnknown, "silent", "" });
    EXPECT_TRUE(watch(0).isError());
    m_client.answers.push_back(http_response { 200, {}, "no json" });
    EXPECT_EQ(watch(0).failure().kind, error_kind::Corrupt);
    answer(200, operatorObject(40, "not a version"));
    EXPECT_TRUE(watch(0).isError());
}

TEST_F(PlatformStoreTest, CreatesAnEntryAndReplacesOneThatIsThere)
{
    answer(409, nlohmann::json::object());
    answer(200, { { "metadata", { { "revision", 12 } } } });
    result<stored_object> written = stored_object {};
    m_store.write("members/10.0.0.1", "10.0.0.1:7", {}, [&](auto const& outcome) { written = outcome; });
    ASSERT_FALSE(written.isError());
    EXPECT_EQ(written.value().revision, 12u);
    EXPECT_EQ(m_client.requests[0].method + m_client.requests[1].method, "POSTPUT");
    EXPECT_EQ(lastPath(), "/v1/objects/members/10.0.0.1");
}

TEST_F(PlatformStoreTest, ListsPageByPageAndPassesOverWhatIsNotItsOwn)
{
    answer(200,
        { { "items",
              { { { "metadata", { { "name", "a" }, { "revision", 1 } } }, { "spec", "x:1" } },
                  { { "metadata", { { "name", "b" } } }, { "spec", { { "other", 1 } } } } } },
            { "has_more", true } });
    answer(200,
        { { "items", { { { "metadata", { { "name", "c" }, { "revision", 2 } } }, { "spec", "y:1" } } } },
            { "has_more", false } });
    std::vector<stored_object> listed;
    m_store.list("members/", [&](auto const& outcome) { listed = outcome.value(); });
    EXPECT_EQ(listed, (std::vector<stored_object> { { "members/a", 1, "x:1" }, { "members/c", 2, "y:1" } }));
    EXPECT_EQ(lastPath(), "/v1/objects/members?after=b");
}

TEST_F(PlatformStoreTest, ReadsTheConfigurationAgainInANewEra)
{
    m_era = 1;
    answer(200, operatorObject(40, "00000007"));
    ASSERT_FALSE(watch(0).isError());
    // The counter of the restored store has passed revision 40 again: the answer lacks the changes up to there.
    m_era = 2;
    answer(200, { { "events", nlohmann::json::array() }, { "current_rev", 55 } });
    answer(200, operatorObject(38, "00000009"));
    auto const seen = watch(40);
    ASSERT_TRUE(seen.value());
    EXPECT_EQ(parseHead(seen.value()->value).value().version, 9u);
    EXPECT_EQ(positionOf(*seen.value()), (store_position { 2, 38 }));
    EXPECT_EQ(m_store.era(), 2u);
    answer(200, { { "events", nlohmann::json::array() }, { "current_rev", 56 } });
    EXPECT_FALSE(watch(38).value());
    EXPECT_EQ(lastPath(), "/v1/objects/config/main?watch=38&wait_ms=20000");
}

TEST_F(PlatformStoreTest, WatchesFromTheLowerRevisionAfterARestore)
{
    m_era = 1;
    answer(200, operatorObject(40, "00000007"));
    ASSERT_FALSE(watch(0).isError());
    m_era = 2;
    answer(410, nlohmann::json::object());
    answer(200, operatorObject(12, "00000007"));
    ASSERT_TRUE(watch(40).value());
    answer(200, { { "events", nlohmann::json::array() }, { "current_rev", 13 } });
    EXPECT_FALSE(watch(12).value());
    EXPECT_EQ(lastPath(), "/v1/objects/config/main?watch=12&wait_ms=20000") << "every watch would get 410";
}

TEST_F(PlatformStoreTest, DiscardsAnswersOfAnEarlierEra)
{
    m_era = 2;
    answer(200, operatorObject(12, "00000007"));
    ASSERT_FALSE(watch(0).isError());
    m_era = 1;
    answer(200,
        { { "events", { { { "object", operatorObject(44, "00000009") }, { "deleted", false } } } },
            { "current_rev", 46 } });
    EXPECT_EQ(watch(12).failure().kind, error_kind::Unavailable);
    EXPECT_EQ(m_store.era(), 2u);
}

TEST_F(PlatformStoreTest, KeepsTheNewestConfigurationWhenTheStoreShowsAnOlderOne)
{
    m_era = 1;
    answer(200, operatorObject(40, "00000009"));
    auto const before = watch(0);
    auto const digest = parseHead(before.value()->value).value().manifestDigest;
    m_era = 2;
    answer(410, nlohmann::json::object());
    answer(200, operatorObject(12, "00000007"));
    EXPECT_EQ(parseHead(watch(40).value()->value).value().version, 9u);
    std::optional<stored_object> manifestObject;
    m_store.read(manifestKey(digest), [&](auto const& read) { manifestObject = read.value(); });
    EXPECT_TRUE(manifestObject) << "the version in force can no longer be read";
}

TEST_F(PlatformStoreTest, FailsAListingThatARestoreInterrupts)
{
    auto const item = [](char const* name) {
        return nlohmann::json { { "metadata", { { "name", name }, { "revision", 1 } } }, { "spec", "x:1" } };
    };
    m_era = 1;
    answer(200, { { "items", { item("a") } }, { "has_more", true } });
    m_era = 2;
    answer(200, { { "items", { item("c") } }, { "has_more", false } });
    result<std::vector<stored_object>> listed = std::vector<stored_object> {};
    m_store.list("members/", [&](auto const& outcome) { listed = outcome; });
    EXPECT_TRUE(listed.isError());
}

// Another writer can put anything into an object, and no content may end the process.
TEST_F(PlatformStoreTest, SurvivesFieldsOfAnotherType)
{
    auto const nameOfNumber
        = nlohmann::json { { "metadata", { { "name", 7 }, { "revision", "x" } } }, { "spec", "a" } };
    auto const good = nlohmann::json { { "metadata", { { "name", "b" }, { "revision", 2 } } }, { "spec", "y:1" } };
    std::vector<stored_object> listed;
    auto const list = [&] {
        m_store.list("members/",
            [&](auto const& outcome) { listed = outcome.isError() ? std::vector<stored_object> {} : outcome.value(); });
    };
    answer(200, { { "items", { nameOfNumber, 5, nullptr, good } }, { "has_more", "no" } });
    list();
    EXPECT_EQ(listed, (std::vector<stored_object> { { "members/b", 2, "y:1" } }));
    answer(200, { { "items", "none" } });
    list();
    EXPECT_TRUE(listed.empty());
    answer(200, operatorObject(40, "00000007"));
    ASSERT_FALSE(watch(0).isError());
    answer(200,
        { { "events", { 3, { { "object", operatorObject(44, "00000009") }, { "deleted", "maybe" } } } },
            { "current_rev", "soon" } });
    EXPECT_EQ(parseHead(watch(40).value()->value).value().version, 9u);
    answer(200, { { "metadata", 5 }, { "spec", 5 } });
    m_store.read(headKey, [](auto const& read) { EXPECT_TRUE(read.isError()); });
    answer(200, { { "metadata", "none" } });
    m_store.write("members/a", "x", { 3 }, [](auto const& written) { EXPECT_FALSE(written.isError()); });
}

TEST_F(PlatformStoreTest, ListsOnBehindAPageWithoutObjectsOfItsOwn)
{
    answer(200,
        { { "items", { { { "metadata", { { "name", "a" } } }, { "spec", { { "other", 1 } } } } } },
            { "has_more", true } });
    answer(200, { { "items", { { { "metadata", { { "name", "c" }, { "revision", 2 } } }, { "spec", "y:1" } } } } });
    std::vector<stored_object> listed;
    m_store.list("members/", [&](auto const& outcome) { listed = outcome.value(); });
    EXPECT_EQ(listed, (std::vector<stored_object> { { "members/c", 2, "y:1" } }));
    EXPECT_EQ(lastPath(), "/v1/objects/members?after=a");
}

// Without a pause, each watch would end at once and be followed by another read of the whole configuration.
TEST_F(PlatformStoreTest, AsksForAPauseWhenTheHistorySinceTheLastChangeIsGone)
{
    answer(200, operatorObject(40, "00000007"));
    ASSERT_FALSE(watch(0).isError());
    answer(410, nlohmann::json::object());
    answer(200, operatorObject(40, "00000007"));
    EXPECT_EQ(watch(40).failure().kind, error_kind::RateLimited);
}

} // namespace merlinpier::platform
