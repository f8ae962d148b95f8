#include <LibRouting/windowed_retry_budget.h>

#include <LibCore/generator.h>
#include <deque>
#include <gtest/gtest.h>
#include <memory>
#include <vector>

// Retry amplification: calls of "slots" call "bookings", whose targets shed half of what arrives. A failed inner call
// fails the outer one, and the retry of the outer one makes its inner calls again, so the retries of both levels add up
// at "bookings".

namespace merlinpier {

namespace {

constexpr auto start = time_point(seconds(1000));
constexpr std::size_t daemons = 194;
constexpr shared_budget_settings settings { 0.2, 430, milliseconds(10000) };
constexpr double shedProbability = 0.5;
constexpr int innerCallsPerRun = 2;
constexpr microseconds timeBetweenCalls { 1000 };

// What arrives at "bookings" within the window of the budget.
class arrival_window {
public:
    void didStartCall(time_point now) { m_calls.push_back(now); }
    void didRetry(time_point now) { m_retries.push_back(now); }
    bool isWithinLimit(time_point now)
    {
        dropBefore(m_calls, now - settings.window);
        dropBefore(m_retries, now - settings.window);
        auto const limit = settings.retriesPerCall * static_cast<double>(m_calls.size()) + settings.minimumRetries;
        return static_cast<double>(m_retries.size()) <= limit;
    }
    std::size_t retries() const { return m_retries.size(); }

private:
    static void dropBefore(std::deque<time_point>& times, time_point first)
    {
        while (!times.empty() && times.front() < first)
            times.pop_front();
    }

    std::deque<time_point> m_calls;
    std::deque<time_point> m_retries;
};

// A fleet of daemons with their parts of the budgets of both services.
class shedding_fleet {
public:
    shedding_fleet()
    {
        for (std::size_t i = 0; i < daemons; ++i)
            m_parts.emplace_back(makePart(m_daemons));
    }

    void run(duration time)
    {
        for (auto const end = m_now + time; m_now < end && isWithinLimit; m_now += timeBetweenCalls) {
            callSlots();
            isWithinLimit = m_bookings.isWithinLimit(m_now);
        }
    }

    // Every daemon starts again, and does not know yet how many others there are.
    void restartAll()
    {
        for (auto& part : m_parts)
            part = makePart(m_unknownDaemons);
    }

    std::size_t retries() const { return m_bookings.retries(); }
    bool isWithinLimit { true };

private:
    struct daemon_part {
        explicit daemon_part(std::size_t const& daemonCount)
            : slots(settings, daemonCount)
            , bookings(settings, daemonCount)
        {
        }

        windowed_retry_budget slots;
        windowed_retry_budget bookings;
    };

    static std::unique_ptr<daemon_part> makePart(std::size_t const& daemonCount)
    {
        return std::make_unique<daemon_part>(daemonCount);
    }

    daemon_part& pick() { return *m_parts[uniformBelow(m_source, daemons)]; }
    bool isShed() { return uniformUnit(m_source) < shedProbability; }

    void callSlots()
    {
        auto& origin = pick();
        origin.slots.didStartCall(m_now);
        if (!runSlots(false) && origin.slots.tryTake(m_now))
            runSlots(true);
    }

    bool runSlots(bool isRetry)
    {
        auto& caller = pick();
        for (int i = 0; i < innerCallsPerRun; ++i) {
            caller.bookings.didStartCall(m_now);
            m_bookings.didStartCall(m_now);
            if (isRetry) {
                caller.bookings.didRepeat(1, m_now);
                m_bookings.didRetry(m_now);
            }
            if (!isShed())
                continue;
            if (!caller.bookings.tryTake(m_now))
                return false;
            m_bookings.didRetry(m_now);
            if (isShed())
                return false;
        }
        return true;
    }

    std::size_t m_daemons { daemons };
    std::size_t m_unknownDaemons { 0 };
    time_point m_now { start };
    generator m_source { 3 };
    std::vector<std::unique_ptr<daemon_part>> m_parts;
    arrival_window m_bookings;
};

} // namespace

TEST(RetryAmplification, RetriesAtTwoLevelsStayWithinTheInnerServicesBudget)
{
    shedding_fleet fleet;
    fleet.run(seconds(30));
    EXPECT_TRUE(fleet.isWithinLimit) << fleet.retries() << " retries";
    EXPECT_GT(fleet.retries(), 0u);
}

// After the loss of all VMs, each daemon would spend the whole minimum if it took itself for the only one.
TEST(RetryAmplification, AFleetThatHasJustStartedStaysWithinTheBudget)
{
    shedding_fleet fleet;
    fleet.run(seconds(25));
    fleet.restartAll();
    fleet.run(seconds(15));
    EXPECT_TRUE(fleet.isWithinLimit) << fleet.retries() << " retries";
}

} // namespace merlinpier
