#pragma once

#include <LibCore/time.h>
#include <LibWire/membership_messages.h>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace merlinpier {

// How a run ended, as evidence about the target's version.
enum class run_ending : std::uint8_t { Good, Failed };

// Counts the runs of this VM's targets by kind of call while a rollout of their service is under way, and decides which
// counts are published with the targets' records. Each publication is sent to every daemon, so the interval grows with
// the counts.
class run_evidence {
public:
    // Starts to count for a target, from zero for a new order. Targets that are not named any more stop counting.
    void begin(std::string const& target, std::uint64_t order);
    void end(std::string const& target);
    void didEnd(std::string const& target, std::string const& kind, run_ending, duration spent);

    // The counts to publish for the target; empty if it is not counting.
    std::vector<kind_evidence> const& published(std::string const& target) const;
    // Publishes what is due. Returns whether anything new is published.
    bool tick(time_point now);

private:
    // At least this long between two publications of a target.
    static constexpr milliseconds publicationPeriod { 500 };
    // Without a new failure, the counts are published again when the runs have grown by this share.
    static constexpr double growthToPublish = 0.15;
    // Kinds counted apart from each other; those beyond are counted together.
    static constexpr std::size_t maximumKinds = 24;

    struct target_counts {
        std::uint64_t order { 0 };
        std::map<std::string, kind_evidence> kinds;
        std::uint64_t runs { 0 };
        std::uint64_t failures { 0 };
        std::uint64_t publishedRuns { 0 };
        std::uint64_t publishedFailures { 0 };
        std::vector<kind_evidence> published;
        time_point publishedAt {};
    };

    std::map<std::string, target_counts> m_targets;
};

} // namespace merlinpier
