#pragma once

#include <LibCore/time.h>
#include <LibRouting/routing_snapshot.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace merlinpier {

// State of an attempt. Dispatched: not sent yet, waiting for its link. Sent: on a link that is not known to be lost.
// Querying: its link was lost and replaced, and the target's daemon is queried about its outcome.
enum class attempt_state { Dispatched, Sent, Querying };

// One attempt to run a call: sent to the daemon of one target.
struct call_attempt {
    // Text form of attempt_identifier, as on the wire.
    std::string id;
    route_target target;
    attempt_state state { attempt_state::Dispatched };
    // Link generation on which the call, or the latest query about it, was sent.
    std::uint64_t generation { 0 };
    time_point dispatchedAt {};
    time_point sentAt {};
    // When the first query after the loss of the link was sent.
    time_point firstQueriedAt {};
    // How long the call was expected to take when it was dispatched.
    duration expected { 0 };
    // Whether the target's daemon was asked to refuse the call unless it can start at once.
    bool isProbe { false };
    // Whether it was sent to a new version within the share that a rollout grants.
    bool isCanary { false };
    // Expected size of the answer if it is large and passes the link of the target's VM.
    std::size_t bulkBytes { 0 };
    // Whether it was sent while an earlier attempt of the call was running.
    bool isSecondRun { false };

    bool operator==(call_attempt const&) const = default;
};

} // namespace merlinpier
