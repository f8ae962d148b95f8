#include <LibMetrics/metrics.h>

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
#include <cmath>
#include <cstddef>
#include <cstdio>
#include <set>
#include <vector>

namespace merlinpier {

namespace {

using namespace boost::accumulators;

constexpr std::array<double, 3> probabilities { 0.5, 0.9, 0.99 };

// The estimator of quantiles has a marker for each probability, one between each two, and the ends; its first samples
// only place the markers. Until then the quantiles are taken from the samples themselves.
constexpr std::size_t markerCount = 2 * probabilities.size() + 3;

using accumulator_set_type = accumulator_set<double, stats<tag::count, tag::mean, tag::max, tag::extended_p_square>>;

double quantileOf(std::vector<double> samples, double probability)
{
    if (samples.empty())
        return 0;
    std::sort(samples.begin(), samples.end());
    auto const rank = static_cast<std::size_t>(std::ceil(probability * static_cast<double>(samples.size())));
    return samples[std::max<std::size_t>(rank, 1) - 1];
}

std::string numberText(double value)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.9g", value);
    return text.data();
}

// A metric's name as it is printed: the part before the braces and the labels between them.
struct metric_name {
    std::string base;
    std::string labels;
};

metric_name split(std::string const& name)
{
    auto const brace = name.find('{');
    if (brace == std::string::npos)
        return { name, "" };
    return { name.substr(0, brace), name.substr(brace + 1, name.size() - brace - 2) };
}

std::string withLabels(std::string const& base, std::string const& labels, std::string const& more = "")
{
    if (labels.empty() && more.empty())
        return base;
    std::string const comma = labels.empty() || more.empty() ? "" : ",";
    return base + "{" + labels + comma + more + "}";
}

// Prints the type of a metric before its first line. Names that differ only in labels share one.
class type_lines {
public:
    void print(std::string& text, std::string const& base, char const* type)
    {
        if (m_printed.insert(base).second)
            text += "# TYPE " + base + " " + type + "\n";
    }

private:
    std::set<std::string> m_printed;
};

void printSummary(std::string& text, metric_name const& name, distribution_summary const& summary)
{
    std::array<double, 3> const values { summary.p50, summary.p90, summary.p99 };
    for (std::size_t i = 0; i < probabilities.size(); ++i) {
        std::string const quantile = "quantile=\"" + numberText(probabilities[i]) + "\"";
        text += withLabels(name.base, name.labels, quantile) + " " + numberText(values[i]) + "\n";
    }
    double const sum = summary.mean * static_cast<double>(summary.count);
    text += withLabels(name.base + "_sum", name.labels) + " " + numberText(sum) + "\n";
    text += withLabels(name.base + "_count", name.labels) + " " + std::to_string(summary.count) + "\n";
}

} // namespace

struct metrics::accumulator {
    accumulator_set_type statistics { tag::extended_p_square::probabilities = probabilities };
    std::vector<double> firstSamples;

    void add(double value)
    {
        statistics(value);
        if (firstSamples.size() < markerCount)
            firstSamples.push_back(value);
    }

    distribution_summary summary() const
    {
        distribution_summary summary;
        summary.count = boost::accumulators::count(statistics);
        if (summary.count == 0)
            return summary;
        summary.mean = mean(statistics);
        summary.maximum = max(statistics);
        summary.p50 = quantile(0);
        summary.p90 = quantile(1);
        summary.p99 = quantile(2);
        return summary;
    }

private:
    double quantile(std::size_t index) const
    {
        if (boost::accumulators::count(statistics) <= markerCount)
            return quantileOf(firstSamples, probabilities[index]);
        return extended_p_square(statistics)[static_cast<std::ptrdiff_t>(index)];
    }
};

metrics::metrics() = default;
metrics::~metrics() = default;

void metrics::add(std::string const& counter, std::uint64_t amount)
{
    mutex_lock lock(m_mutex);
    m_counters[counter] += amount;
}

void metrics::setGauge(std::string const& gauge, double value)
{
    mutex_lock lock(m_mutex);
    m_gauges[gauge] = value;
}

void metrics::removeGauge(std::string const& gauge)
{
    mutex_lock lock(m_mutex);
    m_gauges.erase(gauge);
}

void metrics::observe(std::string const& distribution, double value)
{
    // A value that is no number would spoil the mean for good.
    if (!std::isfinite(value))
        return;
    mutex_lock lock(m_mutex);
    auto& entry = m_distributions[distribution];
    if (!entry)
        entry = std::make_unique<accumulator>();
    entry->add(value);
}

std::uint64_t metrics::counter(std::string const& name) const
{
    mutex_lock lock(m_mutex);
    auto const found = m_counters.find(name);
    return found == m_counters.end() ? 0 : found->second;
}

distribution_summary metrics::summary(std::string const& distribution) const
{
    mutex_lock lock(m_mutex);
    auto const found = m_distributions.find(distribution);
    return found == m_distributions.end() ? distribution_summary {} : found->second->summary();
}

std::string metrics::prometheusText() const
{
    mutex_lock lock(m_mutex);
    std::string text;
    type_lines types;
    for (auto const& [key, value] : m_counters) {
        types.print(text, split(key).base, "counter");
        text += key + " " + std::to_string(value) + "\n";
    }
    for (auto const& [key, value] : m_gauges) {
        types.print(text, split(key).base, "gauge");
        text += key + " " + numberText(value) + "\n";
    }
    for (auto const& [key, value] : m_distributions) {
        auto const name = split(key);
        types.print(text, name.base, "summary");
        printSummary(text, name, value->summary());
    }
    return text;
}

} // namespace merlinpier
