#pragma once

#include <LibCore/time.h>
#include <LibRouting/routing_snapshot.h>
#include <cstdint>
#include <optional>
#include <string>

namespace merlinpier {

// How far an attempt has come: waiting for its link, sent, or sent on a link that was lost and being asked about.
enum class attempt_state { Dispatched, Sent, Querying };

// One sending of a call to the daemon of one target.
struct call_attempt {
    // Attempt identifier on the wire.
    std::string id;
    route_target target;
    attempt_state state { attempt_state::Dispatched };
    // The generation that the call was sent on, or that the last query about it was sent on.
    std::uint64_t generation { 0 };
    time_point dispatchedAt {};
    time_point sentAt {};
    // When the first query about it was sent.
    time_point firstQueriedAt {};
    // Whether the target was asked to refuse the call unless it could begin at once.
    bool isProbe { false };

    bool operator==(call_attempt const&) const = default;
};

} // namespace merlinpier
