#pragma once

#include <string>

namespace merlinpier {

// What kind of failure an operation met. The kind tells a caller what it may do next; the message tells a person.
enum class error_kind {
    // The input is malformed or breaks a rule. Sending it again unchanged fails again.
    BadInput,
    // Settings are missing, malformed or contradict each other.
    BadSettings,
    // What was asked for does not exist.
    NotFound,
    // Somebody else changed the same thing first.
    Conflict,
    // The other side could not be reached, and the operation certainly did not take effect.
    Unavailable,
    // A limit on the rate of operations was met; the operation did not take effect.
    RateLimited,
    // The deadline passed; the operation did not take effect.
    DeadlineExceeded,
    // The other side refused; the operation did not take effect.
    Refused,
    // Received bytes do not form a valid message.
    Corrupt,
    // The operation may or may not have taken effect.
    OutcomeUnknown,
    // The connection ended before the outcome was known: the operation may have taken effect.
    ConnectionLost,
    // A bug in merlinpier.
    Internal,
};

// Returns the name used in logs and in JSON answers, in snake case.
char const* errorKindName(error_kind);

// A failure with its kind, what happened, and what the reader can do about it.
struct error {
    error_kind kind { error_kind::Internal };
    std::string message;
    std::string remedy;

    bool operator==(error const&) const = default;

    // Returns message and remedy as one line.
    std::string text() const;
};

} // namespace merlinpier
