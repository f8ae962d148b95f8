#pragma once

#include <LibConfiguration/commit_session.h>
#include <string>
#include <string_view>

namespace merlinpier {

// The bodies of the operators' HTTP API, as laid down in docs/design/interfaces.md. Daemon and command line share them.

// Reads the body of POST /config/submissions; BadInput names the key, what is allowed and the remedy.
result<submission> parseSubmission(std::string_view body);
std::string serializeSubmission(submission const&);

// The answer to an accepted submission.
std::string serializeAccepted(accepted_submission const&);
result<accepted_submission> parseAccepted(std::string_view body);

// The answer to a refused request.
std::string serializeError(error const&);
// Returns the error that the body holds; a Corrupt error if it holds none.
error parseError(std::string_view body);
// The HTTP status that goes with an error of that kind.
int httpStatus(error_kind);

// The answer to GET /config/services.
std::string serializeServices(configuration_set const&);
// The answer to GET /config/services/{service}.
std::string serializeServiceDetail(service_configuration const&);
// The answer to GET /config/history.
std::string serializeHistory(configuration_head const&);

// Checks answers as if they were submitted on top of the set and returns the configuration that they would give; errors
// are those of a submission. The answer to POST /config/check is serializeServiceConfiguration() of it.
result<service_configuration> checkAnswers(questionnaire const&, configuration_set const&);

} // namespace merlinpier
