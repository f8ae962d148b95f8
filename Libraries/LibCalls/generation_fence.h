#pragma once

#include <LibCalls/replay_window.h>
#include <LibCore/time.h>
#include <cstdint>
#include <map>

namespace merlinpier {

// Keeps, for each instance of an originating daemon, the generation below which its frames are refused and the attempt
// numbers already seen. Raising the generation makes frames in flight on older connections harmless, as a fencing token
// does for writes of a former lease holder (Burrows 2006, "sequencers").
class generation_fence {
public:
    // Raises the fence of an instance; a lower generation changes nothing.
    void raise(std::uint64_t instance, std::uint64_t generation, time_point now);
    bool isStale(std::uint64_t instance, std::uint64_t generation) const;
    // Returns the attempt numbers seen from an instance, and restarts the retention time of that instance.
    replay_window& window(std::uint64_t instance, time_point now);
    // Drops instances that have sent nothing for the retention time, which must be far longer than a frame can be in
    // flight. Scans at most once a second.
    void expire(time_point now, duration retention);
    std::size_t size() const { return m_origins.size(); }

private:
    struct origin_state {
        std::uint64_t generation { 0 };
        replay_window window;
        time_point lastHeard {};
    };

    std::map<std::uint64_t, origin_state> m_origins;
    time_point m_nextExpiry {};
};

} // namespace merlinpier
