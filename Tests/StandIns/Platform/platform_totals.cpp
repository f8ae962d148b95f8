#include <Tests/StandIns/Platform/platform_totals.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace merlinpier {

void platform_totals::countCall(platform_call call, std::size_t bytesIn, time_point now)
{
    mutex_lock lock(m_mutex);
    m_reads += call == platform_call::Read ? 1 : 0;
    m_writes += call == platform_call::Write ? 1 : 0;
    m_watches += call == platform_call::Watch ? 1 : 0;
    m_bytesIn += bytesIn;
    auto const second = std::chrono::floor<seconds>(now.time_since_epoch());
    if (second != m_currentSecond)
        m_callsInSecond = 0;
    m_currentSecond = second;
    m_peakCallsPerSecond = std::max(m_peakCallsPerSecond, ++m_callsInSecond);
}

void platform_totals::countRateLimited()
{
    mutex_lock lock(m_mutex);
    ++m_rateLimited;
}

void platform_totals::countAnswer(std::size_t bytesOut)
{
    mutex_lock lock(m_mutex);
    m_bytesOut += bytesOut;
}

void platform_totals::reset()
{
    mutex_lock lock(m_mutex);
    m_reads = m_writes = m_watches = m_rateLimited = 0;
    m_bytesIn = m_bytesOut = 0;
    m_callsInSecond = m_peakCallsPerSecond = 0;
}

std::string platform_totals::json() const
{
    mutex_lock lock(m_mutex);
    return nlohmann::json {
        { "reads", m_reads }, { "writes", m_writes }, { "watches", m_watches }, { "rate_limited", m_rateLimited },
        { "peak_calls_per_s", m_peakCallsPerSecond }, { "bytes_out", m_bytesOut }, { "bytes_in", m_bytesIn }
    }.dump();
}

} // namespace merlinpier
