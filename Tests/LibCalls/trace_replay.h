#pragma once

#include <LibCalls/call_client.h>
#include <LibCalls/call_server.h>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace merlinpier::fixture {

// Describes the actions that call_client or call_server returned for an event, in the notation of the traces.
std::vector<std::string> describe(std::vector<client_action> const&);
std::vector<std::string> describe(std::vector<server_action> const&);

// One event of a trace, with the actions that the trace expects and those that were returned.
struct replayed_step {
    std::string event;
    std::vector<std::string> expected;
    std::vector<std::string> actual;
};
// Replays the events of a trace against call_client or call_server, whichever the trace names.
std::vector<replayed_step> replayTrace(nlohmann::json const& trace);

} // namespace merlinpier::fixture
