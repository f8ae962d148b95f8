#pragma once

#include <Utilities/Load/call_planner.h>

namespace merlinpier {

// What a call came to, as its caller sees it.
enum class caller_outcome {
    // The whole answer to this very request.
    Answered,
    // The daemon, or a target called directly, said that it was not run.
    NotRun,
    // The daemon said that it may have run.
    Unknown,
    // Nobody could be reached, or the answer reports a failure of the target.
    Failed,
    // The connection ended, or the time passed, without a whole answer.
    Cut,
    // A whole answer, but not to this request.
    WrongAnswer,
};

// Judges an answer against its request: method, path, request identifier and digest of the body must be those sent, all
// along a chain.
caller_outcome judgeAnswer(planned_call const&, result<http_response> const&);

} // namespace merlinpier
