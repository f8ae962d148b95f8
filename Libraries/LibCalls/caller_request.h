#pragma once

#include <LibConfiguration/call_policy.h>
#include <LibCore/time.h>
#include <LibWire/call_messages.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace merlinpier {

// A request of a caller, already matched to its service.
struct caller_request {
    // Unique; keyedCallIdentifier() for a request with an Idempotency-Key.
    std::string id;
    std::string service;
    // The calling service, or empty for a caller outside the mesh.
    std::string caller;
    std::string method;
    std::string path;
    std::vector<header_field> headers;
    std::string body;
    std::string idempotencyKey;
    // Time that the caller allows, for example the time left until the deadline of a call that the caller itself is
    // serving. The policy's timeout is its upper limit, and its default if the caller gives none.
    std::optional<milliseconds> remaining;
    std::uint32_t hops { 0 };
    // Whether the target of this VM may have made the call.
    bool mayBeInner { false };
    // For a call by the target of this VM: the share of that target's runs that are retries of other calls. Calls that
    // a retried run makes count as retries.
    double retriedShare { 0 };
    // Policy of the route, if it has one; otherwise the policy of the service's entry point applies.
    std::optional<call_policy> policy;
    // The tenant that the request belongs to; empty if it belongs to none.
    std::string tenant {};
    // The tenant's priority, which goes before that of the route; nothing if it has none.
    std::optional<std::uint32_t> tenantPriority {};

    bool operator==(caller_request const&) const = default;
};

} // namespace merlinpier
