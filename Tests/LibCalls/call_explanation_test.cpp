#include <LibCalls/call_client.h>
#include <Tests/LibRouting/fleet_fixture.h>

#include <gtest/gtest.h>

namespace merlinpier {

namespace {

constexpr auto start = time_point(seconds(1000));

class CallExplanationTest : public testing::Test {
protected:
    void addTarget(std::string const& name, std::string const& licence)
    {
        m_members.merge(
            fixture::makeMember("vm-" + name, "a", 1, { { name, "slots", licence, 1, target_state::Ready, 6 } }));
        m_client.setSnapshot(routing_snapshot::build(m_configuration, m_members), start);
    }

    static caller_request makeRequest(std::string service = "slots", std::string path = "/slots/7")
    {
        caller_request request;
        request.id = "call";
        request.service = std::move(service);
        request.method = "GET";
        request.path = std::move(path);
        return request;
    }

    call_explanation explain(caller_request const& request) const { return m_client.explain(request, start, m_random); }

    // Starts the request; returns the target that it was sent to, or the reason of its refusal.
    std::string begin(caller_request const& request)
    {
        for (auto const& action : m_client.start(request, start, m_random)) {
            if (auto const* sent = std::get_if<dispatch_call>(&action))
                return sent->call.target;
            if (auto const* ended = std::get_if<complete_call>(&action))
                return std::get<call_not_run>(ended->outcome).message;
        }
        return {};
    }

    std::shared_ptr<configuration_set const> m_configuration
        = fixture::makeConfiguration({ fixture::makeService("slots", { "L1", "L2" }) });
    membership_table m_members;
    generator m_random { 7 };
    call_client m_client { {}, { .zone = "a" } };
};

} // namespace

// Failure: operators are told of another target than the one that the call goes to, or the question itself counts as a
// call and shifts the load.
TEST_F(CallExplanationTest, NamesTheTargetThatTheCallGoesToAndChangesNothing)
{
    addTarget("t1", "L1");
    addTarget("t2", "L2");
    for (int i = 0; i < 20; ++i) {
        auto request = makeRequest();
        request.id += std::to_string(i);
        auto const explanation = explain(request);
        ASSERT_TRUE(explanation.choice);
        EXPECT_FALSE(explanation.refusal);
        ASSERT_EQ(explanation.candidates.size(), 2u);
        auto const inFlight = explanation.candidates[0].outstanding + explanation.candidates[1].outstanding;
        EXPECT_EQ(inFlight, static_cast<std::size_t>(i));
        EXPECT_EQ(explain(request).choice, explanation.choice);
        EXPECT_EQ(m_client.totals().calls, static_cast<std::uint64_t>(i));
        EXPECT_EQ(begin(request), explanation.choice->id);
    }
}

TEST_F(CallExplanationTest, GivesTheRefusalThatTheCallWouldGet)
{
    auto expired = makeRequest();
    expired.remaining = milliseconds(0);
    for (auto const& request : { makeRequest(), makeRequest("other"), makeRequest("slots", "/nothing") }) {
        auto const refusal = explain(request).refusal;
        ASSERT_TRUE(refusal);
        EXPECT_EQ(begin(request), refusal->message);
    }
    addTarget("t1", "L1");
    auto const refusal = explain(expired).refusal;
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->reason, refusal_reason::DeadlineTooShort);
    EXPECT_EQ(begin(expired), refusal->message);
}

TEST_F(CallExplanationTest, ShowsTheTimesThatTheCallHas)
{
    addTarget("t1", "L1");
    auto request = makeRequest();
    call_policy policy;
    policy.name = "route";
    policy.timeout = milliseconds(800);
    policy.latencyObjective = milliseconds(250);
    request.policy = policy;
    EXPECT_EQ(explain(request).deadline, milliseconds(800));
    EXPECT_EQ(explain(request).objective, milliseconds(250));
    request.remaining = milliseconds(500);
    EXPECT_EQ(explain(request).deadline, milliseconds(500));
}

} // namespace merlinpier
