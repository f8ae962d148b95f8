#include <LibCalls/attempt_identifier.h>
#include <LibCalls/call_ledger.h>
#include <LibCalls/generation_fence.h>

#include <gtest/gtest.h>

namespace merlinpier {

namespace {

constexpr auto start = time_point(seconds(100));

ledger_entry makeEntry(std::vector<call_waiter> waiters, bool isKeyed = false)
{
    ledger_entry entry;
    entry.state = run_state::Running;
    entry.isKeyed = isKeyed;
    entry.waiters = std::move(waiters);
    entry.retention = seconds(30);
    return entry;
}

call_answer makeAnswer(std::size_t bytes)
{
    call_answer answer;
    answer.status = 200;
    answer.body = std::string(bytes, 'x');
    return answer;
}

} // namespace

TEST(AttemptIdentifier, ParsesItsTextAndRejectsMalformedText)
{
    for (auto const& identifier : { attempt_identifier { "c#1", 7, false }, attempt_identifier { "key-9", 12, true } })
        EXPECT_EQ(parseAttemptIdentifier(identifier.text()), identifier);
    for (auto const* text : { "", "call", "#1", "c#", "c#0", "c#1x", "c#-1", "c#99999999999999999999" })
        EXPECT_EQ(parseAttemptIdentifier(text), std::nullopt) << text;
    EXPECT_NE(keyedCallIdentifier({ "ab", "c", "k" }), keyedCallIdentifier({ "a", "bc", "k" }));
}

TEST(ReplayWindow, ClassifiesANumberAsNewOnlyOnce)
{
    replay_window window(4);
    using verdict = replay_window::verdict;
    for (std::uint64_t number : { 10, 12, 11, 20, 30, 31 })
        window.add(number);
    EXPECT_EQ(window.classify(9), verdict::BelowWindow);
    EXPECT_EQ(window.classify(10), verdict::BelowWindow);
    EXPECT_EQ(window.classify(11), verdict::BelowWindow) << "a number that left the window must not count as new";
    EXPECT_EQ(window.classify(12), verdict::Seen);
    EXPECT_EQ(window.classify(13), verdict::New);
    window.markNotRun(31);
    window.markNotRun(5);
    EXPECT_EQ(window.classify(31), verdict::SeenNotRun);
    EXPECT_EQ(window.classify(5), verdict::BelowWindow);
}

TEST(GenerationFence, RisesMonotonicallyForEachInstance)
{
    generation_fence fence;
    fence.raise(1, 5, start);
    fence.raise(1, 3, start + seconds(1));
    EXPECT_TRUE(fence.isStale(1, 4));
    EXPECT_FALSE(fence.isStale(1, 5));
    EXPECT_FALSE(fence.isStale(2, 1));
    fence.window(1, start).add(3);
    fence.raise(1, 6, start);
    EXPECT_EQ(fence.window(1, start).classify(3), replay_window::verdict::Seen);
    fence.expire(start + seconds(11), seconds(10));
    EXPECT_EQ(fence.size(), 1u);
    fence.expire(start + seconds(12), seconds(10));
    EXPECT_EQ(fence.size(), 0u);
}

TEST(CallLedger, KeepsAnAnswerUntilEveryAttemptHasAcknowledgedIt)
{
    call_ledger ledger(1000);
    ledger.add("c", makeEntry({ { 1, "c#1" }, { 2, "c#1" } }));
    ledger.release({ 2, "c#2" }, "c");
    ledger.finish("c", makeAnswer(10), start);
    EXPECT_EQ(ledger.unsettled(), 1u);
    ledger.release({ 1, "c#1" }, "c");
    ASSERT_NE(ledger.findWaiter({ 2, "c#1" }, "c"), nullptr);
    ledger.release({ 2, "c#1" }, "c");
    EXPECT_EQ(ledger.find("c"), nullptr);
    EXPECT_EQ(ledger.answerBytes(), 0u);
}

TEST(CallLedger, KeepsAKeyedAnswerUntilItsRetentionExpires)
{
    call_ledger ledger(1000);
    ledger.add("k", makeEntry({ { 1, "k@1" } }, true));
    ledger.finish("k", makeAnswer(10), start);
    ledger.release({ 1, "k@1" }, "k");
    EXPECT_EQ(ledger.unsettled(), 0u) << "a planned stop must not wait for it";
    ledger.expire(start + seconds(30));
    ASSERT_NE(ledger.find("k"), nullptr);
    ledger.expire(start + seconds(31));
    EXPECT_EQ(ledger.find("k"), nullptr);
}

TEST(CallLedger, DropsTheOldestAnswersButKeepsTheirEntries)
{
    call_ledger ledger(25);
    for (auto const* call : { "a", "b", "c" }) {
        ledger.add(call, makeEntry({ { 1, std::string(call) + "#1" } }));
        ledger.finish(call, makeAnswer(10), start + seconds(call[0]));
    }
    EXPECT_EQ(ledger.answerBytes(), 20u);
    ASSERT_NE(ledger.find("a"), nullptr);
    EXPECT_EQ(ledger.find("a")->state, run_state::Expired);
    EXPECT_TRUE(ledger.find("b")->answer.has_value());
}

} // namespace merlinpier
