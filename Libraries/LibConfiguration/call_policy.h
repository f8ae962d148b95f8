#pragma once

#include <LibCore/time.h>
#include <LibWire/call_messages.h>
#include <cstdint>
#include <string>

namespace merlinpier {

// How calls of one entry point or route are handled. Durations are in milliseconds.
struct call_policy {
    // Name of the entry point or route. Service times of calls, and the sizes of their requests and answers, are
    // estimated separately for each name.
    std::string name;
    // Whether a call may be executed more than once.
    bool isIdempotent { false };
    call_class callClass { call_class::Interactive };
    // 0 is the highest priority.
    std::uint32_t priority { 0 };
    // The longest time that a caller waits for the outcome.
    milliseconds timeout { 0 };
    // Response time that callers aim for; 0 for no objective.
    milliseconds latencyObjective { 0 };
    // Maximum number of attempts of one call that may reach a target; 0 for no limit. The limit in the daemon's
    // settings applies as well.
    std::uint32_t maximumAttempts { 0 };
    // Whether answers are large and may come late.
    bool isBulk { false };
    // Whether requests need no key of a tenant, where the deployment has tenants.
    bool allowsAnonymous { false };

    bool operator==(call_policy const&) const = default;
};

} // namespace merlinpier
