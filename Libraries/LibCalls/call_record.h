#pragma once

#include <LibCalls/call_attempt.h>
#include <LibCalls/call_outcome.h>
#include <LibCalls/caller_request.h>
#include <LibConfiguration/call_policy.h>
#include <set>

namespace merlinpier {

// A call that has no final outcome yet.
struct call_record {
    caller_request request;
    call_policy policy;
    // requestFingerprint() of the request.
    std::uint64_t fingerprint { 0 };
    time_point deadline {};
    // Time by which the call should complete to meet its latency objective; the deadline if there is no objective or it
    // has passed.
    time_point objective {};
    // Whether the latency objective had passed when the request arrived, as it can for a retry by the caller.
    bool isLate { false };
    // Targets that are excluded from further attempts, then the number of attempts made so far.
    std::set<std::string> tried;
    std::uint32_t attempts { 0 };
    // Number of attempts that may have reached a target.
    std::uint32_t arrivals { 0 };
    // Targets that refused a probe for want of a free slot; they may still be sent the call to queue it.
    std::set<std::string> probed;
    // Number of refusals by targets that take no new calls, as those of a version that a rollout has closed.
    std::uint32_t closedRefusals { 0 };
    // Whether an earlier attempt may have run, so that a later refusal does not prove that the call was not run.
    bool mayHaveRun { false };
    std::optional<call_attempt> attempt;
    // A further attempt that runs beside the first one; the first good answer wins.
    std::optional<call_attempt> secondAttempt;
    // Number of attempts that were sent beside a running one.
    std::uint32_t secondRuns { 0 };
    // The failed answer of a target, while the call is retried at another target.
    std::optional<call_answered> failure;
    // Number of callers that wait for this outcome: more than one if a key was repeated while the call was in progress.
    std::uint32_t callers { 1 };

    bool isKeyed() const { return !request.idempotencyKey.empty(); }
    // A keyed call that must not run twice is sent only to the target whose daemon's ledger knows its key.
    bool isBoundToTarget() const { return isKeyed() && !policy.isIdempotent; }
};

} // namespace merlinpier
