#pragma once

#include <LibCore/time.h>
#include <map>
#include <memory>
#include <string>

namespace merlinpier {

// Estimates how much time a caller has already spent on a request before it arrived. The time that callers usually
// allow for each kind of call is learnt from the requests. A request that allows much less is taken for a retry by a
// caller that was refused before: the difference is the time spent since its first attempt, from which its latency
// objective counts.
class elapsed_time_estimator {
public:
    elapsed_time_estimator();
    ~elapsed_time_estimator();

    // Records the remaining time of a request of the kind and returns the time that its caller has most likely spent
    // before; zero for a first attempt, and until enough requests of the kind have been seen.
    duration didReceive(std::string const& kind, duration remaining);

private:
    struct estimate;

    std::map<std::string, std::unique_ptr<estimate>> m_byKind;
};

} // namespace merlinpier
