#pragma once

#include <LibCalls/call_client.h>
#include <LibHttp/http_message.h>
#include <string>

namespace merlinpier {

// The value of the header Merlinpier-Outcome: answered, not-run or unknown.
char const* outcomeName(final_outcome const&);

// The name of a refusal's reason, as in the JSON body of an answer and in metrics.
char const* reasonName(refusal_reason);

// The whole HTTP answer to a caller for the final outcome of its call.
http_response callerAnswer(std::string const& callId, final_outcome);

// The answer to a request that was refused before it became a call: it was not run.
http_response callerRefusal(
    int status, std::string const& reason, std::string const& message, std::string const& remedy);

// Whether a header describes one connection rather than the request, and so is not passed on.
bool isHopByHop(std::string const& headerName);

} // namespace merlinpier
