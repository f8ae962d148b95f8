#include <LibRouting/windowed_retry_budget.h>

namespace merlinpier {

namespace {

// The parts of the budget that are spent in the first window after the start and later. If all daemons restart in the
// middle of a window, both are spent in it, so they add up to 1.
constexpr double firstWindowShare = 0.4;
constexpr double spendableShare = 0.6;

} // namespace

windowed_retry_budget::windowed_retry_budget(shared_budget_settings const& settings, std::size_t const& daemons)
    : m_settings(settings)
    , m_daemons(daemons)
{
}

std::int64_t windowed_retry_budget::bucketNumber(time_point now) const
{
    auto const length = duration(m_settings.window) / static_cast<std::int64_t>(bucketsPerWindow);
    return now.time_since_epoch() / length;
}

windowed_retry_budget::bucket& windowed_retry_budget::bucketAt(time_point now)
{
    auto const number = bucketNumber(now);
    auto& found = m_buckets[static_cast<std::size_t>(number) % m_buckets.size()];
    if (found.number != number)
        found = { .number = number };
    return found;
}

void windowed_retry_budget::didStartCall(time_point now)
{
    if (!m_firstCallAt)
        m_firstCallAt = now;
    ++bucketAt(now).calls;
}

void windowed_retry_budget::didRepeat(double calls, time_point now) { bucketAt(now).retries += calls; }

windowed_retry_budget::window_state windowed_retry_budget::stateAt(time_point now) const
{
    auto const current = bucketNumber(now);
    std::uint32_t calls = 0;
    double retries = 0;
    for (auto const& counted : m_buckets) {
        auto const age = current - counted.number;
        if (counted.number < 0 || age > static_cast<std::int64_t>(bucketsPerWindow))
            continue;
        retries += counted.retries;
        calls += age < static_cast<std::int64_t>(bucketsPerWindow) ? counted.calls : 0;
    }
    double const minimum
        = m_daemons > 0 ? static_cast<double>(m_settings.minimumRetries) / static_cast<double>(m_daemons) : 0;
    bool const isFirstWindow = !m_firstCallAt || now - *m_firstCallAt < m_settings.window;
    double const share = isFirstWindow ? firstWindowShare : spendableShare;
    return { retries, share * (m_settings.retriesPerCall * calls + minimum) };
}

bool windowed_retry_budget::tryTake(time_point now)
{
    auto const [spent, allowed] = stateAt(now);
    if (spent + 1 > allowed)
        return false;
    ++bucketAt(now).retries;
    return true;
}

bool windowed_retry_budget::isHalfLeft(time_point now) const
{
    auto const [spent, allowed] = stateAt(now);
    return spent + 1 <= allowed / 2;
}

} // namespace merlinpier
