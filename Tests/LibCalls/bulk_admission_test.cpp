#include <LibCalls/attempt_identifier.h>
#include <LibCalls/call_server.h>
#include <Tests/LibRouting/fleet_fixture.h>
#include <gtest/gtest.h>

namespace merlinpier {

namespace {

constexpr time_point start { seconds(1000) };
constexpr std::uint64_t ownInstance = 1;
constexpr call_origin otherVm { 2, 1 };
constexpr call_origin ownVm { ownInstance, 1 };
constexpr std::uint32_t linkMbps = 17;
constexpr std::size_t downloadBytes = 90'000;
constexpr std::uint32_t deadlineMs = 1200;

// A target of many slots, whose daemon knows the speed of its VM's link.
class BulkAdmissionTest : public testing::Test {
protected:
    BulkAdmissionTest()
    {
        target_announcement announcement { "t", "slots", "L", "127.0.0.1:9000", target_state::Ready };
        EXPECT_FALSE(m_targets.announce(announcement, 0, start).isError());
    }

    // Sends a call; whether it was admitted.
    bool isAdmitted(call_origin const& origin, bool isBulk, std::uint32_t remainingMs = deadlineMs)
    {
        ++m_calls;
        call_request call;
        call.id = attempt_identifier { "call" + std::to_string(m_calls), m_calls, false }.text();
        call.instance = ownInstance;
        call.generation = 1;
        call.service = "slots";
        call.target = "t";
        call.entryPoint = isBulk ? "fetch" : "lookup";
        call.isIdempotent = true;
        call.remainingMs = remainingMs;
        call.isBulk = isBulk;
        m_actions = m_server.didReceiveCall(origin, call, m_targets, *m_configuration, start);
        return std::any_of(m_actions.begin(), m_actions.end(),
            [](auto const& action) { return std::holds_alternative<run_call>(action); });
    }

    call_refused const& refusal() const
    {
        return std::get<call_refused>(std::get<reply_to_origin>(m_actions.front()).content);
    }

    // Has one download answered, so that the size of such answers is known.
    std::vector<server_action> learnSize()
    {
        EXPECT_TRUE(isAdmitted(otherVm, true));
        call_answer answer;
        answer.status = 200;
        answer.body = std::string(downloadBytes, 'x');
        return m_server.didFinish("call" + std::to_string(m_calls), answer, start + milliseconds(88));
    }

    std::shared_ptr<configuration_set const> m_configuration { fixture::makeConfiguration(
        { fixture::makeService("slots", { "L" }, 200) }) };
    local_targets m_targets { milliseconds(60000) };
    call_server m_server { call_server_settings { .instance = ownInstance, .linkMbps = linkMbps },
        std::make_shared<crashing_requests>() };
    std::uint64_t m_calls { 0 };
    std::vector<server_action> m_actions;
};

} // namespace

// Guards against a burst of downloads that are all admitted, so that none of them ends in time: 1.2 s of the link hold
// about 24 answers of 90 KB.
TEST_F(BulkAdmissionTest, AdmitsOnlyWhatTheLinkCanSendInTime)
{
    learnSize();
    int admitted = 0;
    while (isAdmitted(otherVm, true) && admitted < 100)
        ++admitted;
    EXPECT_GE(admitted, 18);
    EXPECT_LE(admitted, 28);
    EXPECT_EQ(refusal().reason, refusal_reason::Overloaded);
    EXPECT_GT(refusal().retryAfterMs, 0U);
    EXPECT_EQ(m_server.linkRefusals(), 1U);
}

// Guards against small calls, and downloads that pass no link, that are refused for a full link.
TEST_F(BulkAdmissionTest, RefusesNothingElseForAFullLink)
{
    learnSize();
    m_server.setLinkBacklog(10'000'000);
    EXPECT_FALSE(isAdmitted(otherVm, true));
    EXPECT_TRUE(isAdmitted(otherVm, false));
    EXPECT_TRUE(isAdmitted(ownVm, true));
}

// Guards against a link that counts as idle while answers admitted before wait on it.
TEST_F(BulkAdmissionTest, CountsTheBytesThatWaitOnTheLink)
{
    learnSize();
    m_server.setLinkBacklog(1'000'000);
    EXPECT_TRUE(isAdmitted(otherVm, true));
    EXPECT_FALSE(isAdmitted(otherVm, true, 500));
}

// Guards against bulk answers that go before other messages: their deadline is what sets them apart on the link.
TEST_F(BulkAdmissionTest, MarksTheAnswerAsBulk)
{
    auto const actions = learnSize();
    ASSERT_FALSE(actions.empty());
    EXPECT_EQ(std::get<reply_to_origin>(actions.front()).bulkDeadline, start + milliseconds(deadlineMs));
}

} // namespace merlinpier
