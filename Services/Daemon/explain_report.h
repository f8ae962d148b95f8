#pragma once

#include "daemon.h"

#include <LibHttp/http_message.h>
#include <string>

namespace merlinpier {

// Answers GET /explain: where a request with these arguments (path, method, host or service, tenant, deadline in
// milliseconds) would go now and why, as a JSON object. Sends nothing and changes nothing. BadInput if an argument is
// missing or malformed, NotFound if no route matches.
result<std::string> explainReport(daemon&, http_request const&);

} // namespace merlinpier
