#pragma once

#include <LibCore/generator.h>
#include <LibCore/time.h>

namespace merlinpier {

// Exponential back-off with full jitter: each wait is drawn evenly from zero to a bound that doubles with each failure
// in a row, so that callers that failed together do not return together.
class retry_back_off {
public:
    retry_back_off(duration firstBound, duration longestBound)
        : m_firstBound(firstBound)
        , m_longestBound(longestBound)
    {
    }

    // Returns how long to wait after one more failure; at least a millisecond.
    duration didFail(generator&);
    void didSucceed() { m_failures = 0; }

private:
    duration m_firstBound;
    duration m_longestBound;
    unsigned m_failures { 0 };
};

} // namespace merlinpier
