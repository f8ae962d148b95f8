#pragma once

#include <LibConfiguration/commit_session.h>
#include <string>
#include <string_view>

namespace merlinpier {

// Bodies of the operators' HTTP API, as specified in docs/design/interfaces.md. Shared by the daemon and the
// command-line tool.

// Parses the body of POST /config/submissions. BadInput names the key, the allowed values and the remedy.
result<submission> parseSubmission(std::string_view body);
std::string serializeSubmission(submission const&);

// The response to an accepted submission. It does not contain the owner.
std::string serializeAccepted(accepted_submission const&);
result<accepted_submission> parseAccepted(std::string_view body);

// The response to a request that failed.
std::string serializeError(error const&);
// Returns the error in the body, or a Corrupt error if the body contains none.
error parseError(std::string_view body);
// The HTTP status of a response that reports an error of the kind.
int httpStatus(error_kind);

// The response to GET /config/services.
std::string serializeServices(configuration_set const&);
// The response to GET /config/services/{service}.
std::string serializeServiceDetail(service_configuration const&);
// The response to GET /config/history.
std::string serializeHistory(configuration_head const&);

// Validates the answers as a submission based on the set would, and returns the configuration that it would generate.
// Fails with the same errors as the submission. The response to POST /config/check is the serialized result.
result<service_configuration> checkAnswers(questionnaire const&, configuration_set const&);

} // namespace merlinpier
