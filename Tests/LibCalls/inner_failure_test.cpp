#include <LibCalls/call_server.h>

#include <Tests/LibRouting/fleet_fixture.h>
#include <gtest/gtest.h>

// A target whose own call was turned away fails the call that it runs. Daemons must tell this from a failure of the
// target itself, as retries at both levels would multiply.

namespace merlinpier {

namespace {

constexpr auto start = time_point(seconds(1000));
constexpr std::uint64_t serverInstance = 7;

class InnerFailureTest : public testing::Test {
protected:
    InnerFailureTest()
    {
        m_server.raiseFence({ 1, 1 }, start);
        EXPECT_FALSE(
            m_targets.announce({ "t", "slots", "L1", "127.0.0.1:9000", target_state::Ready }, 0, start).isError());
    }

    // Runs one call to its end with the status and returns the answer.
    call_answer run(std::uint64_t number, std::uint32_t status, time_point now)
    {
        call_request call;
        call.id = attempt_identifier { "call" + std::to_string(number), number, false }.text();
        call.instance = serverInstance;
        call.generation = 1;
        call.service = "slots";
        call.target = "t";
        call.entryPoint = "lookup";
        call.remainingMs = 1000;
        m_server.didReceiveCall({ 1, 1 }, call, m_targets, *m_configuration, now);
        call_answer answer;
        answer.status = status;
        for (auto const& action : m_server.didFinish("call" + std::to_string(number), answer, now)) {
            if (auto const* reply = std::get_if<reply_to_origin>(&action))
                return std::get<call_answer>(reply->content);
        }
        ADD_FAILURE() << "no answer";
        return {};
    }

    call_server m_server { [] {
        call_server_settings settings;
        settings.instance = serverInstance;
        return settings;
    }() };
    local_targets m_targets;
    std::shared_ptr<configuration_set const> m_configuration
        = fixture::makeConfiguration({ fixture::makeService("slots", { "L1" }) });
};

} // namespace

TEST_F(InnerFailureTest, AFailureSoonAfterThatOfAnInnerCallIsNotTheTargets)
{
    m_server.didFailInnerCall(start);
    auto const answer = run(1, 500, start + milliseconds(5));
    EXPECT_TRUE(answer.isInnerFailure);
    EXPECT_FALSE(run(2, 200, start + milliseconds(6)).isInnerFailure);
}

TEST_F(InnerFailureTest, AFailureWithoutAFailedInnerCallIsTheTargets)
{
    m_server.didFailInnerCall(start);
    auto const answer = run(1, 500, start + seconds(1));
    EXPECT_FALSE(answer.isInnerFailure);
}

} // namespace merlinpier
