#include <LibRouting/windowed_retry_budget.h>

#include <LibCore/generator.h>
#include <deque>
#include <gtest/gtest.h>
#include <memory>
#include <vector>

namespace merlinpier {

namespace {

constexpr auto start = time_point(seconds(1000));

} // namespace

// Every call fails, and every daemon retries as often as its budget allows.
TEST(WindowedRetryBudget, KeepsTheSumOverAllDaemonsWithinTheLimitInEveryWindow)
{
    shared_budget_settings const settings { 0.2, 56, milliseconds(10000) };
    std::size_t const daemons = 9;
    std::vector<std::unique_ptr<windowed_retry_budget>> budgets;
    for (std::size_t i = 0; i < daemons; ++i)
        budgets.push_back(std::make_unique<windowed_retry_budget>(settings, daemons));
    std::deque<time_point> calls;
    std::deque<time_point> retries;
    generator source(7);
    for (auto now = start; now < start + seconds(60); now += milliseconds(2)) {
        auto& budget = *budgets[uniformBelow(source, daemons)];
        // Alternates between 7 s with calls and 7 s without.
        if ((now - start) / seconds(7) % 2 == 0) {
            budget.didStartCall(now);
            calls.push_back(now);
        }
        if (budget.tryTake(now))
            retries.push_back(now);
        while (!calls.empty() && now - calls.front() >= settings.window)
            calls.pop_front();
        while (!retries.empty() && now - retries.front() >= settings.window)
            retries.pop_front();
        ASSERT_LE(
            retries.size(), settings.retriesPerCall * static_cast<double>(calls.size()) + settings.minimumRetries);
    }
    EXPECT_FALSE(retries.empty());
}

TEST(WindowedRetryBudget, AllowsRetriesAgainWhenTheWindowHasPassed)
{
    shared_budget_settings const settings { 0.2, 8, milliseconds(10000) };
    std::size_t const daemons = 1;
    windowed_retry_budget budget(settings, daemons);
    for (int i = 0; i < 3; ++i)
        EXPECT_TRUE(budget.tryTake(start));
    EXPECT_FALSE(budget.tryTake(start));
    EXPECT_FALSE(budget.tryTake(start + seconds(9)));
    EXPECT_TRUE(budget.tryTake(start + seconds(11)));
}

} // namespace merlinpier
