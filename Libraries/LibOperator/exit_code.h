#pragma once

#include <LibCore/error.h>

namespace merlinpier {

// Exit codes of the command line program, for scripts.
enum class exit_code : int {
    Success = 0,
    // The input is invalid or was refused; repeating the command unchanged fails again.
    Refused = 1,
    // The command line arguments are invalid.
    Usage = 2,
    // The service has been changed since the given base revision.
    Conflict = 3,
    // No daemon is reachable, or the platform is unreachable; nothing was changed.
    Unavailable = 4,
    // The change may or may not have been accepted; repeating it with the same identifier is safe.
    OutcomeUnknown = 5,
    // The version was not in force before the timeout.
    WaitTimedOut = 6,
};

// The exit code of a command that failed with an error of this kind.
exit_code exitCodeFor(error_kind);

} // namespace merlinpier
