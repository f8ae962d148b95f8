#pragma once

#include <LibConfiguration/commit_session.h>

namespace merlinpier {

// Validates a submission's identifier, service name and answers. BadInput names the invalid key and the remedy.
result<empty> checkSubmission(submission const&);

// Returns the Conflict of a submission whose base revision of the service is not the current one. Revision 0 stands for
// a service that does not exist.
error conflictError(std::string const& service, std::uint64_t base, std::uint64_t current);

} // namespace merlinpier
