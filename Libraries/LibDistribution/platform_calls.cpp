#include <LibDistribution/platform_calls.h>

#include <algorithm>

namespace merlinpier {

namespace {

// A call is considered lost if its outcome has not been reported within this time; a watch, within this time after its
// wait.
constexpr seconds lostCallTimeout { 30 };
constexpr double secondsPerMinute = 60;

} // namespace

platform_calls::platform_calls(distribution_settings const& settings)
    : m_settings(settings)
    , m_backOff(settings.firstBackOff, settings.longestBackOff)
    , m_callTokens(settings.platformCallsPerMinute)
{
}

std::optional<watch_platform_head> platform_calls::nextWatch(std::uint64_t afterRevision, time_point now)
{
    bool const isLost = now - m_watchStartedAt > m_settings.watchTimeout + lostCallTimeout;
    if ((m_openWatches > 0 && !isLost) || now < m_nextWatchAt || !takeCallToken(now))
        return {};
    ++m_openWatches;
    m_watchStartedAt = now;
    return watch_platform_head { afterRevision, m_settings.watchTimeout };
}

std::vector<read_platform_object> platform_calls::nextReads(std::vector<std::string> const& keys, time_point now)
{
    std::vector<read_platform_object> reads;
    for (auto const& key : keys) {
        auto const started = m_pendingReads.find(key);
        if (started != m_pendingReads.end() && now - started->second < lostCallTimeout)
            continue;
        if (!takeCallToken(now))
            break;
        m_pendingReads[key] = now;
        reads.push_back({ key });
    }
    return reads;
}

void platform_calls::didEndWatch()
{
    if (m_openWatches > 0)
        --m_openWatches;
}

void platform_calls::didSucceed()
{
    m_silentSince.reset();
    m_backOff.didSucceed();
}

void platform_calls::didFail(failure kind, time_point now, generator& source)
{
    if (kind == failure::Unanswered && !m_silentSince)
        m_silentSince = now;
    m_retryAt = now + m_backOff.didFail(source);
}

bool platform_calls::takeCallToken(time_point now)
{
    if (now < m_retryAt)
        return false;
    double const perMinute = m_settings.platformCallsPerMinute;
    if (m_refilledAt) {
        std::chrono::duration<double> const passed = now - *m_refilledAt;
        m_callTokens = std::min(perMinute, m_callTokens + passed.count() * perMinute / secondsPerMinute);
    }
    m_refilledAt = now;
    if (m_callTokens < 1)
        return false;
    m_callTokens -= 1;
    return true;
}

} // namespace merlinpier
