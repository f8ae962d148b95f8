#pragma once

#include <LibCore/time.h>
#include <map>
#include <string>

namespace merlinpier {

// Moving means of durations by kind of call (exponentially weighted).
class service_times {
public:
    void addSample(std::string const& kind, duration measured);
    // Zero if nothing of the kind has been learnt.
    duration meanOf(std::string const& kind) const;
    // Mean over all kinds, each as often as it was learnt lately; zero if nothing has been learnt.
    duration overall() const { return m_overall; }

private:
    std::map<std::string, duration> m_byKind;
    duration m_overall { 0 };
};

} // namespace merlinpier
