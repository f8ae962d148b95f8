#pragma once

#include <LibCore/time.h>
#include <map>
#include <string>

namespace merlinpier {

// Exponentially weighted moving averages of service times, by kind of call and over all kinds.
class service_times {
public:
    void addSample(std::string const& kind, duration measured);
    // Returns the average of the kind; zero if there is no sample of it.
    duration meanOf(std::string const& kind) const;
    // Returns the average over the samples of all kinds, so that frequent kinds weigh more; zero if there is no sample.
    duration overallMean() const { return m_overallMean; }

private:
    std::map<std::string, duration> m_meanByKind;
    duration m_overallMean { 0 };
};

} // namespace merlinpier
