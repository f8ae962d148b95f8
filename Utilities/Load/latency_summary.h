#pragma once

#include <LibCore/time.h>
#include <vector>

namespace merlinpier {

// Exact percentiles of latencies, in milliseconds; all zero without samples.
struct latency_summary {
    double p50Ms { 0 };
    double p90Ms { 0 };
    double p99Ms { 0 };
    double p999Ms { 0 };
    double maximumMs { 0 };

    bool operator==(latency_summary const&) const = default;
};

// Takes the nearest rank: the smallest sample that at least so many of all samples do not exceed.
latency_summary summarizeLatencies(std::vector<duration> samples);

} // namespace merlinpier
