#pragma once

#include <LibCalls/call_outcome.h>
#include <LibConfiguration/call_policy.h>
#include <LibRouting/target_outlook.h>
#include <optional>
#include <vector>

namespace merlinpier {

// Where a call would go if it was started now.
struct call_explanation {
    // Nothing if the service or the entry point is not known.
    std::optional<call_policy> policy;
    // Time left until the deadline and until the objective; the deadline if there is no objective.
    duration deadline { 0 };
    duration objective { 0 };
    std::vector<target_outlook> candidates;
    // The target that the call would be sent to, for this draw of the generator, and how it was chosen.
    std::optional<route_target> choice;
    char const* rule { "" };
    // Why the call would be refused without being sent.
    std::optional<call_not_run> refusal;
};

} // namespace merlinpier
