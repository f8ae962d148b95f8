#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace merlinpier {

// A customer whose requests carry one of its keys. Rates and numbers of requests are in thousandths of a request, so
// that a limit below one request a second keeps its value.
struct tenant {
    std::string name;
    // Goes before the priority of routes; nothing if the tenant has none. 0 is the most urgent.
    std::optional<std::uint32_t> priority;
    // Requests a second over all daemons together; 0 for no limit.
    std::uint64_t milliPerSecond { 0 };
    // Requests that may come at once on top of the rate.
    std::uint64_t burstMilli { 0 };

    bool operator==(tenant const&) const = default;

    bool isLimited() const { return milliPerSecond > 0; }
};

} // namespace merlinpier
