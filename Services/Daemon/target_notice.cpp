#include "target_notice.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <cmath>

namespace merlinpier {

namespace {

constexpr double highestRequestLimit = 1e6;
constexpr std::size_t longestQuotedValue = 32;

} // namespace

target_notice readTargetNotice(http_response const& response, notice_headers const& names)
{
    target_notice notice;
    notice.isLeaving = response.header(names.leaving).value_or("") == names.leavingValue;
    for (auto const& header : response.headers) {
        if (!absl::EqualsIgnoreCase(header.name, names.requestLimit))
            continue;
        double value = 0;
        bool const isNumber = absl::SimpleAtod(header.value, &value) && std::isfinite(value);
        if (notice.requestLimit || notice.limitError)
            notice.limitError = "the answer names more than one limit";
        else if (!isNumber || value < 0 || value > highestRequestLimit)
            notice.limitError
                = "\"" + header.value.substr(0, longestQuotedValue) + "\" is no number of requests a second";
        else
            notice.requestLimit = value;
    }
    if (notice.limitError)
        notice.requestLimit.reset();
    return notice;
}

} // namespace merlinpier
