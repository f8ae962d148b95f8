#pragma once

#include "daemon.h"

#include <string>

namespace merlinpier {

// The rollouts that a daemon knows, with its own counters and the evidence that it has, as JSON. For one service only
// if it is named.
std::string rolloutsJson(daemon&, std::string const& service = {});
// Sets the metrics of the rollouts.
void setRolloutMetrics(daemon&);

} // namespace merlinpier
