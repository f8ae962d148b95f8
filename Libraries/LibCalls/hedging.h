#pragma once

#include <LibCore/time.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace merlinpier {

// Whether idempotent calls may get a second run. Auto: where targets of the service announce a pace.
enum class hedging_mode { Auto, Off, On };

// What a decision about a second run of a call depends on.
struct hedging_question {
    // The name of the call's policy.
    std::string kind;
    // How long the run has been under way, and how long it was expected to take when it was sent.
    duration elapsed { 0 };
    duration expected { 0 };
    // The time from the start of the run to the call's latency objective, or its deadline if there is no objective.
    duration objective { 0 };
    // The time left until the objective, and until the deadline.
    duration leftOfObjective { 0 };
    duration leftOfDeadline { 0 };
    // How long the call is expected to take at the target that would get the second run.
    duration expectedFinish { 0 };

    bool operator==(hedging_question const&) const = default;
};

// Early: the second run may still meet the objective; it is to start only in a free slot of the own zone. Rescue: the
// last moment at which a second run can end before the deadline, whatever the first run does.
enum class hedging_verdict { None, Early, Rescue };

// Decides when a call gets a second run while the first one goes on (hedged requests; Dean and Barroso, "The Tail at
// Scale", 2013). The first good answer wins. Learns the times of first runs by kind of call; targets, attempts and
// the retry budget are the caller's. Does no I/O and has no clock, lock or random source.
class hedging {
public:
    // At most this share of the calls gets an early second run.
    static constexpr double maximumEarlyShare = 0.03;

    // After how long a run of the kind may get a second one at the earliest, given the time from its start to the
    // objective; nothing before enough runs of the kind are known.
    std::optional<duration> earliest(std::string const& kind, duration objective) const;
    hedging_verdict decide(hedging_question const&) const;
    // After how long a run that was expected to take the given time counts as one that takes longer than nearly all of
    // its kind; nothing before enough runs of the kind are known.
    std::optional<duration> longRun(std::string const& kind, duration expected) const;

    void didStartCall();
    // A first run has ended, or was ended because the second one won.
    void didEndRun(std::string const& kind, duration taken, duration expected);
    void didHedge(hedging_verdict);

private:
    // The times of the last runs of a kind, as a ring, and their 95th percentile. All are relative to the expected
    // time: targets differ in speed, and a run that is usual for a slow target would look long beside those of others.
    struct recent_runs {
        std::vector<double> times;
        std::size_t next { 0 };
        double longRun { 0 };
    };

    std::map<std::string, recent_runs> m_recentRuns;
    // Early second runs that the calls so far allow.
    double m_earlyBalance { 0 };
};

} // namespace merlinpier
