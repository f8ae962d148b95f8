#include <LibMetrics/metrics.h>

#include <gtest/gtest.h>
#include <limits>

namespace merlinpier {

TEST(Metrics, CountsByName)
{
    metrics figures;
    figures.add("calls");
    figures.add("calls", 4);
    EXPECT_EQ(figures.counter("calls"), 5U);
    EXPECT_EQ(figures.counter("never"), 0U);
}

TEST(Metrics, SummarizesNothingAsZero)
{
    metrics const figures;
    EXPECT_EQ(figures.summary("never"), distribution_summary {});
}

TEST(Metrics, GivesExactQuantilesOfFewSamples)
{
    metrics figures;
    for (double const value : { 5.0, 1.0, 3.0 })
        figures.observe("ms", value);
    EXPECT_EQ(figures.summary("ms"), (distribution_summary { 3, 3, 5, 3, 5, 5 }));
}

TEST(Metrics, EstimatesQuantilesOfManySamples)
{
    metrics figures;
    for (int i = 0; i < 10000; ++i)
        figures.observe("ms", (i * 7919) % 10000);
    auto const summary = figures.summary("ms");
    EXPECT_EQ(summary.count, 10000U);
    EXPECT_EQ(summary.maximum, 9999);
    EXPECT_NEAR(summary.mean, 4999.5, 0.01);
    EXPECT_NEAR(summary.p50, 5000, 100);
    EXPECT_NEAR(summary.p90, 9000, 100);
    EXPECT_NEAR(summary.p99, 9900, 100);
}

TEST(Metrics, PassesOverWhatIsNoNumber)
{
    metrics figures;
    figures.observe("ms", std::numeric_limits<double>::quiet_NaN());
    figures.observe("ms", 2);
    EXPECT_EQ(figures.summary("ms").count, 1U);
    EXPECT_EQ(figures.summary("ms").mean, 2);
}

TEST(Metrics, PrintsPrometheusText)
{
    metrics figures;
    figures.add("calls_total{outcome=\"answered\"}", 2);
    figures.add("calls_total{outcome=\"unknown\"}");
    figures.setGauge("members", 9);
    figures.observe("call_ms{class=\"report\"}", 4);
    EXPECT_EQ(figures.prometheusText(),
        "# TYPE calls_total counter\n"
        "calls_total{outcome=\"answered\"} 2\n"
        "calls_total{outcome=\"unknown\"} 1\n"
        "# TYPE members gauge\n"
        "members 9\n"
        "# TYPE call_ms summary\n"
        "call_ms{class=\"report\",quantile=\"0.5\"} 4\n"
        "call_ms{class=\"report\",quantile=\"0.9\"} 4\n"
        "call_ms{class=\"report\",quantile=\"0.99\"} 4\n"
        "call_ms_sum{class=\"report\"} 4\n"
        "call_ms_count{class=\"report\"} 1\n");
}

} // namespace merlinpier
