#pragma once

#include <LibCore/result.h>
#include <LibOperator/fleet_status.h>
#include <string>
#include <string_view>

namespace merlinpier {

// Human-readable text from the answers of the operator HTTP API. Functions that take a body fail with Corrupt if it
// does not have the expected form.

// A generated configuration, from POST /config/check.
result<std::string> describeGenerated(std::string_view body);
// The list of services, from GET /config/services.
result<std::string> describeServices(std::string_view body);
// One service, from GET /config/services/{service}.
result<std::string> describeService(std::string_view body);
// Only the answers, as indented JSON that can be edited and submitted, from GET /config/services/{service}.
result<std::string> answersOfService(std::string_view body);
// The recent submissions, newest first, from GET /config/history.
result<std::string> describeHistory(std::string_view body);
// The requests that are suspected or blocked, from GET /crashing-requests.
result<std::string> describeCrashingRequests(std::string_view body);
// The rollouts that a daemon knows, from GET /rollouts.
result<std::string> describeRollouts(std::string_view body);
// What would become of a request, from GET /explain.
result<std::string> describeExplanation(std::string_view body);
// The tenants with their limits and their use at the daemon, from GET /tenants.
result<std::string> describeTenants(std::string_view body);
// One tenant, from GET /tenants/{name}.
result<std::string> describeTenant(std::string_view body);
// Any JSON, with indentation.
result<std::string> indented(std::string_view body);

// The whole status: one line per zone, one per daemon that refused a version, and the daemons that are behind or
// silent.
std::string describeStatus(fleet_status const&);
// One line that says how many daemons have applied the requested version and which ones have not.
std::string describeProgress(fleet_status const&);

} // namespace merlinpier
