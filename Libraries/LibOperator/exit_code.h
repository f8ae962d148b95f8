#pragma once

#include <LibCore/error.h>

namespace merlinpier {

// What the command line tells a script about the outcome.
enum class exit_code : int {
    Success = 0,
    // The input is bad or was refused; the same again fails again.
    Refused = 1,
    // The command line itself is wrong.
    Usage = 2,
    // Somebody else changed the service first.
    Conflict = 3,
    // No daemon, or not the platform, could be reached; nothing was changed.
    Unavailable = 4,
    // The change may or may not have been accepted; repeat it with the same identifier.
    OutcomeUnknown = 5,
    // The version was not in force everywhere before the time was up.
    WaitTimedOut = 6,
};

exit_code exitCodeFor(error_kind);

} // namespace merlinpier
