#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace merlinpier {

// Sequential test of whether runs of a new version fail more often than those of the old one: the cumulative sum of
// log-likelihood ratios (Page, 1954) of Wald's sequential probability ratio test (1945). The sum starts again at zero
// when it falls below, so that a version that turns bad late is found as fast as one that is bad from the start.
class failure_test {
public:
    // The rate of failures above which a version is bad, given the rate of the old one.
    struct rates {
        double acceptable { 0 };
        double bad { 0 };
    };
    static rates ratesFor(double failuresOfOld);

    // Adds runs of one target of the new version, some of which failed.
    void add(std::string const& target, std::uint64_t runs, std::uint64_t failures, rates const&);
    // Whether the version is bad. If most failures come from one target out of three or more, the others have to show
    // it without that one.
    bool isBad(std::size_t targets) const;
    // Whether the runs lean towards a finding, or do not speak for the version yet.
    bool isDoubtful() const;
    // Whether all runs together speak against the version, if it has to be decided now.
    bool isLeaningBad(std::size_t targets) const;
    // Since the sum last started at zero.
    std::uint64_t failures() const { return m_recent.all.failures; }
    std::uint64_t runs() const { return m_recent.all.runs; }

private:
    struct counts {
        std::uint64_t runs { 0 };
        std::uint64_t failures { 0 };
    };
    // Scores are computed from the counts with the newest rates: the old version's rate is known better later on.
    struct sum {
        counts all;
        std::map<std::string, counts> byTarget;

        void add(std::string const& target, counts const&);
        bool reaches(double wanted, std::size_t targets, rates const&) const;
    };
    static double scoreOf(counts const&, rates const&);

    // The sum that starts again at zero, and the one over all runs.
    sum m_recent;
    sum m_whole;
    rates m_rates { ratesFor(0) };
};

} // namespace merlinpier
