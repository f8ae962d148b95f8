#pragma once

#include <LibCore/mutex.h>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace merlinpier {

// What a histogram has seen since the start; in the unit of what was added.
struct distribution_summary {
    std::uint64_t count { 0 };
    double mean { 0 };
    double maximum { 0 };
    double p50 { 0 };
    double p90 { 0 };
    double p99 { 0 };

    bool operator==(distribution_summary const&) const = default;
};

// Counters, gauges and distributions of a process by name, over Boost.Accumulators, printed in the Prometheus text
// format. Names are whole, labels included: merlinpier_calls_total{outcome="answered"}. Any thread may call.
class metrics {
public:
    metrics();
    ~metrics();
    void add(std::string const& counter, std::uint64_t amount = 1);
    void setGauge(std::string const& gauge, double value);
    // For a gauge whose label is no longer shown.
    void removeGauge(std::string const& gauge);
    void observe(std::string const& distribution, double value);
    std::uint64_t counter(std::string const& name) const;
    distribution_summary summary(std::string const& distribution) const;
    // The whole content of /metrics.
    std::string prometheusText() const;

private:
    struct accumulator;
    mutable mutex m_mutex { lock_rank::Metrics };
    std::map<std::string, std::uint64_t> m_counters ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, double> m_gauges ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, std::unique_ptr<accumulator>> m_distributions ABSL_GUARDED_BY(m_mutex);
};

} // namespace merlinpier
