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
    // Whether the runs speak against the version, if it has to be decided now.
    bool isLeaningBad(std::size_t targets) const;
    std::uint64_t failures() const { return m_failures; }
    std::uint64_t runs() const { return m_runs; }

private:
    struct share {
        std::uint64_t failures { 0 };
        double score { 0 };
    };

    bool reaches(double score, std::size_t targets) const;

    double m_score { 0 };
    // The sum that does not start again at zero.
    double m_wholeScore { 0 };
    // Since the sum was last zero.
    std::uint64_t m_runs { 0 };
    std::uint64_t m_failures { 0 };
    std::map<std::string, share> m_byTarget;
};

} // namespace merlinpier
