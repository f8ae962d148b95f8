#include <LibCalls/call_client.h>

#include <Tests/LibRouting/fleet_fixture.h>
#include <gtest/gtest.h>

// Runs that a target never answers, and calls that get a second run while the first one goes on.

namespace merlinpier {

namespace {

constexpr auto start = time_point(seconds(1000));
constexpr milliseconds timeout { 1200 };

struct sent_run {
    std::string address;
    call_request call;
};

class SecondRunTest : public testing::Test {
protected:
    explicit SecondRunTest(hedging_mode mode = hedging_mode::On)
        : m_client(settings(mode), chooser())
    {
        membership_table members;
        for (int i = 0; i < 3; ++i) {
            auto const id = std::to_string(i);
            members.merge(
                fixture::makeMember("vm" + id, "a", 7, { { "t" + id, "slots", "L" + id, 1, target_state::Ready, 6 } }));
        }
        auto const configuration = fixture::makeConfiguration({ fixture::makeService("slots", { "L0", "L1", "L2" }) });
        m_client.setSnapshot(routing_snapshot::build(configuration, members), m_now);
        m_client.setDaemons(1);
        learn();
    }

    // Lets a hundred calls end after 50 ms.
    void learn()
    {
        for (int i = 0; i < 100; ++i) {
            call(true);
            m_now += milliseconds(50);
            answer(m_runs.back());
        }
        m_runs.clear();
        m_outcomes.clear();
    }

    static call_client_settings settings(hedging_mode mode)
    {
        call_client_settings made;
        made.retriesFailures = true;
        made.sharedBudget = shared_budget_settings { 0.2, 10, seconds(10) };
        made.hedging = mode;
        return made;
    }
    static chooser_settings chooser()
    {
        chooser_settings made { "a", choice_policy::ExpectedFinish };
        made.probes = 0;
        return made;
    }

    void call(bool isIdempotent, std::uint32_t maximumAttempts = 3)
    {
        caller_request request { .id = "call" + std::to_string(++m_calls), .service = "slots" };
        request.method = "GET";
        request.path = "/slots/" + std::to_string(m_calls);
        request.policy = call_policy {};
        request.policy->name = isIdempotent ? "balance" : "payout";
        request.policy->isIdempotent = isIdempotent;
        request.policy->timeout = timeout;
        request.policy->latencyObjective = milliseconds(600);
        request.policy->maximumAttempts = maximumAttempts;
        apply(m_client.start(std::move(request), m_now, m_random));
    }
    void apply(std::vector<client_action> const& actions)
    {
        for (auto const& action : actions) {
            if (auto const* dispatch = std::get_if<dispatch_call>(&action)) {
                m_runs.push_back({ dispatch->address, dispatch->call });
                m_client.didSend(dispatch->call.id, dispatch->address, 1, m_now);
            } else if (auto const* message = std::get_if<send_to_target>(&action)) {
                if (auto const* cancel = std::get_if<call_cancel>(&message->content))
                    m_cancelled.push_back(cancel->id);
            } else if (auto const* completed = std::get_if<complete_call>(&action))
                m_outcomes.push_back(completed->outcome);
        }
    }
    void answer(sent_run const& run, std::uint32_t status = 200)
    {
        call_answer content { .id = run.call.id, .status = status };
        content.serviceUs = 50'000;
        content.pacePercent = m_pacePercent;
        apply(m_client.didReceive(run.address, content, m_now, m_random));
    }
    void lose(sent_run const& run)
    {
        apply(m_client.didReceive(run.address, call_lost { run.call.id }, m_now, m_random));
    }
    void refuse(sent_run const& run)
    {
        apply(m_client.didReceive(
            run.address, call_refused { run.call.id, refusal_reason::Overloaded, 10 }, m_now, m_random));
    }
    void pass(milliseconds time)
    {
        for (auto const end = m_now + time; m_now < end;) {
            m_now += milliseconds(25);
            apply(m_client.tick(m_now, m_random));
        }
    }

    time_point m_now { start };
    generator m_random { 1 };
    call_client m_client;
    std::uint32_t m_pacePercent { 0 };
    std::vector<sent_run> m_runs;
    std::vector<std::string> m_cancelled;
    std::vector<final_outcome> m_outcomes;

private:
    std::size_t m_calls { 0 };
};

class AutomaticSecondRunTest : public SecondRunTest {
protected:
    AutomaticSecondRunTest()
        : SecondRunTest(hedging_mode::Auto)
    {
    }
};

class NoSecondRunTest : public SecondRunTest {
protected:
    NoSecondRunTest()
        : SecondRunTest(hedging_mode::Off)
    {
    }
};

} // namespace

// A run that a target never answers ended with its caller's deadline, although other targets were idle.
TEST_F(SecondRunTest, SavesACallWhoseTargetIsMute)
{
    call(true);
    pass(milliseconds(300));
    ASSERT_EQ(m_runs.size(), 2u);
    EXPECT_NE(m_runs[0].address, m_runs[1].address);
    EXPECT_TRUE(m_runs[1].call.onlyIfFree);
    EXPECT_TRUE(m_runs[1].call.isRetry);
    m_now += milliseconds(50);
    answer(m_runs[1]);
    ASSERT_EQ(m_outcomes.size(), 1u);
    EXPECT_EQ(std::get<call_answered>(m_outcomes[0]).target, "t" + m_runs[1].address.substr(2));
    EXPECT_EQ(m_cancelled, (std::vector<std::string> { m_runs[0].call.id })) << "the mute run keeps its slot";
    answer(m_runs[0]);
    EXPECT_EQ(m_outcomes.size(), 1u) << "a late answer completes the call again";
    EXPECT_EQ(m_client.totals().hedgesWon, 1u);
    EXPECT_EQ(m_client.unsettled(), 0u);
    for (auto const& run : m_runs)
        EXPECT_EQ(m_client.outstanding(run.address), 0u);
}

// What is lost without second runs: the call waits for its mute target until the deadline.
TEST_F(NoSecondRunTest, LosesACallWhoseTargetIsMute)
{
    call(true);
    pass(timeout);
    EXPECT_EQ(m_runs.size(), 1u);
    ASSERT_EQ(m_outcomes.size(), 1u);
    EXPECT_EQ(std::get<call_outcome_unknown>(m_outcomes[0]).cause, unknown_cause::Deadline);
}

// The target's daemon gives a run up at the deadline and reports it as lost, which may arrive just before the deadline
// passes here. The caller was then told 502 or 504 by chance.
TEST_F(NoSecondRunTest, TellsARunThatTookAllTheTimeFromALostOne)
{
    call(true);
    m_now += timeout - milliseconds(1);
    lose(m_runs[0]);
    call(false);
    m_now += milliseconds(300);
    lose(m_runs[1]);
    ASSERT_EQ(m_outcomes.size(), 2u);
    EXPECT_EQ(std::get<call_outcome_unknown>(m_outcomes[0]).cause, unknown_cause::Deadline);
    EXPECT_EQ(std::get<call_outcome_unknown>(m_outcomes[1]).cause, unknown_cause::Lost);
}

TEST_F(SecondRunTest, EndsTheSecondRunWhenTheFirstIsAnswered)
{
    call(true);
    pass(milliseconds(300));
    ASSERT_EQ(m_runs.size(), 2u);
    answer(m_runs[0]);
    EXPECT_EQ(m_cancelled, (std::vector<std::string> { m_runs[1].call.id }));
    EXPECT_EQ(m_outcomes.size(), 1u);
    EXPECT_EQ(m_client.totals().hedgesWasted, 1u);
}

// Guards against a repeated effect.
TEST_F(SecondRunTest, NeverRunsANonIdempotentCallTwice)
{
    call(false);
    pass(timeout);
    EXPECT_EQ(m_runs.size(), 1u);
    EXPECT_EQ(m_outcomes.size(), 1u);
}

TEST_F(SecondRunTest, KeepsToTheMaximumOfAttempts)
{
    call(true, 1);
    pass(timeout);
    EXPECT_EQ(m_runs.size(), 1u);
    m_runs.clear();
    call(true, 2);
    pass(milliseconds(300));
    ASSERT_EQ(m_runs.size(), 2u);
    lose(m_runs[0]);
    lose(m_runs[1]);
    pass(timeout);
    EXPECT_EQ(m_runs.size(), 2u);
}

// The first good answer wins: a failed run must not end the call while the other one goes on.
TEST_F(SecondRunTest, GoesOnWithTheOtherRunWhenOneFails)
{
    for (auto const* failure :
        { "first fails", "second fails", "first is lost", "second is lost", "second is refused" }) {
        SCOPED_TRACE(failure);
        learn();
        call(true);
        pass(milliseconds(300));
        ASSERT_EQ(m_runs.size(), 2u);
        std::size_t const failed = std::string(failure).starts_with("first") ? 0 : 1;
        if (std::string(failure).ends_with("fails"))
            answer(m_runs[failed], 500);
        else if (std::string(failure).ends_with("lost"))
            lose(m_runs[failed]);
        else
            refuse(m_runs[failed]);
        EXPECT_TRUE(m_outcomes.empty());
        answer(m_runs[1 - failed]);
        ASSERT_EQ(m_outcomes.size(), 1u);
        EXPECT_EQ(std::get<call_answered>(m_outcomes[0]).answer.status, 200u);
        EXPECT_EQ(m_client.unsettled(), 0u);
    }
}

// Guards against an outcome that is given twice or never when links change under both runs.
TEST_F(SecondRunTest, CompletesACallOnceWhoseDaemonsAreLost)
{
    call(true, 2);
    pass(milliseconds(300));
    ASSERT_EQ(m_runs.size(), 2u);
    apply(m_client.didBecomeReady(m_runs[1].address, 7, 2, m_now, m_random));
    apply(m_client.didBecomeUnreachable(m_runs[1].address, m_now, m_random));
    EXPECT_TRUE(m_outcomes.empty());
    apply(m_client.didBecomeUnreachable(m_runs[0].address, m_now, m_random));
    EXPECT_EQ(m_outcomes.size(), 1u);
    EXPECT_EQ(m_client.unsettled(), 0u);
}

TEST_F(SecondRunTest, EndsBothRunsWhenTheCallerLeaves)
{
    call(true);
    pass(milliseconds(300));
    ASSERT_EQ(m_runs.size(), 2u);
    apply(m_client.cancel("call101", m_now));
    EXPECT_EQ(m_cancelled.size(), 2u);
    EXPECT_EQ(m_client.unsettled(), 0u);
}

// Every second run takes from the budget that all daemons share for retries.
TEST_F(SecondRunTest, StopsWhenTheRetryBudgetIsUsedUp)
{
    for (int i = 0; i < 60; ++i)
        call(true);
    pass(timeout + milliseconds(100));
    // 160 calls and 10 retries in all, of which a daemon spends 0.4 in its first window.
    EXPECT_LE(m_runs.size(), 60 + 0.4 * (0.2 * 160 + 10));
    EXPECT_GT(m_runs.size(), 60u);
    EXPECT_EQ(m_outcomes.size(), 60u);
}

// Guards against second runs in deployments whose targets announce no pace.
TEST_F(AutomaticSecondRunTest, NeedsATargetThatAnnouncesItsPace)
{
    call(true);
    pass(milliseconds(600));
    EXPECT_EQ(m_runs.size(), 1u);
    m_pacePercent = 100;
    answer(m_runs[0]);
    m_runs.clear();
    call(true);
    pass(milliseconds(600));
    EXPECT_EQ(m_runs.size(), 2u);
}

} // namespace merlinpier
