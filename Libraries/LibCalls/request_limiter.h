#pragma once

#include <LibCore/time.h>
#include <cstddef>
#include <optional>

namespace merlinpier {

// Keeps what a target is sent within the limit that it has announced, by a token bucket. Without a limit, every request
// may be sent. Since all calls of a target pass its own daemon, one limiter holds the limit for all callers together.
class request_limiter {
public:
    // Sets or ends the limit, in requests a second. A new limit starts with an empty bucket: the target has been
    // getting requests at its former rate. A change of the limit keeps what the bucket holds, up to its new size.
    void setLimit(std::optional<double> requestsPerSecond, time_point now);
    std::optional<double> limit() const { return m_limit; }

    bool maySend(time_point now) const;
    // Records that a request was sent.
    void didSend(time_point now);
    // How long a request has to wait that follows the given number of waiting requests; 0 without a limit.
    duration expectedWait(std::size_t requestsAhead, time_point now) const;

private:
    double tokensAt(time_point now) const;
    double rate() const;
    double bucketSize() const;

    std::optional<double> m_limit;
    double m_tokens { 0 };
    time_point m_refilledAt {};
};

} // namespace merlinpier
