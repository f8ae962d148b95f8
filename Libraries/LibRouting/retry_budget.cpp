#include <LibRouting/retry_budget.h>

#include <algorithm>

namespace merlinpier {

namespace {

// Limits the tokens that a service can save up, so that an hour of few failures does not allow a retry storm.
constexpr double maximumBalance = 20;
// Allows retries before the first calls have added tokens: a daemon that has just started meets failures, too.
constexpr double initialBalance = 10;

} // namespace

retry_budget::retry_budget(std::uint32_t sharePermille, std::uint32_t floorPerSecond)
    : m_sharePermille(sharePermille)
    , m_floorPerSecond(floorPerSecond)
    , m_balance(initialBalance)
{
}

void retry_budget::didStartCall(time_point now)
{
    accrue(now);
    m_balance = std::min(maximumBalance, m_balance + m_sharePermille / 1000.0);
}

bool retry_budget::tryTake(time_point now)
{
    accrue(now);
    if (m_balance < 1)
        return false;
    m_balance -= 1;
    return true;
}

bool retry_budget::isHalfLeft(time_point now) const { return available(now) >= 1 + maximumBalance / 2; }

double retry_budget::available(time_point now) const
{
    retry_budget copy = *this;
    copy.accrue(now);
    return copy.m_balance;
}

void retry_budget::accrue(time_point now)
{
    if (m_lastAccrual != time_point {} && now > m_lastAccrual) {
        double const elapsed = std::chrono::duration<double>(now - m_lastAccrual).count();
        // The floor raises the balance to its tokens of one second at most, so that it does not add to the share of a
        // busy service.
        double const ceiling = std::max<double>(m_balance, m_floorPerSecond);
        m_balance = std::min(ceiling, m_balance + elapsed * m_floorPerSecond);
    }
    m_lastAccrual = std::max(m_lastAccrual, now);
}

} // namespace merlinpier
