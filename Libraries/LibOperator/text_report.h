#pragma once

#include <LibCore/result.h>
#include <LibOperator/fleet_status.h>
#include <string>
#include <string_view>

namespace merlinpier {

// Text for people, made of the answers of the operators' HTTP API. Corrupt if an answer is not what it should be.

// A generated configuration, from POST /config/check.
result<std::string> describeGenerated(std::string_view body);
// The list of services, from GET /config/services.
result<std::string> describeServices(std::string_view body);
// One service, from GET /config/services/{service}.
result<std::string> describeService(std::string_view body);
// The answers alone, indented, from GET /config/services/{service}; ready to be edited and submitted.
result<std::string> answersOfService(std::string_view body);
// The recent submissions, newest first, from GET /config/history.
result<std::string> describeHistory(std::string_view body);
// Any JSON, indented.
result<std::string> indented(std::string_view body);

// The whole status, one line a zone and one line a daemon that needs attention.
std::string describeStatus(fleet_status const&);
// How far the version asked for has come, in one line.
std::string describeProgress(fleet_status const&);

} // namespace merlinpier
