#pragma once

#include <LibCore/result.h>
#include <LibHttp/http_message.h>
#include <cstdint>
#include <optional>
#include <string>

namespace merlinpier {

// The calls that a target has, and its pace, as it announces them in an answer.
struct announced_load {
    std::uint32_t running { 0 };
    std::uint32_t waiting { 0 };
    std::uint32_t slots { 0 };
    // How long work takes on the target's VM now, in percent of the usual time.
    std::optional<std::uint32_t> pacePercent;

    bool operator==(announced_load const&) const = default;
};

// What a target says about itself in an answer, beside the answer to the call.
struct target_notice {
    // Requests a second that the target takes from all callers together; nothing if it names no limit.
    std::optional<double> requestLimit;
    // The target stops soon and takes no new calls.
    bool isLeaving { false };
    // Why the limit in the answer cannot be used, if it cannot; nothing is then known about the limit.
    std::optional<std::string> limitError;
    std::optional<announced_load> load;
    // Why the load in the answer, or its pace, cannot be used, if it cannot.
    std::optional<std::string> loadError;

    bool operator==(target_notice const&) const = default;
};

// Names of the headers that carry a notice.
struct notice_headers {
    char const* requestLimit;
    char const* leaving;
    // The value by which the header says that the target leaves.
    char const* leavingValue;
    // "running,waiting,slots" or "running,waiting,slots,pace".
    char const* load;
};

// Reads a notice from the headers of an answer. A limit has to stand alone, as a decimal number from 0 to a million. A
// load has to stand alone; a pace has to be above 0 and at most 10,000, otherwise the load has none.
target_notice readTargetNotice(http_response const&, notice_headers const&);

} // namespace merlinpier
