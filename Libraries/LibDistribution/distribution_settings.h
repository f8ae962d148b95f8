#pragma once

#include <LibCore/time.h>
#include <cstdint>

namespace merlinpier {

// How relays propagate a new version.
// - Push: sends the changed fragments at once. Lowest latency.
// - Announce: sends the number and digest, and the receiver requests the fragments that it lacks. Fewest bytes when a
//   daemon receives the same version from several peers.
// - Baseline: every daemon watches the platform and reads the whole configuration itself. The reference for benchmarks.
enum class distribution_mode { Push, Announce, Baseline };

struct distribution_settings {
    distribution_mode mode { distribution_mode::Push };
    // Longest time that one watch on the head waits for a change.
    milliseconds watchTimeout { 20000 };
    // Delay before the next watch after one has reported a change, so that changes in quick succession are covered by
    // one call.
    milliseconds watchDelayAfterChange { 0 };
    // Delay between learning of a version and requesting it from a peer, since the daemon's own watch or its relay's
    // push usually delivers it first. A daemon that has no version yet requests it at once.
    milliseconds peerRequestDelay { 0 };
    // Whether relays are asked before other peers that have advertised the version. Relays have the fastest links.
    bool asksRelaysFirst { false };
    // How long a daemon that has no version yet holds back one that it has read from the platform, unless it has been
    // in contact with a peer and no peer has advertised a newer one. A platform that was restored from a copy may show
    // an older version than is in force on the peers.
    milliseconds initialPeerWait { 0 };
    // Bounds of the jittered back-off after a failed platform call.
    milliseconds firstBackOff { 100 };
    milliseconds longestBackOff { 5000 };
    // A request that a peer has not answered within this time is sent to another peer.
    milliseconds requestTimeout { 1000 };
    // Platform calls that this daemon may make per minute.
    std::uint32_t platformCallsPerMinute { 60 };
};

} // namespace merlinpier
