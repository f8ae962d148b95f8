#include "target_notice.h"

#include <LibRouting/pace_estimate.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <cmath>
#include <vector>

namespace merlinpier {

namespace {

constexpr double highestRequestLimit = 1e6;
constexpr std::size_t longestQuotedValue = 32;
constexpr std::size_t fieldsWithoutPace = 3;

std::string quoted(std::string const& value) { return "\"" + value.substr(0, longestQuotedValue) + "\""; }

void readPace(std::string const& text, announced_load& load, target_notice& notice)
{
    double percent = 0;
    bool const isPace = absl::SimpleAtod(text, &percent) && std::isfinite(percent) && percent > 0
        && percent <= pace_estimate::maximumPercent;
    if (isPace)
        load.pacePercent = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::lround(percent)));
    else
        notice.loadError = quoted(text) + " is no pace in percent";
}

void readLoad(std::string const& text, target_notice& notice)
{
    if (notice.load || notice.loadError) {
        notice.load.reset();
        notice.loadError = "the answer names more than one load";
        return;
    }
    std::vector<std::string> const fields = absl::StrSplit(text, ',');
    announced_load load;
    bool const isLoad = (fields.size() == fieldsWithoutPace || fields.size() == fieldsWithoutPace + 1)
        && absl::SimpleAtoi(fields[0], &load.running) && absl::SimpleAtoi(fields[1], &load.waiting)
        && absl::SimpleAtoi(fields[2], &load.slots);
    if (!isLoad) {
        notice.loadError = quoted(text) + " is no load";
        return;
    }
    if (fields.size() > fieldsWithoutPace)
        readPace(fields[fieldsWithoutPace], load, notice);
    notice.load = load;
}

} // namespace

target_notice readTargetNotice(http_response const& response, notice_headers const& names)
{
    target_notice notice;
    notice.isLeaving = response.header(names.leaving).value_or("") == names.leavingValue;
    for (auto const& header : response.headers) {
        if (absl::EqualsIgnoreCase(header.name, names.load))
            readLoad(header.value, notice);
        if (!absl::EqualsIgnoreCase(header.name, names.requestLimit))
            continue;
        double value = 0;
        bool const isNumber = absl::SimpleAtod(header.value, &value) && std::isfinite(value);
        if (notice.requestLimit || notice.limitError)
            notice.limitError = "the answer names more than one limit";
        else if (!isNumber || value < 0 || value > highestRequestLimit)
            notice.limitError = quoted(header.value) + " is no number of requests a second";
        else
            notice.requestLimit = value;
    }
    if (notice.limitError)
        notice.requestLimit.reset();
    return notice;
}

} // namespace merlinpier
