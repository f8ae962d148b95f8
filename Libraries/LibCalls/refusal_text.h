#pragma once

#include <LibWire/call_messages.h>

namespace merlinpier {

// Returns what a refusal means to the caller, and the remedy.
char const* refusalText(refusal_reason);

} // namespace merlinpier
