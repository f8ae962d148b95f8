#pragma once

#include <LibConfiguration/commit_session.h>

namespace merlinpier {

// Checks the identifier, the service's name and the answers of a submission; BadInput names what is wrong.
result<empty> checkSubmission(submission const&);

// The Conflict of a submission that was made against another revision of its service than the current one.
error conflictError(std::string const& service, std::uint64_t base, std::uint64_t current);

} // namespace merlinpier
