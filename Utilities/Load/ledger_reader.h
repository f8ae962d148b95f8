#pragma once

#include <LibHttp/http_client.h>
#include <string>
#include <vector>

namespace merlinpier {

// Returns the request identifiers of all runs in a target's ledger, one for each run. Unavailable if the target cannot
// be asked; Corrupt if its answer is no ledger.
result<std::vector<std::string>> readLedger(http_client&, std::string const& address);

} // namespace merlinpier
