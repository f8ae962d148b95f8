#include <LibPlatform/http_object_store.h>
#include <LibPlatform/memory_object_store.h>
#include <Tests/StandIns/Platform/platform_handler.h>

#include <future>
#include <gtest/gtest.h>
#include <thread>

namespace merlinpier {

namespace {

// A store under test and the means to inject faults into it.
class store_fixture {
public:
    virtual ~store_fixture() = default;
    virtual object_store& store() = 0;
    virtual void setFault(store_fault) = 0;
};

class memory_fixture final : public store_fixture {
public:
    object_store& store() override { return m_store; }
    void setFault(store_fault fault) override { m_store.setFault(fault); }

private:
    memory_object_store m_store;
};

// The HTTP store with everything behind it: HTTP client, HTTP server and the handler of the platform stand-in.
class http_fixture final : public store_fixture {
public:
    object_store& store() override { return m_store; }
    void setFault(store_fault fault) override { m_handler.store().setFault(fault); }

private:
    platform_handler m_handler { platform_limits { 10'000, 10'000 } };
    std::unique_ptr<http_server> m_server { http_server::tryCreate({}, m_handler).releaseValue() };
    std::unique_ptr<http_client> m_client { http_client::create() };
    http_object_store m_store { *m_client, "127.0.0.1:" + std::to_string(m_server->port()) };
};

template <typename Value, typename Operation> result<Value> await(Operation operation)
{
    auto const promise = std::make_shared<std::promise<result<Value>>>();
    operation([promise](result<Value> outcome) { promise->set_value(std::move(outcome)); });
    return promise->get_future().get();
}

using maybe_object = std::optional<stored_object>;

result<maybe_object> read(object_store& store, std::string const& key)
{
    return await<maybe_object>([&](auto callback) { store.read(key, callback); });
}

result<stored_object> write(
    object_store& store, std::string const& key, std::string const& value, write_condition condition = {})
{
    return await<stored_object>([&](auto callback) { store.write(key, value, condition, callback); });
}

template <typename Value> error_kind failureKind(result<Value> const& outcome)
{
    return outcome.isError() ? outcome.failure().kind : error_kind::Internal;
}

template <typename Fixture> class ObjectStoreTest : public testing::Test {
protected:
    object_store& store() { return m_fixture.store(); }
    Fixture m_fixture;
};

using fixtures = testing::Types<memory_fixture, http_fixture>;
TYPED_TEST_SUITE(ObjectStoreTest, fixtures);

} // namespace

TYPED_TEST(ObjectStoreTest, ReadsWhatWasWritten)
{
    std::string const key = "objects/a b/%41?ü";
    EXPECT_EQ(read(this->store(), key), result<maybe_object>(maybe_object()));
    auto const written = write(this->store(), key, "{\"a\": \"ü\"}");
    ASSERT_FALSE(written.isError()) << written.failure().text();
    EXPECT_EQ(read(this->store(), key), result<maybe_object>(maybe_object(written.value())));
    EXPECT_EQ(written.value().value, "{\"a\": \"ü\"}");
}

TYPED_TEST(ObjectStoreTest, WritesOnlyWhenTheConditionHolds)
{
    auto const first = write(this->store(), "k", "1", { 0 });
    ASSERT_FALSE(first.isError()) << first.failure().text();
    EXPECT_EQ(failureKind(write(this->store(), "k", "2", { 0 })), error_kind::Conflict);
    EXPECT_EQ(failureKind(write(this->store(), "k", "2", { first.value().revision + 1 })), error_kind::Conflict);
    EXPECT_EQ(failureKind(write(this->store(), "other", "2", { 7 })), error_kind::Conflict);
    EXPECT_EQ(read(this->store(), "other").value(), std::nullopt);
    EXPECT_EQ(read(this->store(), "k").value()->value, "1");
    auto const second = write(this->store(), "k", "2", { first.value().revision });
    ASSERT_FALSE(second.isError()) << second.failure().text();
    EXPECT_GT(second.value().revision, first.value().revision);
}

TYPED_TEST(ObjectStoreTest, OneOfTwoRacingWritersWins)
{
    constexpr int writers = 8;
    std::atomic<int> wins = 0;
    std::vector<std::thread> threads;
    for (int i = 0; i < writers; ++i)
        threads.emplace_back([&] { wins += write(this->store(), "k", "v", { 0 }).isError() ? 0 : 1; });
    for (auto& thread : threads)
        thread.join();
    EXPECT_EQ(wins, 1);
}

TYPED_TEST(ObjectStoreTest, ListsByPrefixInOrderOfKey)
{
    for (char const* key : { "b/2", "a/1", "b/1", "b", "c" })
        ASSERT_FALSE(write(this->store(), key, key).isError());
    auto const listed = await<std::vector<stored_object>>([&](auto callback) { this->store().list("b/", callback); });
    ASSERT_FALSE(listed.isError()) << listed.failure().text();
    ASSERT_EQ(listed.value().size(), 2U);
    EXPECT_EQ(listed.value()[0].key, "b/1");
    EXPECT_EQ(listed.value()[1].value, "b/2");
}

TYPED_TEST(ObjectStoreTest, CompletesAWatchUponAWrite)
{
    auto const first = write(this->store(), "k", "1");
    std::promise<result<maybe_object>> completed;
    this->store().watch("k", first.value().revision, seconds(60), [&](auto outcome) { completed.set_value(outcome); });
    ASSERT_FALSE(write(this->store(), "other", "x").isError());
    ASSERT_FALSE(write(this->store(), "k", "2").isError());
    EXPECT_EQ(completed.get_future().get().value()->value, "2");
}

TYPED_TEST(ObjectStoreTest, CompletesAWatchWithTheCurrentObject)
{
    auto const first = write(this->store(), "k", "1");
    auto const expired = await<maybe_object>(
        [&](auto callback) { this->store().watch("k", first.value().revision, milliseconds(10), callback); });
    EXPECT_EQ(expired.value(), maybe_object(first.value()));
    auto const atOnce = await<maybe_object>([&](auto callback) { this->store().watch("k", 0, seconds(60), callback); });
    EXPECT_EQ(atOnce.value(), maybe_object(first.value()));
    auto const missing
        = await<maybe_object>([&](auto callback) { this->store().watch("none", 0, milliseconds(10), callback); });
    EXPECT_EQ(missing.value(), std::nullopt);
}

TYPED_TEST(ObjectStoreTest, HasNoEffectWhileDown)
{
    ASSERT_FALSE(write(this->store(), "k", "1").isError());
    this->m_fixture.setFault({ store_fault_mode::Down, {} });
    EXPECT_EQ(failureKind(write(this->store(), "k", "2")), error_kind::Unavailable);
    EXPECT_EQ(failureKind(read(this->store(), "k")), error_kind::Unavailable);
    this->m_fixture.setFault({});
    EXPECT_EQ(read(this->store(), "k").value()->value, "1");
}

TYPED_TEST(ObjectStoreTest, AppliesAWriteWhoseAnswerIsLost)
{
    this->m_fixture.setFault({ store_fault_mode::LoseAnswers, {} });
    EXPECT_EQ(failureKind(write(this->store(), "k", "1", { 0 })), error_kind::OutcomeUnknown);
    EXPECT_EQ(read(this->store(), "k").value()->value, "1");
}

TYPED_TEST(ObjectStoreTest, CompletesOperationsWhenSlow)
{
    this->m_fixture.setFault({ store_fault_mode::Slow, milliseconds(20) });
    auto const written = write(this->store(), "k", "1", { 0 });
    ASSERT_FALSE(written.isError()) << written.failure().text();
    EXPECT_EQ(read(this->store(), "k").value()->value, "1");
}

TEST(MemoryObjectStore, FailsPendingWatchesWhenItGoesDown)
{
    memory_object_store store;
    error_kind kind = error_kind::Internal;
    store.watch("k", 0, seconds(60), [&](auto const& outcome) { kind = failureKind(outcome); });
    store.setFault({ store_fault_mode::Down, {} });
    EXPECT_EQ(kind, error_kind::Unavailable);
}

TEST(PlatformHandler, RefusesCallsBeyondItsLimits)
{
    platform_handler handler(platform_limits { 2, 1 });
    auto const server = http_server::tryCreate({}, handler).releaseValue();
    auto const client = http_client::create();
    http_object_store store(*client, "127.0.0.1:" + std::to_string(server->port()));
    // So many calls that some exceed the limits per second even if the test runs slowly.
    int refusedReads = 0;
    int refusedWrites = 0;
    for (int i = 0; i < 50; ++i) {
        refusedReads += failureKind(read(store, "k")) == error_kind::RateLimited ? 1 : 0;
        refusedWrites += failureKind(write(store, "k", "1")) == error_kind::RateLimited ? 1 : 0;
    }
    EXPECT_GT(refusedReads, 0);
    EXPECT_GT(refusedWrites, 0);
}

TEST(PlatformHandler, RefusesValuesThatAreNotUtf8OrTooLarge)
{
    platform_handler handler { platform_limits {} };
    auto const server = http_server::tryCreate({}, handler).releaseValue();
    auto const client = http_client::create();
    http_object_store store(*client, "127.0.0.1:" + std::to_string(server->port()));
    EXPECT_EQ(failureKind(write(store, "k", "\xff\xfe")), error_kind::BadInput);
    EXPECT_EQ(failureKind(write(store, "k", std::string(1024 * 1024 + 1, 'x'))), error_kind::BadInput);
    EXPECT_EQ(read(store, "k").value(), std::nullopt);
}

TEST(PlatformHandler, CountsCallsAndBytes)
{
    platform_totals totals;
    time_point const now {};
    for (int i = 0; i < 3; ++i)
        totals.countCall(platform_call::Read, 10, now);
    totals.countCall(platform_call::Write, 5, now + milliseconds(999));
    totals.countCall(platform_call::Watch, 1, now + seconds(1));
    totals.countAnswer(7);
    EXPECT_EQ(totals.json(),
        R"({"bytes_in":36,"bytes_out":7,"peak_calls_per_s":4,"rate_limited":0,"reads":3,"watches":1,"writes":1})");
}

TEST(HttpObjectStore, FailsWithUnavailableIfThePlatformCannotBeReached)
{
    auto const client = http_client::create();
    // Nothing listens on port 1 of the loopback address.
    http_object_store store(*client, "127.0.0.1:1");
    EXPECT_EQ(failureKind(read(store, "k")), error_kind::Unavailable);
    EXPECT_EQ(failureKind(write(store, "k", "v")), error_kind::Unavailable);
}

namespace {

// Completes the callbacks of all its exchanges when it is destroyed, as the real clients do.
class completing_client final : public http_client {
public:
    ~completing_client() override
    {
        for (auto const& callback : m_callbacks)
            callback(error { error_kind::OutcomeUnknown, "the exchange was cancelled", "" });
    }
    http_exchange_id send(http_client_request, http_callback callback) override
    {
        m_callbacks.push_back(std::move(callback));
        return m_callbacks.size();
    }
    void cancel(http_exchange_id) override { }

private:
    std::vector<http_callback> m_callbacks;
};

} // namespace

// A daemon is destroyed before its HTTP client, which then completes pending watches: their callbacks must not run,
// since what they refer to is gone.
TEST(HttpObjectStore, RunsNoCallbackAfterItIsDestroyed)
{
    int calls = 0;
    auto client = std::make_unique<completing_client>();
    {
        http_object_store store(*client, "127.0.0.1:1");
        store.watch("config/head", 1, seconds(20), [&](auto const&) { ++calls; });
        store.list("config/", [&](auto const&) { ++calls; });
    }
    client.reset();
    EXPECT_EQ(calls, 0);
}

} // namespace merlinpier
