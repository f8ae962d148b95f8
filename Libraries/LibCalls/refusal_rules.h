#pragma once

#include <LibWire/call_messages.h>

namespace merlinpier {

// Returns a message for the caller that states the refusal and its remedy.
char const* refusalMessage(refusal_reason);

// Whether the call was refused because of the target's load.
bool isLoadRefusal(refusal_reason);

// Whether the target's daemon refused the call for want of a slot or because of the target's request limit.
bool isCapacityRefusal(refusal_reason);

// Whether the target itself refused the call; all other refusals come from a daemon.
bool hasReachedTarget(refusal_reason);

// Whether every originating daemon will find the target leaving or unusable. All of them then move a keyed call to the
// same next target.
bool isDepartureRefusal(refusal_reason);

// Whether the route or the connection was out of date. Each change causes only a few such refusals, so that retries
// after them need no budget.
bool isStaleRouteRefusal(refusal_reason);

// Whether an answer with this HTTP status reports a failure of the target.
bool isFailureStatus(std::uint32_t status);

} // namespace merlinpier
