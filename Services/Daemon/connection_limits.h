#pragma once

#include <LibLoop/loop_http_server.h>
#include <cstddef>
#include <string>

namespace merlinpier {

// The number of connections that callers may have open at a time: three quarters of the descriptors that the process
// may open, or of the given limit if that is lower (0: none is given). However many callers come, the connections to
// other daemons, to targets and to the store can then be opened.
std::size_t maximumCallerConnections(std::size_t descriptorLimit = 0);

// The bytes that the bodies of callers' requests may take together in a process with this limit on its memory (0: none
// is given). Half of the memory is left for everything else, and a body exists several times on its way to a target.
std::size_t maximumHeldBodyBytes(std::size_t memoryMegabytes);

// Counts what became of connections for which there was no room.
std::string callerConnectionsMetric(connection_shortage);

} // namespace merlinpier
