#pragma once

#include <LibWire/call_messages.h>
#include <cstdint>
#include <string>
#include <variant>

namespace merlinpier {

// The call ran and its complete answer arrived.
struct call_answered {
    call_answer answer;
    std::string target;
    std::uint32_t attempts { 0 };
    bool operator==(call_answered const&) const = default;
};
// The call is proven not to have run.
struct call_not_run {
    refusal_reason reason { refusal_reason::Overloaded };
    std::uint32_t retryAfterMs { 0 };
    std::string message;
    bool operator==(call_not_run const&) const = default;
};
// Why the outcome of a call is unknown.
enum class unknown_cause { Lost, Deadline };
// The call may have run; its outcome is unknown.
struct call_outcome_unknown {
    std::string message;
    unknown_cause cause { unknown_cause::Lost };
    bool operator==(call_outcome_unknown const&) const = default;
};
using final_outcome = std::variant<call_answered, call_not_run, call_outcome_unknown>;

} // namespace merlinpier
