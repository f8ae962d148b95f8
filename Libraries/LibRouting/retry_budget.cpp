#include <LibRouting/retry_budget.h>

#include <algorithm>

namespace merlinpier {

namespace {

// Retries that a service may save up, so that a quiet hour does not pay for a storm.
constexpr double maximumBalance = 20;
// A daemon that has just started meets failures, too.
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

double retry_budget::available(time_point now) const
{
    retry_budget copy = *this;
    copy.accrue(now);
    return copy.m_balance;
}

void retry_budget::accrue(time_point now)
{
    if (m_last != time_point {} && now > m_last) {
        double const elapsed = std::chrono::duration<double>(now - m_last).count();
        // The floor fills only an empty budget: it is no addition to the share of a busy service.
        double const ceiling = std::max<double>(m_balance, m_floorPerSecond);
        m_balance = std::min(ceiling, m_balance + elapsed * m_floorPerSecond);
    }
    m_last = std::max(m_last, now);
}

} // namespace merlinpier
