#pragma once

#include <LibWire/call_messages.h>
#include <LibWire/membership_messages.h>

namespace merlinpier {

// Names of enumerators as they stand in JSON and in log lines, in lower case.
char const* stateName(target_state);
char const* stateName(member_state);
char const* className(call_class);

} // namespace merlinpier
