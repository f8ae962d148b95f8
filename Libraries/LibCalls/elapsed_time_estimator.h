#pragma once

#include <LibCore/time.h>
#include <map>
#include <memory>
#include <string>

namespace merlinpier {

// Learns how much time callers allow for each kind of call. A request that allows much less is one that was refused
// before and has come back: the difference is what it has spent since its first attempt, and its latency objective
// counts from there.
class elapsed_time_estimator {
public:
    elapsed_time_estimator();
    ~elapsed_time_estimator();

    // Takes in a request of the kind and returns what it has most likely spent before; zero for a first attempt, and
    // until enough requests of the kind have been seen.
    duration didReceive(std::string const& kind, duration remaining);

private:
    struct estimate;

    std::map<std::string, std::unique_ptr<estimate>> m_byKind;
};

} // namespace merlinpier
