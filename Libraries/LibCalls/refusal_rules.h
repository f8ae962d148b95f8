#pragma once

#include <LibWire/call_messages.h>

namespace merlinpier {

// Returns what a refusal means to the caller, and the remedy.
char const* refusalMessage(refusal_reason);

// Whether the target refused because of its load.
bool isLoadRefusal(refusal_reason);

// Whether the call arrived at the target before it was refused; all others were refused by the target's daemon.
bool hasReachedTarget(refusal_reason);

// Whether the target is leaving for every first daemon, so that a key moves to the next target for all of them.
bool isDepartureRefusal(refusal_reason);

// Whether the route or the connection was out of date. Such refusals are few for each change, so that trying again
// needs no budget.
bool isStaleRouteRefusal(refusal_reason);

} // namespace merlinpier
