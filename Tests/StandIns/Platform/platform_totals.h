#pragma once

#include <LibCore/mutex.h>
#include <LibCore/time.h>
#include <cstdint>
#include <string>

namespace merlinpier {

// How a call counts at the platform.
enum class platform_call { Read, Write, Watch };

// What the stand-in of the platform has been asked so far. Any thread may call; the caller passes the time.
class platform_totals {
public:
    void countCall(platform_call, std::size_t bytesIn, time_point now);
    void countRateLimited();
    void countAnswer(std::size_t bytesOut);
    void reset();
    // {"reads", "writes", "watches", "rate_limited", "peak_calls_per_s", "bytes_out", "bytes_in"}; bytes are those of
    // paths and bodies.
    std::string json() const;

private:
    mutable mutex m_mutex { lock_rank::Leaf };
    std::uint64_t m_reads ABSL_GUARDED_BY(m_mutex) { 0 };
    std::uint64_t m_writes ABSL_GUARDED_BY(m_mutex) { 0 };
    std::uint64_t m_watches ABSL_GUARDED_BY(m_mutex) { 0 };
    std::uint64_t m_rateLimited ABSL_GUARDED_BY(m_mutex) { 0 };
    std::uint64_t m_bytesIn ABSL_GUARDED_BY(m_mutex) { 0 };
    std::uint64_t m_bytesOut ABSL_GUARDED_BY(m_mutex) { 0 };
    seconds m_currentSecond ABSL_GUARDED_BY(m_mutex) { 0 };
    std::uint64_t m_callsInSecond ABSL_GUARDED_BY(m_mutex) { 0 };
    std::uint64_t m_peakCallsPerSecond ABSL_GUARDED_BY(m_mutex) { 0 };
};

} // namespace merlinpier
