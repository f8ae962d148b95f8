#pragma once

#include <LibCalls/call_client.h>
#include <LibCalls/call_server.h>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace merlinpier::fixture {

// What a decision library did in answer to one event of a trace, in the words that traces use.
std::vector<std::string> describe(std::vector<client_action> const&);
std::vector<std::string> describe(std::vector<server_action> const&);

// Plays the events of a trace to the decisions of one daemon and returns, for each step, what was done and what the
// trace expects.
struct replayed_step {
    std::string event;
    std::vector<std::string> expected;
    std::vector<std::string> done;
};
std::vector<replayed_step> replayTrace(nlohmann::json const& trace);

} // namespace merlinpier::fixture
