#pragma once

#include "daemon.h"

#include <string>

namespace merlinpier {

// Everything that this daemon knows, as one JSON object for operators and tests: versions, members and their states,
// relays, connections, targets, slots, queues, totals.
std::string stateDump(daemon&);

// The requests that are suspected of crashing targets or blocked, as a JSON object.
std::string crashingRequests(daemon&);

// The content of /metrics: what parts count by themselves and what is read off them now.
std::string metricsText(daemon&);

} // namespace merlinpier
