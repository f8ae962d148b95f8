#include <LibCalls/call_client.h>
#include <LibCalls/call_server.h>

#include <Tests/LibRouting/fleet_fixture.h>
#include <gtest/gtest.h>

// Calls during a rollout: the share of the new version at the originating daemon, and refusals by the target's daemon.

namespace merlinpier {

namespace {

using namespace fixture;

constexpr auto start = time_point(seconds(1000));
constexpr std::uint64_t serverInstance = 7;

target_record makeTarget(std::string id, std::string licence, std::string version)
{
    target_record target { std::move(id), "slots", std::move(licence), 1, target_state::Ready, 6 };
    target.version = std::move(version);
    return target;
}

class CanaryCallsTest : public testing::Test {
protected:
    CanaryCallsTest()
    {
        membership_table members;
        members.merge(makeMember("vm1", "a", 1, { makeTarget("t1", "L1", "v1") }));
        members.merge(makeMember("vm2", "a", 2, { makeTarget("t2", "L2", "v2") }));
        members.merge(makeMember("vm3", "b", 3, { makeTarget("t3", "L3", "v1") }));
        auto const configuration = makeConfiguration({ makeService("slots", { "L1", "L2", "L3" }) });
        m_client.setSnapshot(
            routing_snapshot::build(configuration, members, {}, { { "slots", { { "v2", version_access::Canary } } } }),
            start);
        m_client.setDaemons(1);
        m_exposure->begin("slots", 41, 0.08, 0);
    }

    static chooser_settings chooser()
    {
        chooser_settings settings;
        settings.zone = "a";
        settings.policy = choice_policy::ExpectedFinish;
        return settings;
    }
    static call_client_settings client()
    {
        call_client_settings settings;
        settings.retriesFailures = true;
        settings.sharedBudget = shared_budget_settings { 1, 100, seconds(10) };
        return settings;
    }

    // Starts a call and returns its dispatch.
    dispatch_call begin(std::string const& id, std::string const& key = {})
    {
        caller_request request;
        request.id = id;
        request.idempotencyKey = key;
        request.service = "slots";
        request.method = "GET";
        request.path = "/slots/north";
        return dispatched(m_client.start(request, start, m_random));
    }
    dispatch_call dispatched(std::vector<client_action> const& actions)
    {
        for (auto const& action : actions) {
            if (auto const* sent = std::get_if<dispatch_call>(&action)) {
                m_client.didSend(sent->call.id, sent->address, 1, start);
                return *sent;
            }
        }
        return {};
    }
    std::vector<client_action> answer(dispatch_call const& sent, std::uint32_t status)
    {
        call_answer content;
        content.id = sent.call.id;
        content.status = status;
        return m_client.didReceive(sent.address, content, start, m_random);
    }
    // Makes the next first attempt one for the new version.
    void earnCanary()
    {
        for (int call = 0; call < 13; ++call)
            m_exposure->didAnswer("slots");
    }

    std::shared_ptr<rollout_exposure> m_exposure { std::make_shared<rollout_exposure>() };
    generator m_random { 20261203 };
    call_client m_client { client(), chooser(), std::make_shared<crashing_requests>(), m_exposure };
};

} // namespace

// Guards against a new version that gets more than the share.
TEST_F(CanaryCallsTest, SendsTheShareAndNoMoreToTheNewVersion)
{
    int sentToNew = 0;
    for (int call = 0; call < 1000; ++call) {
        auto const sent = begin("call" + std::to_string(call));
        sentToNew += sent.call.target == "t2";
        answer(sent, 200);
    }
    EXPECT_LE(sentToNew, 80);
    EXPECT_GE(sentToNew, 78);
}

// Guards against callers that see the failures of a bad version although their request may be repeated.
TEST_F(CanaryCallsTest, RetriesAFailedCanaryRunOnTheOldVersion)
{
    earnCanary();
    auto const sent = begin("call");
    ASSERT_EQ(sent.call.target, "t2");
    auto const retried = dispatched(answer(sent, 500));
    EXPECT_EQ(retried.call.target, "t1");
}

// Guards against a share that is used up by refusals, and against a refused call that goes to the new version again.
TEST_F(CanaryCallsTest, ReturnsTheShareOfARefusedCallAndSendsItToTheOldVersion)
{
    earnCanary();
    auto const sent = begin("call");
    ASSERT_EQ(sent.call.target, "t2");
    EXPECT_EQ(m_exposure->countersOf("slots").sent, 1u);
    auto const retried = dispatched(m_client.didReceive(
        sent.address, call_refused { sent.call.id, refusal_reason::Draining, 100 }, start, m_random));
    EXPECT_EQ(retried.call.target, "t1");
    EXPECT_EQ(m_exposure->countersOf("slots").sent, 0u);
}

// Guards against calls that are lost because this daemon hears of a switch later than the targets' daemons: targets of
// the old version refuse, and all others of that version would as well.
TEST_F(CanaryCallsTest, TriesTheOtherVersionAfterRefusalsOfClosedTargets)
{
    auto const first = begin("call");
    ASSERT_EQ(first.call.target, "t1");
    auto const second = dispatched(m_client.didReceive(
        first.address, call_refused { first.call.id, refusal_reason::Draining, 100 }, start, m_random));
    ASSERT_EQ(second.call.target, "t3");
    auto const third = dispatched(m_client.didReceive(
        second.address, call_refused { second.call.id, refusal_reason::Draining, 100 }, start, m_random));
    EXPECT_EQ(third.call.target, "t2");
}

// Guards against repeats of a key that meet a ledger which does not know it.
TEST_F(CanaryCallsTest, KeepsKeyedCallsOnTheOldVersion)
{
    earnCanary();
    EXPECT_EQ(begin("call", "key-1").call.target, "t1");
}

// Guards against runs at a version that may not be called, by originating daemons that have not heard of it yet; and
// against targets that stay closed after a rollback.
TEST(ClosedTargets, RefuseNewCallsUntilTheyAreOpenAgain)
{
    call_server_settings settings;
    settings.instance = serverInstance;
    call_server server(settings);
    local_targets targets;
    auto const configuration = makeConfiguration({ makeService("slots", { "L1" }) });
    server.raiseFence({ 1, 1 }, start);
    ASSERT_FALSE(targets.announce({ "t", "slots", "L1", "127.0.0.1:9000", target_state::Ready }, 0, start).isError());
    auto const offer = [&](std::uint64_t number) {
        call_request call;
        call.id = attempt_identifier { "call" + std::to_string(number), number, false }.text();
        call.instance = serverInstance;
        call.generation = 1;
        call.service = "slots";
        call.target = "t";
        call.entryPoint = "lookup";
        call.remainingMs = 1000;
        return server.didReceiveCall({ 1, 1 }, call, targets, *configuration, start);
    };
    targets.setClosure("t", local_targets::closure::Closed);
    EXPECT_EQ(targets.records(*configuration).front().state, target_state::Ready);
    auto const refused = offer(1);
    ASSERT_EQ(refused.size(), 1u);
    auto const reply = std::get<call_refused>(std::get<reply_to_origin>(refused.front()).content);
    EXPECT_EQ(reply.reason, refusal_reason::Draining);
    targets.setClosure("t", local_targets::closure::AtRest);
    EXPECT_EQ(targets.records(*configuration).front().state, target_state::Draining);
    targets.setClosure("t", local_targets::closure::Open);
    EXPECT_EQ(targets.records(*configuration).front().state, target_state::Ready);
    EXPECT_TRUE(std::holds_alternative<run_call>(offer(2).front()));
}

} // namespace merlinpier
