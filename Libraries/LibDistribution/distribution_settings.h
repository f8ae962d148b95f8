#pragma once

#include <LibCore/time.h>
#include <cstdint>

namespace merlinpier {

// How relays hand a version on. Push sends the changed fragments at once: fewest milliseconds. Announce sends number
// and digest, and the receiver asks for what it lacks: fewest bytes when versions reach a daemon twice. Baseline makes
// every daemon watch the platform and read the whole configuration itself; it is kept to measure against.
enum class distribution_mode { Push, Announce, Baseline };

struct distribution_settings {
    distribution_mode mode { distribution_mode::Push };
    // How long one watch on the head waits.
    milliseconds watchTimeout { 20000 };
    // After a watch has shown a change, the next one begins this much later, so that changes in quick succession cost
    // one call together.
    milliseconds watchDelayAfterChange { 0 };
    // A daemon asks a peer for a version that it has only heard of after this time: its own watch or its relay's push
    // is likely to bring it. One that has no version yet asks at once.
    milliseconds peerRequestDelay { 0 };
    // Whether relays are asked before other peers that have shown the version. Relays have the widest links.
    bool asksRelaysFirst { false };
    milliseconds firstBackOff { 100 };
    milliseconds longestBackOff { 5000 };
    // A request to a peer that is not answered in this time is sent to another.
    milliseconds requestTimeout { 1000 };
    // Platform calls that this daemon may make, a minute.
    std::uint32_t platformCallsPerMinute { 60 };
};

} // namespace merlinpier
