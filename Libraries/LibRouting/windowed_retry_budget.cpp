#include <LibRouting/windowed_retry_budget.h>

#include <algorithm>

namespace merlinpier {

namespace {

// The part of the budget that is spent; the class comment says why the rest is held in reserve.
constexpr double spendableShare = 0.5;

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
        found = { number, 0, 0 };
    return found;
}

void windowed_retry_budget::didStartCall(time_point now) { ++bucketAt(now).calls; }

bool windowed_retry_budget::tryTake(time_point now)
{
    auto& current = bucketAt(now);
    std::uint32_t calls = 0;
    std::uint32_t retries = 0;
    for (auto const& counted : m_buckets) {
        auto const age = current.number - counted.number;
        if (counted.number < 0 || age > static_cast<std::int64_t>(bucketsPerWindow))
            continue;
        retries += counted.retries;
        calls += age < static_cast<std::int64_t>(bucketsPerWindow) ? counted.calls : 0;
    }
    double const floor
        = static_cast<double>(m_settings.minimumRetries) / static_cast<double>(std::max<std::size_t>(1, m_daemons));
    double const allowed = spendableShare * (m_settings.retriesPerCall * calls + floor);
    if (retries + 1 > allowed)
        return false;
    ++current.retries;
    return true;
}

} // namespace merlinpier
