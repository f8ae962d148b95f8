#pragma once

#include <LibCalls/call_attempt.h>
#include <LibCalls/call_outcome.h>
#include <LibCalls/caller_request.h>
#include <LibConfiguration/call_policy.h>
#include <set>

namespace merlinpier {

// A call that has no final answer yet.
struct call_record {
    caller_request request;
    call_policy policy;
    time_point deadline {};
    // Until when an answer is worth most; the deadline where there is no such time or it has passed.
    time_point objective {};
    // The latency objective had passed when the request came: it came back after a refusal.
    bool isLate { false };
    // Targets that were tried, and how often in all.
    std::set<std::string> tried;
    std::uint32_t attempts { 0 };
    // How many attempts may have reached a target.
    std::uint32_t arrivals { 0 };
    // Targets that had no free slot when they were offered the call; they may still be asked to let it wait.
    std::set<std::string> probed;
    // An earlier attempt may have run, so no later refusal proves that the call was not run.
    bool mayHaveRun { false };
    std::optional<call_attempt> attempt;
    // The failure that a target answered with, while another target is tried.
    std::optional<call_answered> failure;
    // Callers that wait for this one answer: more than one if a key was repeated meanwhile.
    std::uint32_t callers { 1 };

    bool isKeyed() const { return !request.idempotencyKey.empty(); }
    // A keyed call that must not run twice is only ever sent to the one target whose ledger knows its key.
    bool isBoundToTarget() const { return isKeyed() && !policy.isIdempotent; }
};

} // namespace merlinpier
