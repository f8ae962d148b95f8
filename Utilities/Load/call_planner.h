#pragma once

#include <LibHttp/http_client.h>
#include <Utilities/Load/request_mix.h>
#include <string>

namespace merlinpier {

// The way that a call takes to its target.
enum class call_route { ThroughDaemon, Direct };

// What all calls of a run have in common.
struct call_shape {
    // Services passed through one after another; 1 for no chain.
    unsigned depth { 1 };
    std::size_t bodyBytes { 64 };
    std::size_t paddingBytes { 0 };
    // Nothing leaves it to the target.
    std::optional<milliseconds> work;
    // Nothing leaves it to the entry point.
    std::optional<milliseconds> deadline;
    // Whether a call carries its request identifier as Idempotency-Key.
    bool hasIdempotencyKey { false };

    bool operator==(call_shape const&) const = default;
};

// One call as it is to be sent, and what its answer must say.
struct planned_call {
    std::string requestId;
    call_route route { call_route::ThroughDaemon };
    mix_entry entry;
    // Path as the target must have seen it.
    std::string path;
    std::string body;
    std::vector<http_field> headers;
    milliseconds timeout { 0 };
};

// Makes calls: the same seed and shape give the same calls, each with an identifier and a body of its own.
class call_planner {
public:
    // The run's name sets its request identifiers apart from those of other runs.
    call_planner(request_mix, call_shape, std::string runName, std::uint64_t seed);

    planned_call next(call_route);

private:
    std::string makeBody(std::string const& requestId);
    std::vector<http_field> makeHeaders(planned_call const&) const;

    request_mix const m_mix;
    call_shape const m_shape;
    std::string const m_runName;
    generator m_source;
    std::uint64_t m_count { 0 };
};

// Turns a planned call into a request to the address "IP:PORT".
http_client_request makeRequest(planned_call const&, std::string const& address);

} // namespace merlinpier
