#pragma once

#include <LibConfiguration/questionnaire.h>
#include <LibCore/result.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace merlinpier {

// The configuration of one service, generated deterministically from its answers. Serialized, it is the content of one
// fragment of a version.
struct service_configuration {
    std::string service;
    // Increases by one with each accepted change to this service.
    std::uint64_t revision { 0 };
    questionnaire answers;
    // Maximum number of calls that wait for a free slot of a copy.
    std::uint32_t queueLimit { 0 };
    // Maximum ratio of retries to calls, in thousandths.
    std::uint32_t retryBudgetPermille { 0 };
    // How long a copy that has just become ready receives less than its share of the calls.
    milliseconds slowStart { 0 };
    // How long answers of non-idempotent calls are retained, so that a repeat gets the same answer.
    milliseconds answerRetention { 0 };

    bool operator==(service_configuration const&) const = default;
};

// Derives the configuration of a service from its answers.
service_configuration generateServiceConfiguration(questionnaire const&, std::uint64_t revision);

// Serializes and parses the content of a fragment as canonical JSON: equal values give equal bytes and equal digests.
// Parsing gives BadInput for invalid content, and Corrupt for valid content that is not canonical.
std::string serializeServiceConfiguration(service_configuration const&);
result<service_configuration> parseServiceConfiguration(std::string_view content);

} // namespace merlinpier
