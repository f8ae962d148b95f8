#include "connection_limits.h"

#include <algorithm>
#include <limits>
#include <sys/resource.h>

namespace merlinpier {

std::size_t maximumCallerConnections(std::size_t descriptorLimit)
{
    rlimit allowed {};
    auto descriptors = descriptorLimit > 0 ? descriptorLimit : std::numeric_limits<std::size_t>::max();
    if (getrlimit(RLIMIT_NOFILE, &allowed) == 0)
        descriptors = std::min<std::size_t>(descriptors, allowed.rlim_cur);
    return descriptors / 4 * 3;
}

std::size_t maximumHeldBodyBytes(std::size_t memoryMegabytes)
{
    constexpr std::size_t bytesPerMegabyte = 1'000'000;
    // The request that was read, the call and its run, the frame or message that carries it, and what waits to be sent.
    constexpr std::size_t copiesOfABody = 6;
    if (memoryMegabytes == 0)
        return std::numeric_limits<std::size_t>::max();
    return memoryMegabytes * bytesPerMegabyte / 2 / copiesOfABody;
}

std::string callerConnectionsMetric(connection_shortage shortage)
{
    std::string const outcome = shortage == connection_shortage::IdleClosed ? "idle_closed" : "refused";
    return "merlinpier_caller_connections_short_total{outcome=\"" + outcome + "\"}";
}

} // namespace merlinpier
