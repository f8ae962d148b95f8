#pragma once

#include <LibCore/time.h>

namespace merlinpier {

// Limits the retries of calls to one service. Not thread-safe; the caller passes the time.
class retry_allowance {
public:
    virtual ~retry_allowance() = default;
    // Counts a new call, not a retry of one.
    virtual void didStartCall(time_point now) = 0;
    // Spends one retry; returns false and spends nothing if no retry is allowed now.
    virtual bool tryTake(time_point now) = 0;
    // Whether at least half of the retries allowed now would be left after one more.
    virtual bool isHalfLeft(time_point now) const = 0;
};

} // namespace merlinpier
