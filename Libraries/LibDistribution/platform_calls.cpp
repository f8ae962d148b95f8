#include <LibDistribution/platform_calls.h>

#include <algorithm>

namespace merlinpier {

namespace {

// A call that the owner has not reported for this long, beyond the time that it may wait, is given up for lost.
constexpr seconds lostCallTimeout { 30 };
constexpr double secondsPerMinute = 60;

} // namespace

platform_calls::platform_calls(distribution_settings const& settings)
    : m_settings(settings)
    , m_backOff(settings.firstBackOff, settings.longestBackOff)
    , m_calls(settings.platformCallsPerMinute)
{
}

std::optional<watch_platform_head> platform_calls::nextWatch(std::uint64_t afterRevision, time_point now)
{
    bool const isLost = now - m_watchStarted > m_settings.watchTimeout + lostCallTimeout;
    if ((m_openWatches > 0 && !isLost) || now < m_nextWatchAt || !takeCall(now))
        return {};
    ++m_openWatches;
    m_watchStarted = now;
    return watch_platform_head { afterRevision, m_settings.watchTimeout };
}

std::vector<read_platform_object> platform_calls::nextReads(std::vector<std::string> const& keys, time_point now)
{
    std::vector<read_platform_object> reads;
    for (auto const& key : keys) {
        auto const started = m_reading.find(key);
        if (started != m_reading.end() && now - started->second < lostCallTimeout)
            continue;
        if (!takeCall(now))
            break;
        m_reading[key] = now;
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
    if (kind == failure::Silent && !m_silentSince)
        m_silentSince = now;
    m_notBefore = now + m_backOff.didFail(source);
}

bool platform_calls::takeCall(time_point now)
{
    if (now < m_notBefore)
        return false;
    double const perMinute = m_settings.platformCallsPerMinute;
    if (m_refilledAt) {
        std::chrono::duration<double> const passed = now - *m_refilledAt;
        m_calls = std::min(perMinute, m_calls + passed.count() * perMinute / secondsPerMinute);
    }
    m_refilledAt = now;
    if (m_calls < 1)
        return false;
    m_calls -= 1;
    return true;
}

} // namespace merlinpier
