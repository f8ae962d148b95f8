#include <LibCalls/request_limiter.h>

#include <algorithm>

namespace merlinpier {

namespace {

// A target that asks for less still gets a request in two seconds: only an answer can tell that its limit has ended.
constexpr double lowestRequestsPerSecond = 0.5;
// How much of a second's requests may be sent at once after a time with fewer.
constexpr double bucketSeconds = 0.2;

} // namespace

double request_limiter::rate() const { return std::max(*m_limit, lowestRequestsPerSecond); }

double request_limiter::bucketSize() const { return std::max(1.0, rate() * bucketSeconds); }

double request_limiter::tokensAt(time_point now) const
{
    double const passed = std::chrono::duration<double>(now - m_refilledAt).count();
    return std::min(bucketSize(), m_tokens + std::max(0.0, passed) * rate());
}

void request_limiter::setLimit(std::optional<double> requestsPerSecond, time_point now)
{
    if (requestsPerSecond == m_limit)
        return;
    double const tokens = m_limit ? tokensAt(now) : 0;
    m_limit = requestsPerSecond;
    m_tokens = m_limit ? std::min(tokens, bucketSize()) : 0;
    m_refilledAt = now;
}

bool request_limiter::maySend(time_point now) const { return !m_limit || tokensAt(now) >= 1; }

void request_limiter::didSend(time_point now)
{
    if (!m_limit)
        return;
    m_tokens = tokensAt(now) - 1;
    m_refilledAt = now;
}

duration request_limiter::expectedWait(std::size_t requestsAhead, time_point now) const
{
    if (!m_limit)
        return duration::zero();
    double const missing = static_cast<double>(requestsAhead + 1) - tokensAt(now);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(std::max(0.0, missing) / rate()));
}

} // namespace merlinpier
