#pragma once

#include <LibCore/time.h>
#include <LibMembership/membership_table.h>
#include <LibRollout/failure_test.h>
#include <LibRollout/rollout_finding.h>
#include <LibRollout/target_ages.h>
#include <LibWire/membership_messages.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace merlinpier {

// Judges the new version of one rollout by what the targets' records show of their runs, in comparison with the old
// version over the same time. Counts of a daemon's earlier processes are kept.
class rollout_evidence {
public:
    // The first runs of a target are slower than the later ones; it counts towards slowness, and as ready for the whole
    // load, after this time.
    static constexpr milliseconds coldTime { 3000 };

    rollout_evidence(std::string service, std::string targetVersion);

    void observe(membership_table const&, target_ages const&, time_point now);
    // The finding against the version, if there is one. It stays once it is made.
    std::optional<rollout_finding> const& finding() const { return m_finding; }
    // Whether the evidence leans against the version without being enough for a finding.
    bool isDoubtful() const;
    // The finding to make if it has to be decided now.
    std::optional<rollout_finding> leaning() const;
    // Runs of a version, over all targets and kinds, since this daemon has known the order.
    struct version_totals {
        std::uint64_t runs { 0 };
        std::uint64_t failures { 0 };
        std::uint64_t totalMs { 0 };

        bool operator==(version_totals const&) const = default;
        double meanMs() const { return runs == 0 ? 0 : static_cast<double>(totalMs) / static_cast<double>(runs); }
    };
    version_totals newTotals() const;
    version_totals oldTotals() const;
    std::uint64_t newRuns() const { return m_newTotals.runs; }

private:
    // Length of the time windows over which run times are also compared, so that a version that turns slow late is
    // found as fast as one that is slow from the start.
    static constexpr milliseconds windowPeriod { 2000 };

    struct counts {
        std::uint64_t runs { 0 };
        std::uint64_t failures { 0 };
        std::uint64_t totalMs { 0 };

        counts operator-(counts const& other) const
        {
            return { runs - other.runs, failures - other.failures, totalMs - other.totalMs };
        }
        double meanMs() const { return runs == 0 ? 0 : static_cast<double>(totalMs) / static_cast<double>(runs); }
    };
    struct kind_counts {
        counts current;
        // At the end of the cold time, and at the starts of the present and the previous window.
        counts whenWarm;
        counts windowStart;
        counts previousWindowStart;
    };
    // One process of a target's daemon, since each counts from zero.
    struct source {
        bool isNew { false };
        std::string target;
        bool isWarm { false };
        std::map<std::string, kind_counts> kinds;
    };
    // Cumulative: since the targets were warm. Windowed: the last one or two windows.
    enum class time_span { Cumulative, Windowed };

    void take(source&, std::vector<kind_evidence> const&);
    void startWindow(time_point now);
    double failureRateOfOld(std::string const& kind) const;
    rollout_finding failuresOf(std::string const& kind, failure_test const&) const;
    std::optional<rollout_finding> findFailures() const;
    std::optional<rollout_finding> findSlowness(std::string const& kind, time_span) const;
    counts spanOf(source const&, std::string const& kind, time_span) const;

    std::string m_service;
    std::string m_targetVersion;
    std::map<std::string, source> m_sources;
    // By kind; the empty kind stands for all together.
    std::map<std::string, failure_test> m_failureTests;
    counts m_newTotals;
    std::map<std::string, counts> m_oldTotals;
    std::size_t m_newTargets { 0 };
    time_point m_windowStarted {};
    std::optional<rollout_finding> m_finding;
};

} // namespace merlinpier
