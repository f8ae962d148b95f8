#pragma once

#include <LibCore/generator.h>
#include <LibCore/time.h>

namespace merlinpier {

// Exponential back-off with full jitter: each delay is drawn uniformly between zero and a bound that doubles with each
// consecutive failure, so that callers that failed at the same time do not retry at the same time.
class retry_back_off {
public:
    retry_back_off(duration initialBound, duration maximumBound)
        : m_initialBound(initialBound)
        , m_maximumBound(maximumBound)
    {
    }

    // Records a failure and returns the delay before the next attempt, at least 1 ms.
    duration didFail(generator&);
    // Resets the bound to its initial value.
    void didSucceed() { m_consecutiveFailures = 0; }

private:
    duration m_initialBound;
    duration m_maximumBound;
    unsigned m_consecutiveFailures { 0 };
};

} // namespace merlinpier
