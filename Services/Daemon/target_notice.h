#pragma once

#include <LibCore/result.h>
#include <LibHttp/http_message.h>
#include <optional>
#include <string>

namespace merlinpier {

// What a target says about itself in an answer, beside the answer to the call.
struct target_notice {
    // Requests a second that the target takes from all callers together; nothing if it names no limit.
    std::optional<double> requestLimit;
    // The target stops soon and takes no new calls.
    bool isLeaving { false };
    // Why the limit in the answer cannot be used, if it cannot; nothing is then known about the limit.
    std::optional<std::string> limitError;

    bool operator==(target_notice const&) const = default;
};

// Names of the headers that carry a notice.
struct notice_headers {
    char const* requestLimit;
    char const* leaving;
    // The value by which the header says that the target leaves.
    char const* leavingValue;
};

// Reads a notice from the headers of an answer. A limit has to stand alone, as a decimal number from 0 to a million.
target_notice readTargetNotice(http_response const&, notice_headers const&);

} // namespace merlinpier
