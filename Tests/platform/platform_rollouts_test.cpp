#include <platform/platform_rollouts.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <platform/platform_settings.h>
#include <platform/worker_report.h>

namespace merlinpier::platform {

namespace {

using json = nlohmann::json;

// Answers each request with the answer it was given.
class scripted_client final : public http_client {
public:
    http_exchange_id send(http_client_request request, http_callback callback) override
    {
        requests.push_back(std::move(request));
        callback(answer);
        return requests.size();
    }
    void cancel(http_exchange_id) override { }

    result<http_response> answer { http_response { 200, {}, "{}" } };
    std::vector<http_client_request> requests;
};

json order(json status)
{
    return { { "metadata", { { "name", "slots" }, { "revision", 44 }, { "created_rev", 40 }, { "new", 1 } } },
        { "spec", { { "service", "slots" }, { "target_version", "v2" }, { "duration_s", 12 } } },
        { "status", std::move(status) } };
}

class PlatformRolloutsTest : public testing::Test {
protected:
    result<std::vector<stored_rollout>> list(int status, json const& body)
    {
        m_client.answer = http_response { status, {}, body.dump() };
        result<std::vector<stored_rollout>> outcome = std::vector<stored_rollout> {};
        m_store.list([&](auto const& listed) { outcome = listed; });
        return outcome;
    }
    result<stored_rollout> write(result<http_response> answer, rollout_state state)
    {
        m_client.answer = std::move(answer);
        result<stored_rollout> outcome = stored_rollout {};
        m_store.writeStatus(readRollout(json::parse(order(nullptr).dump())).value(), { state, "v2", 44, 1234 },
            [&](auto const& written) { outcome = written; });
        return outcome;
    }

    scripted_client m_client;
    platform_rollouts m_store { m_client, "10.0.0.9:1" };
};

} // namespace

TEST_F(PlatformRolloutsTest, ListsOrdersWithTheirStatusAtTheLowPrice)
{
    json const body { { "items",
                          { order(nullptr),
                              order({ { "state", "running" }, { "target_version", "v2" }, { "phase", "switching" },
                                  { "order", 41 }, { "started_ms", 1234 } }) } },
        { "has_more", false }, { "current_rev", 50 } };
    auto const listed = list(200, body);
    ASSERT_FALSE(listed.isError());
    ASSERT_EQ(listed.value().size(), 2u);
    EXPECT_EQ(listed.value()[0], (stored_rollout { "slots", "slots", "v2", seconds(12), 44, 40, std::nullopt }));
    EXPECT_EQ(listed.value()[1].status, (stored_status { rollout_state::Switching, "v2", 41, 1234 }));
    EXPECT_EQ(m_client.requests.back().url, "http://10.0.0.9:1/v1/objects/rollouts?stale_ok=1");
}

// Guards against a daemon that stops listing because of one bad object, or takes a refusal for an empty list.
TEST_F(PlatformRolloutsTest, PassesOverObjectsThatAreNoOrdersAndTellsFailures)
{
    auto withoutTime = order(nullptr);
    withoutTime["spec"].erase("duration_s");
    auto negative = order(nullptr);
    negative["spec"]["duration_s"] = -1;
    json const body { { "items", { withoutTime, negative, 7, "x", order("done"), json::object() } } };
    auto const listed = list(200, body);
    ASSERT_FALSE(listed.isError());
    ASSERT_EQ(listed.value().size(), 1u);
    EXPECT_FALSE(listed.value()[0].status);
    EXPECT_TRUE(list(429, json::object()).isError());
    EXPECT_TRUE(list(200, json::object()).isError());
    EXPECT_TRUE(list(404, json::object()).value().empty());
}

TEST_F(PlatformRolloutsTest, WritesTheStatusOnConditionOfTheRevision)
{
    auto const written
        = write(http_response { 200, {},
                    order({ { "state", "rolled_back" }, { "target_version", "v2" }, { "order", 44 } }).dump() },
            rollout_state::RolledBack);
    ASSERT_FALSE(written.isError());
    EXPECT_EQ(written.value().status->state, rollout_state::RolledBack);
    auto const& request = m_client.requests.back();
    EXPECT_EQ(request.method, "PUT");
    EXPECT_EQ(request.url, "http://10.0.0.9:1/v1/objects/rollouts/slots/status");
    auto const body = json::parse(request.body);
    EXPECT_EQ(body["metadata"]["revision"], 44);
    EXPECT_EQ(body["status"]["state"], "rolled_back");
    EXPECT_EQ(body["status"]["target_version"], "v2");
    EXPECT_FALSE(body["status"].contains("phase"));
    ASSERT_FALSE(write(http_response { 200, {}, order(nullptr).dump() }, rollout_state::Switching).isError());
    auto const switching = json::parse(m_client.requests.back().body)["status"];
    EXPECT_EQ(switching["state"], "running");
    EXPECT_EQ(switching["phase"], "switching");
}

// Guards against a write that is taken for made, or for not made, when another daemon was first.
TEST_F(PlatformRolloutsTest, YieldsTheObjectAsItIsAfterAConflict)
{
    auto const conflict = write(
        http_response { 409, {}, order({ { "state", "done" }, { "target_version", "v2" }, { "order", 41 } }).dump() },
        rollout_state::RolledBack);
    ASSERT_FALSE(conflict.isError());
    EXPECT_EQ(conflict.value().status->state, rollout_state::Done);
    EXPECT_TRUE(write(http_response { 503, {}, "" }, rollout_state::Done).isError());
    EXPECT_EQ(write(error { error_kind::OutcomeUnknown, "no answer", "" }, rollout_state::Done).failure().kind,
        error_kind::OutcomeUnknown);
}

TEST(WorkerReportVersion, IsOptional)
{
    json beat { { "info", { { "service", "slots" }, { "slots", 4 } } }, { "address", "127.0.0.1:9000" }, { "born", 5 },
        { "status", { { "state", "ready" }, { "sequence", 1 } } } };
    EXPECT_EQ(readHeartbeat("w", beat.dump()).value().version, "");
    beat["info"]["version"] = "v2";
    EXPECT_EQ(readHeartbeat("w", beat.dump()).value().version, "v2");
    beat["info"]["version"] = 2;
    EXPECT_EQ(readHeartbeat("w", beat.dump()).value().version, "");
}

// Guards against rollouts that take effect in deployments that do not ask for them.
TEST(PlatformSettingsOfRollouts, AreOffUnlessTheContractsNameThem)
{
    json settings { { "node", "n" }, { "ip", "10.1.0.8" }, { "zone", "a" }, { "service", "slots" },
        { "app_addr", "10.1.0.8:8301" },
        { "listen",
            { { "inbound", "10.1.0.8:8300" }, { "outbound", "10.1.0.8:8304" }, { "ready_address", "10.1.0.8:8302" },
                { "control", "10.1.0.8:8306" } } },
        { "platform", { { "address", "10.200.1.7:8309" } } } };
    EXPECT_FALSE(platform_settings::tryRead(settings.dump()).value().rollout.isEnabled);
    settings["contracts"] = { "core", "rollout" };
    settings["bounds"] = { "expose_share=0.2", "expose_slack=10", "rollback_ms=3000" };
    auto const read = platform_settings::tryRead(settings.dump());
    ASSERT_FALSE(read.isError()) << read.failure().text();
    EXPECT_EQ(read.value().rollout, (rollout_settings { true, 0.2, 10, milliseconds(3000) }));
}

} // namespace merlinpier::platform
